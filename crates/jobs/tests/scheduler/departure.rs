//! Decisions about runs on workers that leave, without the scheduler.

use std::time;

use jobs::departure;
use jobs::departure::Decision;
use jobs::departure::RunKind;
use proptest::prelude::*;

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

fn kind() -> impl Strategy<Value = RunKind> {
    prop_oneof![
        Just(RunKind::LongRunning),
        Just(RunKind::Checkpointing),
        Just(RunKind::Plain),
    ]
}

/// Times of an expected end after the present, in milliseconds.
fn expected_end() -> impl Strategy<Value = Option<(u64, u64)>> {
    prop::option::of((0_u64..20_000, 0_u64..20_000).prop_map(|(one, two)| (one, one + two)))
}

fn end_after(now: time::Instant, end: Option<(u64, u64)>) -> Option<departure::ExpectedEnd> {
    end.map(|(earliest_ms, latest_ms)| departure::ExpectedEnd {
        earliest: now + ms(earliest_ms),
        latest: now + ms(latest_ms),
    })
}

/// Returns how urgent a decision is: larger is more urgent.
fn urgency(decision: Decision, now: time::Instant) -> time::Duration {
    let horizon = ms(1_000_000);
    match decision {
        Decision::Keep => time::Duration::ZERO,
        Decision::StopAt(at) => horizon - at.saturating_duration_since(now),
        Decision::StopNow => horizon,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_206),
        ..ProptestConfig::default()
    })]

    /// Guards against runs that are kept and lose their progress, and against checkpoints that are lost
    /// because a stop comes too late.
    #[test]
    fn checkpointing_runs_end_or_stop_before_their_worker_leaves(
        end in expected_end(),
        remaining_ms in 0_u64..30_000,
        grace_ms in 0_u64..2_000,
    ) {
        let now = time::Instant::now();
        let leaves_at = now + ms(remaining_ms);
        let departure = departure::Departure::new(ms(remaining_ms), now, now);
        let end = end_after(now, end);
        let decision =
            departure::decide(RunKind::Checkpointing, end, departure, ms(grace_ms), now);
        match decision {
            Decision::Keep => prop_assert!(end.is_some_and(|end| end.latest < leaves_at)),
            Decision::StopAt(at) => {
                prop_assert!(now < at);
                prop_assert!(at + ms(grace_ms) < leaves_at);
            }
            Decision::StopNow => {}
        }
    }

    /// Guards against plain runs that lose their work although they might have ended, or by a stop
    /// whose end nobody reads.
    #[test]
    fn plain_runs_stop_only_if_they_cannot_end_and_the_stop_is_noticed(
        end in expected_end(),
        remaining_ms in 0_u64..30_000,
        grace_ms in 0_u64..2_000,
    ) {
        let now = time::Instant::now();
        let leaves_at = now + ms(remaining_ms);
        let departure = departure::Departure::new(ms(remaining_ms), now, now);
        let end = end_after(now, end);
        let stop_at = match departure::decide(RunKind::Plain, end, departure, ms(grace_ms), now) {
            Decision::Keep => return Ok(()),
            Decision::StopAt(at) => at,
            Decision::StopNow => now,
        };
        prop_assert!(stop_at + ms(grace_ms) < leaves_at);
        // Ends in the last 300 ms would not be listed any more.
        prop_assert!(end.is_some_and(|end| end.earliest + ms(300) > leaves_at));
    }

    /// Guards against a decision that a longer stay makes more urgent.
    #[test]
    fn longer_stay_is_never_more_urgent(
        kind in kind(),
        end in expected_end(),
        remaining_ms in 0_u64..30_000,
        longer_ms in 0_u64..30_000,
    ) {
        let now = time::Instant::now();
        let end = end_after(now, end);
        let urgency_of = |remaining_ms| {
            let departure = departure::Departure::new(ms(remaining_ms), now, now);
            urgency(departure::decide(kind, end, departure, ms(900), now), now)
        };
        // A plain run is not stopped any more once nobody would notice.
        prop_assume!(kind != RunKind::Plain || remaining_ms >= 1_400);
        prop_assert!(urgency_of(remaining_ms + longer_ms) <= urgency_of(remaining_ms));
    }

    /// Guards against a gang that goes on although one of its members cannot, and against one that is
    /// stopped although no member must leave.
    #[test]
    fn gang_follows_its_worst_member(
        members in prop::collection::vec(
            (expected_end(), prop::option::of(0_u64..30_000)),
            1..8,
        ),
    ) {
        let now = time::Instant::now();
        let members: Vec<_> = members
            .into_iter()
            .map(|(end, remaining_ms)| departure::Member {
                end: end_after(now, end),
                departure: remaining_ms.map(|left| departure::Departure::new(ms(left), now, now)),
            })
            .collect();
        let kind = RunKind::Checkpointing;
        let gang = departure::decide_gang(kind, &members, ms(900), now);
        let leaving = members.iter().filter_map(|one| Some((one.end, one.departure?)));
        for (end, departure) in leaving.clone() {
            let alone = departure::decide(kind, end, departure, ms(900), now);
            prop_assert!(urgency(gang, now) >= urgency(alone, now));
        }
        let has_unknown_end = members.iter().any(|one| one.end.is_none());
        if leaving.clone().next().is_none() {
            prop_assert_eq!(gang, Decision::Keep);
        } else if has_unknown_end {
            prop_assert_ne!(gang, Decision::Keep);
        }
    }

    /// Guards against an expected end that misses the true one although the run goes on evenly.
    #[test]
    fn expected_end_of_an_even_run_encloses_the_true_one(
        run_ms in 500_u64..100_000,
        resumed_percent in 0.0_f64..60.0,
        readings in prop::collection::vec(1_u64..1_500, 1..40),
    ) {
        let started_at = time::Instant::now();
        let percent_at = |passed_ms: u64| {
            resumed_percent + 100.0 * passed_ms as f64 / run_ms as f64
        };
        let true_end_ms = (run_ms as f64 * (100.0 - resumed_percent) / 100.0) as u64;
        let mut progress = departure::RunProgress {
            started_at,
            estimate: None,
            listed: None,
        };
        let mut passed_ms = 0;
        for pause_ms in readings {
            passed_ms += pause_ms;
            if passed_ms >= true_end_ms {
                break;
            }
            let (percent, now) = (percent_at(passed_ms) as u32, started_at + ms(passed_ms));
            let listed = progress.listed.get_or_insert([(percent, now); 2]);
            if listed[1].0 < percent {
                listed[1] = (percent, now);
            }
            if let Some(end) = progress.expected_end(now) {
                let true_end = started_at + ms(true_end_ms);
                prop_assert!(end.earliest <= true_end + ms(1), "{end:?} {true_end:?}");
                prop_assert!(end.latest + ms(1) >= true_end, "{end:?} {true_end:?}");
            }
        }
    }

    /// Guards against stops that are too late because a report was older than it was taken for.
    #[test]
    fn worker_that_keeps_its_word_stays_as_long_as_expected(
        leaves_after_ms in 0_u64..20_000,
        reads in prop::collection::vec((1_u64..1_500, 0.0_f64..1.0, 0_u64..500), 1..20),
    ) {
        let origin = time::Instant::now();
        let mut known: Option<departure::Departure> = None;
        let mut last_read_ms = 0;
        for (pause_ms, written, shorter_ms) in reads {
            let read_ms = last_read_ms + pause_ms;
            let written_ms = last_read_ms + (written * pause_ms as f64) as u64;
            let left_ms = leaves_after_ms.saturating_sub(written_ms + shorter_ms);
            let (after, at) = (origin + ms(last_read_ms), origin + ms(read_ms));
            if written_ms < leaves_after_ms {
                let next = match known {
                    Some(known) => known.update(ms(left_ms), after, at),
                    None => departure::Departure::new(ms(left_ms), after, at),
                };
                prop_assert!(next.not_before <= origin + ms(leaves_after_ms));
                let is_shorter = next.not_before >= after + ms(left_ms);
                let is_later = known.is_none_or(|known| known.not_before <= next.not_before);
                prop_assert!(is_later || is_shorter);
                known = Some(next);
            }
            last_read_ms = read_ms;
        }
    }
}

/// Guards against an overflow of the time, which would end the leader's control thread.
#[test]
fn absurd_times_do_not_overflow() {
    let now = time::Instant::now();
    let departure = departure::Departure::new(time::Duration::MAX, now, now);
    let departure = departure.update(time::Duration::ZERO, now, now);
    let decision = departure::decide(
        RunKind::Checkpointing,
        None,
        departure,
        time::Duration::from_secs(60),
        now,
    );
    assert_eq!(decision, Decision::StopNow);
    let progress = departure::RunProgress {
        started_at: now,
        estimate: Some(ms(u64::from(u32::MAX))),
        listed: Some([(0, now), (200, now)]),
    };
    assert!(progress.expected_end(now).is_some());
}

/// Guards against a notice that becomes shorter and is ignored.
#[test]
fn worker_that_leaves_earlier_than_announced_is_believed() {
    let now = time::Instant::now();
    let departure = departure::Departure::new(ms(30_000), now, now);
    let later = now + ms(700);
    let departure = departure.update(ms(2_000), now, later);
    assert_eq!(departure.not_before, now + ms(2_000));
}
