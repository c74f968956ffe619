//! Tests of the detection of silent connections, with times given by the test.
#![allow(clippy::unwrap_used)]

use std::time;

const fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

/// Returns whether connections of a generation are known to be silent.
async fn is_silent(silence: &store::SilenceDetector, generation: store::Generation) -> bool {
    let waiting = silence.wait_for_silence(generation);
    tokio::time::timeout(time::Duration::ZERO, waiting)
        .await
        .is_ok()
}

/// Guards against waits on a silent connection for as long as they were meant to take: a later call was
/// answered on a new one.
#[tokio::test]
async fn a_later_answer_on_a_new_connection_proves_the_silence_of_older_ones() {
    let silence = store::SilenceDetector::new(telemetry::Metrics::without_exporter());
    let now = time::Instant::now();
    let waits_on = silence.generation();
    let _unanswered = silence.begin(now);
    let repeated = silence.begin(now + ms(300));
    assert!(repeated.generation() > waits_on);
    assert!(!is_silent(&silence, waits_on).await);
    repeated.record_answer(now + ms(304));
    assert!(is_silent(&silence, waits_on).await);
    let next = silence.begin(now + ms(400));
    assert!(!is_silent(&silence, next.generation()).await);
}

/// Guards against a wait that only the next call would end.
#[tokio::test]
async fn a_wait_ends_without_another_call() {
    let silence = store::SilenceDetector::new(telemetry::Metrics::without_exporter());
    let now = time::Instant::now();
    let _unanswered = silence.begin(now.checked_sub(ms(300)).unwrap());
    let waiting = silence.wait_for_silence(0);
    let answering = async {
        tokio::task::yield_now().await;
        silence.begin(now).record_answer(time::Instant::now());
    };
    tokio::join!(waiting, answering);
}

/// Guards against more work for a process that is overloaded, or for a store that is down or slow: answers
/// arrive late and in any order, and no connection is silent.
#[tokio::test]
async fn unanswered_and_slow_calls_prove_nothing() {
    let silence = store::SilenceDetector::new(telemetry::Metrics::without_exporter());
    let now = time::Instant::now();
    let slow = silence.begin(now);
    // In time, on the same connections.
    silence.begin(now + ms(200)).record_answer(now + ms(204));
    let repeated = silence.begin(now + ms(300));
    silence.begin(now + ms(400)).record_failure();
    repeated.record_answer(now + ms(700));
    slow.record_answer(now + ms(720));
    let next = silence.begin(now + ms(800));
    assert_eq!(next.generation(), 0);
    assert!(!is_silent(&silence, 0).await);
}

/// Guards against evidence that is lost with a call that has timed out or was abandoned.
#[tokio::test]
async fn a_call_that_was_given_up_counts() {
    let silence = store::SilenceDetector::new(telemetry::Metrics::without_exporter());
    let now = time::Instant::now();
    drop(silence.begin(now.checked_sub(ms(1_000)).unwrap()));
    silence.begin(now).record_answer(now);
    let next = silence.begin(now + ms(100));
    assert!(is_silent(&silence, 0).await);
    // Once.
    let generation = next.generation();
    next.record_answer(now + ms(104));
    assert_eq!(silence.begin(now + ms(500)).generation(), generation);
}

/// Guards against a second silence that hits the connections by which the first one is being found.
#[tokio::test]
async fn a_second_silence_is_found_like_the_first() {
    let silence = store::SilenceDetector::new(telemetry::Metrics::without_exporter());
    let now = time::Instant::now();
    let _first = silence.begin(now);
    let second = silence.begin(now + ms(300));
    let third = silence.begin(now + ms(600));
    assert!(third.generation() > second.generation());
    third.record_answer(now + ms(604));
    let next = silence.begin(now + ms(700));
    assert!(is_silent(&silence, second.generation()).await);
    assert_eq!(next.generation(), silence.generation());
}
