//! Tests of the budget for repeated requests.

use std::time;

#[test]
fn a_broken_connection_allows_a_retry_of_each_waiting_request() {
    let start = time::Instant::now();
    let mut budget = admit::RetryBudget::new(start);
    assert!((0..30).all(|_| budget.try_retry(start)));
    assert!(!budget.try_retry(start));
}

#[test]
fn retries_add_a_fifth_to_the_load_while_the_leader_is_slow() {
    let start = time::Instant::now();
    let mut budget = admit::RetryBudget::new(start);
    while budget.try_retry(start) {}
    let mut retries = 0;
    // Everyone retries at once: each of 10,000 requests would be repeated three times.
    for _ in 0..10_000 {
        budget.record_first_attempt();
        retries += (0..3).filter(|_| budget.try_retry(start)).count();
    }
    assert_eq!(retries, 2_000);
}

#[test]
fn an_instance_without_new_callers_may_retry_a_few_times_a_second() {
    let start = time::Instant::now();
    let mut budget = admit::RetryBudget::new(start);
    while budget.try_retry(start) {}
    let mut retries = 0;
    for ms in 0..2_000 {
        let now = start + time::Duration::from_millis(ms);
        retries += u32::from(budget.try_retry(now));
    }
    assert_eq!(retries, 9);
}
