//! What 180 tenants cost the leader at the planned size, in virtual time: 55,000 running tasks, 11,000
//! waiting jobs and 970 starts a second, against the same load without tenants.
//!
//! `cargo bench -p jobs --bench tenants [-- ROUNDS [WORKERS]]`; running and waiting work is in proportion
//! to the workers.

#[path = "../tests/scheduler/simulation/mod.rs"]
#[allow(dead_code, clippy::expect_used)]
mod simulation;

use std::time;

use simulation::limits;

/// Workers of the planned size, on which as many tasks run.
const WORKERS: usize = 2_620;
/// Tasks that fit on a worker.
const TASKS_PER_WORKER: usize = 21;
/// Waiting jobs for each worker.
const WAITING_PER_WORKER: f64 = 4.2;
/// Length of a run, in milliseconds: 55,000 of them end at 970 a second.
const RUN_MS: u64 = 56_700;
/// Tasks of a job.
const TASKS_PER_JOB: usize = 5;
/// Number of tenants.
const TENANTS: usize = 180;
/// Virtual time before and of the measurement, in milliseconds.
const WARM_UP_MS: u64 = 3_000;
const MEASURED_MS: u64 = 5_000;
/// Virtual time between two submissions, in milliseconds.
const STEP_MS: u64 = 5;
/// One in this many tenants has a cap, of half of what its weight is owed.
const CAPPED_DIVISOR: usize = 5;

/// What a load is run with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    NoTenants,
    Shares,
    SharesAndCaps,
}

/// Result of one run.
struct Measured {
    /// Time of the scheduler.
    took: time::Duration,
    starts: u32,
    waiting_steps: usize,
    visits: u64,
}

/// Weights fall from 1 to 1/180 of the largest, and are so high that no job is beyond its rate.
fn weight(tenant: usize) -> f64 {
    100_000.0 / (tenant + 1) as f64
}

fn name(tenant: usize) -> String {
    format!("tenant-{tenant}")
}

fn tenants(variant: Variant, workers: usize) -> Vec<tenants::Tenant> {
    let total: f64 = (0..TENANTS).map(weight).sum();
    let capacity = (workers * 32_000) as f64;
    let tenant = |number: usize| {
        let cap = capacity * weight(number) / total / 2.0;
        match variant == Variant::SharesAndCaps && number % CAPPED_DIVISOR == 1 {
            true => limits::capped(&name(number), weight(number), cap.max(10_000.0) as u64),
            false => limits::tenant(&name(number), weight(number)),
        }
    };
    (0..TENANTS).map(tenant).collect()
}

fn submit(
    simulation: &mut simulation::Simulation,
    variant: Variant,
    id: model::JobId,
    run_ms: u64,
) {
    let step = simulation::step(TASKS_PER_JOB as u32, 1_500, run_ms as u32);
    let queue = if id.is_multiple_of(3) {
        "short"
    } else {
        "long"
    };
    let job = simulation::job(id, queue, step);
    // The heavy tenants submit most.
    let tenant = (id.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40) as usize % TENANTS;
    match variant {
        Variant::NoTenants => simulation.submit(job),
        _ => simulation.submit_as(&name(tenant / (1 + id as usize % 4)), job),
    };
}

fn run(variant: Variant, workers: usize) -> Measured {
    let mut simulation = simulation::Simulation::new(1, workers, None);
    simulation.omits_checks = true;
    simulation.directory_interval_ms = 1_000;
    for worker in &mut simulation.workers {
        worker.capacity = model::Demand {
            processors_milli: 32_000,
            memory_mb: 131_072,
            accelerators: 0,
        };
    }
    if variant != Variant::NoTenants {
        simulation.use_limits(tenants(variant, workers));
    }
    simulation.run_ms(1_200);
    let mut next_id = 0;
    // Runs that end one after the other from the start on.
    let running = workers * TASKS_PER_WORKER / TASKS_PER_JOB;
    for number in 0..running {
        next_id += 1;
        let run_ms = 3_000 + RUN_MS * number as u64 / running as u64;
        submit(&mut simulation, variant, next_id, run_ms);
        if number % 100 == 0 {
            simulation.run_ms(20);
        }
    }
    let waiting = (workers as f64 * WAITING_PER_WORKER) as usize;
    for number in 0..waiting {
        next_id += 1;
        submit(&mut simulation, variant, next_id, RUN_MS);
        if number % 200 == 0 {
            simulation.run_ms(20);
        }
    }
    let per_second = (workers * TASKS_PER_WORKER) as f64 / RUN_MS as f64 * 1_000.0;
    let mut proceed = |simulation: &mut simulation::Simulation, duration_ms: u64| {
        let (begin_ms, mut due, mut submitted) = (simulation.now_ms, 0.0, 0.0);
        while simulation.now_ms < begin_ms + duration_ms {
            due += per_second / TASKS_PER_JOB as f64 * STEP_MS as f64 / 1_000.0;
            while submitted < due {
                submitted += 1.0;
                next_id += 1;
                submit(simulation, variant, next_id, RUN_MS);
            }
            simulation.run_ms(STEP_MS);
        }
    };
    proceed(&mut simulation, WARM_UP_MS);
    let (took, starts) = (simulation.decision_time, simulation.start_count);
    let visits = simulation.placement_visits();
    proceed(&mut simulation, MEASURED_MS);
    Measured {
        took: simulation.decision_time - took,
        starts: simulation.start_count - starts,
        waiting_steps: simulation.waiting_steps(),
        visits: simulation.placement_visits() - visits,
    }
}

fn main() {
    let mut numbers = std::env::args().filter_map(|argument| argument.parse::<usize>().ok());
    let rounds = numbers.next().unwrap_or(3);
    let workers = numbers.next().unwrap_or(WORKERS);
    let variants = [Variant::NoTenants, Variant::Shares, Variant::SharesAndCaps];
    let mut best = [f64::MAX; 3];
    for round in 1..=rounds {
        for (variant, best) in variants.into_iter().zip(&mut best) {
            let measured = run(variant, workers);
            let per_second = measured.took.as_secs_f64() / (MEASURED_MS as f64 / 1_000.0);
            // Other processes only add to the time.
            *best = best.min(per_second);
            println!(
                "round {round}, {variant:?}: {:.1}% of a core, {:.0} starts/s, {} waiting, {} visits/s",
                100.0 * per_second,
                f64::from(measured.starts) / (MEASURED_MS as f64 / 1_000.0),
                measured.waiting_steps,
                measured.visits * 1_000 / MEASURED_MS,
            );
        }
    }
    for (variant, one) in variants.into_iter().zip(best) {
        println!("{variant:?}: {:.2} times without tenants", one / best[0]);
    }
}
