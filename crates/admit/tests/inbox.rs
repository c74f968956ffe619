//! Tests of the order in which a leader's inputs are taken, and of when it is overloaded.

use std::time;

const LIMIT: usize = 1_000;

fn inbox() -> admit::Inbox<&'static str, u32> {
    admit::Inbox::new(LIMIT)
}

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

fn push(inbox: &mut admit::Inbox<&'static str, u32>, requests: u32, at: time::Instant) {
    for request in 0..requests {
        inbox
            .push_request(admit::Rank::Change, request, at)
            .expect("there is room");
    }
}

#[test]
fn events_come_before_changes_and_changes_before_reads() {
    let start = time::Instant::now();
    let mut inbox = inbox();
    inbox.push_request(admit::Rank::Read, 1, start).unwrap();
    inbox.push_request(admit::Rank::Change, 2, start).unwrap();
    inbox.push_event("ended", start);
    inbox.push_event("renewed", start + ms(1));
    let round = inbox.take(start + ms(5), |_| false);
    assert_eq!(round.events, ["ended", "renewed"]);
    assert_eq!(round.requests, [2, 1]);
    assert_eq!(round.longest_wait, ms(5));
    assert!(inbox.is_empty());
}

#[test]
fn an_event_waits_for_one_round_of_requests_at_most() {
    let start = time::Instant::now();
    let mut inbox = inbox();
    push(&mut inbox, 500, start);
    let first = inbox.take(start, |_| false);
    assert!(first.requests.len() < 100, "{}", first.requests.len());
    inbox.push_event("ended", start);
    let second = inbox.take(start + ms(1), |_| false);
    assert_eq!(second.events, ["ended"]);
}

#[test]
fn requests_beyond_the_limit_are_returned_and_events_are_not() {
    let start = time::Instant::now();
    let mut inbox = inbox();
    push(&mut inbox, 1_000, start);
    assert_eq!(inbox.push_request(admit::Rank::Read, 7, start), Err(7));
    inbox.push_event("ended", start);
    assert_eq!(inbox.take(start, |_| false).events, ["ended"]);
    inbox.push_request(admit::Rank::Read, 7, start).unwrap();
}

#[test]
fn requests_whose_callers_have_gone_are_dropped_without_a_place_in_the_round() {
    let start = time::Instant::now();
    let mut inbox = inbox();
    push(&mut inbox, 600, start);
    let round = inbox.take(start, |request| *request < 580);
    assert_eq!(round.gone, 580);
    assert_eq!(round.requests.len(), 20);
    assert!(inbox.is_empty());
}

#[test]
fn one_slow_round_is_no_overload() {
    let start = time::Instant::now();
    let mut inbox = inbox();
    push(&mut inbox, 300, start);
    for round in 0..5 {
        let taken = inbox.take(start + ms(900 + 10 * round), |_| false);
        assert_eq!(taken.overload, None);
    }
}

#[test]
fn lasting_waits_are_an_overload_which_ends_when_they_do() {
    let start = time::Instant::now();
    let mut inbox = inbox();
    push(&mut inbox, 900, start);
    let mut overloads = Vec::new();
    for round in 0..10 {
        let taken = inbox.take(start + ms(500 + 100 * round), |_| false);
        overloads.push(taken.overload.is_some());
    }
    assert_eq!(overloads[..3], [false, false, false]);
    assert!(overloads[3..].iter().all(|overload| *overload));
    let later = start + ms(2_000);
    while !inbox.is_empty() {
        inbox.take(later, |_| false);
    }
    push(&mut inbox, 1, later);
    assert_eq!(inbox.take(later + ms(10), |_| false).overload, None);
}

#[test]
fn late_events_alone_are_an_overload() {
    let start = time::Instant::now();
    let mut inbox = inbox();
    let mut overload = None;
    for round in 0..5 {
        let now = start + ms(1_000 * round);
        inbox.push_event("ended", now);
        overload = inbox.take(now + ms(900), |_| false).overload;
    }
    assert!(overload.is_some());
}

#[test]
fn refused_callers_are_told_to_return_one_after_another() {
    let overload = admit::Overload {
        drain: ms(1_500),
        request_cost: ms(2),
    };
    let retries = [0, 100, 1_000, 1_000_000].map(|refused| overload.retry_after(refused));
    assert_eq!(retries, [ms(1_500), ms(1_700), ms(3_500), ms(8_000)]);
    let short = admit::Overload {
        drain: ms(20),
        request_cost: ms(1),
    };
    assert_eq!(short.retry_after(0), ms(1_000));
}

#[test]
fn clearing_returns_the_requests() {
    let start = time::Instant::now();
    let mut inbox = inbox();
    inbox.push_event("ended", start);
    inbox.push_request(admit::Rank::Read, 1, start).unwrap();
    inbox.push_request(admit::Rank::Change, 2, start).unwrap();
    assert_eq!(inbox.clear(), [2, 1]);
    assert!(inbox.is_empty());
}
