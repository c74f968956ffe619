//! Carries out the actions of the owner state machine.

use std::time;

use crate::control::effect;
use crate::control::shares;
use crate::control::state;

/// Timeout of a fence or a hand-over sent to a peer.
const OWNER_CALL_TIMEOUT: time::Duration = time::Duration::from_millis(1500);
/// Timeout of a withdrawal sent to a peer.
const WITHDRAW_TIMEOUT: time::Duration = time::Duration::from_millis(3000);

impl state::Control {
    /// Passes an event to the owner state machine and carries out the resulting actions.
    pub(super) fn owner_event(&mut self, event: owner::Event, now: time::Instant) {
        match &event {
            owner::Event::TableRead { table, .. } => self.raise_fences(table),
            owner::Event::PeerTableReceived { table, newer, .. } => {
                self.raise_fences(table);
                for (partition, tenure) in newer {
                    self.fences.raise(*partition, tenure.generation);
                }
            }
            _ => {}
        }
        for action in self.owner.handle_event(event, now) {
            self.owner_action(action, now);
        }
    }

    /// Fences the generations that `table` shows to be superseded.
    fn raise_fences(&mut self, table: &model::PartitionTable) {
        for (partition, tenure) in (0..).zip(&table.tenures) {
            self.fences.raise(partition, tenure.generation);
        }
    }

    fn owner_action(&mut self, action: owner::Action, now: time::Instant) {
        match action {
            owner::Action::Answer { request_id, answer } => {
                if !self.on_owner_answer(request_id, answer.clone(), now) {
                    self.respond_with_owner_answer(request_id, answer);
                }
            }
            owner::Action::Enqueue(task) => self.enqueue(task, now),
            owner::Action::Unqueue { task_id } => {
                self.queue.cancel(task_id);
            }
            owner::Action::Withdraw { holder, run } => self.withdraw(holder, run, now),
            owner::Action::ReadTable => self.push_effect(effect::Effect::ReadTable),
            owner::Action::WriteTable {
                table,
                expected_revision,
            } => self.push_effect(effect::Effect::WriteTable {
                table,
                expected_revision,
            }),
            owner::Action::Fence { to, partitions } => self.fence(to, partitions, now),
            owner::Action::WriteJournal {
                batch_id,
                table_revision,
                entries,
                deletes,
            } => self.push_effect(effect::Effect::WriteJournal {
                batch_id,
                table_revision,
                entries,
                deletes,
            }),
            owner::Action::ReadJournal { partition } => {
                self.push_effect(effect::Effect::ReadJournal { partition });
            }
            owner::Action::Delegate {
                to,
                partitions,
                started,
                queued,
            } => {
                let request = model::PeerRequest::Delegate {
                    partitions,
                    started,
                    queued,
                };
                let context = effect::CallContext::Delegate { to: to.clone() };
                if !self.call(&to, request, OWNER_CALL_TIMEOUT, context) {
                    self.owner_event(owner::Event::DelegateRefused { to }, now);
                }
            }
            owner::Action::Settled(settled) => self.on_task_settled(&settled, now),
            owner::Action::ResourcesFreed { task } => self.shares.release(&task),
            owner::Action::Adopted { task } => self.shares.acquire_unchecked(&task),
            owner::Action::Serving { partitions, grants } => {
                log::info!("serving partitions={}", partitions.len());
                self.start_granting(&partitions, grants, now);
            }
            owner::Action::Superseded { partitions } => {
                log::info!("superseded partitions={}", partitions.len());
                self.stop_granting(&partitions);
            }
        }
    }

    fn enqueue(&mut self, task: owner::QueuedTask, now: time::Instant) {
        let task_id = task.task.task_id;
        let queued = place::Queued {
            task: task.task,
            attempt: task.attempt,
            generation: task.generation,
            accepted_at: task.accepted_at,
            deadline: task.deadline,
            checkpoint: task.checkpoint,
            excluded_instances: Vec::new(),
        };
        if queued.attempt == 1
            && let Some(refusal) = self.check_admission(&queued, now)
        {
            let event = owner::Event::QueueRefused {
                task_id,
                reason: refusal.reason,
                retry_after: (!refusal.retry_after.is_zero()).then_some(refusal.retry_after),
            };
            self.owner_event(event, now);
            return;
        }
        self.queue.push(queued, now);
    }

    fn check_admission(
        &mut self,
        queued: &place::Queued,
        now: time::Instant,
    ) -> Option<place::Refusal> {
        if let Some(reason) = self.check_plan(&queued.task) {
            return Some(place::Refusal {
                reason,
                retry_after: time::Duration::ZERO,
            });
        }
        let remaining = queued.deadline.saturating_duration_since(now);
        self.queue.admit(&queued.task, remaining, now).err()
    }

    fn check_plan(&self, task: &model::Task) -> Option<model::NotRunReason> {
        let lists = self.lists.lists();
        let plan = lists.plans().get(&task.plan_id)?;
        if !plan.classes.contains(&task.spec.class) {
            return Some(model::NotRunReason::ClassNotAllowed);
        }
        let amount = shares::amount_of(task);
        let limits = shares::limits_of(plan);
        if shares::exceeds(&amount, &limits) {
            return Some(model::NotRunReason::ExceedsPlanLimit);
        }
        None
    }

    fn withdraw(&mut self, holder: model::InstanceId, run: model::TaskAttempt, now: time::Instant) {
        self.metrics.count("run.withdraw");
        if self.is_self(&holder) {
            self.withdraw_local(run, None, now);
            return;
        }
        let request = model::PeerRequest::Withdraw { run };
        let context = effect::CallContext::Withdraw {
            holder: holder.clone(),
            run,
        };
        if !self.call(&holder, request, WITHDRAW_TIMEOUT, context) {
            self.owner_event(owner::Event::WithdrawFailed { run, holder }, now);
        }
    }

    fn fence(
        &mut self,
        to: model::InstanceId,
        partitions: Vec<(model::Partition, model::Generation)>,
        now: time::Instant,
    ) {
        if self.is_self(&to) {
            let ack = self.fence_local(&partitions);
            let event = owner::Event::FenceAcked {
                from: to,
                partitions,
                ack,
            };
            self.owner_event(event, now);
            return;
        }
        let request = model::PeerRequest::Fence {
            partitions: partitions.clone(),
        };
        let context = effect::CallContext::Fence {
            holder: to.clone(),
            partitions,
        };
        if !self.call(&to, request, OWNER_CALL_TIMEOUT, context) {
            self.owner_event(owner::Event::FenceFailed { from: to }, now);
        }
    }

    fn on_task_settled(&mut self, settled: &owner::SettledTask, now: time::Instant) {
        let task = &settled.task;
        match &settled.outcome {
            model::Outcome::Done(_) => self.metrics.count("task.done"),
            model::Outcome::NotRun(reason) => self.metrics.count(&format!("refused.{reason}")),
            model::Outcome::Unknown(reason) => self.metrics.count(&format!("unknown.{reason}")),
        }
        for run in &settled.runs {
            if run.worker_fault {
                continue;
            }
            self.queue.record_finished(
                &task.customer_id,
                &task.spec.kind,
                time::Duration::from_millis(run.run_ms),
                run.peak,
                task.spec.demand,
                now,
            );
        }
    }
}
