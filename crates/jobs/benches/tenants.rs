//! What 180 tenants cost the leader at the planned size, in virtual time: 55,000 running tasks, 11,000
//! waiting jobs and 970 starts a second, against the same load without tenants.
//!
//! `cargo bench -p jobs --bench tenants [-- WINDOWS [WORKERS]]`; running and waiting work is in proportion
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
/// Length of a run, in milliseconds: 55,000 of them end at 970 a second, with the time until their places
/// are taken again.
const RUN_MS: u64 = 54_500;
/// Tasks of a job.
const TASKS_PER_JOB: usize = 5;
/// Number of tenants.
const TENANTS: usize = 180;
/// Virtual time before the measurement, in milliseconds.
const WARM_UP_MS: u64 = 3_000;
/// Number of windows that are measured, and the virtual time of each, in milliseconds.
const WINDOWS: usize = 40;
const WINDOW_MS: u64 = 250;
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

/// A load and what it has taken so far.
struct Load {
    simulation: simulation::Simulation,
    variant: Variant,
    workers: usize,
    last_id: model::JobId,
    /// Jobs that are due by now, and those that have been submitted.
    due: f64,
    submitted: f64,
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

impl Load {
    /// Creates a load in which as many tasks run and as many jobs wait as in the measurement.
    fn new(variant: Variant, workers: usize) -> Self {
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
        let mut load = Self {
            simulation,
            variant,
            workers,
            last_id: 0,
            due: 0.0,
            submitted: 0.0,
        };
        // Runs that end one after the other from the start on.
        let running = workers * TASKS_PER_WORKER / TASKS_PER_JOB;
        for number in 0..running {
            load.submit(3_000 + RUN_MS * number as u64 / running as u64);
            if number % 100 == 0 {
                load.simulation.run_ms(20);
            }
        }
        for number in 0..(workers as f64 * WAITING_PER_WORKER) as usize {
            load.submit(RUN_MS);
            if number % 200 == 0 {
                load.simulation.run_ms(20);
            }
        }
        load.proceed(WARM_UP_MS);
        load
    }

    fn submit(&mut self, run_ms: u64) {
        self.last_id += 1;
        let id = self.last_id;
        let step = simulation::step(TASKS_PER_JOB as u32, 1_500, run_ms as u32);
        let queue = if id.is_multiple_of(3) {
            "short"
        } else {
            "long"
        };
        let job = simulation::job(id, queue, step);
        // The heavy tenants submit most.
        let tenant = (id.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40) as usize % TENANTS;
        match self.variant {
            Variant::NoTenants => self.simulation.submit(job),
            _ => {
                let tenant = name(tenant / (1 + id as usize % 4));
                self.simulation.submit_as(&tenant, job)
            }
        };
    }

    /// Goes on for some virtual time, with as many new tasks as end; returns the time that the scheduler
    /// has taken.
    fn proceed(&mut self, duration_ms: u64) -> time::Duration {
        let took = self.simulation.decision_time;
        let end_ms = self.simulation.now_ms + duration_ms;
        let per_ms = (self.workers * TASKS_PER_WORKER / TASKS_PER_JOB) as f64 / RUN_MS as f64;
        while self.simulation.now_ms < end_ms {
            self.due += per_ms * STEP_MS as f64;
            while self.submitted < self.due {
                self.submitted += 1.0;
                self.submit(RUN_MS);
            }
            self.simulation.run_ms(STEP_MS);
        }
        self.simulation.decision_time - took
    }
}

fn median(mut numbers: Vec<f64>) -> f64 {
    numbers.sort_by(f64::total_cmp);
    numbers[numbers.len() / 2]
}

fn main() {
    let mut numbers = std::env::args().filter_map(|argument| argument.parse::<usize>().ok());
    let windows = numbers.next().unwrap_or(WINDOWS);
    let workers = numbers.next().unwrap_or(WORKERS);
    let variants = [Variant::NoTenants, Variant::Shares, Variant::SharesAndCaps];
    let mut loads = variants.map(|variant| Load::new(variant, workers));
    let begins = [0, 1, 2].map(|index| {
        let simulation = &loads[index].simulation;
        (simulation.start_count, simulation.placement_visits())
    });
    // Window by window in turn, so that other processes slow down all of them.
    let mut shares = [const { Vec::new() }; 3];
    for _ in 0..windows {
        for (load, shares) in loads.iter_mut().zip(&mut shares) {
            let took = load.proceed(WINDOW_MS);
            shares.push(took.as_secs_f64() * 1_000.0 / WINDOW_MS as f64);
        }
    }
    let base = shares[0].clone();
    let seconds = (windows as u64 * WINDOW_MS) as f64 / 1_000.0;
    for ((load, shares), (starts, visits)) in loads.iter().zip(shares).zip(begins) {
        let ratios = shares.iter().zip(&base).map(|(one, base)| one / base);
        let least = shares.iter().copied().fold(f64::MAX, f64::min);
        println!(
            "{:?}: {:.2} times without tenants; {:.1}% of a core, least {:.1}%; {:.0} starts/s, \
             {} waiting, {:.0} visits/s",
            load.variant,
            median(ratios.collect()),
            100.0 * median(shares),
            100.0 * least,
            f64::from(load.simulation.start_count - starts) / seconds,
            load.simulation.waiting_steps(),
            (load.simulation.placement_visits() - visits) as f64 / seconds,
        );
    }
}
