//! Tests of the detection of silent connections, with times given by the test.
#![allow(clippy::unwrap_used)]

use std::time;

const fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

/// Returns whether connections of a generation are known to be silent.
async fn is_silent(silence: &store::Silence, generation: store::Generation) -> bool {
    let waiting = silence.wait_for_silence(generation);
    tokio::time::timeout(time::Duration::ZERO, waiting)
        .await
        .is_ok()
}

/// Guards against waits on a silent connection for as long as they were meant to take: a later call was
/// answered on a new one.
#[tokio::test]
async fn a_later_answer_on_a_new_connection_proves_the_silence_of_older_ones() {
    let silence = store::Silence::default();
    let now = time::Instant::now();
    let waits_on = silence.generation();
    let _unanswered = silence.begin(now);
    let repeated = silence.begin(now + ms(300));
    assert!(repeated.generation() > waits_on);
    assert!(!is_silent(&silence, waits_on).await);
    repeated.record_answer();
    assert!(is_silent(&silence, waits_on).await);
    assert!(!is_silent(&silence, silence.generation()).await);
}

/// Guards against more calls to a store that is down or slow, which are no reason to begin anew.
#[tokio::test]
async fn unanswered_and_slow_calls_prove_nothing() {
    let silence = store::Silence::default();
    let now = time::Instant::now();
    let slow = silence.begin(now);
    // In time, on the same connections.
    silence.begin(now + ms(200)).record_answer();
    let repeated = silence.begin(now + ms(300));
    let generation = repeated.generation();
    silence.begin(now + ms(400)).record_failure();
    // The earlier one is answered first.
    slow.record_answer();
    repeated.record_answer();
    assert!(!is_silent(&silence, 0).await);
    assert_eq!(silence.generation(), generation);
}

/// Guards against evidence that is lost with a call that has timed out or was abandoned.
#[tokio::test]
async fn a_call_that_was_given_up_counts() {
    let silence = store::Silence::default();
    let long_ago = time::Instant::now().checked_sub(ms(1_000)).unwrap();
    drop(silence.begin(long_ago));
    silence.begin(time::Instant::now()).record_answer();
    assert!(is_silent(&silence, 0).await);
    // Once.
    let generation = silence.generation();
    silence.begin(time::Instant::now()).record_answer();
    assert!(!is_silent(&silence, generation).await);
}

/// Guards against a second silence that hits the connection by which the first one was found.
#[tokio::test]
async fn a_second_silence_is_found_like_the_first() {
    let silence = store::Silence::default();
    let now = time::Instant::now();
    for round in 0..5 {
        let generation = silence.generation();
        let at = now + ms(310 * round);
        let unanswered = silence.begin(at);
        let repeated = silence.begin(at + ms(300));
        repeated.record_answer();
        assert!(is_silent(&silence, generation).await, "round {round}");
        drop(unanswered);
    }
}
