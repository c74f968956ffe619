//! Order, fair shares, admission and choice of targets of a queue.

use std::time;

mod support;

use support::ms;

const LOCAL: place::Target = place::Target::Local;
const NEAR: place::Proximity = place::Proximity::SameDataCentre;

fn queue(slots: u32, short_slots: u32, now: time::Instant) -> place::Queue {
    let mut queue = place::Queue::new(place::QueueSettings::default());
    queue.set_capacity(&LOCAL, NEAR, support::summary(slots, short_slots), now);
    queue
}

fn push(
    queue: &mut place::Queue,
    number: u128,
    plan: &str,
    spec: model::TaskSpec,
    now: time::Instant,
) {
    queue.push(support::queued(support::task(number, plan, spec), now), now);
}

fn dispatched_numbers(
    queue: &mut place::Queue,
    limits: &mut support::Limits,
    now: time::Instant,
) -> Vec<u128> {
    let mut dispatched_numbers = Vec::new();
    while let Some(dispatch) = queue.next(limits, now) {
        dispatched_numbers.push(dispatch.queued.task.task_id.as_u128());
    }
    dispatched_numbers
}

fn batch() -> model::TaskSpec {
    support::spec(model::Class::Batch)
}

fn observe_runs(
    queue: &mut place::Queue,
    customer: &str,
    kind: &str,
    run: time::Duration,
    now: time::Instant,
) {
    let peak = support::demand(1000, 1024, 0);
    for _ in 0..20 {
        queue.record_finished(&customer.into(), kind, run, peak, peak, now);
    }
}

#[test]
fn urgent_tasks_go_first_within_their_plan() {
    let now = time::Instant::now();
    let mut queue = queue(8, 0, now);
    push(&mut queue, 1, "expo", batch(), now);
    let urgent = model::TaskSpec {
        urgency: model::Urgency::Urgent,
        ..batch()
    };
    push(&mut queue, 2, "expo", urgent, now);
    assert_eq!(
        dispatched_numbers(&mut queue, &mut support::Limits::default(), now),
        [2, 1]
    );
}

#[test]
fn plans_share_by_weight_and_predicted_slot_time() {
    let now = time::Instant::now();
    let mut queue = queue(0, 0, now);
    queue.set_plans(&indexmap::indexmap! { "a".into() => 3, "b".into() => 1 });
    observe_runs(&mut queue, "a", "badge-form", ms(10_000), now);
    observe_runs(&mut queue, "b", "badge-form", ms(5_000), now);
    for number in 0..100 {
        push(&mut queue, number, "a", batch(), now);
        push(&mut queue, 1000 + number, "b", batch(), now);
    }
    queue.set_capacity(&LOCAL, NEAR, support::summary(50, 0), now);
    let started = dispatched_numbers(&mut queue, &mut support::Limits::default(), now);
    let started_of_a = started.iter().filter(|number| **number < 1000).count();
    assert_eq!(started.len(), 50);
    assert!(
        (29..=31).contains(&started_of_a),
        "3 x 5 s to 1 x 10 s is 30 to 20, was {started_of_a}"
    );
}

#[test]
fn a_plan_at_its_limit_does_not_block_others() {
    let now = time::Instant::now();
    let mut queue = queue(8, 0, now);
    for number in 0..4 {
        push(&mut queue, number, "a", batch(), now);
        push(&mut queue, 10 + number, "b", batch(), now);
    }
    let mut limits = support::Limits {
        left: indexmap::indexmap! { "a".into() => 1 },
    };
    let mut started = dispatched_numbers(&mut queue, &mut limits, now);
    started.sort_unstable();
    assert_eq!(started, [0, 10, 11, 12, 13]);
    assert_eq!(queue.queued_of_plan(&"a".into()), 3);
    limits.left.insert("a".into(), 9);
    assert_eq!(dispatched_numbers(&mut queue, &mut limits, now), [1, 2, 3]);
}

#[test]
fn a_task_that_fits_nowhere_does_not_block_its_plan() {
    let now = time::Instant::now();
    let mut queue = queue(8, 0, now);
    let large = model::TaskSpec {
        demand: support::demand(65_000, 1024, 0),
        ..batch()
    };
    push(&mut queue, 1, "a", large, now);
    push(&mut queue, 2, "a", batch(), now);
    assert_eq!(
        dispatched_numbers(&mut queue, &mut support::Limits::default(), now),
        [2]
    );
}

#[test]
fn slots_kept_for_short_tasks_go_to_kinds_observed_as_short() {
    let now = time::Instant::now();
    let mut queue = queue(0, 2, now);
    observe_runs(&mut queue, "a", "badge-form", ms(300), now);
    observe_runs(&mut queue, "b", "badge-form", ms(30_000), now);
    let declared_short = model::TaskSpec {
        declared_run_ms: Some(1),
        ..batch()
    };
    push(&mut queue, 1, "b", declared_short, now);
    push(&mut queue, 2, "a", batch(), now);
    assert_eq!(queue.short_waiting(now), 1);
    assert_eq!(
        dispatched_numbers(&mut queue, &mut support::Limits::default(), now),
        [2]
    );
}

#[test]
fn a_few_stragglers_leave_a_kind_short_and_many_do_not() {
    let now = time::Instant::now();
    let mut queue = queue(0, 0, now);
    let peak = support::demand(1000, 1024, 0);
    for run in 0..100 {
        let few = if run % 20 == 0 { 60_000 } else { 300 };
        let many = if run % 4 == 0 { 60_000 } else { 300 };
        queue.record_finished(&"few".into(), "badge-form", ms(few), peak, peak, now);
        queue.record_finished(&"many".into(), "badge-form", ms(many), peak, peak, now);
    }
    push(&mut queue, 1, "few", batch(), now);
    push(&mut queue, 2, "many", batch(), now);
    assert_eq!(queue.short_waiting(now), 1);
}

#[test]
fn an_unobserved_kind_gets_few_slots_kept_for_short_tasks() {
    let now = time::Instant::now();
    let mut queue = queue(0, 20, now);
    for number in 0..20 {
        let declared_short = model::TaskSpec {
            declared_run_ms: Some(1),
            ..batch()
        };
        push(&mut queue, number, "a", declared_short, now);
    }
    let started = dispatched_numbers(&mut queue, &mut support::Limits::default(), now);
    assert_eq!(started.len(), 4);
}

#[test]
fn the_larger_of_declared_and_observed_is_reserved() {
    let now = time::Instant::now();
    let mut queue = queue(8, 0, now);
    for _ in 0..20 {
        let peak = support::demand(3000, 900_000, 0);
        queue.record_finished(&"a".into(), "badge-form", ms(9_000), peak, peak, now);
    }
    push(&mut queue, 1, "a", batch(), now);
    let dispatch = queue
        .next(&mut support::Limits::default(), now)
        .expect("the task fits");
    assert!((3000..=3400).contains(&dispatch.reserve.processors_milli));
    assert_eq!(
        dispatch.reserve.memory_mb, 262_144,
        "capped at the largest worker"
    );
}

#[test]
fn a_refused_task_keeps_its_position_and_is_offered_elsewhere() {
    let now = time::Instant::now();
    let mut queue = queue(8, 0, now);
    let peer = place::Target::Peer("peer#1".into());
    queue.set_capacity(
        &peer,
        place::Proximity::SameRegion,
        support::summary(8, 0),
        now,
    );
    push(&mut queue, 1, "a", batch(), now);
    push(&mut queue, 2, "a", batch(), now);
    let mut limits = support::Limits::default();
    let first = queue
        .next(&mut limits, now)
        .expect("there is free capacity");
    assert_eq!(first.target, LOCAL);
    queue.requeue_refused(first, now);
    assert_eq!(queue.len(), 2);
    let again = queue
        .next(&mut limits, now)
        .expect("the peer has free capacity");
    assert_eq!(again.queued.task.task_id.as_u128(), 1);
    assert_eq!(again.target, peer);
    queue.requeue_refused(again, now);
    assert!(queue.next(&mut limits, now).is_none());
    queue.set_capacity(&LOCAL, NEAR, support::summary(8, 0), now);
    assert!(
        queue.next(&mut limits, now).is_none(),
        "the advertised capacity has not changed"
    );
    queue.set_capacity(&LOCAL, NEAR, support::summary(9, 0), now);
    assert_eq!(dispatched_numbers(&mut queue, &mut limits, now), [1, 2]);
}

#[test]
fn other_regions_get_tasks_only_after_the_cross_region_wait() {
    let now = time::Instant::now();
    let mut queue = queue(0, 0, now);
    let far = place::Target::Peer("far#1".into());
    queue.set_capacity(
        &far,
        place::Proximity::OtherRegion,
        support::summary(8, 0),
        now,
    );
    push(&mut queue, 1, "a", batch(), now);
    let mut limits = support::Limits::default();
    assert!(queue.next(&mut limits, now).is_none());
    let later = now + ms(251);
    let dispatch = queue.next(&mut limits, later).expect("the task has waited");
    assert_eq!(dispatch.target, far);
}

#[test]
fn a_task_is_not_offered_to_excluded_instances() {
    let now = time::Instant::now();
    let mut queue = queue(0, 0, now);
    let peer = place::Target::Peer("peer#1".into());
    queue.set_capacity(
        &peer,
        place::Proximity::SameRegion,
        support::summary(8, 0),
        now,
    );
    let mut queued = support::queued(support::task(1, "a", batch()), now);
    queued.excluded_instances.push("peer#1".into());
    queue.push(queued, now);
    assert!(queue.next(&mut support::Limits::default(), now).is_none());
}

#[test]
fn mass_cancellation_leaves_no_state() {
    let now = time::Instant::now();
    let mut queue = queue(8, 0, now);
    for number in 0..5000 {
        push(&mut queue, number, "a", batch(), now);
    }
    for number in 0..4999 {
        assert!(queue.cancel(model::task_id_in_partition(0, number)));
    }
    assert!(!queue.cancel(model::task_id_in_partition(0, 0)));
    assert_eq!(queue.len(), 1);
    assert_eq!(queue.queued_demand(&"a".into()).tasks, 1);
    assert_eq!(
        dispatched_numbers(&mut queue, &mut support::Limits::default(), now),
        [4999]
    );
    assert_eq!(
        queue.queued_demand(&"a".into()),
        model::QuotaAmount::default()
    );
    assert!(queue.expire(now + ms(120_000)).is_empty());
}

#[test]
fn a_task_larger_than_any_worker_is_refused_once_all_workers_are_known() {
    let now = time::Instant::now();
    let mut queue = queue(8, 0, now);
    let large = model::TaskSpec {
        demand: support::demand(65_000, 1024, 0),
        ..batch()
    };
    let task = support::task(1, "a", large);
    assert_eq!(queue.admit(&task, ms(1000), now), Ok(()));
    queue.set_listed_workers(6);
    let refusal = queue
        .admit(&task, ms(1000), now)
        .expect_err("no worker is that large");
    assert_eq!(refusal.reason, model::NotRunReason::NeverFits);
    let gang = model::TaskSpec {
        members: 49,
        ..support::spec(model::Class::Gang)
    };
    let gang = support::task(2, "a", gang);
    assert!(queue.admit(&gang, ms(1000), now).is_err());
}

/// Guards against refusing a task as never fitting while a restarting worker is missing from the
/// capacity that its holder advertises.
#[test]
fn no_task_is_refused_as_never_fitting_while_workers_are_missing() {
    let now = time::Instant::now();
    let mut queue = queue(8, 0, now);
    queue.set_listed_workers(6);
    let target = place::Target::Local;
    let near = place::Proximity::SameDataCentre;
    queue.set_capacity(&target, near, model::CapacitySummary::default(), now);
    let task = support::task(1, "a", batch());
    assert_eq!(queue.admit(&task, ms(1000), now), Ok(()));
}

#[test]
fn the_last_tenth_of_the_queue_is_reserved_for_urgent_tasks() {
    let now = time::Instant::now();
    let mut queue = place::Queue::new(place::QueueSettings {
        max_queued: 20,
        ..place::QueueSettings::default()
    });
    for number in 0..18 {
        push(&mut queue, number, "a", batch(), now);
    }
    let normal = support::task(30, "a", batch());
    let refusal = queue
        .admit(&normal, ms(1000), now)
        .expect_err("the queue is full");
    assert_eq!(refusal.reason, model::NotRunReason::QueueFull);
    assert!(refusal.retry_after > time::Duration::ZERO);
    let urgent = model::TaskSpec {
        urgency: model::Urgency::Urgent,
        ..batch()
    };
    assert_eq!(
        queue.admit(&support::task(31, "a", urgent), ms(1000), now),
        Ok(())
    );
}

#[test]
fn a_task_behind_too_long_a_backlog_is_refused_early() {
    let start = time::Instant::now();
    let mut queue = queue(0, 0, start);
    for number in 0..200 {
        push(&mut queue, number, "a", batch(), start);
    }
    let task = support::task(999, "a", batch());
    assert_eq!(
        queue.admit(&task, ms(100), start),
        Ok(()),
        "no start rate is known yet"
    );
    let mut limits = support::Limits::default();
    for second in 0..3 {
        let now = start + ms(1000 * second);
        queue.set_capacity(&LOCAL, NEAR, support::summary(10, 0), now);
        assert_eq!(dispatched_numbers(&mut queue, &mut limits, now).len(), 10);
    }
    let now = start + ms(2500);
    let refusal = queue
        .admit(&task, ms(6000), now)
        .expect_err("170 tasks at 10/s");
    assert_eq!(refusal.reason, model::NotRunReason::CannotStartInTime);
    assert_eq!(refusal.retry_after, ms(11_000));
    assert_eq!(queue.admit(&task, ms(18_000), now), Ok(()));
}

#[test]
fn a_waiting_gang_is_offered_periodically_to_a_fleet_without_capacity() {
    let now = time::Instant::now();
    let mut queue = queue(2, 0, now);
    let gang = model::TaskSpec {
        members: 4,
        ..support::spec(model::Class::Gang)
    };
    push(&mut queue, 1, "a", gang, now);
    let mut limits = support::Limits::default();
    assert!(queue.next(&mut limits, now).is_none());
    let later = now + ms(500);
    let offer = queue.next(&mut limits, later).expect("the gang has waited");
    queue.requeue_refused(offer, later);
    assert!(queue.next(&mut limits, later).is_none());
    assert!(queue.next(&mut limits, later + ms(200)).is_some());
}

#[test]
fn expired_tasks_are_returned_once() {
    let now = time::Instant::now();
    let mut queue = queue(0, 0, now);
    push(&mut queue, 1, "a", batch(), now);
    assert_eq!(queue.next_wake(now), Some(now + ms(60_000)));
    assert!(queue.expire(now + ms(59_999)).is_empty());
    assert_eq!(queue.expire(now + ms(60_000)).len(), 1);
    assert!(queue.is_empty());
    assert!(queue.expire(now + ms(60_000)).is_empty());
}

#[test]
fn a_fleet_that_refuses_every_size_gets_a_bounded_number_of_offers() {
    let now = time::Instant::now();
    let mut queue = queue(48, 0, now);
    for number in 0..400 {
        let spec = model::TaskSpec {
            demand: support::demand(400 - number, 1 + number, 0),
            ..batch()
        };
        push(&mut queue, u128::from(number), "a", spec, now);
    }
    let mut limits = support::Limits::default();
    let mut offers = 0;
    while let Some(dispatch) = queue.next(&mut limits, now) {
        offers += 1;
        assert!(offers <= 400, "each size is offered once at most");
        queue.requeue_refused(dispatch, now);
        queue.set_capacity(&LOCAL, NEAR, support::summary(48, 0), now);
    }
    assert_eq!(queue.len(), 400);
}
