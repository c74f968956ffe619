//! A mix of gangs, wide steps and short jobs on many workers, in virtual time: how much of its
//! worth each kind earns by ending in time, and how it loads the recommendation service.
//!
//! `cargo bench -p jobs --bench mix [-- SEEDS [WORKERS [SLOW_PERCENT]]]`; jobs arrive in proportion to
//! the workers. With `SLOW_PERCENT`, as many workers run at less than half the speed, tasks of a step
//! are uneven, and each seed runs without and with the speeds of the workers.

#[path = "../tests/scheduler/simulation/mod.rs"]
#[allow(dead_code, clippy::expect_used)]
mod simulation;

use std::collections;
use std::sync;
use std::time;

use rand::Rng as _;
use rand::SeedableRng as _;

/// How long jobs are submitted, in milliseconds.
const SUBMISSION_MS: u64 = 34_000;
/// Time after that in which jobs may still end, in milliseconds.
const DRAIN_MS: u64 = 30_000;
/// Period of the sine wave of the submission rate, in milliseconds.
const WAVE_PERIOD_MS: f64 = 15_000.0;
/// Amplitude of that wave, as a share of the mean rate.
const WAVE_AMPLITUDE: f64 = 0.55;
/// Time of a burst of gangs, in milliseconds, and the factor on their rate.
const BURST_TIME_MS: std::ops::Range<u64> = 18_000..22_000;
const BURST_FACTOR: f64 = 1.8;
/// Share of steps whose tasks are stragglers, and the factor on their run time.
const STRAGGLER_SHARE: f64 = 0.03;
const STRAGGLER_FACTOR: f64 = 7.0;

/// Speed of slow workers.
const SLOW_SPEED: f64 = 0.45;
/// By how much tasks of a step differ where some workers are slow, as a share.
const UNEVENNESS: f64 = 0.2;

/// Workers to which the rates of the kinds apply.
const BASE_WORKERS: usize = 350;

/// One kind of job.
struct Kind {
    name: &'static str,
    per_second: f64,
    second_step_probability: f64,
    mean_tasks: f64,
    max_tasks: f64,
    processors_milli: f64,
    memory_mb: u32,
    run_ms: f64,
    estimate_error: f64,
    is_gang: bool,
    priority: u32,
    stretch: f64,
    target_latency_ms: u64,
    advice_ms: f64,
    advice_per_worker_ms: f64,
    allowed_share: f64,
}

const KINDS: [Kind; 3] = [
    Kind {
        name: "gang",
        per_second: 5.0,
        second_step_probability: 0.2,
        mean_tasks: 20.0,
        max_tasks: 120.0,
        processors_milli: 9_000.0,
        memory_mb: 18_000,
        run_ms: 4_200.0,
        estimate_error: 0.2,
        is_gang: true,
        priority: 1,
        stretch: 2.2,
        target_latency_ms: 1_200,
        advice_ms: 559.0,
        advice_per_worker_ms: 8.06,
        allowed_share: 0.3,
    },
    Kind {
        name: "wide",
        per_second: 8.0,
        second_step_probability: 0.5,
        mean_tasks: 25.0,
        max_tasks: 150.0,
        processors_milli: 3_500.0,
        memory_mb: 7_000,
        run_ms: 2_900.0,
        estimate_error: 0.2,
        is_gang: false,
        priority: 2,
        stretch: 4.0,
        target_latency_ms: 3_000,
        advice_ms: 156.0,
        advice_per_worker_ms: 2.34,
        allowed_share: 0.45,
    },
    Kind {
        name: "short",
        per_second: 96.9,
        second_step_probability: 0.0,
        mean_tasks: 3.2,
        max_tasks: 19.0,
        processors_milli: 5_000.0,
        memory_mb: 10_000,
        run_ms: 680.0,
        estimate_error: 0.9,
        is_gang: false,
        priority: 0,
        stretch: 1.5,
        target_latency_ms: 400,
        advice_ms: 11.7,
        advice_per_worker_ms: 0.169,
        allowed_share: 0.7,
    },
];

fn manifest() -> jobs::Manifest {
    let queue = |kind: &Kind| jobs::Queue {
        name: kind.name.into(),
        host: "h".to_owned(),
        path_prefix: format!("/{}/", kind.name),
        pool: "pool".into(),
        priority: kind.priority,
        max_failures: 4,
        stretch: kind.stretch,
        target_latency: time::Duration::from_millis(kind.target_latency_ms),
        request_timeout: time::Duration::from_secs(3),
        advice: Some(jobs::AdviceTerms {
            base_time: time::Duration::from_secs_f64(kind.advice_ms / 1_000.0),
            time_per_worker: time::Duration::from_secs_f64(kind.advice_per_worker_ms / 1_000.0),
            validity: time::Duration::from_millis(1_500),
        }),
    };
    jobs::Manifest {
        version: 1,
        queues: KINDS
            .iter()
            .map(|kind| (kind.name.into(), sync::Arc::new(queue(kind))))
            .collect(),
        pools: indexmap::IndexMap::new(),
        ..jobs::Manifest::default()
    }
}

/// Returns a random number with an approximately log-normal distribution around `mean`.
fn random_log_normal(rng: &mut rand::rngs::StdRng, mean: f64, spread: f64) -> f64 {
    let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    mean * (spread * normal - spread * spread / 2.0).exp()
}

/// A submitted job, and the time within which it should end.
struct SubmittedJob {
    kind: usize,
    at_ms: u64,
    objective_ms: u64,
    work: f64,
}

fn random_job(
    rng: &mut rand::rngs::StdRng,
    simulation: &mut simulation::Simulation,
    id: model::JobId,
    kind: usize,
) -> (model::Job, SubmittedJob) {
    let of = &KINDS[kind];
    let mut steps = Vec::new();
    let (mut chain_ms, mut work) = (0.0, 0.0);
    let count = 1 + u16::from(rng.random_bool(of.second_step_probability));
    for index in 0..count {
        let straggler_factor = if rng.random_bool(STRAGGLER_SHARE) {
            STRAGGLER_FACTOR
        } else {
            1.0
        };
        let usual_ms = of.run_ms / (1.0 + STRAGGLER_SHARE * (STRAGGLER_FACTOR - 1.0));
        let run_ms = random_log_normal(rng, usual_ms, 0.5) * straggler_factor;
        let task_count = random_log_normal(rng, of.mean_tasks, 0.8)
            .clamp(1.0, of.max_tasks)
            .round();
        let processors = random_log_normal(rng, of.processors_milli, 0.4).clamp(500.0, 30_000.0);
        let estimate = 1.0 + of.estimate_error * (rng.random::<f64>() - 0.5);
        simulation.run_times_ms.insert((id, index), run_ms as u64);
        chain_ms += run_ms;
        work += run_ms * task_count * processors;
        steps.push(model::Step {
            gang: of.is_gang,
            after: (0..index).collect(),
            demand: model::Demand {
                processors_milli: processors as u32,
                memory_mb: of.memory_mb,
                accelerators: 0,
            },
            ..simulation::step(task_count as u32, 0, (run_ms * estimate) as u32)
        });
    }
    let advice_ms = (of.advice_ms + 30.0 * of.advice_per_worker_ms) * f64::from(count);
    let objective_ms = of.stretch * (chain_ms + advice_ms) + of.target_latency_ms as f64;
    let job = model::Job {
        steps,
        ..simulation::job(id, of.name, simulation::step(1, 1, 1))
    };
    let submitted = SubmittedJob {
        kind,
        at_ms: simulation.now_ms,
        objective_ms: objective_ms as u64,
        work,
    };
    (job, submitted)
}

/// Workers of different speeds.
#[derive(Clone, Copy)]
struct UnevenWorkers {
    slow_percent: usize,
    uses_speeds: bool,
}

fn run_seed(seed: u64, workers: usize, uneven: Option<UnevenWorkers>) -> Vec<(usize, f64)> {
    let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
    let mut simulation = simulation::Simulation::new(seed, workers, Some(1.0));
    for worker in &mut simulation.workers {
        worker.capacity = model::Demand {
            processors_milli: 32_000,
            memory_mb: 131_072,
            accelerators: 0,
        };
    }
    simulation.allowed_shares = KINDS
        .iter()
        .map(|kind| (kind.name.into(), kind.allowed_share))
        .collect();
    let scale = workers as f64 / BASE_WORKERS as f64;
    if let Some(uneven) = uneven {
        simulation.unevenness = UNEVENNESS;
        simulation.settings.uses_speeds = uneven.uses_speeds;
        for worker in (0..workers).filter(|worker| worker * 37 % 100 < uneven.slow_percent) {
            simulation.change_speed(worker, SLOW_SPEED);
        }
    }
    simulation.use_manifest(manifest(), (36.0 * scale) as usize);
    simulation.run_ms(500);
    let mut submitted = collections::HashMap::new();
    let mut next_id = 0;
    let start_ms = simulation.now_ms;
    while simulation.now_ms < start_ms + SUBMISSION_MS {
        let since_ms = simulation.now_ms - start_ms;
        let wave =
            1.0 + WAVE_AMPLITUDE * (std::f64::consts::TAU * since_ms as f64 / WAVE_PERIOD_MS).sin();
        for (kind, of) in KINDS.iter().enumerate() {
            let is_burst = of.is_gang && BURST_TIME_MS.contains(&since_ms);
            let factor = if is_burst { BURST_FACTOR } else { 1.0 };
            let expected = of.per_second * scale * wave * factor / 100.0;
            let mut count = expected.floor() as u32;
            count += u32::from(rng.random_bool(expected.fract()));
            for _ in 0..count {
                next_id += 1;
                let (job, of_job) = random_job(&mut rng, &mut simulation, next_id, kind);
                submitted.insert(next_id, of_job);
                simulation.submit(job);
            }
        }
        simulation.run_ms(10);
        if since_ms.is_multiple_of(2_000) {
            print_load(&simulation, since_ms, &submitted);
        }
    }
    simulation.run_ms(DRAIN_MS);
    print_results(&mut simulation, &submitted)
}

/// Prints the utilisation of the workers, and how many jobs of each kind have not started.
fn print_load(
    simulation: &simulation::Simulation,
    since_ms: u64,
    submitted: &collections::HashMap<model::JobId, SubmittedJob>,
) {
    let used: f64 = simulation
        .workers
        .iter()
        .map(|worker| f64::from(worker.used().processors_milli))
        .sum();
    let all: f64 = simulation
        .workers
        .iter()
        .map(|worker| f64::from(worker.capacity.processors_milli))
        .sum();
    let waiting = |kind: usize| {
        let jobs = submitted.iter().filter(|(_, one)| one.kind == kind);
        jobs.filter(|(id, _)| !simulation.started_at_ms.contains_key(*id))
            .count()
    };
    println!(
        "  {:5.1} s: {:.0}% used, not begun: {} gang, {} wide, {} short",
        since_ms as f64 / 1_000.0,
        100.0 * used / all,
        waiting(0),
        waiting(1),
        waiting(2)
    );
}

fn print_results(
    simulation: &mut simulation::Simulation,
    submitted: &collections::HashMap<model::JobId, SubmittedJob>,
) -> Vec<(usize, f64)> {
    let mut results = Vec::new();
    for (kind, of) in KINDS.iter().enumerate() {
        let jobs: Vec<_> = submitted
            .iter()
            .filter(|(_, one)| one.kind == kind)
            .collect();
        let mean_work = jobs.iter().map(|(_, one)| one.work).sum::<f64>() / jobs.len() as f64;
        let (mut earned, mut max_worth, mut in_time, mut late) = (0.0, 0.0, 0, 0);
        for (id, one) in &jobs {
            let worth = (0.3 + 0.7 * one.work / mean_work).min(4.0);
            max_worth += worth;
            let completed = model::JobReply::Status(model::JobStatus::Completed);
            if simulation.status(**id) != Some(completed) {
                continue;
            }
            let took_ms = simulation.ended_at_ms[*id] - one.at_ms;
            if took_ms <= one.objective_ms {
                earned += worth;
                in_time += 1;
            } else if took_ms <= 3 * one.objective_ms {
                earned += 0.2 * worth;
                late += 1;
            }
        }
        println!(
            "  {:6} {:5} jobs, in time {:5}, late {:4}, worth {:.3}",
            of.name,
            jobs.len(),
            in_time,
            late,
            earned / max_worth
        );
        results.push((kind, earned / max_worth));
    }
    for (queue, (calls, busy_ms)) in &simulation.advice_load {
        let busy_s = *busy_ms as f64 / 1_000.0;
        println!("  advice for {queue}: {calls} calls, {busy_s:.0} s");
    }
    println!(
        "  decisions took {} ms of processor time",
        simulation.decision_time.as_millis()
    );
    results
}

fn main() {
    let mut numbers = std::env::args().filter_map(|argument| argument.parse::<u64>().ok());
    let seeds = numbers.next().unwrap_or(3);
    let workers = numbers
        .next()
        .map_or(BASE_WORKERS, |number| number as usize);
    let slow_percent = numbers.next().map(|number| number as usize);
    let uneven = |uses_speeds| {
        slow_percent.map(|slow_percent| UnevenWorkers {
            slow_percent,
            uses_speeds,
        })
    };
    let variants = match slow_percent {
        None => vec![None],
        Some(_) => vec![uneven(false), uneven(true)],
    };
    for variant in variants {
        match variant {
            Some(UnevenWorkers {
                uses_speeds: true, ..
            }) => println!("with speeds"),
            Some(_) => println!("without speeds"),
            None => {}
        }
        let mut sums = [0.0; KINDS.len()];
        for seed in 1..=seeds {
            println!("seed {seed}");
            for (kind, worth) in run_seed(seed, workers, variant) {
                sums[kind] += worth;
            }
        }
        for (kind, sum) in KINDS.iter().zip(sums) {
            println!("{}: mean worth {:.3}", kind.name, sum / seeds as f64);
        }
    }
}
