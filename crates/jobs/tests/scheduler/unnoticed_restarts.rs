//! Workers that restart under their id and are cut off before the leader has learned of it.
//!
//! Orders for the earlier incarnation name a lease end on a clock that has started anew, so that the
//! next one grants the longest lease.

use crate::simulation;
use crate::simulation::Simulation;

/// Time after which the clock of a worker is ahead of its successor's by more than the longest lease, in
/// milliseconds.
const LONG_UPTIME_MS: u64 = 20_000;
/// By how much the clock of an incarnation may differ by chance from that of the one before, in
/// milliseconds on their clocks.
const CLOCK_DIFFERENCE_MS: u64 = 450;
/// Run time of a task that does not end before the longest lease, in milliseconds.
const LONG_RUN_MS: u32 = 30_000;

/// How long a new leader keeps runs on a silent worker, in milliseconds: the longest lease, which an
/// incarnation that nobody has noticed may have granted, and the time until a call is executed.
const INHERITED_HORIZON_MS: u64 = 11_700;

/// Returns a simulation of two workers, the first of which is draining, so that everything starts on
/// the second.
fn two_workers(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed, 2, None);
    simulation.workers[0].draining = true;
    simulation
}

fn submit_long(simulation: &mut Simulation) {
    let step = simulation::step(1, 1_000, LONG_RUN_MS);
    simulation.submit(simulation::job(1, "long", step));
}

/// Runs until this many start orders have been executed.
fn run_until_started(simulation: &mut Simulation, count: u32) {
    for _ in 0..14_000 {
        simulation.run_ms(1);
        if simulation.start_count == count {
            return;
        }
    }
    panic!("no start order was executed");
}

/// Cuts the second worker off, and checks that the long task starts again, which must not be while it
/// may run.
fn check_start_after_cut(simulation: &mut Simulation) {
    let start_count = simulation.start_count;
    simulation.workers[1].is_partitioned = true;
    simulation.workers[0].draining = false;
    simulation.run_ms(30_000);
    assert_eq!(simulation.start_count, start_count + 1);
}

/// Returns a simulation in which the second worker has just restarted, and has executed the start order of
/// a long task for its earlier incarnation; the directory does not list the next one.
fn started_on_unnoticed_incarnation(seed: u64, faults: simulation::Faults) -> Simulation {
    let mut simulation = two_workers(seed);
    simulation.run_ms(LONG_UPTIME_MS);
    simulation.workers[1].restart_unlisted(LONG_UPTIME_MS + 60_000);
    simulation.faults = faults;
    submit_long(&mut simulation);
    run_until_started(&mut simulation, 1);
    simulation
}

/// Two runs of a task at the same time: the next incarnation executes a start order, confirms it, and is
/// cut off before it lists its runs.
#[test]
fn run_confirmed_by_an_unnoticed_incarnation_is_not_started_again_during_its_lease() {
    let faults = simulation::Faults {
        lost_renewals: 1.0,
        ..simulation::Faults::default()
    };
    for seed in 0..10 {
        let mut simulation = started_on_unnoticed_incarnation(seed, faults);
        simulation.faults.lost_renewals = 0.0;
        check_start_after_cut(&mut simulation);
    }
}

/// Two runs of a task at the same time: the next incarnation executes a start order, and is cut off before
/// its answer arrives.
#[test]
fn unanswered_run_on_an_unnoticed_incarnation_is_not_started_again_during_its_lease() {
    let faults = simulation::Faults {
        lost_answers: 1.0,
        ..simulation::Faults::default()
    };
    for seed in 0..10 {
        let mut simulation = started_on_unnoticed_incarnation(seed, faults);
        simulation.faults.lost_answers = 0.0;
        check_start_after_cut(&mut simulation);
    }
}

/// Two runs of a task at the same time: the next incarnation, whose clock shows by chance nearly the time of
/// the earlier one's, confirms a start order, which counts as proof that the earlier one has executed it.
#[test]
fn start_confirmed_by_the_next_incarnation_with_a_similar_clock_proves_nothing_of_the_earlier_one()
{
    for seed in 0..10 {
        let mut simulation = two_workers(seed);
        simulation.run_ms(LONG_UPTIME_MS);
        let listed_at_ms = LONG_UPTIME_MS + 60_000;
        simulation.workers[1].restart_unlisted_with_clock(listed_at_ms, CLOCK_DIFFERENCE_MS);
        simulation.faults.late_renewals = 1.0;
        submit_long(&mut simulation);
        run_until_started(&mut simulation, 1);
        simulation.faults.late_renewals = 0.0;
        check_start_after_cut(&mut simulation);
    }
}

/// Two runs of a task at the same time: a worker is given up after its lease, and a renewal for it is
/// executed late by the next incarnation, which the leader takes for a new worker.
#[test]
fn late_renewal_for_a_worker_that_was_given_up_is_counted_on_its_next_incarnation() {
    for seed in 0..20 {
        let mut simulation = two_workers(seed);
        simulation.run_ms(LONG_UPTIME_MS);
        submit_long(&mut simulation);
        simulation.run_ms(1_000);
        simulation.faults.late_renewals = 1.0;
        simulation.run_ms(1_500);
        simulation.workers[1].is_up = false;
        simulation.faults.late_renewals = 0.0;
        simulation.run_ms(6_500);
        simulation.workers[1].restart();
        simulation.run_ms(3_000);
        check_start_after_cut(&mut simulation);
    }
}

/// Two runs of a task at the same time: the next incarnation executes a renewal late, and is noticed more
/// than 12 s after that was sent, when the lease lasts on.
#[test]
fn late_renewal_is_counted_if_the_restart_is_noticed_after_the_longest_delay() {
    for seed in 0..40 {
        let mut simulation = two_workers(seed);
        simulation.run_ms(LONG_UPTIME_MS);
        submit_long(&mut simulation);
        simulation.run_ms(1_000);
        simulation.faults.late_renewals = 1.0;
        simulation.run_ms(1_500);
        simulation.faults.late_renewals = 0.0;
        simulation.faults.lost_renewals = 1.0;
        let listed_at_ms = simulation.now_ms + 13_000;
        simulation.workers[1].restart_unlisted(listed_at_ms);
        simulation.run_ms(12_500);
        simulation.faults.lost_renewals = 0.0;
        run_until_started(&mut simulation, 2);
        check_start_after_cut(&mut simulation);
    }
}

/// Two runs of a task at the same time: a renewal of an earlier leader for an incarnation that had no
/// runs any more is executed late by the next one, before the first call of the new leader.
#[test]
fn late_renewal_of_an_earlier_leader_is_counted_by_the_next_leader() {
    // The first call comes as soon as there is a leader, or after the last order of the earlier one.
    let first_calls_ms = [100, 13_050];
    for (seed, first_call_ms) in (0..20).flat_map(|seed| first_calls_ms.map(|at| (seed, at))) {
        let mut simulation = two_workers(seed);
        simulation.run_ms(LONG_UPTIME_MS);
        simulation.faults.late_renewals = 1.0;
        let short = simulation::step(1, 1_000, 300);
        simulation.submit(simulation::job(2, "short", short));
        run_until_started(&mut simulation, 1);
        simulation.faults.late_renewals = 0.0;
        simulation.run_ms(3_000);
        simulation.kill_leader();
        simulation.workers[1].restart();
        simulation.run_ms(if first_call_ms > 1_000 { 0 } else { 5_000 });
        simulation.faults.lost_renewals = 1.0;
        simulation.elect_leader();
        simulation.run_ms(first_call_ms);
        simulation.faults.lost_renewals = 0.0;
        submit_long(&mut simulation);
        run_until_started(&mut simulation, 2);
        check_start_after_cut(&mut simulation);
    }
}

/// Two runs of a task at the same time: an incarnation that the leader has not noticed executes a start and
/// is cut off, and a new leader gives the run up by the ordinary lease.
#[test]
fn new_leader_does_not_give_up_a_run_on_an_unnoticed_incarnation_during_its_lease() {
    let faults = simulation::Faults {
        lost_renewals: 1.0,
        ..simulation::Faults::default()
    };
    for seed in 0..10 {
        let mut simulation = started_on_unnoticed_incarnation(seed, faults);
        simulation.run_ms(50);
        simulation.faults.lost_renewals = 0.0;
        simulation.kill_leader();
        simulation.elect_leader();
        check_start_after_cut(&mut simulation);
    }
}

/// Two runs of a task at the same time: a run is stored on an incarnation that the directory does not list yet,
/// and a new leader never calls that one, though it is reachable.
#[test]
fn new_leader_calls_an_incarnation_that_only_listings_show() {
    for seed in 0..10 {
        let faults = simulation::Faults::default();
        let mut simulation = started_on_unnoticed_incarnation(seed, faults);
        simulation.run_ms(3_000);
        simulation.workers[0].draining = false;
        simulation.kill_leader();
        simulation.elect_leader();
        simulation.run_ms(30_000);
        assert_eq!(simulation.start_count, 1, "the task was started again");
    }
}

/// An idle worker gets no work for 30 s: the answer to a start order was lost, and its run was listed as
/// ended before the order timed out.
#[test]
fn worker_gets_work_after_a_short_run_whose_start_was_not_answered() {
    let mut simulation = Simulation::new(1, 1, None);
    simulation.run_ms(1_000);
    simulation.faults.lost_answers = 1.0;
    let short = simulation::step(1, 1_000, 100);
    simulation.submit(simulation::job(1, "short", short.clone()));
    simulation.run_ms(1_000);
    simulation.faults.lost_answers = 0.0;
    simulation.submit(simulation::job(2, "short", short));
    simulation.run_ms(200);
    assert_eq!(simulation.start_count, 2);
}

/// Runs kept for long that `run.kept_beyond_lease` does not show, or shows twice: runs that the next incarnation may have are
/// counted once when the lease of their silent worker has expired, and others are not.
#[test]
fn runs_kept_beyond_the_lease_are_counted() {
    let faults = simulation::Faults {
        late_renewals: 1.0,
        ..simulation::Faults::default()
    };
    let mut simulation = started_on_unnoticed_incarnation(1, faults);
    simulation.workers[1].is_partitioned = true;
    simulation.run_ms(5_000);
    assert_eq!(simulation.summary().runs_kept_beyond_lease, 0);
    simulation.run_ms(1_000);
    assert_eq!(simulation.summary().runs_kept_beyond_lease, 1);
    simulation.run_ms(24_000);
    assert_eq!(simulation.summary().runs_kept_beyond_lease, 1);
}

/// A task is not started again for 11.7 s, and counts in `run.kept_beyond_lease`: the incarnation that was
/// addressed has confirmed its start, so that the run ends with the ordinary lease.
#[test]
fn run_confirmed_by_the_addressed_incarnation_is_not_kept_beyond_its_lease() {
    for seed in 0..10 {
        let mut simulation = two_workers(seed);
        simulation.run_ms(LONG_UPTIME_MS);
        simulation.faults.late_renewals = 1.0;
        submit_long(&mut simulation);
        run_until_started(&mut simulation, 1);
        simulation.run_ms(10);
        simulation.workers[1].is_partitioned = true;
        simulation.workers[0].draining = false;
        simulation.run_ms(6_000);
        let summary = simulation.summary();
        assert_eq!(summary.runs_kept_beyond_lease, 0);
        assert_eq!(summary.starts_on_other_incarnations, 0);
        assert_eq!(simulation.start_count, 2, "the task was not started again");
    }
}

/// Starts on a worker that has restarted unnoticed, which `start.other_incarnation` does not show: one that
/// another incarnation confirms is counted, and the worker gets no more before a listing names that one.
#[test]
fn start_on_another_incarnation_is_counted_and_the_last_one_before_a_listing() {
    let faults = simulation::Faults {
        lost_renewals: 1.0,
        ..simulation::Faults::default()
    };
    let mut simulation = started_on_unnoticed_incarnation(1, faults);
    assert_eq!(simulation.summary().starts_on_other_incarnations, 0);
    simulation.run_ms(10);
    assert_eq!(simulation.summary().starts_on_other_incarnations, 1);
    let short = simulation::step(1, 1_000, 100);
    simulation.submit(simulation::job(2, "short", short));
    simulation.run_ms(1_500);
    assert_eq!(simulation.start_count, 1, "a start before a listing");
    simulation.faults.lost_renewals = 0.0;
    simulation.workers[0].draining = false;
    simulation.run_ms(2_000);
    assert_eq!(simulation.start_count, 2);
    assert_eq!(simulation.summary().starts_on_other_incarnations, 1);
}

/// Two runs of a task at the same time: a worker answers after its record was dropped and taken up again, so
/// that two renewals of it are under way. The answer to the first counts as one to the second, and the answer to
/// the second, in which a run that has started since is missing, as one to the third.
#[test]
fn run_is_not_given_up_by_the_answer_to_a_renewal_before_its_start() {
    for first_call_ms in (0..900).step_by(50) {
        let mut simulation = two_workers(1);
        simulation.run_ms(1_000);
        submit_long(&mut simulation);
        run_until_started(&mut simulation, 1);
        simulation.run_ms(1_000);
        simulation.kill_leader();
        simulation.workers[1].is_partitioned = true;
        simulation.elect_leader();
        simulation.is_directory_unreadable = true;
        simulation.run_ms(first_call_ms);
        simulation.is_directory_unreadable = false;
        simulation.run_ms(100);
        // Its entry has expired, and is back later than the worker is reachable.
        simulation.workers[1].is_up = false;
        simulation.run_ms(INHERITED_HORIZON_MS - 400 - first_call_ms);
        simulation.is_directory_unreadable = true;
        simulation.workers[1].is_up = true;
        simulation.workers[1].is_partitioned = false;
        simulation.relay_wait_ms = 500;
        simulation.run_ms(450);
        simulation.is_directory_unreadable = false;
        for id in 2..62 {
            let step = simulation::step(1, 100, 3_000);
            simulation.submit(simulation::job(id, "short", step));
            simulation.run_ms(50);
        }
        simulation.run_ms(5_000);
        assert_eq!(
            simulation.start_count, 62,
            "first call after {first_call_ms} ms"
        );
    }
}

/// Runs given up for a reason that no counter shows: a run on a worker that is cut off, and then one on a worker that
/// has restarted, count once each, by their reason.
#[test]
fn lost_runs_are_counted_by_their_reason() {
    let mut simulation = two_workers(1);
    simulation.run_ms(1_000);
    submit_long(&mut simulation);
    simulation.run_ms(3_000);
    check_start_after_cut(&mut simulation);
    assert_eq!(
        simulation.take_lost_runs(),
        [(jobs::LossReason::LeaseExpired, 1)]
    );
    simulation.workers[0].restart();
    simulation.run_ms(3_000);
    assert_eq!(
        simulation.take_lost_runs(),
        [(jobs::LossReason::WorkerRestarted, 1)]
    );
}

/// Two runs of a task at the same time: an entry of another writer under the id of a worker at work, with a later
/// start, counts as a restart of the worker.
#[test]
fn foreign_entry_with_a_later_start_gives_no_run_up() {
    let mut simulation = two_workers(1);
    simulation.run_ms(1_000);
    submit_long(&mut simulation);
    simulation.run_ms(2_000);
    simulation.workers[1].show_foreign_entry(6_000);
    simulation.workers[0].draining = false;
    simulation.run_ms(10_000);
    assert_eq!(simulation.start_count, 1, "the task was started again");
}

/// A task that waits for ever while its run holds capacity: neither start nor stop orders reach the worker, which
/// answers renewals, so that no answer tells that the run is not there.
#[test]
fn run_whose_orders_never_arrive_is_given_up_once_a_listing_proves_it_absent() {
    for seed in 0..10 {
        let mut simulation = two_workers(seed);
        simulation.run_ms(1_000);
        simulation.workers[1].drops_starts = true;
        simulation.workers[1].drops_stops = true;
        submit_long(&mut simulation);
        simulation.run_ms(3_000);
        simulation.workers[0].draining = false;
        simulation.run_ms(8_000);
        assert_eq!(simulation.start_count, 0, "a late start may still come");
        simulation.run_ms(5_000);
        assert_eq!(simulation.start_count, 1, "the task was not started again");
        assert_eq!(
            simulation.take_lost_runs(),
            [(jobs::LossReason::NotListed, 1)]
        );
    }
}

/// Two runs of a task at the same time: a listing shows that a run is not there while a copy of its start order may
/// still be executed, and the run counts as ended.
#[test]
fn run_whose_stops_never_arrive_is_kept_while_its_start_may_be_late() {
    let mut late_starts = 0;
    for seed in 0..40 {
        let mut simulation = two_workers(seed);
        simulation.run_ms(1_000);
        simulation.workers[1].drops_stops = true;
        simulation.faults.late_orders = 1.0;
        submit_long(&mut simulation);
        simulation.run_ms(3_000);
        simulation.faults.late_orders = 0.0;
        simulation.workers[0].draining = false;
        simulation.run_ms(20_000);
        assert_eq!(simulation.start_count, 1, "the task was started again");
        late_starts += u32::from(simulation.starts[0].0 > 6_000);
    }
    assert!(late_starts > 0, "no start was late");
}

/// A gang that waits for ever: one member is never started nor stopped, while its worker answers renewals.
#[test]
fn gang_starts_again_once_a_listing_proves_a_member_absent() {
    let mut simulation = Simulation::new(1, 3, None);
    simulation.run_ms(1_000);
    simulation.workers[0].drops_starts = true;
    simulation.workers[0].drops_stops = true;
    let mut gang = simulation::step(3, 8_000, LONG_RUN_MS);
    gang.gang = true;
    simulation.submit(simulation::job(1, "long", gang));
    simulation.run_ms(3_000);
    simulation.workers[0].drops_starts = false;
    simulation.run_ms(14_000);
    let second_runs = simulation.starts.iter().filter(|(_, run, _)| run.run == 2);
    assert_eq!(second_runs.count(), 3, "the gang was not started again");
}

/// Returns how long it takes until a task starts on another worker, in milliseconds, while its own worker restarts
/// at this interval; no start or stop order is executed there, nor any renewal if the worker is cut off.
fn start_elsewhere_ms(seed: u64, interval_ms: u64, is_cut_off: bool) -> Option<u64> {
    let mut simulation = two_workers(seed);
    simulation.run_ms(1_000);
    simulation.workers[1].drops_starts = true;
    submit_long(&mut simulation);
    simulation.run_ms(300);
    simulation.workers[0].draining = false;
    let began_at_ms = simulation.now_ms;
    while simulation.start_count == 0 && simulation.now_ms < began_at_ms + 60_000 {
        simulation.workers[1].restart();
        simulation.workers[1].drops_starts = true;
        simulation.workers[1].drops_stops = true;
        simulation.workers[1].is_partitioned = is_cut_off;
        simulation.run_ms(interval_ms);
    }
    let start = simulation.starts.first();
    start.map(|(at_ms, _, _)| at_ms - began_at_ms)
}

/// A task that waits for ever: its worker restarts in a loop, and each restart makes the next incarnation one that
/// may still start the run, however old the order is.
#[test]
fn task_starts_elsewhere_while_its_worker_restarts_in_a_loop() {
    for (seed, interval_ms) in (0..5).flat_map(|seed| [100, 700, 1_500].map(|one| (seed, one))) {
        let waited_ms = start_elsewhere_ms(seed, interval_ms, false);
        assert!(
            waited_ms.is_some_and(|waited_ms| waited_ms <= 12_000 + 2 * interval_ms),
            "started after {waited_ms:?} ms with restarts each {interval_ms} ms"
        );
    }
}

/// A task that waits for ever: its worker restarts in a loop and answers nothing, and each restart extends the time
/// for which its run is kept.
#[test]
fn task_starts_elsewhere_while_its_silent_worker_restarts_in_a_loop() {
    for (seed, interval_ms) in (0..5).flat_map(|seed| [200, 700, 3_000].map(|one| (seed, one))) {
        let waited_ms = start_elsewhere_ms(seed, interval_ms, true);
        assert!(
            waited_ms.is_some_and(|waited_ms| waited_ms <= 22_500 + 2 * interval_ms),
            "started after {waited_ms:?} ms with restarts each {interval_ms} ms"
        );
    }
}

/// Two runs of a task at the same time: the next incarnation executes a start order late, and the restart is noticed
/// more than 12 s after that was sent, so that it cannot be executed later, but the run is at work.
#[test]
fn late_start_is_counted_if_the_restart_is_noticed_after_the_longest_delay() {
    let mut late_starts = 0;
    for seed in 0..100 {
        let mut simulation = two_workers(seed);
        simulation.run_ms(LONG_UPTIME_MS);
        let listed_at_ms = LONG_UPTIME_MS + 13_500;
        simulation.workers[1].restart_unlisted(listed_at_ms);
        simulation.workers[1].drops_stops = true;
        // Of the orders at the same time, the one for the short task shows the term to the next incarnation.
        simulation.faults.late_orders = 0.5;
        simulation.faults.lost_answers = 1.0;
        simulation.faults.lost_renewals = 1.0;
        submit_long(&mut simulation);
        let short = simulation::step(1, 1_000, 100);
        simulation.submit(simulation::job(2, "short", short));
        simulation.run_ms(13_000);
        let starts = simulation.starts.iter();
        let mut long_starts = starts.filter(|(_, run, _)| run.task.job_id == 1);
        if long_starts.all(|(at_ms, ..)| *at_ms < LONG_UPTIME_MS + 4_500) {
            continue;
        }
        late_starts += 1;
        simulation.workers[1].is_partitioned = true;
        simulation.run_ms(1_000);
        simulation.faults = simulation::Faults::default();
        simulation.workers[0].draining = false;
        simulation.run_ms(30_000);
        let starts = simulation.starts.iter();
        let long_starts = starts.filter(|(_, run, _)| run.task.job_id == 1);
        assert_eq!(
            long_starts.count(),
            2,
            "the long task was not started again"
        );
    }
    assert!(late_starts > 0, "no start was late");
}

/// Over-commitment: a run is stopped and proven absent while the answer to its only start order is still waited for,
/// and the next incarnation of its worker, which was sent no stop order, executes that order late.
#[test]
fn late_start_of_a_run_removed_before_its_answer_is_not_executed_by_the_next_incarnation() {
    const ORDER_SENT_MS: u64 = 40;
    const REMOVED_MS: u64 = 250;
    let mut removed = 0;
    for seed in 0..40 {
        let mut simulation = two_workers(seed);
        simulation.run_ms(1_000);
        // Their ends make the worker answer renewals at once.
        for id in 10..16 {
            let step = simulation::step(1, 100, 30 * (id as u32 - 9));
            simulation.submit(simulation::job(id, "short", step));
        }
        simulation.run_ms(ORDER_SENT_MS);
        simulation.faults.late_orders = 1.0;
        let step = simulation::step(1, 7_000, LONG_RUN_MS);
        simulation.submit(simulation::job(1, "long", step));
        simulation.run_ms(ORDER_SENT_MS);
        simulation.faults.late_orders = 0.0;
        simulation.cancel(1);
        simulation.run_ms(REMOVED_MS);
        if simulation.take_lost_runs() != [(jobs::LossReason::NotListed, 1)] {
            continue;
        }
        removed += 1;
        simulation.restart_worker(1);
        simulation.run_ms(1_000);
        let step = simulation::step(1, 7_000, LONG_RUN_MS);
        simulation.submit(simulation::job(2, "long", step));
        simulation.run_ms(15_000);
        let starts = simulation.starts.iter();
        let mut starts = starts.filter(|(_, run, _)| run.task.job_id < 10);
        assert!(
            starts.all(|(_, run, _)| run.task.job_id == 2),
            "the run was executed after its end"
        );
    }
    assert!(removed > 0, "no run was removed before its answer");
}

/// A task that is done runs again: its worker restarts twice while the directory shows the first incarnation, a call to
/// which tells of the third one, and that one executes a start order late, as only the second one was sent the stop
/// order.
#[test]
fn late_start_is_not_executed_by_the_incarnation_after_the_next_one() {
    let mut called = 0;
    for seed in 0..40 {
        let mut simulation = two_workers(seed);
        simulation.run_ms(LONG_UPTIME_MS);
        simulation.faults.late_orders = 1.0;
        let step = simulation::step(1, 1_000, 300);
        simulation.submit(simulation::job(1, "long", step));
        simulation.run_ms(1_200);
        simulation.faults.late_orders = 0.0;
        simulation.workers[0].draining = false;
        simulation.run_ms(2_500);
        let starts = simulation.starts.iter().map(|(_, _, index)| *index);
        assert_eq!(starts.collect::<Vec<_>>(), [0], "not started elsewhere");
        simulation.workers[0].draining = true;
        simulation.run_ms(100);
        // Its order makes the leader call the worker.
        let step = simulation::step(1, 1_000, 50);
        simulation.submit(simulation::job(2, "short", step));
        for until_noticed_ms in [3_200, 1_000] {
            simulation.workers[1].restart_unlisted(LONG_UPTIME_MS + 60_000);
            // Nobody can keep a late start from an incarnation that is not noticed yet.
            simulation.workers[1].drops_starts = true;
            simulation.run_ms(until_noticed_ms);
            simulation.workers[1].drops_starts = false;
        }
        called += u32::from(simulation.workers[1].has_seen(simulation.term));
        simulation.run_ms(13_000);
    }
    assert!(called > 0, "no third incarnation was called");
}
