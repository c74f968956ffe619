//! Time limits of orders, by the clock of the relay that executes them.

use std::time;

use proptest::prelude::*;

const TIMEOUT: time::Duration = time::Duration::from_millis(700);

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

/// Returns what the leader knows after a message that the relay sent at `sent_ms` by its clock.
fn relay_time_at(sent_ms: u64) -> relay::RelayTime {
    let mut relay_time = relay::RelayTime::default();
    relay_time.record(ms(sent_ms));
    relay_time
}

/// Late start: orders wait in the socket of a stalled relay, time out at the leader, and a worker
/// restarts. The relay must not begin them when it resumes.
#[test]
fn order_that_waited_while_the_relay_stood_still_is_not_begun() {
    let opened_at = time::Instant::now();
    let clock = relay::OrderClock::new(opened_at);
    let begin_by = relay_time_at(10_000).begin_by(TIMEOUT, ms(0));
    assert!(!clock.is_past(begin_by, opened_at + ms(10_300)));
    assert!(clock.is_past(begin_by, opened_at + ms(14_000)));
}

/// An order that the leader has held for longer than its timeout is not begun, however fresh the
/// reading of the relay's clock is.
#[test]
fn order_that_waited_at_the_leader_is_not_begun() {
    let opened_at = time::Instant::now();
    let clock = relay::OrderClock::new(opened_at);
    let begin_by = relay_time_at(10_000).begin_by(TIMEOUT, ms(4_000));
    assert!(clock.is_past(begin_by, opened_at + ms(10_000)));
}

/// A malformed reading takes no process down.
#[test]
fn reading_beyond_the_range_of_the_clock_is_harmless() {
    let mut relay_time = relay::RelayTime::default();
    relay_time.record(time::Duration::MAX);
    let begin_by = relay_time.begin_by(TIMEOUT, ms(0));
    assert!(!relay::OrderClock::new(time::Instant::now()).is_past(begin_by, time::Instant::now()));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_205),
        ..ProptestConfig::default()
    })]

    /// Whatever delays messages in both directions, reordered or not, no order begins later than the
    /// leader's timeout after its decision.
    #[test]
    fn no_order_begins_after_the_leader_has_given_it_up(
        messages in prop::collection::vec((0_u64..5_000, 0_u64..5_000), 0..20),
        decided_ms in 0_u64..10_000,
        held_ms in 0_u64..2_000,
        transfer_ms in 0_u64..6_000,
    ) {
        let opened_at = time::Instant::now();
        let clock = relay::OrderClock::new(opened_at);
        let mut relay_time = relay::RelayTime::default();
        let sent_ms = decided_ms + held_ms;
        for (message_ms, delay_ms) in messages {
            if message_ms + delay_ms <= sent_ms {
                relay_time.record(clock.reading(opened_at + ms(message_ms)));
            }
        }
        let begin_by = relay_time.begin_by(TIMEOUT, ms(held_ms));
        let begins_ms = sent_ms + transfer_ms;
        let is_given_up = begins_ms >= decided_ms + TIMEOUT.as_millis() as u64;
        prop_assert!(!is_given_up || clock.is_past(begin_by, opened_at + ms(begins_ms)));
    }
}

/// Guards against authority from the future: a reading that the clock has not had yet proves nothing.
#[test]
fn reading_that_the_clock_has_not_had_has_no_time() {
    let opened_at = time::Instant::now();
    let clock = relay::OrderClock::new(opened_at);
    let ms = time::Duration::from_millis;
    let now = opened_at + ms(500);
    assert_eq!(clock.time_of(ms(500), now), Some(now));
    assert_eq!(clock.time_of(ms(20), now), Some(opened_at + ms(20)));
    assert_eq!(clock.time_of(ms(501), now), None);
    assert_eq!(clock.time_of(time::Duration::MAX, now), None);
}
