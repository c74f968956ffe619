//! Tests of the estimate of a worker's speed, without the scheduler.

#[path = "../../src/speed.rs"]
#[allow(dead_code)]
mod speed;

use std::time;

use proptest::prelude::*;

const TASK_MS: u64 = 1_000;

fn observation(speed: f64) -> speed::Observation {
    speed::Observation {
        log_speed: speed.ln(),
        coverage: 1.0,
        compared_with: 4,
    }
}

fn rate(log_rate: f64) -> speed::MeasuredRate {
    speed::MeasuredRate {
        log_rate,
        log_speed: 0.0,
        coverage: 1.0,
    }
}

/// Returns a number from -1 to 1 that depends on `seed` only.
fn noise(seed: u64) -> f64 {
    let mut mixed = (seed + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((mixed ^ (mixed >> 31)) % 2_000_001) as f64 / 1e6 - 1.0
}

fn observe(estimate: &mut speed::Estimate, observation: &speed::Observation, now: time::Instant) {
    estimate.observe_recent(observation, now);
    estimate.observe_steady(observation, now);
}

/// Runs steps of one task on each worker, uneven by `unevenness`, for `rounds`; returns the estimates.
/// The runs of a step are recorded in the order of their ends.
fn estimates_after(
    speeds: &[f64],
    unevenness: f64,
    rounds: u64,
) -> (Vec<speed::Estimate>, time::Instant) {
    let start = time::Instant::now();
    let mut now = start;
    let mut estimates = vec![speed::Estimate::default(); speeds.len()];
    for round in 0..rounds {
        let mut rates = speed::GroupRates::default();
        let runs = speeds.iter().enumerate().map(|(index, of_worker)| {
            let size = 1.0 + unevenness * noise(round * 1_000 + index as u64);
            let elapsed_ms = TASK_MS as f64 * size / of_worker;
            (time::Duration::from_secs_f64(elapsed_ms / 1_000.0), index)
        });
        let mut runs: Vec<_> = runs.collect();
        runs.sort();
        for (elapsed, index) in runs {
            let mut pace = speed::Pace::default();
            pace.begin(start);
            let measured = pace.measure_end(None, start + elapsed).expect("measured");
            let worker_id: model::WorkerId = index.to_string().into();
            if let Some(baseline) = rates.baseline(&worker_id, now) {
                estimates[index].observe_recent(&measured.observation(&baseline), now);
            }
            let rate = speed::MeasuredRate {
                log_rate: measured.log_rate,
                log_speed: estimates[index].log_speed(now),
                coverage: 1.0,
            };
            rates.record(index as u32, &worker_id, &rate, now);
        }
        for (worker_id, observation) in rates.take_batch() {
            let index: usize = worker_id.parse().expect("a number");
            estimates[index].observe_steady(&observation, now);
        }
        now += time::Duration::from_millis(TASK_MS);
    }
    (estimates, now)
}

/// Guards against speeds that are taken from the unevenness of tasks: equal workers must look alike.
#[test]
fn equal_workers_have_the_usual_level() {
    let (estimates, now) = estimates_after(&[1.0; 12], 0.3, 120);
    let levels: Vec<_> = estimates.iter().map(|one| one.level(0.0, now)).collect();
    assert_eq!(levels, vec![0; 12]);
}

/// Guards against a spread of speeds of 1.6 that is not told from uneven tasks.
#[test]
fn spread_of_speeds_is_found() {
    let speeds: Vec<_> = [0.8, 1.0, 1.25].iter().copied().cycle().take(12).collect();
    let (estimates, now) = estimates_after(&speeds, 0.2, 60);
    for (of_worker, estimate) in speeds.iter().zip(&estimates) {
        let level = estimate.level(0.0, now);
        match *of_worker {
            of_worker if of_worker < 1.0 => assert!(level < 0, "{of_worker}: {level}"),
            of_worker if of_worker > 1.0 => assert!(level > 0, "{of_worker}: {level}"),
            _ => assert_eq!(level, 0),
        }
    }
}

/// Guards against workers of half the speed that are noticed only after many runs.
#[test]
fn half_speed_is_found_after_a_few_runs() {
    let mut speeds = vec![1.0; 9];
    speeds.extend([0.45; 3]);
    let (estimates, now) = estimates_after(&speeds, 0.3, 8);
    for (of_worker, estimate) in speeds.iter().zip(&estimates) {
        let level = estimate.level(0.0, now);
        assert_eq!(level < -1, *of_worker < 1.0, "{of_worker}: {level}");
    }
}

/// Guards against a slow-down of seconds that is seen late, or remembered for long, and against its
/// effect on the steady estimate. The worker lists its runs every 500 ms.
#[test]
fn slow_down_is_seen_within_two_seconds_and_forgotten() {
    let start = time::Instant::now();
    let at = |ms: u64| start + time::Duration::from_millis(ms);
    let mut estimate = speed::Estimate::default();
    for second in 0..30 {
        observe(&mut estimate, &observation(1.0), at(second * 1_000));
    }
    let baseline = speed::Baseline {
        log_rate: (100.0_f64 / 4_000.0).ln(),
        workers: 4,
    };
    let mut paces = [speed::Pace::default(); 3];
    for pace in &mut paces {
        pace.begin(at(30_000));
    }
    let mut seen_ms = None;
    let mut percent = 0.0;
    for since_ms in (500..=6_000).step_by(500) {
        percent += 12.5 / 7.0;
        for pace in &mut paces {
            let now = at(30_000 + since_ms);
            if let Some(measured) = pace.measure(percent as u32, Some(&baseline), now) {
                observe(&mut estimate, &measured.observation(&baseline), now);
            }
        }
        if estimate.level(0.0, at(30_000 + since_ms)) <= -4 {
            seen_ms.get_or_insert(since_ms);
        }
    }
    assert!(seen_ms.is_some_and(|ms| ms <= 2_000), "{seen_ms:?}");
    let forgotten = (0..20_000)
        .step_by(100)
        .find(|ms| estimate.level(0.0, at(36_000 + ms)) == 0);
    assert!(forgotten.is_some_and(|ms| ms <= 8_000), "{forgotten:?}");
}

/// Guards against a slow estimate that outlasts a slow-down although runs are seen at their usual pace.
#[test]
fn recovery_is_seen_within_two_seconds() {
    let start = time::Instant::now();
    let mut estimate = speed::Estimate::default();
    let mut now = start;
    for _ in 0..6 {
        now += time::Duration::from_millis(1_000);
        observe(&mut estimate, &observation(1.0 / 7.0), now);
    }
    assert!(estimate.level(0.0, now) <= -5);
    for _ in 0..8 {
        now += time::Duration::from_millis(250);
        observe(&mut estimate, &observation(1.0), now);
    }
    assert!(estimate.level(0.0, now) >= -2, "{estimate:?}");
}

/// Guards against a resumed run that looks fast, as it begins beyond 0.
#[test]
fn resumed_run_is_measured_from_its_first_listing() {
    let start = time::Instant::now();
    let at = |ms: u64| start + time::Duration::from_millis(ms);
    let mut pace = speed::Pace::default();
    assert_eq!(pace.measure(60, None, at(100)), None);
    let measured = pace.measure_end(None, at(500)).expect("measured");
    assert!((measured.log_rate - (40.0_f64 / 400.0).ln()).abs() < 1e-9);
    assert!((measured.percent - 40.0).abs() < 1e-9);
}

/// Guards against a run that stands still and is never noticed, or is counted at each listing.
#[test]
fn run_without_progress_is_stalled_once() {
    let start = time::Instant::now();
    let baseline = speed::Baseline {
        log_rate: (100.0_f64 / 2_000.0).ln(),
        workers: 3,
    };
    let mut pace = speed::Pace::default();
    pace.begin(start);
    let mut stalls = Vec::new();
    for ms in (500..5_000).step_by(500) {
        let now = start + time::Duration::from_millis(ms);
        let measured = pace.measure(0, Some(&baseline), now);
        if measured.is_some_and(|one| one.is_new_stall) {
            stalls.push(ms);
        }
    }
    assert_eq!(stalls, [1_000]);
}

/// Guards against a run that is compared with itself or with others on the same worker.
#[test]
fn baseline_leaves_out_the_own_worker() {
    let now = time::Instant::now();
    let mut rates = speed::GroupRates::default();
    let (own, other) = (model::WorkerId::from("own"), model::WorkerId::from("other"));
    rates.record(0, &own, &rate(-1.0), now);
    rates.record(1, &own, &rate(-2.0), now);
    assert_eq!(rates.baseline(&own, now), None);
    rates.record(2, &other, &rate(-3.0), now);
    let baseline = rates.baseline(&own, now);
    let wanted = speed::Baseline {
        log_rate: -3.0,
        workers: 1,
    };
    assert_eq!(baseline, Some(wanted));
}

/// Guards against a large group that is mostly on one worker, which is then compared with itself.
#[test]
fn baseline_of_a_packed_group_leaves_out_the_own_worker() {
    let now = time::Instant::now();
    let mut rates = speed::GroupRates::default();
    let (own, other) = (model::WorkerId::from("own"), model::WorkerId::from("other"));
    for task in 0..30 {
        rates.record(task, &own, &rate(-1.0), now);
    }
    rates.record(30, &other, &rate(-3.0), now);
    let baseline = rates.baseline(&own, now);
    assert!(
        baseline.is_some_and(|one| one.log_rate == -3.0),
        "{baseline:?}"
    );
}

/// Guards against an incarnation that is trusted like the one before: a few runs must outweigh that.
#[test]
fn inherited_estimate_has_little_weight() {
    let mut now = time::Instant::now();
    let mut estimate = speed::Estimate::default();
    for _ in 0..60 {
        now += time::Duration::from_millis(500);
        observe(&mut estimate, &observation(0.4), now);
    }
    let mut inherited = estimate.inherited();
    assert!(inherited.level(0.0, now) < 0, "{inherited:?}");
    for _ in 0..10 {
        now += time::Duration::from_millis(500);
        observe(&mut inherited, &observation(1.0), now);
    }
    assert_eq!(inherited.level(0.0, now), 0, "{inherited:?}");
}

fn any_observation() -> impl Strategy<Value = (speed::Observation, u64)> {
    let value = prop_oneof![any::<f64>(), -4.0..4.0];
    let fields = (value.clone(), value, 0_usize..40, 0_u64..5_000);
    fields.prop_map(|(log_speed, coverage, compared_with, pause_ms)| {
        let observation = speed::Observation {
            log_speed,
            coverage,
            compared_with,
        };
        (observation, pause_ms)
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_206),
        ..ProptestConfig::default()
    })]

    /// Whatever is observed, an estimate is a number within bounds.
    #[test]
    fn estimate_is_bounded(observations in prop::collection::vec(any_observation(), 0..60)) {
        let mut now = time::Instant::now();
        let mut estimate = speed::Estimate::default();
        for (observation, pause_ms) in &observations {
            now += time::Duration::from_millis(*pause_ms);
            observe(&mut estimate, observation, now);
            let log_speed = estimate.log_speed(now);
            prop_assert!((-2.5..=0.5).contains(&log_speed), "{log_speed}");
            prop_assert!((-12..=3).contains(&estimate.level(0.0, now)));
            prop_assert!((0.0..=30.0).contains(&estimate.evidence(now)));
        }
    }

    /// A bad estimate is forgotten: without evidence after some minutes, and by runs at the usual pace
    /// within tens of runs.
    #[test]
    fn bad_estimate_decays(observations in prop::collection::vec(any_observation(), 0..60)) {
        let mut now = time::Instant::now();
        let mut estimate = speed::Estimate::default();
        for (observation, pause_ms) in &observations {
            now += time::Duration::from_millis(*pause_ms);
            observe(&mut estimate, observation, now);
        }
        let later = now + time::Duration::from_secs(600);
        prop_assert_eq!(estimate.level(0.0, later), 0);
        for _ in 0..100 {
            now += time::Duration::from_millis(1_000);
            observe(&mut estimate, &observation(1.0), now);
        }
        prop_assert_eq!(estimate.level(0.0, now), 0);
    }

    /// The names of workers do not matter: if they change places, so do their estimates.
    #[test]
    fn permutation_of_workers_permutes_rates(
        log_rates in prop::collection::vec(-8.0_f64..0.0, 2..16),
        rotation in 0_usize..16,
    ) {
        let now = time::Instant::now();
        let names: Vec<model::WorkerId> =
            (0..log_rates.len()).map(|index| format!("w{index}").into()).collect();
        let rotation = rotation % names.len();
        let baselines = |names: &[model::WorkerId]| {
            let mut rates = speed::GroupRates::default();
            for (task, (name, log_rate)) in (0..).zip(names.iter().zip(&log_rates)) {
                rates.record(task, name, &rate(*log_rate), now);
            }
            let baselines: Vec<_> = names.iter().map(|name| rates.baseline(name, now)).collect();
            baselines
        };
        let mut rotated = names.clone();
        rotated.rotate_left(rotation);
        prop_assert_eq!(baselines(&names), baselines(&rotated));
    }

    /// No listing of progress, however odd, gives a rate that is not a number.
    #[test]
    fn measurements_are_numbers(
        listings in prop::collection::vec((0_u32..=200, 0_u64..3_000), 1..40),
        log_rate in -60.0_f64..10.0,
    ) {
        let baseline = speed::Baseline { log_rate, workers: 2 };
        let mut now = time::Instant::now();
        let mut pace = speed::Pace::default();
        for (percent, pause_ms) in listings {
            now += time::Duration::from_millis(pause_ms);
            let ended = pace.measure_end(Some(&baseline), now);
            let running = pace.measure(percent, Some(&baseline), now);
            for measured in ended.into_iter().chain(running) {
                prop_assert!(measured.log_rate.is_finite());
                let observation = measured.observation(&baseline);
                prop_assert!(observation.log_speed.is_finite());
            }
        }
    }
}
