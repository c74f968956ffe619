//! Lost runs of one task, and what they tell: whether the task is a suspect, has to wait, or is given up.

use std::time;

use crate::isolation;
use crate::maps;
use crate::record;

/// Runs of a task with a crash that no other job can have caused, after which its job is given up.
const MAX_ATTRIBUTABLE_RUNS: usize = 3;
/// Crashed runs from which a task is a suspect although others had begun later on its workers.
const SUSPECT_AFTER_RUNS: usize = 3;
/// Workers that must have crashed for certain before other lost workers count as crashed, too.
const MIN_PROVEN_WORKERS: usize = 2;
/// Crashed workers after which only `MAX_LATER_RUNS` more runs of a task may start.
const LIMITED_AFTER_WORKERS: usize = 3;
/// Runs of a task that may start after `LIMITED_AFTER_WORKERS` workers have crashed under it.
const MAX_LATER_RUNS: usize = 2;
/// How long a task at its limit waits for the fate of the workers that held its lost runs.
const VERDICT_TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// Most lost runs kept for a task.
const MAX_LOSSES_PER_TASK: usize = 64;

/// Lost runs of a task or a gang.
#[derive(Debug, Default)]
pub(crate) struct TaskLosses {
    /// In the order of their losses; no run and incarnation occurs twice.
    pub(crate) losses: Vec<Loss>,
    /// How a suspect waits to be placed.
    pub(crate) wait: Option<SuspectWait>,
    /// What a suspect must not share a worker with at its next start.
    pub(crate) isolation: isolation::Isolation,
}

/// How likely it is that a task crashes its workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Suspicion {
    /// It is no suspect.
    None,
    /// After one early crash, or several others: most such tasks are neighbours of a culprit.
    Weak,
    /// After early crashes of several runs.
    Strong,
}

/// The wait of a suspect.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SuspectWait {
    /// How long it has waited for a worker that it may use.
    pub(crate) waited: time::Duration,
    pub(crate) since: time::Instant,
    updated_at: time::Instant,
    /// Whether it waited for other suspects then.
    is_limited: bool,
}

#[derive(Debug)]
pub(crate) struct Loss {
    pub(crate) record: record::LossRecord,
    pub(crate) lost_at: time::Instant,
    /// Tasks of the run whose start orders are in flight: each has started unless its order is
    /// rejected.
    pub(crate) undecided: Vec<model::TaskKey>,
    /// Whether another task of the run may have started.
    pub(crate) may_have_started: bool,
    /// Evidence of a crash, found before it was known whether the run had started.
    pub(crate) evidence: Option<&'static str>,
}

impl Loss {
    /// Creates the loss of a run that may have started.
    pub(crate) fn new(record: record::LossRecord, lost_at: time::Instant) -> Self {
        Self {
            record,
            lost_at,
            undecided: Vec::new(),
            may_have_started: true,
            evidence: None,
        }
    }

    /// Creates the loss of a run of a task whose start order is in flight.
    pub(crate) fn undecided(
        record: record::LossRecord,
        task: model::TaskKey,
        lost_at: time::Instant,
    ) -> Self {
        Self {
            undecided: vec![task],
            may_have_started: false,
            ..Self::new(record, lost_at)
        }
    }
}

impl TaskLosses {
    /// Returns the distinct runs in which a worker crashed, in ascending order, with the number of
    /// workers that crashed up to the end of each; `with_unresolved` counts every loss as a crash.
    pub(crate) fn crashes_by_run(&self, with_unresolved: bool) -> Vec<(model::RunNumber, usize)> {
        let counted = self.losses.iter().map(|loss| &loss.record);
        let counted = counted.filter(|loss| with_unresolved || loss.is_crash);
        let mut runs: Vec<_> = counted.map(|loss| loss.run).collect();
        runs.sort_unstable();
        let mut by_run: Vec<(model::RunNumber, usize)> = Vec::new();
        for (index, run) in runs.into_iter().enumerate() {
            match by_run.last_mut().filter(|(last, _)| *last == run) {
                Some((_, workers)) => *workers = index + 1,
                None => by_run.push((run, index + 1)),
            }
        }
        by_run
    }

    pub(crate) fn unresolved_on(&self, incarnation: &model::WorkerIncarnation) -> Option<&Loss> {
        let mut losses = self.losses.iter();
        losses.find(|loss| !loss.record.is_crash && loss.record.incarnation == *incarnation)
    }

    /// Returns the loss of a run for which the start order of a task is still in flight.
    pub(crate) fn undecided_mut(
        &mut self,
        key: model::RunKey,
        incarnation: &model::WorkerIncarnation,
    ) -> Option<&mut Loss> {
        let mut losses = self.losses.iter_mut();
        losses.find(|loss| {
            loss.record.run == key.run
                && loss.record.incarnation == *incarnation
                && loss.undecided.contains(&key.task)
        })
    }

    pub(crate) fn crashed_run_count(&self) -> usize {
        self.crashes_by_run(false).len()
    }

    pub(crate) fn last_run(&self) -> Option<model::RunNumber> {
        self.losses.iter().map(|loss| loss.record.run).max()
    }

    pub(crate) fn crashed_worker_count(&self) -> usize {
        let crashes = self.losses.iter().filter(|loss| loss.record.is_crash);
        crashes.count()
    }

    /// Returns whether a further start could exceed the permitted number.
    pub(crate) fn is_at_limit(&self, with_unresolved: bool) -> bool {
        if self.losses.len() <= MAX_LATER_RUNS {
            return false;
        }
        let by_run = self.crashes_by_run(with_unresolved);
        let before_limit = by_run
            .iter()
            .take_while(|(_, workers)| *workers < LIMITED_AFTER_WORKERS);
        by_run.len() > before_limit.count() + MAX_LATER_RUNS
    }

    /// Returns why the job must be given up, if it must.
    pub(crate) fn reason_to_give_up(&self, now: time::Instant) -> Option<&'static str> {
        if self.is_at_limit(false) {
            return Some("no further start is permitted after its crashes");
        }
        // Some workers that have crashed are never heard of again.
        let is_proven = self.crashed_worker_count() >= MIN_PROVEN_WORKERS;
        if is_proven && self.is_at_limit(true) && !self.awaits_verdict(now) {
            return Some("no further start is permitted after its crashes and losses");
        }
        (self.attributable_run_count() >= MAX_ATTRIBUTABLE_RUNS)
            .then_some("no other job can have caused its crashes")
    }

    pub(crate) fn attributable_run_count(&self) -> usize {
        let crashes = self.losses.iter().map(|loss| &loss.record);
        let crashes = crashes.filter(|loss| loss.is_crash && loss.is_attributable);
        let runs: maps::HashSet<_> = crashes.map(|loss| loss.run).collect();
        runs.len()
    }

    /// Returns how likely it is that the task crashes its workers.
    pub(crate) fn suspicion(&self) -> Suspicion {
        let crashes = self.losses.iter().map(|loss| &loss.record);
        let early = crashes.filter(|loss| loss.is_crash && loss.is_early);
        let mut early_runs = early.map(|loss| loss.run);
        let first = early_runs.next();
        let has_more = first.is_some_and(|first| early_runs.any(|run| run != first));
        let is_suspect = first.is_some()
            || self.losses.len() >= SUSPECT_AFTER_RUNS
                && self.crashed_run_count() >= SUSPECT_AFTER_RUNS;
        match (is_suspect, has_more) {
            (_, true) => Suspicion::Strong,
            (true, false) => Suspicion::Weak,
            (false, false) => Suspicion::None,
        }
    }

    /// Returns whether the next run is to be isolated.
    pub(crate) fn is_suspect(&self) -> bool {
        self.suspicion() != Suspicion::None
    }

    /// Returns whether a start must wait until the fate of a worker is known.
    pub(crate) fn awaits_verdict(&self, now: time::Instant) -> bool {
        self.verdict_wait_left(now).is_some()
    }

    /// Returns for how long a start must still wait if the fate of the workers remains unknown; `None` if
    /// it need not.
    pub(crate) fn verdict_wait_left(&self, now: time::Instant) -> Option<time::Duration> {
        let left = |loss: &Loss| {
            let waited = now.saturating_duration_since(loss.lost_at);
            let is_pending = !loss.record.is_crash && waited < VERDICT_TIMEOUT;
            is_pending.then(|| VERDICT_TIMEOUT - waited)
        };
        let longest = self.losses.iter().filter_map(left).max();
        longest.filter(|_| self.is_at_limit(true))
    }

    /// Sets what the next run of a suspect must not share a worker with.
    ///
    /// The time for which it is limited, as enough workers have other suspects, does not count: after
    /// that, all would have waited for so long that none needs a worker of its own.
    pub(crate) fn update_isolation(&mut self, is_limited: bool, now: time::Instant) {
        if !self.is_suspect() {
            self.isolation = isolation::Isolation::None;
            return;
        }
        let wait = self.wait.get_or_insert(SuspectWait {
            waited: time::Duration::ZERO,
            since: now,
            updated_at: now,
            is_limited,
        });
        if !is_limited && !wait.is_limited {
            wait.waited += now.saturating_duration_since(wait.updated_at);
        }
        (wait.updated_at, wait.is_limited) = (now, is_limited);
        self.isolation = isolation::Isolation::after(wait.waited);
    }

    pub(crate) fn add(&mut self, loss: Loss) {
        let known = self.losses.iter_mut().find(|known| {
            known.record.run == loss.record.run
                && known.record.incarnation == loss.record.incarnation
        });
        if let Some(known) = known {
            known.undecided.extend(loss.undecided);
            known.may_have_started |= loss.may_have_started;
            return;
        }
        if self.losses.len() >= MAX_LOSSES_PER_TASK {
            let oldest_unresolved = self.losses.iter().position(|known| !known.record.is_crash);
            self.losses.remove(oldest_unresolved.unwrap_or_default());
        }
        self.losses.push(loss);
    }
}
