//! Tests of the quarantine of workers that fail or stall what they start, without the scheduler.

#[path = "../../src/worker_quality.rs"]
#[allow(dead_code)]
mod worker_quality;

use std::time;

use proptest::prelude::*;
use worker_quality::State;

const SECOND: time::Duration = time::Duration::from_secs(1);

fn blame(succeeded: u32, failed_elsewhere: u32, failed_here: u32) -> f64 {
    worker_quality::blame_of(&worker_quality::StepResults {
        succeeded,
        failed_elsewhere,
        failed_here,
    })
}

/// Returns a worker that is on trial since now.
fn on_trial() -> (worker_quality::Quality, time::Instant) {
    let start = time::Instant::now();
    let mut quality = worker_quality::Quality::default();
    quality.record_failure(1.0, start);
    quality.record_failure(1.0, start);
    let now = start + 2 * SECOND;
    assert_eq!(
        quality.update(now),
        Some(worker_quality::Transition::OnTrial)
    );
    (quality, now)
}

/// Guards against a worker that is blamed for a step that fails everywhere, or is not blamed for one
/// that succeeds elsewhere.
#[test]
fn step_that_fails_everywhere_is_to_blame() {
    assert!(blame(10, 0, 0) > 0.9);
    assert!(blame(0, 3, 0) < 0.2);
    // A wide step fails on the first worker that it runs on.
    let now = time::Instant::now();
    let mut quality = worker_quality::Quality::default();
    for failed_here in 0..4 {
        quality.record_failure(blame(0, 0, failed_here), now);
    }
    for failed_here in 4..100 {
        quality.record_failure(blame(0, failed_here, failed_here), now);
    }
    assert_eq!(quality.state(), State::Trusted, "{quality:?}");
}

/// Guards against a worker that fails all that it starts and gets work all the same.
#[test]
fn failures_of_steps_that_succeed_elsewhere_quarantine() {
    let now = time::Instant::now();
    let mut quality = worker_quality::Quality::default();
    for _ in 0..20 {
        quality.record_success(now, now);
    }
    assert_eq!(quality.record_failure(blame(6, 0, 0), now), None);
    let transition = quality.record_failure(blame(6, 0, 1), now);
    assert_eq!(transition, Some(worker_quality::Transition::Quarantined));
}

/// Guards against a quarantine for single failures among many successes.
#[test]
fn occasional_failures_do_not_quarantine() {
    let start = time::Instant::now();
    let mut quality = worker_quality::Quality::default();
    for number in 0..200_u32 {
        let now = start + SECOND * number / 4;
        match number % 5 {
            0 => quality.record_failure(blame(6, 0, 0), now),
            _ => quality.record_success(now, now),
        };
        assert_eq!(quality.state(), State::Trusted);
    }
}

/// Guards against a worker that gets all its work back at once, or never.
#[test]
fn trial_widens_step_by_step() {
    let (mut quality, now) = on_trial();
    let mut allowed = Vec::new();
    for number in 0..20 {
        let State::Trial { runs, .. } = quality.state() else {
            break;
        };
        allowed.push(runs);
        quality.record_success(now, now + SECOND * number / 10);
    }
    assert_eq!(allowed, [1, 2, 2, 4, 4, 4, 4]);
    assert_eq!(quality.state(), State::Trusted);
}

/// Guards against a fault that is overlooked while runs from before it end well.
#[test]
fn runs_from_before_a_fault_do_not_hide_it() {
    let start = time::Instant::now();
    let mut quality = worker_quality::Quality::default();
    let now = start + SECOND;
    quality.record_failure(blame(6, 0, 0), now);
    for _ in 0..8 {
        quality.record_success(start, now);
    }
    let transition = quality.record_failure(blame(6, 0, 1), now);
    assert_eq!(transition, Some(worker_quality::Transition::Quarantined));
}

/// Guards against a trial that succeeds by runs from before it.
#[test]
fn runs_from_before_the_trial_do_not_end_it() {
    let (mut quality, now) = on_trial();
    for _ in 0..10 {
        quality.record_success(now - SECOND, now);
    }
    assert!(matches!(quality.state(), State::Trial { runs: 1, .. }));
}

/// Guards against quarantines that stay short on a worker that does not recover, or grow without bound.
#[test]
fn failed_trials_lengthen_the_quarantine_up_to_a_limit() {
    let (mut quality, mut now) = on_trial();
    let mut pauses_s = Vec::new();
    for _ in 0..5 {
        quality.record_stall(now);
        let State::Quarantined { until } = quality.state() else {
            panic!("{quality:?}");
        };
        pauses_s.push((until - now).as_secs());
        now = until;
        quality.update(now);
    }
    assert_eq!(pauses_s, [4, 8, 16, 16, 16]);
}

/// Guards against a worker that is on trial for ever, as there is no work to try it with.
#[test]
fn trial_without_work_ends() {
    let (mut quality, now) = on_trial();
    assert_eq!(quality.update(now + 10 * SECOND), None);
    let transition = quality.update(now + 21 * SECOND);
    assert_eq!(transition, Some(worker_quality::Transition::Restored));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_207),
        ..ProptestConfig::default()
    })]

    /// Whatever happens, a quarantine is bounded, and a worker that does well is trusted again.
    #[test]
    fn worker_that_does_well_is_trusted_again(
        outcomes in prop::collection::vec((0_u8..4, 0.0_f64..=1.0, 0_u64..3_000), 0..80),
    ) {
        let mut now = time::Instant::now();
        let mut quality = worker_quality::Quality::default();
        for (kind, blame, pause_ms) in outcomes {
            now += time::Duration::from_millis(pause_ms);
            quality.update(now);
            match kind {
                0 => quality.record_success(now, now),
                1 => quality.record_stall(now),
                _ => quality.record_failure(blame, now),
            };
            if let State::Quarantined { until } = quality.state() {
                prop_assert!(until <= now + 16 * SECOND);
            }
            prop_assert!(quality.blame(now).is_finite());
        }
        for _ in 0..40 {
            now += SECOND;
            quality.update(now);
            quality.record_success(now, now);
        }
        prop_assert_eq!(quality.state(), State::Trusted);
    }
}
