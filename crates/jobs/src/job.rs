//! The state of one job.

use std::sync;
use std::time;

use crate::blocked;
use crate::manifest;
use crate::maps;
use crate::record;
use crate::speculation;
use crate::speed;
use crate::tickets;
use crate::worker_quality;

/// Identifies a request; returned with the reply to it.
pub type RequestToken = u64;

/// A job that has not ended, or whose end is not stored yet.
#[derive(Debug)]
pub(crate) struct JobState {
    pub(crate) job: sync::Arc<model::Job>,
    /// Its queue when the job was accepted.
    pub(crate) accepted_queue: sync::Arc<manifest::Queue>,
    pub(crate) accepted_at_ms: u64,
    /// Tenant that submitted it; `None` if it was accepted without an API key.
    pub(crate) tenant: Option<model::TenantName>,
    /// Whether its tenant submitted it beyond the rate that it is owed.
    pub(crate) is_beyond_rate: bool,
    /// Time from acceptance, or from the due time of an occurrence, within which it should end, in
    /// milliseconds.
    pub(crate) objective_ms: u64,
    pub(crate) occurrences: Vec<Occurrence>,
    /// The outcome once it is decided; never changes after that.
    pub(crate) outcome: Option<model::JobStatus>,
    /// Whether the definition is in the store.
    pub(crate) is_stored: bool,
    /// Whether the next segment must contain the definition again.
    pub(crate) needs_definition: bool,
    /// Whether the store has refused its record, so that only its end is written.
    pub(crate) is_unwritable: bool,
    /// Encoded size of the definition.
    pub(crate) definition_bytes: usize,
    /// Encoded size of the definition and the newest progress that was written.
    pub(crate) record_bytes: usize,
    /// The outcome that is in the store; callers see only this one.
    pub(crate) stored_outcome: Option<model::JobStatus>,
    /// Whether a task has ever started.
    pub(crate) started: bool,
    /// Effects to apply once the next batch with this job is committed.
    pub(crate) effects: Vec<Effect>,
}

/// An effect that must wait for a commit.
#[derive(Clone, Debug)]
pub(crate) enum Effect {
    /// Answers a caller.
    Reply(RequestToken, model::JobReply),
    /// Sends the start order of a run.
    SendStart(model::WorkerIncarnation, model::RunKey),
    /// Allows a worker to forget an end.
    ForgetEnd(model::WorkerIncarnation, u64),
}

/// One repetition of a job's steps.
#[derive(Debug)]
pub(crate) struct Occurrence {
    /// When it is due, in milliseconds since 1970; `None` without a schedule.
    pub(crate) due_at_ms: Option<u64>,
    pub(crate) steps: Vec<StepState>,
}

/// The tasks of a step.
#[derive(Debug, Default)]
pub(crate) struct StepState {
    pub(crate) tasks: Vec<TaskState>,
    /// Number of tasks that are done.
    pub(crate) done_count: u32,
    /// Number of tasks that wait to be placed.
    pub(crate) waiting_count: u32,
    pub(crate) tickets: tickets::Tickets,
    /// Failed runs by worker, so that a retry prefers another worker.
    pub(crate) failures_by_worker: maps::IndexMap<model::WorkerId, u32>,
    /// Run of a gang of which a member has saved a checkpoint when it was stopped.
    pub(crate) stopped_run: Option<model::RunNumber>,
    /// Since when waiting tasks could not be placed for lack of capacity or advice.
    pub(crate) blocked_since: Option<time::Instant>,
    /// Run times of the tasks that are done, in milliseconds; only of steps that may be copied, and
    /// since the term began.
    pub(crate) done_ms: Vec<u64>,
    /// Set while tasks wait and no run of the step has started since.
    pub(crate) wait: Option<blocked::Wait>,
    /// Set while tasks wait for the fate of a worker, whatever other tasks of the step do; decides only
    /// what is reported.
    pub(crate) awaits_verdict: Option<blocked::ReportTimes>,
    /// Rates of its runs, with which the workers are compared.
    pub(crate) rates: speed::StepRates,
    /// Failures of its runs that may yet turn out to be their workers'.
    pub(crate) unassigned_blame: worker_quality::UnassignedBlame,
}

/// One task.
#[derive(Clone, Debug, Default)]
pub(crate) struct TaskState {
    pub(crate) phase: Phase,
    /// Number of its latest run; 0 before the first.
    pub(crate) last_run: model::RunNumber,
    /// Runs that failed; those of a gang are recorded at its first task.
    pub(crate) failed_runs: Vec<model::RunNumber>,
    /// Latest checkpoint; that of a gang is recorded at its first task.
    pub(crate) checkpoint: Option<sync::Arc<str>>,
    /// Whether the incarnation of its phase is known to have executed the start order of the latest run, and
    /// no copy of the order is pending: no other incarnation can have the run.
    pub(crate) is_confirmed: bool,
    /// A second run, beside the latest one; `None` unless the task is placed.
    pub(crate) copy: Option<Box<speculation::Copy>>,
}

/// Phase of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It waits to be placed.
    #[default]
    Waiting,
    /// Its latest run belongs to this incarnation of a worker.
    Placed(model::WorkerIncarnation),
    /// It is done.
    Done,
}

impl JobState {
    /// Creates a job that is not stored yet and of which no task has started.
    pub(crate) fn new(
        job: sync::Arc<model::Job>,
        queue: sync::Arc<manifest::Queue>,
        accepted_at_ms: u64,
    ) -> Self {
        let occurrences = occurrences_of(&job);
        let objective_ms = objective_ms(&job, &queue);
        let mut state = Self {
            job,
            accepted_queue: queue,
            accepted_at_ms,
            tenant: None,
            is_beyond_rate: false,
            objective_ms,
            occurrences,
            outcome: None,
            is_stored: false,
            needs_definition: false,
            is_unwritable: false,
            definition_bytes: 0,
            record_bytes: 0,
            stored_outcome: None,
            started: false,
            effects: Vec::new(),
        };
        state.definition_bytes = record::encode(&state.definition()).len();
        state.record_bytes = state.definition_bytes + record::encode(&state.progress()).len();
        state
    }

    /// Sets the tenant that submitted the job.
    pub(crate) fn with_tenant(mut self, tenant: Option<model::TenantName>) -> Self {
        self.tenant = tenant;
        self
    }

    /// Restores a job from the store; `progress` must be [`record::Progress::Open`].
    pub(crate) fn restore(definition: record::Definition, progress: record::Progress) -> Self {
        let mut state = Self::new(
            sync::Arc::new(definition.job),
            sync::Arc::new(definition.queue),
            definition.accepted_at_ms,
        );
        state.is_stored = true;
        let record::Progress::Open {
            outcome,
            started,
            incarnations,
            tasks,
        } = progress
        else {
            return state;
        };
        state.outcome = outcome;
        state.stored_outcome = outcome;
        state.started = started;
        let steps = state.occurrences.iter_mut().flat_map(|one| &mut one.steps);
        let mut records = tasks.into_iter();
        for step in steps {
            for (task, record) in step.tasks.iter_mut().zip(&mut records) {
                *task = restore_task(record, &incarnations);
            }
            step.count_phases();
        }
        state
    }

    /// Returns the progress to store.
    pub(crate) fn progress(&self) -> record::Progress {
        let mut incarnations = record::IncarnationTable::default();
        let steps = self.occurrences.iter().flat_map(|one| &one.steps);
        let tasks = steps
            .flat_map(|step| &step.tasks)
            .map(|task| record_of(task, &mut incarnations))
            .collect();
        record::Progress::Open {
            outcome: self.outcome,
            started: self.started,
            incarnations: incarnations.into_vec(),
            tasks,
        }
    }

    /// Returns the definition to store.
    pub(crate) fn definition(&self) -> record::Definition {
        record::Definition {
            job: (*self.job).clone(),
            queue: (*self.accepted_queue).clone(),
            accepted_at_ms: self.accepted_at_ms,
        }
    }

    /// Returns the tenant and the queue; `None` without a tenant.
    pub(crate) fn owner(&self) -> Option<record::Owner> {
        let tenant = self.tenant.as_ref()?;
        Some(record::Owner {
            tenant: model::TenantName::clone(tenant),
            queue: sync::Arc::clone(&self.job.queue),
        })
    }

    /// Returns the status that callers see.
    pub(crate) fn status(&self) -> model::JobStatus {
        match self.stored_outcome {
            Some(outcome) => outcome,
            None if self.started => model::JobStatus::Running,
            None => model::JobStatus::Pending,
        }
    }

    pub(crate) fn step(&self, key: model::StepKey) -> Option<(&model::Step, &StepState)> {
        let step = self.job.steps.get(usize::from(key.step))?;
        let occurrence = self.occurrences.get(key.occurrence as usize)?;
        Some((step, occurrence.steps.get(usize::from(key.step))?))
    }

    pub(crate) fn step_mut(
        &mut self,
        key: model::StepKey,
    ) -> Option<(&model::Step, &mut StepState)> {
        let step = self.job.steps.get(usize::from(key.step))?;
        let occurrence = self.occurrences.get_mut(key.occurrence as usize)?;
        Some((step, occurrence.steps.get_mut(usize::from(key.step))?))
    }

    /// Returns whether every step that `key` depends on is done.
    pub(crate) fn is_ready(&self, key: model::StepKey) -> bool {
        let Some((step, _)) = self.step(key) else {
            return false;
        };
        step.after.iter().all(|before| {
            let before = model::StepKey {
                step: *before,
                ..key
            };
            self.step(before).is_some_and(|(_, state)| state.is_done())
        })
    }

    /// Returns whether every task of every occurrence is done.
    pub(crate) fn is_done(&self) -> bool {
        let mut steps = self.occurrences.iter().flat_map(|one| &one.steps);
        steps.all(StepState::is_done)
    }

    /// Returns whether any task is placed, so that a run may exist.
    pub(crate) fn has_runs(&self) -> bool {
        let mut steps = self.occurrences.iter().flat_map(|one| &one.steps);
        steps.any(|step| {
            let mut phases = step.tasks.iter().map(|task| &task.phase);
            phases.any(|phase| matches!(phase, Phase::Placed(_)))
        })
    }

    /// Returns every run that may exist, with the incarnation of its worker.
    pub(crate) fn placed_runs(&self) -> Vec<(model::WorkerIncarnation, model::RunKey)> {
        let mut runs = Vec::new();
        for key in self.step_keys() {
            let Some((_, step)) = self.step(key) else {
                continue;
            };
            for (index, task) in step.tasks.iter().enumerate() {
                if let Phase::Placed(incarnation) = &task.phase {
                    let task_key = model::TaskKey {
                        job_id: key.job_id,
                        occurrence: key.occurrence,
                        step: key.step,
                        index: u32::try_from(index).unwrap_or(u32::MAX),
                    };
                    let run = model::RunKey {
                        task: task_key,
                        run: task.last_run,
                    };
                    runs.push((incarnation.clone(), run));
                    runs.extend(task.copied_run(task_key));
                }
            }
        }
        runs
    }

    /// Returns whether a run is the latest one of its task and confirmed.
    pub(crate) fn is_confirmed(&self, run: model::RunKey) -> bool {
        let step = self.step(run.task.step_key());
        let task = step.and_then(|(_, step)| step.tasks.get(run.task.index as usize));
        task.is_some_and(|task| task.last_run == run.run && task.is_confirmed)
    }

    /// Marks a run as confirmed if it is the latest one of its task, on `incarnation`; returns whether that
    /// is new.
    pub(crate) fn confirm_run(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        run: model::RunKey,
    ) -> bool {
        let step = self.step_mut(run.task.step_key());
        let task = step.and_then(|(_, step)| step.tasks.get_mut(run.task.index as usize));
        let Some(task) = task else {
            return false;
        };
        let is_placed = matches!(&task.phase, Phase::Placed(on) if on == incarnation);
        let is_new = is_placed && task.last_run == run.run && !task.is_confirmed;
        task.is_confirmed |= is_new;
        is_new
    }

    /// Returns the confirmed runs to store; `None` if there are none.
    pub(crate) fn confirmations(&self) -> Option<record::JobConfirmations> {
        let steps = self.occurrences.iter().flat_map(|one| &one.steps);
        let tasks = (0..).zip(steps.flat_map(|step| &step.tasks));
        let tasks = tasks.filter(|(_, task)| task.is_confirmed);
        let tasks: Vec<u32> = tasks.map(|(position, _)| position).collect();
        (!tasks.is_empty()).then_some(record::JobConfirmations {
            job_id: self.job.id,
            tasks,
        })
    }

    /// Restores the stored confirmed runs.
    pub(crate) fn restore_confirmations(&mut self, stored: &record::JobConfirmations) {
        let steps = self.occurrences.iter_mut().flat_map(|one| &mut one.steps);
        let tasks = (0..).zip(steps.flat_map(|step| &mut step.tasks));
        let mut positions = stored.tasks.iter().peekable();
        for (position, task) in tasks {
            if positions.next_if_eq(&&position).is_some() {
                task.is_confirmed = matches!(task.phase, Phase::Placed(_));
            }
        }
    }

    /// Returns the keys of all steps.
    pub(crate) fn step_keys(&self) -> Vec<model::StepKey> {
        let job_id = self.job.id;
        let occurrences = self.occurrences.iter().enumerate();
        let keys = occurrences.flat_map(|(occurrence, state)| {
            (0..state.steps.len()).map(move |step| model::StepKey {
                job_id,
                occurrence: u32::try_from(occurrence).unwrap_or(u32::MAX),
                step: u16::try_from(step).unwrap_or(u16::MAX),
            })
        });
        keys.collect()
    }
}

impl StepState {
    /// Returns whether every task is done.
    pub(crate) fn is_done(&self) -> bool {
        self.done_count as usize == self.tasks.len()
    }

    /// Changes the phase of a task.
    pub(crate) fn set_phase(&mut self, index: u32, phase: Phase) {
        let Some(task) = self.tasks.get_mut(index as usize) else {
            return;
        };
        match task.phase {
            Phase::Waiting => self.waiting_count -= 1,
            Phase::Done => self.done_count -= 1,
            Phase::Placed(_) => {}
        }
        match phase {
            Phase::Waiting => self.waiting_count += 1,
            Phase::Done => self.done_count += 1,
            Phase::Placed(_) => {}
        }
        task.phase = phase;
        task.is_confirmed = false;
    }

    fn count_phases(&mut self) {
        let count = |wanted: &Phase| {
            let tasks = self.tasks.iter();
            let number = tasks.filter(|task| task.phase == *wanted).count();
            u32::try_from(number).unwrap_or(u32::MAX)
        };
        (self.done_count, self.waiting_count) = (count(&Phase::Done), count(&Phase::Waiting));
    }
}

/// Returns the time within which a job should end, in milliseconds, by the caller's estimates: its
/// critical path times the queue's stretch, plus the queue's target latency.
fn objective_ms(job: &model::Job, queue: &manifest::Queue) -> u64 {
    let mut ends_ms: Vec<u64> = Vec::with_capacity(job.steps.len());
    for step in &job.steps {
        let before = step.after.iter().map(|one| ends_ms[usize::from(*one)]);
        ends_ms.push(before.max().unwrap_or_default() + u64::from(step.estimated_ms));
    }
    let critical_path_ms = ends_ms.into_iter().max().unwrap_or_default();
    // Truncation is fine: the estimates are rough.
    (queue.stretch * critical_path_ms as f64) as u64 + queue.target_latency.as_millis() as u64
}

fn occurrences_of(job: &model::Job) -> Vec<Occurrence> {
    let steps = || {
        let steps = job.steps.iter().map(|step| StepState {
            tasks: vec![TaskState::default(); step.task_count as usize],
            waiting_count: step.task_count,
            ..StepState::default()
        });
        steps.collect()
    };
    let Some(schedule) = job.schedule else {
        return vec![Occurrence {
            due_at_ms: None,
            steps: steps(),
        }];
    };
    let due_at_ms = |number: u32| schedule.first_at_ms + u64::from(number) * schedule.period_ms;
    let occurrences = (0..schedule.occurrence_count).map(|number| Occurrence {
        due_at_ms: Some(due_at_ms(number)),
        steps: steps(),
    });
    occurrences.collect()
}

fn record_of(task: &TaskState, incarnations: &mut record::IncarnationTable) -> record::TaskRecord {
    record::TaskRecord {
        phase: match &task.phase {
            Phase::Waiting => record::PhaseRecord::Waiting,
            Phase::Placed(incarnation) => {
                record::PhaseRecord::Placed(incarnations.index_of(incarnation))
            }
            Phase::Done => record::PhaseRecord::Done,
        },
        last_run: task.last_run,
        failed_runs: task.failed_runs.clone(),
        checkpoint: task.checkpoint.clone(),
    }
}

fn restore_task(
    record: record::TaskRecord,
    incarnations: &[model::WorkerIncarnation],
) -> TaskState {
    let phase = match record.phase {
        record::PhaseRecord::Waiting => Phase::Waiting,
        record::PhaseRecord::Done => Phase::Done,
        record::PhaseRecord::Placed(index) => incarnations
            .get(usize::from(index))
            .map_or(Phase::Waiting, |incarnation| {
                Phase::Placed(incarnation.clone())
            }),
    };
    TaskState {
        phase,
        last_run: record.last_run,
        failed_runs: record.failed_runs,
        checkpoint: record.checkpoint,
        is_confirmed: false,
        copy: None,
    }
}
