//! Claims, renewals and releases of the lease.

use std::time;

use super::Grant;
use super::Lease;
use super::LeaseToken;
use super::WorkerState;
use crate::clock;
use crate::worker::runs;

impl WorkerState {
    /// Claims or renews the lease.
    pub(in crate::worker) fn grant(
        &mut self,
        request: &model::LeaseRequest,
        now: time::Instant,
    ) -> Result<Grant, model::LeaseReply> {
        let claimed = match request.epoch {
            Some(epoch)
                if self.is_current_token(
                    LeaseToken {
                        instance_id: &request.instance_id,
                        epoch,
                    },
                    now,
                ) =>
            {
                false
            }
            Some(_) => {
                self.counts.refused_stale_epoch += 1;
                return Err(model::LeaseReply::Lapsed);
            }
            None => {
                self.check_not_held(&request.instance_id, now)?;
                self.epoch += 1;
                true
            }
        };
        self.lease = Some(Lease {
            holder: request.instance_id.clone(),
            holder_address: request.instance_address.clone(),
            expires_at: now + time::Duration::from_millis(request.ttl_ms),
            grace: time::Duration::from_millis(request.grace_ms),
        });
        self.acknowledge(&request.acknowledged, now);
        Ok(Grant {
            epoch: self.epoch,
            claimed,
        })
    }

    /// Refuses a claim while another instance holds the lease.
    fn check_not_held(
        &self,
        instance_id: &model::InstanceId,
        now: time::Instant,
    ) -> Result<(), model::LeaseReply> {
        let Some(lease) = self.lease.as_ref().filter(|lease| lease.is_live(now)) else {
            return Ok(());
        };
        if lease.holder == *instance_id {
            return Ok(());
        }
        Err(model::LeaseReply::Held {
            holder: lease.holder.clone(),
            holder_address: lease.holder_address.clone(),
            remaining_ms: clock::whole_ms(lease.expires_at - now),
        })
    }

    fn acknowledge(&mut self, acknowledged: &[model::TaskAttempt], now: time::Instant) {
        for run in acknowledged {
            if let Some(finished) = self.unacknowledged.shift_remove(run) {
                self.settle(*run, runs::Settled::Finished(Box::new(finished)), now);
            }
        }
    }

    /// Returns the reply to a grant, which may be sent some time after it.
    pub(in crate::worker) fn lease_reply(
        &mut self,
        grant: Grant,
        now: time::Instant,
    ) -> model::LeaseReply {
        let live = self.lease.as_ref().is_some_and(|lease| lease.is_live(now));
        if grant.epoch != self.epoch || !live {
            return model::LeaseReply::Lapsed;
        }
        self.reported_changes = self.changes;
        let running = self.running.values().filter(|_| grant.claimed);
        model::LeaseReply::Granted {
            epoch: grant.epoch,
            incarnation: self.incarnation,
            capacity: self.config.capacity,
            leaving: self.leaving,
            running: running.map(|run| run.report(now)).collect(),
            finished: self.finished_reports(grant.claimed),
            usage: self.usage(now),
        }
    }

    fn finished_reports(&self, with_task: bool) -> Vec<model::FinishedRun> {
        let copies = if self.faults.doubled_answers { 2 } else { 1 };
        self.unacknowledged
            .values()
            .flat_map(|finished| {
                let report = finished.report(with_task, &self.faults);
                std::iter::repeat_n(report, copies)
            })
            .collect()
    }

    fn usage(&self, now: time::Instant) -> Vec<model::RunUsage> {
        self.running
            .values()
            .filter(|run| run.started_at + self.config.usage_lag <= now)
            .map(|run| model::RunUsage {
                run: run.start.run,
                used: run.used(),
            })
            .collect()
    }

    /// Releases the lease; its runs continue for the grace time.
    pub(in crate::worker) fn release(&mut self, token: LeaseToken<'_>, now: time::Instant) {
        if !self.is_current_token(token, now) {
            return;
        }
        if let Some(lease) = &mut self.lease {
            lease.expires_at = now;
        }
        self.changes += 1;
    }
}
