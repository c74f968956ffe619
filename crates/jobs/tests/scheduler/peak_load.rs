//! Behaviour under peak load and outages: which jobs wait, which are refused, which start first.

use crate::simulation;
use crate::simulation::Simulation;

/// Submits `count` copies of a job at a fixed interval; returns the tokens of the requests.
fn submit_at_interval(
    simulation: &mut Simulation,
    first_id: model::JobId,
    count: u64,
    interval_ms: u64,
    queue: &str,
    step: &model::Step,
) -> Vec<jobs::RequestToken> {
    let ids = first_id..first_id + count;
    ids.map(|id| {
        let token = simulation.submit(simulation::job(id, queue, step.clone()));
        simulation.run_ms(interval_ms);
        token
    })
    .collect()
}

/// Many wide gangs arrive, and short jobs of a higher priority right after them: these must not
/// wait for the gangs that have not started yet.
#[test]
fn short_jobs_do_not_wait_behind_wide_gangs() {
    for seed in 1..=10 {
        let mut simulation = Simulation::new(seed, 6, None);
        simulation.run_ms(200);
        let gang = model::Step {
            gang: true,
            ..simulation::step(12, 4_000, 3_000)
        };
        submit_at_interval(&mut simulation, 1, 8, 0, "long", &gang);
        simulation.run_ms(100);
        let submitted_at_ms = simulation.now_ms;
        // They can still end in time when the first gang ends.
        let short = simulation::step(1, 2_000, 1_500);
        submit_at_interval(&mut simulation, 100, 20, 0, "short", &short);
        // The gangs leave no free capacity until the first one ends.
        simulation.run_ms(5_000);
        let started_at_ms = (100..120).map(|id| simulation.started_at_ms.get(&id));
        let last_short = started_at_ms.clone().max().flatten().copied();
        assert!(started_at_ms.clone().all(|at| at.is_some()), "seed {seed}");
        let longest_ms = last_short.unwrap_or_default() - submitted_at_ms;
        assert!(longest_ms < 3_600, "seed {seed}: waited {longest_ms} ms");
        let gangs_after = (1..9)
            .filter_map(|id| simulation.started_at_ms.get(&id))
            .filter(|at_ms| **at_ms > submitted_at_ms);
        let first_after = gangs_after.min().copied().unwrap_or(u64::MAX);
        assert!(
            last_short <= Some(first_after),
            "seed {seed}: a gang went first"
        );
    }
}

/// A backlog that no worker has room for: every event makes the leader look for room again. It must
/// not visit the whole backlog each time, or it has no time left for anything else.
#[test]
fn backlog_does_not_multiply_placement_work() {
    let mut simulation = Simulation::new(8, 6, None);
    simulation.run_ms(200);
    let small = simulation::step(1, 250, 80);
    let long = simulation::step(6, 7_000, 60_000);
    simulation.submit(simulation::job(1, "short", long));
    simulation.run_ms(100);
    let wide = simulation::step(1, 4_000, 1_000);
    submit_at_interval(&mut simulation, 100, 400, 0, "long", &wide);
    let before = simulation.placement_visits();
    // A stream of short tasks, which fit beside the long ones, brings an event every few
    // milliseconds.
    submit_at_interval(&mut simulation, 1_000, 100, 10, "short", &small);
    let visits = simulation.placement_visits() - before;
    // At most a tenth of the backlog of 400 in each of the hundred passes that fit, and all of it
    // ten times.
    assert!(visits <= 8_000, "{visits} visits in a second");
    let started = (1_000..1_100).filter(|id| simulation.started_at_ms.contains_key(id));
    assert!(started.count() > 90, "short tasks wait behind the backlog");
}

/// The work of the leader must not grow with the backlog, nor may a single round of decisions: while
/// it decides, it reads no answers, and tickets and leases expire.
#[test]
fn placement_work_does_not_grow_with_the_backlog() {
    let mut simulation = Simulation::new(9, 6, None);
    simulation.run_ms(200);
    let long = simulation::step(6, 7_000, 60_000);
    simulation.submit(simulation::job(1, "short", long));
    simulation.run_ms(100);
    let wide = simulation::step(1, 4_000, 1_000);
    submit_at_interval(&mut simulation, 100, 4_000, 0, "long", &wide);
    simulation.visit_cost_us = 500;
    let before = simulation.placement_visits();
    let small = simulation::step(1, 250, 80);
    submit_at_interval(&mut simulation, 10_000, 100, 10, "short", &small);
    let visits = simulation.placement_visits() - before;
    assert!(visits <= 8_000, "{visits} visits in a second");
    let longest_ms = simulation.max_round_ms;
    assert!(
        longest_ms <= 100,
        "a round of decisions took {longest_ms} ms"
    );
    let started = (10_000..10_100).filter(|id| simulation.started_at_ms.contains_key(id));
    assert!(started.count() > 90, "short tasks wait behind the backlog");
}

/// A steady stream of small jobs of the same priority keeps every worker partly occupied, which
/// would starve a wide gang unless workers were reserved for it.
#[test]
fn wide_gang_is_not_starved_by_stream_of_small_jobs() {
    let mut simulation = Simulation::new(2, 6, Some(1.0));
    simulation.run_ms(200);
    let small = simulation::step(1, 3_000, 900);
    // Slower than the workers can run them, so that no job older than the gang waits.
    submit_at_interval(&mut simulation, 1_000, 20, 90, "long", &small);
    let gang = model::Step {
        gang: true,
        ..simulation::step(6, 7_000, 500)
    };
    let submitted_at_ms = simulation.now_ms;
    simulation.submit(simulation::job(1, "long", gang));
    submit_at_interval(&mut simulation, 2_000, 200, 25, "long", &small);
    let waited_ms = simulation
        .started_at_ms
        .get(&1)
        .map(|at| at - submitted_at_ms);
    assert!(waited_ms.is_some_and(|ms| ms < 3_000), "{waited_ms:?}");
}

/// Guards against steps for idle workers that wait until a sweep over thousands of steps that cannot
/// be placed has reached them.
#[test]
fn steps_for_idle_workers_do_not_wait_for_the_sweep_of_a_backlog() {
    let mut simulation = Simulation::new(9, 6, None);
    simulation.run_ms(200);
    let nowhere = model::Step {
        required_label: Some("no worker has it".into()),
        ..simulation::step(1, 1_000, 60_000)
    };
    submit_at_interval(&mut simulation, 10_000, 2_000, 1, "long", &nowhere);
    simulation.run_ms(2_500);
    let small = simulation::step(1, 250, 80);
    for id in 1..=5 {
        let submitted_at_ms = simulation.now_ms;
        simulation.submit(simulation::job(id, "long", small.clone()));
        simulation.run_ms(1_000);
        let started_at_ms = simulation.started_at_ms.get(&id);
        let waited_ms = started_at_ms.map(|at| at - submitted_at_ms);
        assert!(waited_ms.is_some_and(|ms| ms < 300), "{waited_ms:?}");
    }
}

/// The store takes a quarter of a second for each write while jobs arrive at the usual rate. With
/// only one batch in flight, an acceptance would also wait for the batch before it.
#[test]
fn slow_store_adds_latency_but_keeps_throughput() {
    let mut simulation = Simulation::new(3, 6, None);
    simulation.run_ms(200);
    simulation.store_ms = 250;
    let tokens = submit_at_interval(
        &mut simulation,
        1,
        200,
        25,
        "short",
        &simulation::step(1, 500, 200),
    );
    simulation.run_ms(2_000);
    let waits = tokens.iter().enumerate().map(|(index, token)| {
        let submitted_at_ms = 200 + 25 * index as u64;
        simulation.answered_at_ms[token] - submitted_at_ms
    });
    let longest_ms = waits.max().expect("jobs");
    assert!(longest_ms < 400, "an acceptance took {longest_ms} ms");
    for id in 1..=200 {
        assert_eq!(
            simulation.status(id),
            Some(model::JobReply::Status(model::JobStatus::Completed))
        );
    }
}

/// The store resets all connections while a hundred jobs arrive each second. Only what was already
/// on its way is in doubt; callers of all other jobs are told at once that these will not run.
#[test]
fn few_jobs_are_in_doubt_when_the_store_goes_down() {
    let mut simulation = Simulation::new(5, 6, None);
    simulation.run_ms(200);
    let small = simulation::step(1, 500, 200);
    submit_at_interval(&mut simulation, 1, 20, 10, "short", &small);
    simulation.store_resets = true;
    let tokens = submit_at_interval(&mut simulation, 100, 60, 10, "short", &small);
    simulation.run_ms(200);
    let refused = tokens.iter().filter(|token| {
        let reply = simulation.replies.get(token);
        matches!(reply, Some(model::JobReply::Refused { .. }))
    });
    let in_doubt = tokens.len() - refused.count();
    // Two intervals between batches pass until the first attempt fails, and one more job may be
    // on its way.
    assert!(in_doubt <= 9, "{in_doubt} jobs in doubt");
    simulation.store_resets = false;
    simulation.run_ms(2_000);
    for (id, token) in (100..).zip(&tokens) {
        let is_accepted = simulation.replies[token] == model::JobReply::Accepted;
        let has_run = simulation.started_at_ms.contains_key(&id);
        assert_eq!(is_accepted, has_run, "job {id}");
    }
}

/// A new leader takes over with a backlog of jobs each of which needs advice. If it requested all
/// of it at once, the recommendation service would be overloaded.
#[test]
fn new_leader_limits_concurrent_advice_calls() {
    let mut simulation = Simulation::new(4, 6, Some(0.8));
    simulation.run_ms(200);
    submit_at_interval(
        &mut simulation,
        1,
        150,
        2,
        "short",
        &simulation::step(2, 4_000, 800),
    );
    simulation.kill_leader();
    simulation.run_ms(500);
    simulation.max_advice_in_flight = 0;
    simulation.elect_leader();
    simulation.run_ms(3_000);
    // Two instances, each with a call in progress and a short backlog.
    assert!(
        simulation.max_advice_in_flight <= 2 * 6,
        "{} calls at once",
        simulation.max_advice_in_flight
    );
}

/// After an outage, short jobs whose objective has passed wait together with longer jobs that can
/// still end in time: the latter must start first, despite their lower priority.
#[test]
fn jobs_that_can_end_in_time_start_first_after_outage() {
    let mut simulation = Simulation::new(6, 6, None);
    simulation.run_ms(200);
    submit_at_interval(
        &mut simulation,
        1,
        40,
        0,
        "short",
        &simulation::step(4, 4_000, 300),
    );
    submit_at_interval(
        &mut simulation,
        100,
        6,
        0,
        "long",
        &simulation::step(2, 4_000, 4_000),
    );
    simulation.run_ms(100);
    simulation.kill_leader();
    // Longer than the objective of the short jobs: twice 300 ms and 400 ms more.
    simulation.run_ms(3_500);
    simulation.elect_leader();
    let elected_ms = simulation.now_ms;
    simulation.run_ms(6_000);
    let first_late = (1..41)
        .filter_map(|id| simulation.started_at_ms.get(&id).copied())
        .filter(|at_ms| *at_ms > elected_ms)
        .min();
    let first_late = Some(first_late.unwrap_or(u64::MAX));
    let last_in_time = (100..106).map(|id| simulation.started_at_ms[&id]).max();
    assert!(
        last_in_time <= first_late,
        "{last_in_time:?} {first_late:?}"
    );
}

/// The store becomes unreachable during a burst: jobs that were not sent to it must be refused at
/// once and must never run.
#[test]
fn jobs_that_cannot_be_stored_are_refused_and_never_run() {
    let mut simulation = Simulation::new(5, 6, None);
    simulation.run_ms(200);
    simulation.store_ms = 60_000;
    let sent = submit_at_interval(
        &mut simulation,
        1,
        1,
        5,
        "short",
        &simulation::step(1, 500, 200),
    );
    let waiting = submit_at_interval(
        &mut simulation,
        2,
        10,
        1,
        "short",
        &simulation::step(1, 500, 200),
    );
    simulation.set_store_reachable(false);
    let late = submit_at_interval(
        &mut simulation,
        100,
        10,
        1,
        "short",
        &simulation::step(1, 500, 200),
    );
    for token in waiting.iter().chain(&late) {
        let reply = simulation.replies.get(token);
        assert!(
            matches!(
                reply,
                Some(model::JobReply::Refused {
                    reason: model::RefusalReason::StoreUnavailable,
                    retry_after_ms: 1..,
                })
            ),
            "{reply:?}"
        );
    }
    // The first is in flight to the store, so that it may still be accepted and run.
    assert_eq!(simulation.replies.get(&sent[0]), None);
    simulation.run_ms(120_000);
    let ran = simulation.started_at_ms.keys().any(|id| *id > 1);
    assert!(!ran, "a refused job has run");
}

fn is_refused(reply: Option<&model::JobReply>) -> bool {
    matches!(
        reply,
        Some(model::JobReply::Refused {
            reason: model::RefusalReason::StoreUnavailable,
            ..
        })
    )
}

/// The store stops answering during a burst before it is known to be down: few jobs may be in
/// flight then, as their callers cannot be told whether they are accepted.
#[test]
fn few_jobs_are_in_doubt_when_store_stops_answering() {
    let mut simulation = Simulation::new(7, 6, None);
    simulation.run_ms(200);
    let step = simulation::step(1, 500, 200);
    submit_at_interval(&mut simulation, 1, 20, 10, "short", &step);
    simulation.store_ms = 60_000;
    let sent = submit_at_interval(&mut simulation, 100, 120, 10, "short", &step);
    simulation.set_store_reachable(false);
    let refused = sent
        .iter()
        .filter(|token| is_refused(simulation.replies.get(token)));
    let in_doubt = sent.len() - refused.count();
    // Those submitted within about the first 300 ms.
    assert!(in_doubt <= 35, "{in_doubt} jobs in doubt");
}

/// The store refuses every write for a while: every job submitted meanwhile must be refused and
/// never run, and no job from before or after may be lost.
#[test]
fn no_job_is_in_doubt_when_store_refuses_writes() {
    let mut simulation = Simulation::new(8, 6, None);
    simulation.run_ms(200);
    let step = simulation::step(1, 500, 200);
    let before = submit_at_interval(&mut simulation, 1, 20, 10, "short", &step);
    simulation.run_ms(50);
    simulation.store_refuses = true;
    let during = submit_at_interval(&mut simulation, 100, 120, 10, "short", &step);
    simulation.run_ms(50);
    assert!(
        during
            .iter()
            .all(|token| is_refused(simulation.replies.get(token)))
    );
    simulation.store_refuses = false;
    simulation.run_ms(500);
    let after = submit_at_interval(&mut simulation, 300, 20, 10, "short", &step);
    simulation.run_ms(3_000);
    for token in before.iter().chain(&after) {
        assert_eq!(
            simulation.replies.get(token),
            Some(&model::JobReply::Accepted)
        );
    }
    for id in (1..=20).chain(300..320) {
        let completed = model::JobReply::Status(model::JobStatus::Completed);
        assert_eq!(simulation.status(id), Some(completed), "job {id}");
    }
    assert!((100..220).all(|id| !simulation.started_at_ms.contains_key(&id)));
}

/// Capacity leak: jobs are placed and then refused, as the store does not take their batch. What they
/// were to occupy must be free again, or jobs accepted later wait on idle workers.
#[test]
fn refused_jobs_free_the_capacity_of_their_planned_runs() {
    for seed in 1..=10 {
        let mut simulation = Simulation::new(seed, 6, None);
        simulation.run_ms(200);
        let whole_worker = simulation::step(1, 7_000, 300);
        simulation.store_refuses = true;
        let during = submit_at_interval(&mut simulation, 1, 12, 5, "short", &whole_worker);
        simulation.run_ms(1_000);
        simulation.store_refuses = false;
        simulation.run_ms(500);
        for token in &during {
            assert!(is_refused(simulation.replies.get(token)), "seed {seed}");
        }
        let submitted_at_ms = simulation.now_ms;
        submit_at_interval(&mut simulation, 100, 6, 0, "short", &whole_worker);
        simulation.run_ms(3_000);
        for id in 100..106 {
            let started_at_ms = simulation.started_at_ms.get(&id);
            let waited_ms = started_at_ms.map(|at_ms| at_ms - submitted_at_ms);
            assert!(
                waited_ms.is_some_and(|waited_ms| waited_ms < 200),
                "seed {seed}: job {id} waited {waited_ms:?} ms"
            );
        }
    }
}

/// Answer credited to the wrong job: a job is refused while the recommendation service is being asked
/// about it, and handed in again before the answer. The answer must not count as that to a call for the
/// new job, which would then wait for a call that nobody makes.
#[test]
fn late_answer_for_refused_job_does_not_block_the_same_job_handed_in_again() {
    for seed in 1..=10 {
        let mut simulation = Simulation::new(seed, 10, Some(0.5));
        simulation.use_slow_advice(1_300, 6);
        simulation.run_ms(200);
        let wide = simulation::step(40, 4_000, 1_000);
        let job = simulation::job(1, "short", wide);
        simulation.store_refuses = true;
        let refused = simulation.submit(job.clone());
        simulation.run_ms(700);
        assert!(
            is_refused(simulation.replies.get(&refused)),
            "seed {seed}: the first attempt was accepted"
        );
        assert_eq!(simulation.advice_calls, 1, "seed {seed}");
        simulation.store_refuses = false;
        simulation.run_ms(500);
        let accepted = simulation.submit(job);
        simulation.run_ms(20_000);
        assert_eq!(
            simulation.replies.get(&accepted),
            Some(&model::JobReply::Accepted),
            "seed {seed}"
        );
        let completed = model::JobReply::Status(model::JobStatus::Completed);
        assert_eq!(simulation.status(1), Some(completed), "seed {seed}");
    }
}

/// A leader ends its term during a burst while the store does not answer: callers whose jobs were
/// not sent to the store must be redirected to the next leader.
#[test]
fn callers_of_unsent_jobs_are_redirected_to_next_leader() {
    let mut simulation = Simulation::new(9, 6, None);
    simulation.run_ms(200);
    simulation.store_ms = 60_000;
    let step = simulation::step(1, 500, 200);
    let sent = submit_at_interval(&mut simulation, 1, 60, 10, "short", &step);
    simulation.step_down_leader();
    let redirected = sent
        .iter()
        .filter(|token| simulation.replies.get(token) == Some(&model::JobReply::NotLeading));
    // All but those that were sent to the store within about the first 300 ms.
    let redirected = redirected.count();
    assert!(redirected >= 25, "{redirected} redirected");
    let answered = sent
        .iter()
        .filter(|token| simulation.replies.contains_key(token));
    assert_eq!(answered.count(), redirected, "the others are in doubt");
}

/// Wide gangs arrive faster than the workers can run them, and the recommendation service is slow
/// and allows few workers. Gangs that wait for capacity must not occupy the service with calls
/// whose tickets expire unused.
#[test]
fn gangs_waiting_for_capacity_make_few_advice_calls() {
    let mut simulation = Simulation::new(10, 40, Some(0.4));
    simulation.use_slow_advice(700, 6);
    simulation.run_ms(200);
    let gang = model::Step {
        gang: true,
        ..simulation::step(14, 4_000, 2_500)
    };
    submit_at_interval(&mut simulation, 1, 20, 300, "long", &gang);
    simulation.run_ms(40_000);
    for id in 1..=20 {
        let completed = model::JobReply::Status(model::JobStatus::Completed);
        assert_eq!(simulation.status(id), Some(completed), "gang {id}");
    }
    // Two to find out which workers they may use, and one or two for tickets once there is
    // capacity.
    let calls = simulation.advice_calls;
    assert!(calls <= 20 * 4, "{calls} calls for 20 gangs");
}

/// Gangs with at most one task per worker on idle workers: a gang needs as many allowed workers as
/// it has tasks, however many tasks would fit on one.
#[test]
fn gang_with_one_task_per_worker_finds_enough_workers() {
    let mut simulation = Simulation::new(11, 6, Some(0.6));
    simulation.run_ms(200);
    let gang = model::Step {
        gang: true,
        max_per_worker: Some(1),
        ..simulation::step(3, 1_000, 300)
    };
    submit_at_interval(&mut simulation, 1, 10, 500, "long", &gang);
    simulation.run_ms(2_000);
    for id in 1..=10 {
        let completed = model::JobReply::Status(model::JobStatus::Completed);
        assert_eq!(simulation.status(id), Some(completed), "gang {id}");
    }
}

/// Everyone retries at once while the leader is overloaded: a new job is refused before it is
/// recorded, and a caller who repeats the submission of an accepted or ended job learns that.
#[test]
fn overloaded_leader_refuses_new_jobs_and_keeps_known_ones() {
    let mut simulation = Simulation::new(4, 6, None);
    simulation.run_ms(200);
    let running = simulation::job(1, "short", simulation::step(1, 1_000, 60_000));
    let ended = simulation::job(2, "short", simulation::step(1, 1_000, 50));
    for job in [&running, &ended] {
        simulation.submit(job.clone());
    }
    simulation.run_ms(2_000);
    simulation.overload_retry_ms = Some(3_000);
    let unsaved = simulation::job(3, "short", simulation::step(1, 1_000, 50));
    let tokens = [running, ended, unsaved].map(|job| simulation.submit(job));
    let cancelled = simulation.cancel(1);
    simulation.run_ms(500);
    let refused = model::JobReply::Refused {
        reason: model::RefusalReason::Overloaded,
        retry_after_ms: 3_000,
    };
    let replies = tokens.map(|token| simulation.replies[&token].clone());
    let accepted = model::JobReply::Accepted;
    assert_eq!(replies, [accepted.clone(), accepted, refused]);
    let cancelled = &simulation.replies[&cancelled];
    let status = model::JobReply::Status(model::JobStatus::Cancelled);
    assert_eq!(*cancelled, status);
    assert_eq!(simulation.status(3), Some(model::JobReply::Unknown));
    simulation.overload_retry_ms = None;
    let again = simulation::job(3, "short", simulation::step(1, 1_000, 50));
    let token = simulation.submit(again);
    simulation.run_ms(500);
    assert_eq!(simulation.replies[&token], model::JobReply::Accepted);
}

/// The leader is killed at full load, and everyone whose submission had no answer retries at once at
/// its successor. Waits are back to normal within half a second, and no run is repeated.
#[test]
fn successor_catches_up_after_the_leader_is_killed_at_full_load() {
    for seed in 0..5 {
        let mut simulation = Simulation::new(seed, 6, None);
        simulation.run_ms(200);
        let small = simulation::step(1, 500, 200);
        let before = submit_at_interval(&mut simulation, 1, 200, 10, "short", &small);
        simulation.kill_leader();
        let during = submit_at_interval(&mut simulation, 1_000, 60, 10, "short", &small);
        let sent = (1..201).zip(before).chain((1_000..1_060).zip(during));
        let unanswered: Vec<_> = sent
            .filter(|(_, token)| !simulation.replies.contains_key(token))
            .map(|(id, _)| id)
            .collect();
        assert!(unanswered.len() >= 60);
        simulation.elect_leader();
        let elected_ms = simulation.now_ms;
        let retries: Vec<_> = unanswered
            .into_iter()
            .map(|id| simulation.submit(simulation::job(id, "short", small.clone())))
            .collect();
        submit_at_interval(&mut simulation, 2_000, 150, 10, "short", &small);
        simulation.run_ms(3_000);
        for token in &retries {
            let waited_ms = simulation.answered_at_ms[token] - elected_ms;
            assert!(
                waited_ms < 300,
                "seed {seed}: accepted after {waited_ms} ms"
            );
        }
        // Submitted from half a second after the election.
        for id in 2_050..2_150 {
            let submitted_ms = elected_ms + 10 * (id - 2_000);
            let waited_ms = simulation.started_at_ms[&id] - submitted_ms;
            assert!(waited_ms < 200, "seed {seed}: started after {waited_ms} ms");
        }
        for id in (1..201).chain(1_000..1_060).chain(2_000..2_150) {
            let completed = model::JobReply::Status(model::JobStatus::Completed);
            assert_eq!(
                simulation.status(id),
                Some(completed),
                "seed {seed}: job {id}"
            );
        }
        assert_eq!(
            simulation.start_count, 410,
            "seed {seed}: a run was repeated"
        );
    }
}
