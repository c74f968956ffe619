//! Recovery of the scheduler's state by a new leader.
//!
//! The stored records tell which run may exist on which worker. A worker that has answered under
//! the new term rejects orders of earlier leaders, so that its listing is complete; on any other
//! worker a run may exist until the lease that an earlier leader may have granted has expired.

use std::collections;
use std::time;

use crate::advisors;
use crate::blocked;
use crate::cancel_marks;
use crate::crashes;
use crate::draining;
use crate::ended;
use crate::event;
use crate::job;
use crate::journal;
use crate::kept_runs;
use crate::manifest;
use crate::maps;
use crate::pass;
use crate::priority_preemption;
use crate::quarantine;
use crate::record;
use crate::reservations;
use crate::restarts;
use crate::scheduler;
use crate::settings;
use crate::speculation;
use crate::speed_tracking;
use crate::takeover;
use crate::tenancy;
use crate::worker;
use crate::workers;

/// Collects the stored records, then builds the scheduler of a new term.
#[derive(Debug, Default)]
pub struct Recovery {
    /// Records of each segment, in the order of the ids.
    segments: collections::BTreeMap<record::SegmentId, Vec<record::JobRecord>>,
    /// Lost runs in each segment, by job.
    losses: collections::BTreeMap<record::SegmentId, Vec<record::JobLosses>>,
    /// Copies of tasks in each segment, by job.
    copies: collections::BTreeMap<record::SegmentId, Vec<record::JobCopies>>,
    /// Confirmed runs in each segment, by job.
    confirmations: collections::BTreeMap<record::SegmentId, Vec<record::JobConfirmations>>,
    /// Tenants of the jobs in each segment.
    owners: collections::BTreeMap<record::SegmentId, Vec<record::OwnedJobs>>,
    /// Size of each segment in bytes.
    sizes: collections::BTreeMap<record::SegmentId, usize>,
    archives: Vec<Archive>,
    /// Cancels of unknown jobs, as stored.
    cancels: Option<Vec<u8>>,
}

/// Archived outcomes with their key.
#[derive(Debug)]
struct Archive {
    key: String,
    outcomes: record::Outcomes,
    owners: Vec<record::OwnedJobs>,
}

impl Recovery {
    /// Adds a key and value of the store; keys of other kinds are ignored.
    ///
    /// # Errors
    ///
    /// Returns the decoder's message if the value cannot be decoded.
    pub fn add(&mut self, key: &str, value: &[u8]) -> Result<(), String> {
        if let Some(id) = record::SegmentId::from_key(key, record::SEGMENT_PREFIX) {
            let segment = record::decode_segment(value)?;
            self.segments.insert(id, segment.records);
            self.losses.insert(id, segment.losses);
            self.copies.insert(id, segment.copies);
            self.confirmations.insert(id, segment.confirmations);
            self.owners.insert(id, segment.owners);
            self.sizes.insert(id, value.len());
        } else if key.starts_with(record::OUTCOME_PREFIX) {
            let (outcomes, owners) = record::decode_outcomes(value)?;
            self.archives.push(Archive {
                key: key.to_owned(),
                outcomes,
                owners,
            });
        } else if key == cancel_marks::CANCELS_KEY {
            self.cancels = Some(value.to_vec());
        }
        Ok(())
    }

    /// Builds the scheduler of a term.
    #[must_use]
    pub fn build(
        mut self,
        settings: settings::Settings,
        takeover: takeover::Takeover,
        clock: event::Clock,
    ) -> scheduler::Scheduler {
        let successor_horizon = restarts::successor_horizon(&settings);
        let earlier_authority_ends_at = takeover.earlier_authority_ends_at();
        let mut scheduler = scheduler::Scheduler {
            settings,
            term: takeover.term,
            takeover,
            authority_until: takeover.authority_until,
            manifest: manifest::Manifest::default(),
            jobs: maps::IndexMap::default(),
            ended: maps::IndexMap::default(),
            workers: maps::IndexMap::default(),
            newest_incarnations: maps::HashMap::default(),
            advisors: advisors::Advisors::default(),
            reservations: reservations::Reservations::default(),
            priority_preemptions: priority_preemption::PriorityPreemptions::default(),
            waiting: collections::BTreeSet::new(),
            changed_steps: maps::HashSet::default(),
            scheduled: collections::BTreeSet::new(),
            crashes: crashes::Crashes::default(),
            drains: draining::Drains::default(),
            copies: speculation::Copies::default(),
            moved_runs: 0,
            earlier_orders_end_at: match takeover.is_first_term() {
                true => clock.now,
                false => earlier_authority_ends_at + successor_horizon,
            },
            last_renewal: 0,
            runs_kept_beyond_lease: 0,
            starts_on_other_incarnations: 0,
            ends_after_next_start: 0,
            journal: journal::Journal::default(),
            cancel_marks: cancel_marks::CancelMarks::default(),
            ended_job_effects: Vec::new(),
            actions: Vec::new(),
            store_reachable: true,
            store_lost_at: None,
            placement_needed: true,
            last_placement_at: None,
            sweep: pass::Sweep::default(),
            placement_visits: 0,
            tenancy: tenancy::Tenancy::default(),
            block_reports: blocked::BlockReports::default(),
            kept_run_reports: kept_runs::KeptRunReports::default(),
            withheld_starts: maps::IndexMap::default(),
            lost_runs: maps::IndexMap::default(),
            speeds: speed_tracking::SpeedTracking::default(),
            quarantines: quarantine::Quarantines::default(),
        };
        let mut definitions = maps::IndexMap::default();
        let mut progress = maps::IndexMap::default();
        let mut losses = maps::IndexMap::default();
        let mut copies = maps::IndexMap::default();
        let mut confirmations = maps::IndexMap::default();
        let mut owners = maps::IndexMap::default();
        for (id, records) in self.segments {
            let bytes = self.sizes.get(&id).copied().unwrap_or_default();
            scheduler.journal.segments.add(id, bytes);
            for record in records {
                let is_ended = matches!(record.progress, record::Progress::Ended(_));
                let has_definition = record.definition.is_some();
                let segments = &mut scheduler.journal.segments;
                segments.add_record(id, record.job_id, has_definition, is_ended);
                if let Some(definition) = record.definition {
                    // An earlier job with this id may have had a tenant.
                    owners.swap_remove(&record.job_id);
                    definitions.insert(record.job_id, definition);
                }
                progress.insert(record.job_id, record.progress);
                losses.swap_remove(&record.job_id);
                copies.swap_remove(&record.job_id);
                confirmations.swap_remove(&record.job_id);
            }
            let stored = self.losses.remove(&id).unwrap_or_default();
            losses.extend(stored.into_iter().map(|one| (one.job_id, one)));
            let stored = self.copies.remove(&id).unwrap_or_default();
            copies.extend(stored.into_iter().map(|one| (one.job_id, one)));
            let stored = self.confirmations.remove(&id).unwrap_or_default();
            confirmations.extend(stored.into_iter().map(|one| (one.job_id, one)));
            let stored = self.owners.remove(&id).unwrap_or_default();
            owners.extend(record::owners_by_job(stored));
        }
        scheduler.restore_outcomes(self.archives, &mut progress, &mut owners);
        for (job_id, progress) in progress {
            match progress {
                record::Progress::Ended(ending) => {
                    let owner = owners.swap_remove(&job_id);
                    scheduler
                        .ended
                        .insert(job_id, ended::EndedJob { ending, owner });
                }
                record::Progress::Open { .. } => {
                    let Some(definition) = definitions.swap_remove(&job_id) else {
                        log::error!(
                            job:% = journal::job_id_hex(job_id);
                            "job skipped in recovery: its stored records have no definition"
                        );
                        continue;
                    };
                    let owner: Option<record::Owner> = owners.swap_remove(&job_id);
                    let mut state = job::JobState::restore(definition, progress)
                        .with_tenant(owner.map(|owner| owner.tenant));
                    if let Some(stored) = copies.swap_remove(&job_id) {
                        state.restore_copies(stored);
                    }
                    if let Some(stored) = confirmations.swap_remove(&job_id) {
                        state.restore_confirmations(&stored);
                    }
                    scheduler.jobs.insert(job_id, state);
                    if let Some(losses) = losses.swap_remove(&job_id) {
                        scheduler.crashes.restore(losses, clock.now);
                    }
                }
            }
        }
        scheduler
            .ended
            .sort_by_key(|job_id, ended| (ended.ending.ended_at_ms, *job_id));
        scheduler.journal.segments.collect_garbage();
        if let Some(cancels) = &self.cancels
            && let Err(cause) = scheduler.cancel_marks.restore(cancels, clock)
        {
            log::error!(cause; "stored cancels of unknown jobs cannot be decoded");
        }
        scheduler.inherit_runs(earlier_authority_ends_at, clock);
        scheduler
    }
}

impl scheduler::Scheduler {
    /// Restores archived outcomes, which take precedence over segments with the same jobs.
    fn restore_outcomes(
        &mut self,
        archives: Vec<Archive>,
        progress: &mut maps::IndexMap<model::JobId, record::Progress>,
        owners: &mut maps::IndexMap<model::JobId, record::Owner>,
    ) {
        for archive in archives {
            owners.extend(record::owners_by_job(archive.owners));
            let newest = archive
                .outcomes
                .iter()
                .map(|(_, ending)| ending.ended_at_ms)
                .max();
            self.journal
                .segments
                .add_archive(archive.key, newest.unwrap_or_default());
            for (job_id, ending) in archive.outcomes {
                progress.swap_remove(&job_id);
                self.journal.segments.remove_job(job_id);
                let owner = owners.swap_remove(&job_id);
                let ended = ended::EndedJob { ending, owner };
                self.ended.insert(job_id, ended);
            }
        }
    }

    /// Adds every run that an earlier leader may have started.
    fn inherit_runs(&mut self, authority_ends_at: time::Instant, clock: event::Clock) {
        let lease =
            takeover::InheritedLease::new(&self.takeover, authority_ends_at, &self.settings);
        let mut inherited = Vec::new();
        for state in self.jobs.values() {
            let tenant = self.tenancy.enter(state.tenant.as_ref());
            for (incarnation, run) in state.placed_runs() {
                let step = state.step(run.task.step_key());
                let demand = step.map(|(step, _)| workers::counted_demand(step));
                let is_over = state.outcome.is_some();
                let phase = if is_over {
                    worker::RunPhase::Stopping(clock.now)
                } else {
                    worker::RunPhase::Inherited
                };
                let mut inherited_run =
                    worker::WorkerRun::new(demand.unwrap_or_default(), phase, clock.now)
                        .with_tenant(tenant)
                        .with_proof(state.is_confirmed(run));
                if let Some((step, _)) = step {
                    inherited_run = inherited_run.with_sharing_of(step);
                }
                inherited_run.percent = None;
                inherited.push((incarnation, run, inherited_run));
            }
        }
        log::info!(
            term = self.term,
            segments = self.journal.segments.len(),
            segment_bytes = self.journal.segments.bytes(),
            open_jobs = self.jobs.len(),
            ended_jobs = self.ended.len(),
            runs = inherited.len();
            "state recovered from the store"
        );
        for (incarnation, key, run) in inherited {
            let worker = self
                .workers
                .entry(incarnation)
                .or_insert_with(|| worker::Worker::new(clock.now));
            worker.inherited = Some(lease);
            if run.fills_idle {
                worker.throttling.reset_to_inherited();
            }
            worker.add_run(key, run, &mut self.tenancy.usage);
        }
        for job_id in self.jobs.keys().copied().collect::<Vec<_>>() {
            self.enqueue(job_id, clock);
            let is_over = self
                .jobs
                .get(&job_id)
                .is_some_and(|state| state.outcome.is_some());
            if is_over {
                self.journal.mark_dirty(job_id);
            }
        }
    }
}
