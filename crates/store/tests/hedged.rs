//! Tests of attempts in flight at once, in paused time.

use std::time;

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

async fn reply_after(delay: time::Duration, reply: u32) -> u32 {
    tokio::time::sleep(delay).await;
    reply
}

/// The store answers every attempt after 600 ms: the reply to the first one counts, although a
/// second and a third were made meanwhile.
#[tokio::test(start_paused = true)]
async fn late_reply_to_the_first_attempt_counts() {
    let started = tokio::time::Instant::now();
    let mut attempts = store::Hedged::default();
    for (attempt, timeout) in [ms(120), ms(240), ms(480)].into_iter().enumerate() {
        attempts.start(reply_after(ms(600), attempt as u32));
        if let Ok(reply) = tokio::time::timeout(timeout, attempts.next_reply()).await {
            assert_eq!((reply, started.elapsed()), (0, ms(600)));
            return;
        }
    }
    panic!("no attempt was answered");
}

#[tokio::test(start_paused = true)]
async fn attempt_on_a_dead_connection_does_not_hold_up_the_others() {
    let mut attempts = store::Hedged::default();
    attempts.start(reply_after(time::Duration::from_secs(3_600), 0));
    attempts.start(reply_after(ms(5), 1));
    assert_eq!(attempts.next_reply().await, 1);
    assert!(!attempts.is_empty());
}

#[tokio::test(start_paused = true)]
async fn no_more_attempts_than_the_limit_are_in_flight() {
    let mut attempts = store::Hedged::default();
    for attempt in 0..10 {
        attempts.start(reply_after(ms(100), attempt));
    }
    let replies = [
        attempts.next_reply().await,
        attempts.next_reply().await,
        attempts.next_reply().await,
    ];
    assert_eq!(replies, [0, 1, 2]);
    assert!(attempts.is_empty());
}

/// The store is silent: the first attempt's own timeout tells so, however often another is made.
#[tokio::test(start_paused = true)]
async fn silence_is_reported_after_the_timeout_of_an_attempt() {
    let started = tokio::time::Instant::now();
    let mut attempts = store::Hedged::default();
    let reply = loop {
        attempts.start(reply_after(ms(1_000), 7));
        if let Ok(reply) = tokio::time::timeout(ms(300), attempts.next_reply()).await {
            break reply;
        }
    };
    assert_eq!((reply, started.elapsed()), (7, ms(1_000)));
}

#[tokio::test(start_paused = true)]
async fn without_attempts_there_is_no_reply() {
    let mut attempts = store::Hedged::<u32>::default();
    assert!(attempts.is_empty());
    let reply = tokio::time::timeout(ms(1_000), attempts.next_reply()).await;
    assert!(reply.is_err());
}
