//! A worker that keeps the contract with the leader: fences, leases, tombstones, lists.

use std::collections;
use std::sync;

/// What a worker has unless it is said otherwise.
pub(crate) const CAPACITY: model::Demand = model::Demand {
    processors_milli: 8_000,
    memory_mb: 16_000,
    accelerators: 0,
};
/// How long a stopped run still takes its room, in milliseconds.
const STOP_MS: u64 = 200;

#[derive(Debug)]
struct Run {
    demand: model::Demand,
    began_at_ms: u64,
    ends_at_ms: u64,
    end: jobs::RunEnd,
    /// Work that was saved before, in milliseconds; `None` if the task saves none.
    resumed_ms: Option<u64>,
    fills_idle: bool,
    /// Bound of the tail of the task's own users, in milliseconds.
    target_ms: Option<u32>,
    /// Share of the processors left idle, in percent.
    percent: u32,
    /// Since when the tail is above its bound through filling runs, in milliseconds.
    harmed_since_ms: Option<u64>,
}

/// Time between two savings, in milliseconds of work.
const SAVE_MS: u64 = 500;

impl Run {
    /// Returns what is saved at a time.
    fn checkpoint(&self, task: model::TaskKey, now_ms: u64) -> Option<sync::Arc<str>> {
        let worked_ms = now_ms.min(self.ends_at_ms) - self.began_at_ms;
        let saved_ms = self.resumed_ms? + worked_ms / SAVE_MS * SAVE_MS;
        let text = || format!("{saved_ms}-{}-{}", task.job_id, task.index).into();
        (saved_ms > 0).then(text)
    }
}

/// Returns the work that a checkpoint stands for, in milliseconds.
pub(crate) fn saved_ms(checkpoint: &str) -> u64 {
    let (saved_ms, _) = checkpoint.split_once('-').unwrap_or_default();
    saved_ms.parse().unwrap_or_default()
}

pub(crate) struct FakeWorker {
    pub(crate) life: model::WorkerLife,
    pub(crate) is_up: bool,
    /// Whether no call arrives, while runs go on.
    pub(crate) is_cut: bool,
    pub(crate) draining: bool,
    pub(crate) capacity: model::Demand,
    /// Part of its bound by which one filling run raises the tail of a serving one.
    pub(crate) disturbance: f64,
    fence: model::Term,
    lease_end_ms: u64,
    runs: indexmap::IndexMap<model::RunKey, Run>,
    ended: Vec<jobs::EndedRow>,
    last_sequence: u64,
    /// Highest run of a task that was stopped or has ended.
    closed: collections::HashMap<model::TaskKey, model::RunNumber>,
}

impl FakeWorker {
    pub(crate) fn new(number: usize) -> Self {
        Self::in_life(format!("w{number}").into(), 1)
    }

    fn in_life(worker_id: model::WorkerId, born_ms: u64) -> Self {
        Self {
            life: model::WorkerLife { worker_id, born_ms },
            is_up: true,
            is_cut: false,
            draining: false,
            capacity: CAPACITY,
            disturbance: 0.0,
            fence: 0,
            lease_end_ms: 0,
            runs: indexmap::IndexMap::new(),
            ended: Vec::new(),
            last_sequence: 0,
            closed: collections::HashMap::new(),
        }
    }

    /// Starts again under the same id, knowing nothing.
    pub(crate) fn rebirth(&mut self) {
        let capacity = self.capacity;
        *self = Self::in_life(self.life.worker_id.clone(), self.life.born_ms + 1);
        self.capacity = capacity;
    }

    pub(crate) fn report(&self) -> jobs::WorkerReport {
        jobs::WorkerReport {
            life: self.life.clone(),
            pool: "pool".into(),
            address: "address".into(),
            data_centre: "dc".into(),
            rack: "r".into(),
            labels: vec!["kind".into(), "r".into()],
            capacity: self.capacity,
            draining: self.draining,
        }
    }

    pub(crate) fn free(&self) -> model::Demand {
        let used = self
            .runs
            .values()
            .fold(model::Demand::default(), |sum, run| sum.plus(&run.demand));
        self.capacity.minus(&used)
    }

    pub(crate) fn has(&self, run: model::RunKey) -> bool {
        self.runs.contains_key(&run)
    }

    pub(crate) fn runs_of(&self, task: model::TaskKey) -> Option<model::RunKey> {
        self.runs.keys().find(|run| run.task == task).copied()
    }

    pub(crate) fn count_of(&self, step: model::StepKey) -> u32 {
        let here = self.runs.keys().filter(|run| run.task.step_key() == step);
        here.count() as u32
    }

    /// Ends what is due, and everything once the lease has lapsed.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        let lapsed = self.lease_end_ms <= now_ms;
        let due: Vec<_> = self
            .runs
            .iter()
            .filter(|(_, run)| lapsed || run.ends_at_ms <= now_ms)
            .map(|(key, run)| {
                let in_time = run.ends_at_ms <= self.lease_end_ms;
                (
                    *key,
                    if in_time {
                        run.end
                    } else {
                        jobs::RunEnd::Lapsed
                    },
                    run.checkpoint(key.task, now_ms),
                )
            })
            .collect();
        for (key, how, checkpoint) in due {
            self.runs.swap_remove(&key);
            self.close(key);
            self.last_sequence += 1;
            self.ended.push(jobs::EndedRow {
                sequence: self.last_sequence,
                run: key,
                how,
                checkpoint,
            });
        }
    }

    fn close(&mut self, run: model::RunKey) {
        let closed = self.closed.entry(run.task).or_default();
        *closed = (*closed).max(run.run);
    }

    fn accepts(&mut self, term: model::Term) -> bool {
        self.fence = self.fence.max(term);
        self.fence == term
    }

    pub(crate) fn admit(&mut self, order: &jobs::StartOrder, now_ms: u64) -> jobs::StartOutcome {
        let rejected = jobs::StartOutcome::Rejected;
        if !self.accepts(order.term) {
            return rejected(jobs::StartRejection::Fenced);
        }
        if order.lease_end_ms as u64 <= now_ms {
            return rejected(jobs::StartRejection::Late);
        }
        self.lease_end_ms = self.lease_end_ms.max(order.lease_end_ms as u64);
        if self.has(order.run) {
            return jobs::StartOutcome::Started;
        }
        let closed = self
            .closed
            .get(&order.run.task)
            .copied()
            .unwrap_or_default();
        if order.run.run <= closed {
            return rejected(jobs::StartRejection::Outdated);
        }
        jobs::StartOutcome::Started
    }

    pub(crate) fn begin(
        &mut self,
        order: &jobs::StartOrder,
        step: &model::Step,
        run_ms: u64,
        fails: bool,
        now_ms: u64,
    ) {
        let resumed_ms = order.checkpoint.as_deref().map_or(0, saved_ms);
        let run = Run {
            demand: match step.fills_idle {
                true => model::Demand {
                    processors_milli: 0,
                    ..step.demand
                },
                false => step.demand,
            },
            began_at_ms: now_ms,
            ends_at_ms: now_ms + run_ms.saturating_sub(resumed_ms),
            resumed_ms: step.checkpointing.then_some(resumed_ms),
            fills_idle: step.fills_idle,
            target_ms: step.target_tail_ms,
            percent: 100,
            harmed_since_ms: None,
            end: if fails {
                jobs::RunEnd::Failed
            } else {
                jobs::RunEnd::Done
            },
        };
        self.runs.insert(order.run, run);
    }

    pub(crate) fn stop(&mut self, order: &jobs::StopOrder, now_ms: u64) -> jobs::StopOutcome {
        if !self.accepts(order.term) {
            return jobs::StopOutcome::Fenced;
        }
        self.expire(now_ms);
        match self.runs.get_mut(&order.run) {
            Some(run) => {
                run.ends_at_ms = run.ends_at_ms.min(now_ms + STOP_MS);
                run.end = jobs::RunEnd::Stopped;
            }
            None => self.close(order.run),
        }
        jobs::StopOutcome::Accepted
    }

    pub(crate) fn pace(&mut self, order: &jobs::PaceOrder) -> jobs::PaceOutcome {
        if !self.accepts(order.term) {
            return jobs::PaceOutcome::Fenced;
        }
        let Some(run) = self.runs.get_mut(&order.run) else {
            return jobs::PaceOutcome::Failed;
        };
        run.percent = order.percent;
        jobs::PaceOutcome::Accepted
    }

    /// Returns the tail of a serving run: half of its bound, and more for each filling run.
    fn tail_ms(&self, target_ms: u32) -> u32 {
        let filling: f64 = self
            .runs
            .values()
            .filter(|run| run.fills_idle)
            .map(|run| f64::from(run.percent) / 100.0)
            .sum();
        (f64::from(target_ms) * (0.5 + self.disturbance * filling)) as u32
    }

    /// Returns how long a serving run has been harmed by filling ones, at the most.
    pub(crate) fn harmed_ms(&mut self, now_ms: u64) -> u64 {
        let mut longest_ms = 0;
        for index in 0..self.runs.len() {
            let Some(target_ms) = self.runs[index].target_ms else {
                continue;
            };
            let is_over = self.tail_ms(target_ms) > target_ms;
            let since_ms = &mut self.runs[index].harmed_since_ms;
            *since_ms = is_over.then(|| since_ms.unwrap_or(now_ms));
            longest_ms = longest_ms.max(since_ms.map_or(0, |since_ms| now_ms - since_ms));
        }
        longest_ms
    }

    /// Returns the shares of the filling runs, in percent.
    pub(crate) fn filling_percents(&self) -> Vec<u32> {
        let filling = self.runs.values().filter(|run| run.fills_idle);
        filling.map(|run| run.percent).collect()
    }

    /// Takes a call to hold; returns whether its term is accepted.
    pub(crate) fn begin_hold(&mut self, order: &jobs::HoldOrder, now_ms: u64) -> bool {
        if !self.accepts(order.term) {
            return false;
        }
        self.expire(now_ms);
        if let Some(lease_end_ms) = order.lease_end_ms {
            self.lease_end_ms = self.lease_end_ms.max(lease_end_ms as u64);
        }
        true
    }

    /// Forgets ends and returns them.
    pub(crate) fn forget(&mut self, up_to: u64) -> Vec<jobs::EndedRow> {
        let (forgotten, kept) = std::mem::take(&mut self.ended)
            .into_iter()
            .partition(|row| row.sequence <= up_to);
        self.ended = kept;
        forgotten
    }

    pub(crate) fn has_ended(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Returns when the next run ends.
    pub(crate) fn next_end_ms(&self, now_ms: u64) -> Option<u64> {
        let ends = self.runs.values().map(|run| run.ends_at_ms);
        ends.min().map(|end| end.min(self.lease_end_ms).max(now_ms))
    }

    pub(crate) fn listing(&mut self, now_ms: u64) -> jobs::Listing {
        self.expire(now_ms);
        let running = self.runs.iter().map(|(key, run)| jobs::RunningRow {
            run: *key,
            checkpoint: run.checkpoint(key.task, now_ms),
            percent: 100,
            usage: run.target_ms.map(|target_ms| self.tail_ms(target_ms)),
        });
        jobs::Listing {
            born_ms: Some(self.life.born_ms),
            clock_ms: now_ms as i64,
            running: running.collect(),
            ended: self.ended.clone(),
        }
    }
}
