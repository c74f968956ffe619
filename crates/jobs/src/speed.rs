//! Estimate of a worker's speed, relative to the other workers that run tasks of the same steps.
//!
//! The tasks of a step are of like size, so that the rates of its runs, in percent of a task for each
//! millisecond, compare the workers that they are on. Everything here takes observations and the time,
//! and knows nothing of the scheduler. Speeds and rates are natural logarithms: a worker of twice
//! the usual speed has 0.69, one of half the usual speed -0.69, and an unknown one 0.

use std::time;

/// Standard deviation that one task's run time is assumed to have, as a logarithm: tasks of a step are
/// uneven by 15 to 30 %.
const TASK_SPREAD: f64 = 0.3;
/// Weight of that assumption beside the spread that a worker's own runs show, in tasks.
const SPREAD_PRIOR_WEIGHT: f64 = 5.0;
/// Least standard deviation that is taken from a worker's own runs: the rates that they are compared
/// with are uncertain, too.
const MIN_TASK_SPREAD: f64 = 0.1;
/// Number of standard errors by which a speed must differ to count. Two would let one in twenty
/// workers that are equal look different.
const SIGNIFICANT_ERRORS: f64 = 3.0;
/// Half-life of the steady evidence. The hardware of a worker does not change, but its neighbours may.
const STEADY_HALF_LIFE: time::Duration = time::Duration::from_secs(40);
/// Half-life of the recent evidence: slow-downs last some 6 s, and must be forgotten as fast.
const RECENT_HALF_LIFE: time::Duration = time::Duration::from_millis(1_500);
/// Most weight of the steady evidence, in tasks: enough to tell speeds that differ by a fifth.
const MAX_STEADY_WEIGHT: f64 = 30.0;
/// Most weight of the recent evidence, in tasks. With it, a slow-down to a seventh that is not seen any
/// more is forgotten after about four half-lives.
const MAX_RECENT_WEIGHT: f64 = 4.0;
/// Weight of the assumption that a worker has the usual speed, in tasks.
const STEADY_PRIOR_WEIGHT: f64 = 3.0;
/// The same for the recent evidence, which must show a slow-down by a run or two.
const RECENT_PRIOR_WEIGHT: f64 = 0.5;
/// Bounds of an observation. A run that is much faster than the others says more about those, and
/// the speeds of workers that are not slow differ by a factor of 1.6 at most.
const MIN_OBSERVATION: f64 = -2.5;
const MAX_OBSERVATION: f64 = 0.5;
/// Most by which an observation may differ from the steady evidence there is, so that a slow-down of
/// seconds does not change it much.
const MAX_STEADY_SURPRISE: f64 = 0.6;
/// Steady weight from which `MAX_STEADY_SURPRISE` applies.
const SURPRISE_FROM_WEIGHT: f64 = 8.0;
/// Share of the steady weight that is lost with a task that differs by more than that, so that a wrong
/// estimate is corrected by some ten tasks.
const SURPRISE_LOSS: f64 = 0.1;
/// Share of its evidence that the next incarnation of a worker begins with.
const INHERITED_SHARE: f64 = 0.15;
/// Factor between two levels of speed: about that between neighbours in a deployment with speeds of
/// 0.8, 1.0 and 1.25.
const LEVEL_FACTOR: f64 = 1.25;
/// Lowest and highest level: a ninth and about twice the usual speed.
pub(crate) const MIN_LEVEL: i8 = -10;
const MAX_LEVEL: i8 = 3;

/// Most tasks of a group that are compared with each other. The median of so many differs little from
/// that of more.
const MAX_GROUP_TASKS: u32 = 32;
/// Most rates kept for a group.
const MAX_GROUP_RATES: usize = MAX_GROUP_TASKS as usize;
/// Rates and workers from which a group is large: a worker's own rates are a small part of them.
const LARGE_GROUP_RATES: usize = 16;
const LARGE_GROUP_WORKERS: usize = 8;
/// How long the median of a large group is used: short against the time between two listings.
const MAX_MEDIAN_AGE: time::Duration = time::Duration::from_millis(200);
/// Other workers with which a run of a group must be comparable, or it is compared with the step.
const MIN_GROUP_WORKERS: usize = 2;
/// Most by which a group may be slower than the ended runs of its step, as a logarithm; with more, the
/// workers that it is on are slow together.
const MAX_GROUP_LAG: f64 = 0.7;
/// Most groups kept for a step: 2,048 tasks that run at the same time.
const MAX_STEP_GROUPS: usize = 64;
/// Age from which a rate of a step is not compared with any more.
const MAX_RATE_AGE: time::Duration = time::Duration::from_secs(20);
/// Weight of an observation by the number of other workers that it is compared with: with a single
/// one, it may as well be that one which is slow.
const COMPARISON_WEIGHTS: [f64; 5] = [0.0, 0.4, 0.7, 0.8, 1.0];

/// Shortest time over which the progress of a run is measured.
const MIN_INTERVAL: time::Duration = time::Duration::from_millis(400);
/// Shortest time over which an ended run is measured: orders and listings are under way for some ten
/// milliseconds.
const MIN_ENDED_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Least progress, made or expected, over which a run is measured, in percent of its work: it is
/// listed in whole numbers.
const MIN_MEASURED_PERCENT: f64 = 3.0;
/// Progress, made or expected, with which the measurement of a run has full weight, in percent.
const FULL_WEIGHT_PERCENT: f64 = 10.0;
/// Rate of a run that makes no progress, in percent for the measured time.
const NO_PROGRESS_PERCENT: f64 = 0.5;
/// Expected progress, in percent, from which a run without any counts as stalled.
const STALLED_PERCENT: f64 = 25.0;
/// Shortest time without progress after which a run counts as stalled: starting a task may take some
/// hundred milliseconds.
const MIN_STALL: time::Duration = time::Duration::from_millis(1_000);

/// A mean of observations that lose weight with time.
#[derive(Clone, Copy, Debug, Default)]
struct FadingMean {
    mean: f64,
    /// Weight of the observations at `updated_at`, in tasks.
    weight: f64,
    /// Mean of the squared deviations from the mean.
    variance: f64,
    updated_at: Option<time::Instant>,
}

impl FadingMean {
    fn weight_at(&self, half_life: time::Duration, now: time::Instant) -> f64 {
        let age = self
            .updated_at
            .map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.weight * (-age / half_life.as_secs_f64()).exp2()
    }

    fn add(
        &mut self,
        value: f64,
        weight: f64,
        half_life: time::Duration,
        max_weight: f64,
        now: time::Instant,
    ) {
        let before = self.weight_at(half_life, now).min(max_weight);
        let sum = before + weight;
        if sum > 0.0 {
            let mean = (self.mean * before + value * weight) / sum;
            let squared = (value - self.mean) * (value - mean);
            self.variance = (self.variance * before + squared * weight) / sum;
            self.mean = mean;
        }
        self.weight = sum.min(max_weight);
        self.updated_at = self.updated_at.max(Some(now));
    }
}

/// The estimate of a worker's speed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Estimate {
    steady: FadingMean,
    recent: FadingMean,
    /// Observations so far, of this incarnation.
    pub(crate) observations: u32,
}

/// A comparison of a run's rate with that of other runs of its step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Observation {
    /// Logarithm of the speed that it shows.
    pub(crate) log_speed: f64,
    /// Share of a task's work that it covers, from 0 to 1.
    pub(crate) coverage: f64,
    /// Number of other workers that the run is compared with.
    pub(crate) compared_with: usize,
}

impl Observation {
    /// Returns the bounded logarithm and the weight by the comparisons; `None` if they tell nothing.
    fn value_and_weight(&self) -> Option<(f64, f64)> {
        let last = COMPARISON_WEIGHTS.len() - 1;
        let weight = COMPARISON_WEIGHTS[self.compared_with.min(last)];
        let is_number = !self.log_speed.is_nan() && !self.coverage.is_nan();
        let value = self.log_speed.clamp(MIN_OBSERVATION, MAX_OBSERVATION);
        (is_number && weight > 0.0).then_some((value, weight))
    }
}

impl Estimate {
    /// Adds an observation to the recent evidence; one that is not a number is ignored.
    pub(crate) fn observe_recent(&mut self, observation: &Observation, now: time::Instant) {
        let percent = 100.0 * observation.coverage;
        let share = (percent / FULL_WEIGHT_PERCENT).clamp(0.0, 1.0);
        let Some((value, weight)) = observation.value_and_weight() else {
            return;
        };
        self.recent.add(
            value,
            weight * share,
            RECENT_HALF_LIFE,
            MAX_RECENT_WEIGHT,
            now,
        );
    }

    /// Adds an observation to the steady evidence; one that is not a number is ignored.
    pub(crate) fn observe_steady(&mut self, observation: &Observation, now: time::Instant) {
        let Some((value, weight)) = observation.value_and_weight() else {
            return;
        };
        self.observations = self.observations.saturating_add(1);
        let coverage = observation.coverage.clamp(0.0, 1.0);
        let (lowest, highest) = (
            self.steady.mean - MAX_STEADY_SURPRISE,
            self.steady.mean + MAX_STEADY_SURPRISE,
        );
        let is_known = self.steady.weight_at(STEADY_HALF_LIFE, now) >= SURPRISE_FROM_WEIGHT;
        let is_surprise = is_known && !(lowest..=highest).contains(&value);
        if is_surprise {
            self.steady.weight *= 1.0 - SURPRISE_LOSS * coverage;
        }
        let value = match is_surprise {
            true => value.clamp(lowest, highest),
            false => value,
        };
        self.steady.add(
            value,
            weight * coverage,
            STEADY_HALF_LIFE,
            MAX_STEADY_WEIGHT,
            now,
        );
    }

    /// Returns the logarithm of the speed: that of the recent evidence if it differs for certain from
    /// the steady one.
    pub(crate) fn log_speed(&self, now: time::Instant) -> f64 {
        let steady = self.steady_log_speed(now);
        let weight = self.recent.weight_at(RECENT_HALF_LIFE, now);
        let recent = shrunk(self.recent.mean, weight, RECENT_PRIOR_WEIGHT);
        match is_significant(recent - steady, weight, TASK_SPREAD) {
            true => recent,
            false => steady,
        }
    }

    /// Returns the logarithm of the speed by the steady evidence; 0 if it may be the usual one.
    fn steady_log_speed(&self, now: time::Instant) -> f64 {
        let weight = self.evidence(now);
        let steady = shrunk(self.steady.mean, weight, STEADY_PRIOR_WEIGHT);
        let assumed = TASK_SPREAD * TASK_SPREAD * SPREAD_PRIOR_WEIGHT;
        let variance = (self.steady.variance * weight + assumed) / (weight + SPREAD_PRIOR_WEIGHT);
        let spread = variance.max(0.0).sqrt().max(MIN_TASK_SPREAD);
        match is_significant(steady, weight, spread) {
            true => steady,
            false => 0.0,
        }
    }

    /// Returns the logarithm of the speed by all steady evidence, however little.
    pub(crate) fn raw_log_speed(&self, now: time::Instant) -> f64 {
        shrunk(self.steady.mean, self.evidence(now), STEADY_PRIOR_WEIGHT)
    }

    /// Returns the weight of the steady evidence, in tasks.
    pub(crate) fn evidence(&self, now: time::Instant) -> f64 {
        self.steady.weight_at(STEADY_HALF_LIFE, now)
    }

    /// Returns how long ago the last observation was; `None` if there is none.
    pub(crate) fn age(&self, now: time::Instant) -> Option<time::Duration> {
        let at = self.recent.updated_at?;
        Some(now.saturating_duration_since(at))
    }

    /// Returns the level of the speed relative to the logarithm `centre` of the usual speed of the
    /// pool: 0 for the usual speed and for an unknown one, 1 for about `LEVEL_FACTOR` times that.
    pub(crate) fn level(&self, centre: f64, now: time::Instant) -> i8 {
        let log_speed = self.log_speed(now);
        if log_speed == 0.0 {
            return 0;
        }
        level_of(log_speed - centre)
    }

    /// Returns the estimate that the next incarnation of the worker begins with: it may be as fast.
    pub(crate) fn inherited(&self) -> Self {
        let steady = FadingMean {
            weight: self.steady.weight * INHERITED_SHARE,
            ..self.steady
        };
        Self {
            steady,
            ..Self::default()
        }
    }
}

/// Returns the mean of observations with the assumption of the usual speed.
fn shrunk(mean: f64, weight: f64, prior_weight: f64) -> f64 {
    mean * weight / (weight + prior_weight)
}

/// Returns whether a difference is more than chance would make it, with evidence of a weight from runs
/// that have this standard deviation.
fn is_significant(difference: f64, weight: f64, spread: f64) -> bool {
    difference.abs() * weight.sqrt() >= SIGNIFICANT_ERRORS * spread
}

/// Returns the level of the logarithm of a speed.
fn level_of(log_speed: f64) -> i8 {
    let level = log_speed / LEVEL_FACTOR.ln();
    // The bounds are within those of the type.
    let (lowest, highest) = (f64::from(MIN_LEVEL), f64::from(MAX_LEVEL));
    level.round().clamp(lowest, highest) as i8
}

/// Returns the speed of a level, as a multiple of the usual speed.
pub(crate) fn speed_of(level: i8) -> f64 {
    LEVEL_FACTOR.powi(i32::from(level))
}

/// The rates of the runs of a step, in groups of tasks with neighbouring indexes, which start at about
/// the same time.
#[derive(Debug, Default)]
pub(crate) struct StepRates {
    groups: Vec<(u32, GroupRates)>,
    /// The latest ended runs of all groups.
    ended: GroupRates,
}

impl StepRates {
    /// Returns what a run of a task on a worker is compared with: others of its group, or the ended ones
    /// of the step if the group is on a few workers or slow as a whole.
    pub(crate) fn baseline(
        &mut self,
        task: u32,
        task_count: u32,
        worker_id: &model::WorkerId,
        now: time::Instant,
    ) -> Option<Baseline> {
        let number = task / group_tasks(task_count);
        let mut groups = self.groups.iter_mut();
        let group = groups.find(|(known, _)| *known == number);
        let of_group = group.and_then(|(_, rates)| rates.baseline(worker_id, now));
        let of_ended = self.ended.baseline(worker_id, now);
        let is_group_usable = of_group.is_some_and(|group| {
            let is_slow =
                of_ended.is_some_and(|ended| group.log_rate < ended.log_rate - MAX_GROUP_LAG);
            group.workers >= MIN_GROUP_WORKERS && !is_slow
        });
        match is_group_usable {
            true => of_group,
            false => of_ended.or(of_group),
        }
    }

    /// Records the latest rate of a running task.
    pub(crate) fn record(
        &mut self,
        task: u32,
        task_count: u32,
        worker_id: &model::WorkerId,
        measured: &MeasuredRate,
        now: time::Instant,
    ) {
        let rates = self.group_mut(task / group_tasks(task_count));
        rates.record(task, worker_id, measured, now);
    }

    /// Records that a task is done, with its last rate if that was measured; returns the comparisons of
    /// its group once all tasks of it are done.
    pub(crate) fn record_end(
        &mut self,
        task: u32,
        task_count: u32,
        worker_id: &model::WorkerId,
        measured: Option<&MeasuredRate>,
        now: time::Instant,
    ) -> Vec<(model::WorkerId, Observation)> {
        if let Some(measured) = measured {
            self.record(task, task_count, worker_id, measured, now);
            self.ended.record(task, worker_id, measured, now);
        }
        let number = task / group_tasks(task_count);
        let rates = self.group_mut(number);
        if !rates.end_task(number, task_count) {
            return Vec::new();
        }
        let batch = rates.take_batch();
        self.groups.retain(|(known, _)| *known != number);
        batch
    }

    fn group_mut(&mut self, number: u32) -> &mut GroupRates {
        let known = self.groups.iter().position(|(known, _)| *known == number);
        let position = known.unwrap_or_else(|| {
            if self.groups.len() >= MAX_STEP_GROUPS {
                self.groups.remove(0);
            }
            self.groups.push((number, GroupRates::default()));
            self.groups.len() - 1
        });
        &mut self.groups[position].1
    }
}

/// Returns the number of tasks in each group of a step but the last one, which has fewer.
fn group_tasks(task_count: u32) -> u32 {
    let groups = task_count.div_ceil(MAX_GROUP_TASKS).max(1);
    task_count.div_ceil(groups).max(1)
}

/// Returns the number of tasks in a group.
fn group_size(number: u32, task_count: u32) -> u32 {
    let tasks = group_tasks(task_count);
    task_count.saturating_sub(number * tasks).min(tasks)
}

/// The latest rates of the runs of a group of tasks, one for each task.
///
/// The steady evidence is taken from all of them together: runs on fast workers end first, and compared
/// with what has ended by then they would not look fast.
#[derive(Debug, Default)]
pub(crate) struct GroupRates {
    rates: Vec<StepRate>,
    /// Tasks that are done.
    done_count: u32,
    /// The median of all rates, and when it was computed; kept for large groups only.
    median: Option<(time::Instant, Baseline)>,
}

#[derive(Debug)]
struct StepRate {
    task: u32,
    worker_id: model::WorkerId,
    /// Logarithm of the latest rate that a worker of the usual speed would have.
    log_rate: f64,
    at: time::Instant,
    /// Sum of the logarithms of the rates that are not in the steady evidence yet, times the share of
    /// the work that each covers.
    pending_log_rates: f64,
    /// Sum of these shares.
    pending_coverage: f64,
    /// Logarithm of the speed of the worker, as far as it is known.
    log_speed: f64,
}

impl StepRate {
    /// Returns the mean logarithm of the pending rates.
    fn pending_mean(&self) -> Option<f64> {
        (self.pending_coverage > 0.0).then(|| self.pending_log_rates / self.pending_coverage)
    }
}

/// What a run is compared with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Baseline {
    /// Logarithm of the rate of a run on a worker of the usual speed.
    pub(crate) log_rate: f64,
    /// Number of other workers whose runs show it, counted up to `LARGE_GROUP_WORKERS`.
    pub(crate) workers: usize,
}

/// A rate that was measured.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MeasuredRate {
    /// Logarithm of the rate.
    pub(crate) log_rate: f64,
    /// Logarithm of the speed of the worker, as far as it is known.
    pub(crate) log_speed: f64,
    /// Share of the task's work that it covers.
    pub(crate) coverage: f64,
}

impl GroupRates {
    /// Records the latest rate of a task; one that is not a number is ignored.
    pub(crate) fn record(
        &mut self,
        task: u32,
        worker_id: &model::WorkerId,
        measured: &MeasuredRate,
        now: time::Instant,
    ) {
        let log_rate = measured.log_rate - measured.log_speed;
        // A run without progress is nothing to compare others with.
        if !log_rate.is_finite() || !measured.coverage.is_finite() || measured.coverage <= 0.0 {
            return;
        }
        let known = self.rates.iter().position(|one| one.task == task);
        let known = match known {
            Some(known) => Some(self.rates.remove(known)),
            None if self.rates.len() >= MAX_GROUP_RATES => {
                let used = self
                    .rates
                    .iter()
                    .position(|one| one.pending_coverage <= 0.0);
                self.rates.remove(used.unwrap_or_default());
                None
            }
            None => None,
        };
        let known = known.filter(|one| one.worker_id == *worker_id);
        let pending = known.map_or((0.0, 0.0), |one| {
            (one.pending_log_rates, one.pending_coverage)
        });
        self.rates.push(StepRate {
            task,
            worker_id: worker_id.clone(),
            log_rate,
            at: now,
            pending_log_rates: pending.0 + measured.log_rate * measured.coverage,
            pending_coverage: pending.1 + measured.coverage,
            log_speed: measured.log_speed,
        });
    }

    /// Records that a task is done; returns whether all tasks of the group, which has this number, are.
    pub(crate) fn end_task(&mut self, number: u32, task_count: u32) -> bool {
        self.done_count += 1;
        self.done_count >= group_size(number, task_count)
    }

    /// Takes the rates that are not in the steady evidence yet, each compared with those of the other
    /// workers.
    pub(crate) fn take_batch(&mut self) -> Vec<(model::WorkerId, Observation)> {
        let rates = self.rates.iter().map(|one| {
            let pending = one.pending_mean();
            let log_rate = pending.map(|mean| mean - one.log_speed);
            (&one.worker_id, log_rate.unwrap_or(one.log_rate))
        });
        let rates: Vec<_> = rates.collect();
        let of_all = median_of(rates.iter().copied());
        let of_all = of_all.filter(|median| median.workers >= LARGE_GROUP_WORKERS);
        // Fewer than `LARGE_GROUP_WORKERS` if the group is not large.
        let mut by_worker: Vec<(&model::WorkerId, Option<Baseline>)> = Vec::new();
        let mut observations = Vec::new();
        for one in &self.rates {
            let Some(mean) = one.pending_mean() else {
                continue;
            };
            let worker_id = &one.worker_id;
            let known = by_worker.iter().find(|(known, _)| *known == worker_id);
            let baseline = match (of_all, known) {
                (Some(_), _) => of_all,
                (None, Some((_, baseline))) => *baseline,
                (None, None) => {
                    let others = rates.iter().copied();
                    let baseline = median_of(others.filter(|(other, _)| *other != worker_id));
                    by_worker.push((worker_id, baseline));
                    baseline
                }
            };
            if let Some(baseline) = baseline {
                let observation = Observation {
                    log_speed: mean - baseline.log_rate,
                    coverage: one.pending_coverage,
                    compared_with: baseline.workers,
                };
                observations.push((worker_id.clone(), observation));
            }
        }
        for one in &mut self.rates {
            (one.pending_log_rates, one.pending_coverage) = (0.0, 0.0);
        }
        observations
    }

    /// Returns the median of the latest rates on other workers than `worker_id`; `None` if there is none.
    ///
    /// That of a large group includes the worker's own runs, which hardly change it, and may be some
    /// time old: each listing of each run asks for it.
    pub(crate) fn baseline(
        &mut self,
        worker_id: &model::WorkerId,
        now: time::Instant,
    ) -> Option<Baseline> {
        if self.rates.len() < LARGE_GROUP_RATES {
            return self.baseline_of_others(Some(worker_id), now);
        }
        let median = match self.median {
            Some((at, median)) if now.saturating_duration_since(at) < MAX_MEDIAN_AGE => median,
            _ => {
                let median = self.baseline_of_others(None, now)?;
                self.median = Some((now, median));
                median
            }
        };
        match median.workers >= LARGE_GROUP_WORKERS {
            true => Some(median),
            false => self.baseline_of_others(Some(worker_id), now),
        }
    }

    /// Returns the median of the latest rates that are not on `worker_id`.
    fn baseline_of_others(
        &self,
        worker_id: Option<&model::WorkerId>,
        now: time::Instant,
    ) -> Option<Baseline> {
        let others = self.rates.iter().filter(|one| {
            Some(&one.worker_id) != worker_id
                && now.saturating_duration_since(one.at) <= MAX_RATE_AGE
        });
        median_of(others.map(|one| (&one.worker_id, one.log_rate)))
    }
}

/// Returns the median of at most `MAX_GROUP_RATES` rates, each of a run on a worker.
fn median_of<'a>(of: impl Iterator<Item = (&'a model::WorkerId, f64)>) -> Option<Baseline> {
    let (mut rates, mut worker_ids) = ([0.0; MAX_GROUP_RATES], [None; LARGE_GROUP_WORKERS]);
    let (mut count, mut workers) = (0, 0);
    for (worker_id, log_rate) in of.take(MAX_GROUP_RATES) {
        rates[count] = log_rate;
        count += 1;
        if workers < LARGE_GROUP_WORKERS && !worker_ids[..workers].contains(&Some(worker_id)) {
            worker_ids[workers] = Some(worker_id);
            workers += 1;
        }
    }
    let rates = &mut rates[..count];
    rates.sort_unstable_by(f64::total_cmp);
    let upper = *rates.get(count / 2)?;
    let lower = rates[(count - 1) / 2];
    Some(Baseline {
        log_rate: f64::midpoint(lower, upper),
        workers,
    })
}

/// How far a run was at a time.
#[derive(Clone, Copy, Debug)]
struct Mark {
    percent: u32,
    at: time::Instant,
}

/// The pace of a run: how far it was when it was first seen and last measured.
///
/// A run that resumes from a checkpoint is measured from its first listing on, as it does not begin at
/// 0.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pace {
    first: Option<Mark>,
    last: Option<Mark>,
    is_stalled: bool,
}

/// What a measurement of a run shows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Measurement {
    /// Logarithm of the rate, in percent for each millisecond.
    pub(crate) log_rate: f64,
    /// Progress that was made, in percent.
    pub(crate) percent: f64,
    /// Progress that other runs of the step would have made; `None` if there are none.
    pub(crate) expected_percent: Option<f64>,
    /// Whether the run has now stood still for so long, for the first time, that it is stalled.
    pub(crate) is_new_stall: bool,
}

impl Pace {
    /// Records that the run begins its work, from 0.
    pub(crate) fn begin(&mut self, now: time::Instant) {
        if self.first.is_none() {
            let mark = Mark {
                percent: 0,
                at: now,
            };
            (self.first, self.last) = (Some(mark), Some(mark));
        }
    }

    /// Returns whether enough time has passed since the last measurement for another one.
    pub(crate) fn is_due(&self, now: time::Instant) -> bool {
        self.last
            .is_none_or(|last| now.saturating_duration_since(last.at) >= MIN_INTERVAL)
    }

    /// Measures the run by its progress, unless too little of it was made and expected.
    pub(crate) fn measure(
        &mut self,
        percent: u32,
        baseline: Option<&Baseline>,
        now: time::Instant,
    ) -> Option<Measurement> {
        let mark = Mark { percent, at: now };
        let Some(last) = self.last.filter(|last| last.percent <= percent) else {
            (self.first, self.last) = (Some(mark), Some(mark));
            return None;
        };
        // Beyond that, it tells no progress.
        if percent >= 100 {
            return None;
        }
        let elapsed = now.saturating_duration_since(last.at);
        let made = f64::from(percent - last.percent);
        let expected = baseline.map(|one| expected_percent(one, elapsed));
        if elapsed < MIN_INTERVAL || made.max(expected.unwrap_or(0.0)) < MIN_MEASURED_PERCENT {
            return None;
        }
        let is_stalled = made == 0.0 && elapsed >= MIN_STALL && expected >= Some(STALLED_PERCENT);
        let is_new_stall = is_stalled && !self.is_stalled;
        self.is_stalled = is_stalled || self.is_stalled && made == 0.0;
        // A run without progress is measured since when it has made none.
        if made > 0.0 {
            self.last = Some(mark);
        }
        Some(Measurement {
            log_rate: log_rate(made, elapsed),
            percent: made,
            expected_percent: expected,
            is_new_stall,
        })
    }

    /// Measures the run by its successful end, from its first listing or its start on; `None` if that
    /// is unknown or was a moment ago.
    pub(crate) fn measure_end(
        &self,
        baseline: Option<&Baseline>,
        now: time::Instant,
    ) -> Option<Measurement> {
        let first = self.first?;
        let last = self.last.filter(|last| {
            let left = 100_u32.saturating_sub(last.percent);
            f64::from(left) >= FULL_WEIGHT_PERCENT
                && now.saturating_duration_since(last.at) >= MIN_INTERVAL
        });
        let since = last.unwrap_or(first);
        let made = f64::from(100_u32.saturating_sub(since.percent));
        let elapsed = now.saturating_duration_since(since.at);
        if made < FULL_WEIGHT_PERCENT || elapsed < MIN_ENDED_INTERVAL {
            return None;
        }
        Some(Measurement {
            log_rate: log_rate(made, elapsed),
            percent: made,
            expected_percent: baseline.map(|one| expected_percent(one, elapsed)),
            is_new_stall: false,
        })
    }
}

impl Measurement {
    /// Returns what it shows of the present speed of the run's worker, compared with other runs of its
    /// step.
    pub(crate) fn observation(&self, baseline: &Baseline) -> Observation {
        let expected = self.expected_percent.unwrap_or_default();
        Observation {
            log_speed: self.log_rate - baseline.log_rate,
            coverage: self.percent.max(expected) / 100.0,
            compared_with: baseline.workers,
        }
    }
}

fn log_rate(percent: f64, elapsed: time::Duration) -> f64 {
    (percent.max(NO_PROGRESS_PERCENT) / millis(elapsed)).ln()
}

fn expected_percent(baseline: &Baseline, elapsed: time::Duration) -> f64 {
    baseline.log_rate.exp() * millis(elapsed)
}

fn millis(duration: time::Duration) -> f64 {
    (duration.as_secs_f64() * 1_000.0).max(1.0)
}
