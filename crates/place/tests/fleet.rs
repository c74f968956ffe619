//! Placement on workers, probation of workers, and commands for runs.

use std::time;

mod support;

use support::ms;

fn batch(number: u128) -> model::Task {
    support::task(number, "a", support::spec(model::Class::Batch))
}

fn gang(number: u128, members: u16) -> model::Task {
    let spec = model::TaskSpec {
        members,
        ..support::spec(model::Class::Gang)
    };
    support::task(number, "a", spec)
}

fn place_one(
    fleet: &mut place::Fleet,
    task: &model::Task,
    now: time::Instant,
) -> Option<model::WorkerId> {
    let placed = fleet.place(&support::request(task, &[0]), now).ok()?;
    Some(placed[0].1.clone())
}

#[test]
fn a_repeated_request_gives_the_same_worker() {
    let now = time::Instant::now();
    let mut fleet = support::fleet(2, place::Policy::Fair, now);
    let task = batch(1);
    let first = place_one(&mut fleet, &task, now);
    assert_eq!(place_one(&mut fleet, &task, now), first);
    assert_eq!(fleet.running(), 1);
}

#[test]
fn adopted_runs_occupy_capacity() {
    let now = time::Instant::now();
    let mut fleet = support::fleet(0, place::Policy::Fair, now);
    let adopted = model::RunningRun {
        run: support::attempt(&batch(1), 0),
        task: batch(1),
        generation: 1,
        running_ms: 5000,
        reserved: support::demand(7500, 1024, 0),
    };
    let at = support::location(0, 0);
    let worker_id = support::worker_id(0);
    fleet.add_worker(
        worker_id.clone(),
        at,
        support::capacity(0),
        false,
        &[adopted],
        now,
    );
    assert_eq!(fleet.runs_on(&worker_id).len(), 1);
    assert_eq!(place_one(&mut fleet, &batch(2), now), None);
    assert_eq!(fleet.remove_worker(&worker_id).len(), 1);
    assert_eq!(fleet.running(), 0);
    assert_eq!(fleet.summary(), model::CapacitySummary::default());
}

#[test]
fn a_gang_is_placed_whole_or_not_at_all() {
    let now = time::Instant::now();
    let mut fleet = support::fleet(2, place::Policy::Fair, now);
    let members: Vec<u16> = (0..9).collect();
    let first = gang(1, 9);
    assert!(
        fleet
            .place(&support::request(&first, &members), now)
            .is_err()
    );
    assert_eq!(fleet.running(), 0);
    let second = gang(2, 8);
    let mut other = support::fleet(2, place::Policy::Fair, now);
    let placed = other.place(&support::request(&second, &members[..8]), now);
    assert_eq!(placed.map(|placed| placed.len()), Ok(8));
}

#[test]
fn reservations_expire_unless_committed() {
    let now = time::Instant::now();
    let mut fleet = support::fleet(1, place::Policy::Fair, now);
    let task = gang(1, 4);
    let reserve = place::Request {
        reserve_only: true,
        ..support::request(&task, &[0, 1, 2, 3])
    };
    assert!(fleet.place(&reserve, now).is_ok());
    assert_eq!(fleet.running(), 0);
    assert_eq!(fleet.summary().free_slots, 0);
    fleet.tick(0, now + ms(2000));
    assert_eq!(fleet.summary().free_slots, 4);
    assert!(fleet.place(&reserve, now + ms(2000)).is_ok());
    let commit = support::request(&task, &[0, 1, 2, 3]);
    assert!(fleet.place(&commit, now + ms(2100)).is_ok());
    fleet.tick(0, now + ms(9000));
    assert_eq!(fleet.running(), 4);
}

#[test]
fn freed_capacity_is_reserved_for_the_earliest_gang() {
    let now = time::Instant::now();
    let mut fleet = support::fleet(2, place::Policy::Fair, now);
    for number in 0..8 {
        assert!(place_one(&mut fleet, &batch(number), now).is_some());
    }
    let later = gang(100, 6);
    let earlier = gang(101, 6);
    let members = [0, 1, 2, 3, 4, 5];
    let mut next_batch = 200;
    for step in 0..8 {
        let now = now + ms(100 * step as u64);
        let _ = fleet.place(&support::request(&earlier, &members), now);
        let placed = fleet.place(&support::request(&later, &members), now);
        if step == 0 {
            assert!(placed.is_err());
        }
        fleet.record_finished(
            support::attempt(&batch(step), 0),
            &support::finished(true, false),
            now,
        );
        next_batch += 1;
        let _ = place_one(&mut fleet, &batch(next_batch), now);
    }
    let now = now + ms(800);
    assert!(
        fleet
            .place(&support::request(&earlier, &members), now)
            .is_ok()
    );
    assert_eq!(fleet.running(), 6, "the gang that asked first");
    assert_eq!(
        fleet.summary().free_slots,
        0,
        "the rest is reserved for the next gang"
    );
    for member in members {
        let run = support::attempt(&earlier, member);
        fleet.record_finished(run, &support::finished(true, false), now);
    }
    let placed = fleet.place(&support::request(&later, &members), now);
    assert!(placed.is_ok());
    assert_eq!(fleet.summary().free_slots, 2);
}

#[test]
fn services_spread_over_data_centres_and_racks() {
    let now = time::Instant::now();
    let mut fleet = support::fleet(8, place::Policy::Fair, now);
    let mut workers: Vec<_> = (0..4)
        .map(|number| support::task(number, "a", support::spec(model::Class::Service)))
        .filter_map(|task| place_one(&mut fleet, &task, now))
        .collect();
    workers.sort();
    let racks: Vec<usize> = workers
        .iter()
        .map(|worker| {
            worker
                .trim_start_matches("worker")
                .parse::<usize>()
                .expect("a number")
                / 2
        })
        .collect();
    assert_eq!(racks, [0, 1, 2, 3]);
}

#[test]
fn batch_tasks_are_packed() {
    let now = time::Instant::now();
    let mut fleet = support::fleet(8, place::Policy::Fair, now);
    let mut workers: Vec<_> = (0..8)
        .filter_map(|number| place_one(&mut fleet, &batch(number), now))
        .collect();
    workers.dedup();
    assert_eq!(workers.len(), 2, "four on each worker");
}

#[test]
fn tasks_without_accelerators_prefer_workers_without_them() {
    let now = time::Instant::now();
    let mut fleet = support::fleet(0, place::Policy::Fair, now);
    for (worker, accelerators) in [(0, 2), (1, 0)] {
        let at = support::location(0, 0);
        fleet.add_worker(
            support::worker_id(worker),
            at,
            support::capacity(accelerators),
            false,
            &[],
            now,
        );
    }
    let workers: Vec<_> = (0..5)
        .filter_map(|number| place_one(&mut fleet, &batch(number), now))
        .collect();
    let plain = support::worker_id(1);
    assert!(workers[..4].iter().all(|worker| *worker == plain));
    assert_eq!(workers[4], support::worker_id(0));
}

#[test]
fn a_leaving_worker_gets_no_new_runs() {
    let now = time::Instant::now();
    let mut fleet = support::fleet(1, place::Policy::Fair, now);
    fleet.set_leaving(&support::worker_id(0), true);
    assert_eq!(place_one(&mut fleet, &batch(1), now), None);
    assert_eq!(fleet.summary().free_slots, 0);
}

/// Runs one task at a time; every run on worker 0 fails. Returns the number of runs there.
fn run_with_bad_worker(
    fleet: &mut place::Fleet,
    first: u128,
    count: u128,
    at: time::Instant,
) -> usize {
    let mut runs_on_bad = 0;
    for number in first..first + count {
        let now = at + ms((number - first) as u64);
        fleet.tick(0, now);
        let task = batch(number);
        let worker = place_one(fleet, &task, now).expect("there is free capacity");
        let bad = worker == support::worker_id(0);
        runs_on_bad += usize::from(bad);
        fleet.record_finished(
            support::attempt(&task, 0),
            &support::finished(!bad, bad),
            now,
        );
    }
    runs_on_bad
}

#[test]
fn a_worker_that_fails_every_run_gets_few_runs() {
    let now = time::Instant::now();
    let mut fleet = support::fleet(4, place::Policy::Fair, now);
    let runs_on_bad = run_with_bad_worker(&mut fleet, 0, 500, now);
    assert_eq!(runs_on_bad, 4);
    let later = now + ms(60_000);
    assert_eq!(
        run_with_bad_worker(&mut fleet, 1000, 500, later),
        1,
        "one trial run"
    );
}

#[test]
fn a_recovered_worker_leaves_probation_step_by_step() {
    let now = time::Instant::now();
    let mut fleet = support::fleet(4, place::Policy::Fair, now);
    run_with_bad_worker(&mut fleet, 0, 10, now);
    assert_eq!(fleet.summary().free_slots, 12);
    let mut slots = Vec::new();
    for number in 100..110 {
        let now = now + ms(2000);
        fleet.tick(0, now);
        slots.push(fleet.summary().free_slots - 12);
        let task = batch(number);
        assert!(place_one(&mut fleet, &task, now).is_some());
        fleet.record_finished(
            support::attempt(&task, 0),
            &support::finished(true, false),
            now,
        );
    }
    assert_eq!(slots, [1, 1, 1, 2, 2, 2, 4, 4, 4, 4]);
}

#[test]
fn few_workers_are_on_probation_when_every_worker_fails() {
    let now = time::Instant::now();
    let mut fleet = support::fleet(4, place::Policy::Fair, now);
    for number in 0..400 {
        let task = batch(number);
        assert!(place_one(&mut fleet, &task, now).is_some());
        fleet.record_finished(
            support::attempt(&task, 0),
            &support::finished(false, true),
            now,
        );
    }
    assert_eq!(fleet.summary().free_slots, 12);
}

#[test]
fn tasks_that_fail_everywhere_put_no_worker_on_probation() {
    let now = time::Instant::now();
    let mut fleet = support::fleet(4, place::Policy::Fair, now);
    for number in 0..100 {
        let task = batch(number);
        assert!(place_one(&mut fleet, &task, now).is_some());
        fleet.record_finished(
            support::attempt(&task, 0),
            &support::finished(false, false),
            now,
        );
    }
    assert_eq!(fleet.summary().free_slots, 16);
}

fn short_request(task: &model::Task) -> place::Request<'_> {
    place::Request {
        short: true,
        expected_run_time: ms(1000),
        ..support::request(task, &[0])
    }
}

#[test]
fn slots_are_kept_for_recently_started_short_tasks() {
    let start = time::Instant::now();
    let mut fleet = support::fleet(4, place::Policy::Fair, start);
    let mut now = start;
    for number in 0..100 {
        now = start + ms(100 * number);
        fleet.tick(0, now);
        let task = batch(u128::from(number));
        let late = number
            .checked_sub(10)
            .map(|number| batch(u128::from(number)));
        if let Some(late) = late {
            fleet.record_finished(
                support::attempt(&late, 0),
                &support::finished(true, false),
                now,
            );
        }
        assert!(fleet.place(&short_request(&task), now).is_ok());
    }
    let summary = fleet.summary();
    assert_eq!(summary.free_short_slots + summary.free_slots, 6);
    assert_eq!(
        summary.free_slots, 6,
        "at most half of the slots are kept, and short tasks occupy them"
    );
    for number in 1000..1006 {
        assert!(place_one(&mut fleet, &batch(number), now).is_some());
    }
    for number in [97, 98, 99] {
        let run = support::attempt(&batch(number), 0);
        fleet.record_finished(run, &support::finished(true, false), now);
    }
    assert_eq!(
        fleet.summary().free_slots,
        2,
        "one of the eight slots kept for short tasks is free"
    );
    assert!(place_one(&mut fleet, &batch(2000), now).is_some());
    assert!(place_one(&mut fleet, &batch(2002), now).is_some());
    assert_eq!(place_one(&mut fleet, &batch(2003), now), None);
    assert!(fleet.place(&short_request(&batch(2001)), now).is_ok());
}

#[test]
fn the_youngest_long_run_is_checkpointed_for_short_ones() {
    let start = time::Instant::now();
    let mut fleet = support::fleet(1, place::Policy::Fair, start);
    for number in 0..4 {
        let once = model::TaskSpec {
            repeatable: number != 2,
            ..support::spec(model::Class::Batch)
        };
        let task = support::task(number, "a", once);
        assert!(place_one(&mut fleet, &task, start + ms(number as u64)).is_some());
    }
    let now = start + ms(5000);
    let commands = fleet.tick(3, now);
    let youngest = place::RunCommand::Checkpoint {
        run: support::attempt(&batch(3), 0),
        worker_id: support::worker_id(0),
    };
    assert_eq!(commands, [youngest]);
    assert!(
        fleet.tick(3, now + ms(100)).is_empty(),
        "one checkpoint at a time"
    );
}

#[test]
fn a_short_run_that_takes_too_long_counts_as_long() {
    let start = time::Instant::now();
    let mut fleet = support::fleet(1, place::Policy::Fair, start);
    for number in 0..4 {
        assert!(fleet.place(&short_request(&batch(number)), start).is_ok());
    }
    assert!(fleet.tick(1, start + ms(3900)).is_empty());
    assert_eq!(fleet.tick(1, start + ms(4100)).len(), 1);
}

#[test]
fn memory_overruns_are_reserved_or_stopped_if_they_endanger_others() {
    let now = time::Instant::now();
    let mut fleet = support::fleet(1, place::Policy::Fair, now);
    place_one(&mut fleet, &batch(1), now);
    place_one(&mut fleet, &batch(2), now);
    let usage = |memory_mb| model::RunUsage {
        run: support::attempt(&batch(1), 0),
        used: support::demand(1000, memory_mb, 0),
    };
    assert!(fleet.apply_usage_reports(&[usage(8192)], now).is_empty());
    assert_eq!(fleet.summary().free.memory_mb, 16_384 - 8192 - 1024);
    let stop = place::RunCommand::Stop {
        run: support::attempt(&batch(1), 0),
        worker_id: support::worker_id(0),
    };
    assert_eq!(fleet.apply_usage_reports(&[usage(16_000)], now), [stop]);
    assert_eq!(fleet.summary().free.memory_mb, 0);
    assert!(
        fleet.apply_usage_reports(&[usage(16_000)], now).is_empty(),
        "the stop is commanded once"
    );
}

#[test]
fn processor_overruns_are_throttled() {
    let now = time::Instant::now();
    let mut fleet = support::fleet(1, place::Policy::Fair, now);
    place_one(&mut fleet, &batch(1), now);
    let usage = model::RunUsage {
        run: support::attempt(&batch(1), 0),
        used: support::demand(4000, 1024, 0),
    };
    assert!(
        fleet.apply_usage_reports(&[usage], now).is_empty(),
        "one report may be a spike"
    );
    let throttle = place::RunCommand::Throttle {
        run: support::attempt(&batch(1), 0),
        worker_id: support::worker_id(0),
        percent: 25,
    };
    assert_eq!(fleet.apply_usage_reports(&[usage], now), [throttle]);
}

#[test]
fn tasks_get_the_observed_memory_peak_of_their_kind() {
    let now = time::Instant::now();
    let mut fleet = support::fleet(1, place::Policy::Fair, now);
    let first = batch(1);
    place_one(&mut fleet, &first, now).expect("an idle worker has free capacity");
    let usage = model::RunUsage {
        run: support::attempt(&first, 0),
        used: support::demand(1000, 6000, 0),
    };
    assert!(fleet.apply_usage_reports(&[usage], now).is_empty());
    // A worker of 16,384 MB fits two tasks that use 6,000 MB each, although they declare 1,024 MB.
    let placed: Vec<_> = (2..5)
        .map(|number| place_one(&mut fleet, &batch(number), now).is_some())
        .collect();
    assert_eq!(placed, [true, false, false]);
}
