//! Workers of different speeds, and workers that slow down, fail or stall what they start while they
//! report good health.

use crate::simulation;
use crate::simulation::Simulation;

/// By how much the tasks of a step differ, as a share.
const UNEVENNESS: f64 = 0.2;

fn new_simulation(seed: u64, workers: usize) -> Simulation {
    let mut simulation = Simulation::new(seed, workers, None);
    simulation.unevenness = UNEVENNESS;
    simulation.run_ms(200);
    simulation
}

/// Submits a job of `step` every `interval_ms`; returns its ids.
fn submit_every(
    simulation: &mut Simulation,
    queue: &str,
    step: &model::Step,
    first_id: model::JobId,
    count: u64,
    interval_ms: u64,
) -> Vec<model::JobId> {
    let ids = first_id..first_id + count;
    for id in ids.clone() {
        simulation.submit(simulation::job(id, queue, step.clone()));
        simulation.run_ms(interval_ms);
    }
    ids.collect()
}

/// Guards against speeds that are not found, and against differences found between equal workers:
/// a quarter of the workers runs at less than half the speed, then all at the same.
#[test]
fn slow_workers_are_found_and_no_others() {
    let step = simulation::step(24, 1_000, 1_500);
    for slow in [0, 5] {
        let mut simulation = new_simulation(1, 20);
        for worker in 0..slow {
            simulation.change_speed(worker, 0.45);
        }
        submit_every(&mut simulation, "long", &step, 1, 30, 400);
        let summary = simulation.summary();
        assert!(summary.speed_observations > 100, "{summary:?}");
        assert_eq!((summary.slow_workers, summary.fast_workers), (slow, 0));
    }
}

/// Guards against a new leader that takes over estimates it cannot know, or never finds its own.
#[test]
fn new_leader_begins_without_estimates() {
    let step = simulation::step(40, 1_000, 1_500);
    let mut simulation = new_simulation(2, 20);
    simulation.change_speed(3, 0.4);
    submit_every(&mut simulation, "long", &step, 1, 20, 400);
    assert_eq!(simulation.summary().slow_workers, 1);
    simulation.elect_leader();
    simulation.run_ms(100);
    assert_eq!(simulation.summary().slow_workers, 0);
    submit_every(&mut simulation, "long", &step, 100, 20, 400);
    assert_eq!(simulation.summary().slow_workers, 1);
}

/// Guards against a worker that is taken for one of the usual speed each time that it restarts.
#[test]
fn restarted_worker_inherits_its_estimate() {
    let step = simulation::step(40, 1_000, 1_500);
    let mut simulation = new_simulation(9, 20);
    simulation.change_speed(3, 0.4);
    submit_every(&mut simulation, "long", &step, 1, 30, 400);
    assert_eq!(simulation.summary().slow_workers, 1);
    simulation.restart_worker(3);
    simulation.run_ms(3_000);
    let summary = simulation.summary();
    assert_eq!((summary.usable_workers, summary.slow_workers), (20, 1));
}

/// Objective of an urgent job of 0.65 s: 1.5 times that and 0.4 s, in milliseconds.
const URGENT_OBJECTIVE_MS: u64 = 1_375;

/// Urgent jobs, and other work at the same time.
struct UrgentLoad {
    uses_speeds: bool,
    allowed_share: Option<f64>,
    duration_ms: u64,
    /// Whether a job submitted at this time counts, in milliseconds.
    is_counted: fn(u64) -> bool,
    /// Sets the speeds of the workers at this time, in milliseconds.
    change_workers: fn(&mut Simulation, u64),
}

impl UrgentLoad {
    /// Submits urgent jobs every 50 ms and plain long ones every 600 ms; returns which part of the urgent
    /// jobs of the later half ended within their objective.
    fn share_in_time(&self) -> f64 {
        let mut simulation = Simulation::new(3, 28, self.allowed_share);
        simulation.unevenness = UNEVENNESS;
        simulation.settings.uses_speeds = self.uses_speeds;
        simulation.elect_leader();
        simulation.run_ms(200);
        let urgent = simulation::step(3, 2_000, 650);
        let plain = simulation::step(8, 2_000, 3_000);
        let mut submitted = Vec::new();
        for at_ms in (0..self.duration_ms).step_by(50) {
            (self.change_workers)(&mut simulation, at_ms);
            if at_ms % 600 == 0 {
                let id = 1_000_000 + at_ms;
                simulation.submit(simulation::job(id, "long", plain.clone()));
            }
            let id = 1 + at_ms;
            simulation.submit(simulation::job(id, "short", urgent.clone()));
            if at_ms >= self.duration_ms / 2 && (self.is_counted)(at_ms) {
                submitted.push((id, simulation.now_ms));
            }
            simulation.run_ms(50);
        }
        simulation.run_ms(20_000);
        let in_time = submitted.iter().filter(|(id, at_ms)| {
            let ended_at_ms = simulation.ended_at_ms.get(id);
            ended_at_ms.is_some_and(|ended_ms| ended_ms - at_ms <= URGENT_OBJECTIVE_MS)
        });
        in_time.count() as f64 / submitted.len() as f64
    }
}

/// Guards against urgent work on workers of less than half the speed, where it ends too late, while
/// other work occupies the faster ones; with advice, against calls that name the slow ones.
#[test]
fn urgent_work_goes_to_fast_workers() {
    for (allowed_share, least) in [(None, 0.97), (Some(0.8), 0.95)] {
        let share = |uses_speeds| {
            let load = UrgentLoad {
                uses_speeds,
                allowed_share,
                duration_ms: 24_000,
                is_counted: |_| true,
                change_workers: |simulation, at_ms| {
                    for worker in (0..28).step_by(4).filter(|_| at_ms == 0) {
                        simulation.change_speed(worker, 0.45);
                    }
                },
            };
            load.share_in_time()
        };
        let (with, without) = (share(true), share(false));
        assert!(with >= least, "{with}; {without} without speeds");
        assert!(without < 0.9, "no difficulty: {without} without speeds");
    }
}

/// Guards against slow-downs that are noticed too late or remembered too long: one in seven workers
/// turns seven times slower for 6 s, then others do. Urgent work from 2 s after the change must not
/// meet them; what runs at the next change may.
#[test]
fn urgent_work_leaves_workers_that_turn_slow() {
    let share = |uses_speeds| {
        let load = UrgentLoad {
            uses_speeds,
            allowed_share: None,
            duration_ms: 36_000,
            is_counted: |at_ms| (2_000..4_600).contains(&(at_ms % 6_000)),
            change_workers: |simulation, at_ms| {
                let slow = at_ms / 6_000 % 7;
                for worker in (0..28).filter(|_| at_ms % 6_000 == 0) {
                    let is_slow = worker as u64 % 7 == slow;
                    simulation.change_speed(worker, if is_slow { 1.0 / 7.0 } else { 1.0 });
                }
            },
        };
        load.share_in_time()
    };
    let (with, without) = (share(true), share(false));
    assert!(with >= 0.98, "{with}; {without} without speeds");
    assert!(without < with, "no difficulty: {without} without speeds");
}

/// Returns the mean speed of the slowest members of gangs on workers of these speeds, which end with
/// that member.
fn mean_gang_speed(uses_speeds: bool, speeds: &[f64], members: u32) -> f64 {
    const GANGS: u64 = 10;
    let mut simulation = Simulation::new(4, 24, None);
    simulation.unevenness = UNEVENNESS;
    simulation.settings.uses_speeds = uses_speeds;
    simulation.elect_leader();
    simulation.run_ms(200);
    let speed_of = |worker: usize| speeds[worker % speeds.len()];
    for worker in 0..24 {
        simulation.change_speed(worker, speed_of(worker));
    }
    let wide = simulation::step(48, 3_000, 1_000);
    submit_every(&mut simulation, "long", &wide, 1, 25, 1_500);
    let gang = model::Step {
        gang: true,
        ..simulation::step(members, 6_000, 4_000)
    };
    let mut sum = 0.0;
    for id in 100..100 + GANGS {
        submit_every(&mut simulation, "long", &wide, 1_000 + id, 1, 4_000);
        simulation.submit(simulation::job(id, "long", gang.clone()));
        simulation.run_ms(12_000);
        let starts = simulation.starts.iter();
        let members = starts.filter(|(_, run, _)| run.task.job_id == id);
        let of_members = members.map(|(_, _, worker)| speed_of(*worker));
        let slowest = of_members.fold(f64::INFINITY, f64::min);
        assert!(slowest.is_finite(), "not started");
        sum += slowest;
    }
    sum / GANGS as f64
}

/// Guards against gangs with one slow member, for which all others wait.
#[test]
fn gang_gets_workers_of_like_speed() {
    let speeds = [0.8, 1.0, 1.25];
    let (with, without) = (
        mean_gang_speed(true, &speeds, 6),
        mean_gang_speed(false, &speeds, 6),
    );
    assert!(with >= 1.1, "{with}; {without} without speeds");
    let speeds = [0.4, 1.0, 1.0, 1.0];
    let (with, without) = (
        mean_gang_speed(true, &speeds, 16),
        mean_gang_speed(false, &speeds, 16),
    );
    assert!(with >= 0.95, "{with}; {without} without speeds");
}

/// Returns every start among equal workers under load, with and without advice.
fn starts_on_equal_workers(
    uses_speeds: bool,
    allowed_share: Option<f64>,
    unevenness: f64,
) -> Vec<(u64, model::RunKey, usize)> {
    let mut simulation = Simulation::new(5, 24, allowed_share);
    simulation.unevenness = unevenness;
    simulation.settings.uses_speeds = uses_speeds;
    simulation.elect_leader();
    simulation.run_ms(200);
    for id in 1..=300 {
        let tasks = 1 + simulation.random(8) as u32;
        let processors_milli = 500 + 500 * simulation.random(5) as u32;
        let run_ms = 300 + simulation.random(2_500) as u32;
        let (queue, is_gang) = match simulation.random(4) {
            0 => ("long", true),
            1 => ("long", false),
            _ => ("short", false),
        };
        let step = model::Step {
            gang: is_gang,
            checkpointing: is_gang,
            ..simulation::step(tasks, processors_milli, run_ms)
        };
        simulation.submit(simulation::job(id, queue, step));
        simulation.run_ms(100);
    }
    simulation.run_ms(10_000);
    simulation.starts
}

/// Guards against a change for deployments with equal workers: each run starts where and when it does
/// without speeds.
#[test]
fn equal_workers_are_served_as_before() {
    for (allowed_share, unevenness) in [(None, 0.15), (None, 0.3), (Some(0.6), 0.2)] {
        let with = starts_on_equal_workers(true, allowed_share, unevenness);
        let without = starts_on_equal_workers(false, allowed_share, unevenness);
        assert!(with.len() > 1_000);
        assert_eq!(with, without);
    }
}

/// What happens to the work on faulty workers.
#[derive(Default)]
struct FaultyDay {
    /// Runs that failed.
    failed_runs: usize,
    completed: usize,
    jobs: usize,
    most_avoided: usize,
    quarantines: u64,
    /// Starts on the workers from ten seconds after their faults on.
    starts_after: usize,
}

/// Runs jobs while two of 24 workers fail, or stall, all that they start from 4 s to 16 s.
fn faulty_day(uses_speeds: bool, stalls: bool) -> FaultyDay {
    const FAULTY: [usize; 2] = [0, 1];
    let mut simulation = Simulation::new(6, 24, None);
    simulation.unevenness = UNEVENNESS;
    simulation.settings.uses_speeds = uses_speeds;
    simulation.elect_leader();
    simulation.run_ms(200);
    let wide = simulation::step(30, 2_000, 1_200);
    let gang = model::Step {
        gang: true,
        ..simulation::step(4, 3_000, 1_500)
    };
    let mut day = FaultyDay::default();
    let mut ids = Vec::new();
    for at_ms in (0..40_000).step_by(500) {
        if at_ms == 4_000 || at_ms == 16_000 {
            let is_faulty = at_ms == 4_000;
            for worker in FAULTY {
                match stalls {
                    true => simulation.change_speed(worker, if is_faulty { 0.0 } else { 1.0 }),
                    false => simulation.workers[worker].fails_starts = is_faulty,
                }
            }
        }
        let id = 1 + at_ms;
        simulation.submit(simulation::job(id, "long", wide.clone()));
        ids.push(id);
        if at_ms % 1_500 == 0 {
            simulation.submit(simulation::job(id + 1, "long", gang.clone()));
            ids.push(id + 1);
        }
        simulation.run_ms(500);
        let summary = simulation.summary();
        let avoided = summary.quarantined_workers + summary.workers_on_trial;
        day.most_avoided = day.most_avoided.max(avoided);
    }
    simulation.run_ms(20_000);
    day.quarantines = simulation.summary().quarantines;
    day.jobs = ids.len();
    for id in ids {
        let completed = model::JobReply::Status(model::JobStatus::Completed);
        day.completed += usize::from(simulation.status(id) == Some(completed));
    }
    day.failed_runs = simulation
        .forgotten_failures
        .values()
        .map(|failures| *failures as usize)
        .sum();
    for (at_ms, _, worker) in &simulation.starts {
        if !FAULTY.contains(worker) {
            continue;
        }
        day.starts_after += usize::from(*at_ms >= 26_200);
    }
    day
}

/// Guards against workers that report good health, fail all that they start and get work all the same;
/// and against workers that never get work again after that.
#[test]
fn workers_that_fail_all_they_start_are_avoided() {
    let (with, without) = (faulty_day(true, false), faulty_day(false, false));
    assert!(with.quarantines >= 2);
    assert!(
        4 * with.failed_runs <= 3 * without.failed_runs,
        "{} failed runs; {} without quarantines",
        with.failed_runs,
        without.failed_runs
    );
    assert!(with.completed >= without.completed);
    assert!(
        with.most_avoided <= 6,
        "{} workers avoided",
        with.most_avoided
    );
    assert!(with.starts_after > 0, "not trusted again");
}

/// Guards against workers on which all runs stand still and that are not noticed, or never get work again.
#[test]
fn workers_that_stall_all_they_start_are_avoided() {
    let with = faulty_day(true, true);
    assert!(with.quarantines >= 2);
    assert_eq!(with.completed, with.jobs, "jobs that have not ended");
    assert!(with.starts_after > 0, "not trusted again");
    assert!(
        with.most_avoided <= 6,
        "{} workers avoided",
        with.most_avoided
    );
}

/// Guards against a pool that is emptied by evidence: many of the workers stall what they start.
#[test]
fn at_most_a_quarter_of_a_pool_is_avoided() {
    let mut simulation = new_simulation(7, 24);
    let wide = simulation::step(48, 2_000, 600);
    submit_every(&mut simulation, "long", &wide, 1, 10, 400);
    for worker in 0..9 {
        simulation.change_speed(worker, 0.0);
    }
    submit_every(&mut simulation, "long", &wide, 100, 30, 400);
    let summary = simulation.summary();
    assert!(summary.quarantines > 6, "{summary:?}");
    assert!(summary.quarantines_put_off > 0, "{summary:?}");
    for worker in 0..9 {
        simulation.change_speed(worker, 1.0);
    }
    let id = 1_000;
    simulation.submit(simulation::job(id, "long", wide.clone()));
    simulation.run_ms(20_000);
    let completed = model::JobReply::Status(model::JobStatus::Completed);
    assert_eq!(simulation.status(id), Some(completed));
}

/// Guards against a gang on a worker that is still on trial: if that fails again, the work of all members
/// is lost.
#[test]
fn gang_gets_no_worker_on_trial() {
    let gang_workers = |uses_speeds| {
        let mut simulation = Simulation::new(8, 8, None);
        simulation.unevenness = UNEVENNESS;
        simulation.settings.uses_speeds = uses_speeds;
        simulation.elect_leader();
        simulation.run_ms(200);
        simulation.workers[0].fails_starts = true;
        let wide = simulation::step(8, 7_000, 600);
        submit_every(&mut simulation, "long", &wide, 1, 4, 1_500);
        // Not suspended for the failures any more.
        simulation.run_ms(4_000);
        simulation.workers[0].fails_starts = false;
        let on_trial = simulation.summary().workers_on_trial;
        let gang = model::Step {
            gang: true,
            ..simulation::step(7, 7_000, 1_000)
        };
        simulation.submit(simulation::job(100, "long", gang));
        simulation.run_ms(500);
        let members = simulation.starts.iter();
        let members = members.filter(|(_, run, _)| run.task.job_id == 100);
        let members: Vec<_> = members.map(|(.., worker)| *worker).collect();
        assert_eq!(members.len(), 7, "not started");
        (on_trial, members.contains(&0))
    };
    assert_eq!(gang_workers(false), (1, true));
    assert_eq!(gang_workers(true), (1, false));
}
