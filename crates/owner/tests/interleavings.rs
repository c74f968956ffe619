//! Property test: random interleavings of requests, pauses, crashes, and lost and late messages
//! over three owners.
//!
//! Guards against starting a non-repeatable task twice, running a task twice at once, starting a
//! task after it was answered as not run, and leaving a call without an answer.

mod cluster;

use std::sync;

use model::Class;
use model::Demand;
use model::Task;
use model::TaskSpec;
use model::Urgency;
use proptest::prelude::*;

use cluster::Cluster;
use cluster::NODES;
use cluster::WORKERS;

#[derive(Clone, Debug)]
enum Step {
    Submit {
        receiver: usize,
        key: u8,
        kind: u8,
    },
    /// Submits a task, writes the journal and starts the task.
    Run {
        receiver: usize,
        key: u8,
        kind: u8,
        holder: usize,
    },
    /// Makes every instance offer its first queued task to this holder.
    DispatchAll(usize),
    /// Loses every outstanding message.
    LoseAll(bool),
    Cancel {
        receiver: usize,
        key: u8,
        kind: u8,
    },
    Dispatch(usize, usize),
    Deliver(usize),
    DeliverAll,
    Lose {
        index: usize,
        late: bool,
    },
    Advance(u64),
    Finish(usize, bool),
    Kill(usize),
    KillWorker(usize),
    Pause(usize),
    Resume(usize),
    Isolate(usize, bool),
    StoreDown(bool),
    Drain(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    let worker = 0..WORKERS;
    prop_oneof![
        10 => (node.clone(), 0..2_u8, 0..4_u8, node.clone())
            .prop_map(|(receiver, key, kind, holder)| Step::Run { receiver, key, kind, holder }),
        4 => (node.clone(), 0..2_u8, 0..4_u8)
            .prop_map(|(receiver, key, kind)| Step::Submit { receiver, key, kind }),
        1 => (node.clone(), 0..2_u8, 0..4_u8)
            .prop_map(|(receiver, key, kind)| Step::Cancel { receiver, key, kind }),
        2 => (node.clone(), node.clone()).prop_map(|(id, holder)| Step::Dispatch(id, holder)),
        5 => node.clone().prop_map(Step::DispatchAll),
        3 => (0..64_usize).prop_map(Step::Deliver),
        5 => Just(Step::DeliverAll),
        1 => (0..64_usize, any::<bool>()).prop_map(|(index, late)| Step::Lose { index, late }),
        3 => any::<bool>().prop_map(Step::LoseAll),
        8 => prop::sample::select(vec![20, 350, 900, 1_700, 1_700]).prop_map(Step::Advance),
        2 => (worker.clone(), prop::bool::weighted(0.8))
            .prop_map(|(id, succeeds)| Step::Finish(id, succeeds)),
        4 => node.clone().prop_map(Step::Kill),
        1 => worker.prop_map(Step::KillWorker),
        3 => node.clone().prop_map(Step::Pause),
        3 => node.clone().prop_map(Step::Resume),
        3 => (node.clone(), any::<bool>()).prop_map(|(id, isolated)| Step::Isolate(id, isolated)),
        1 => any::<bool>().prop_map(Step::StoreDown),
        1 => node.prop_map(Step::Drain),
    ]
}

/// Returns the task of a key. Kinds 0 and 2 are repeatable; callers wait for kinds 0 and 1.
fn task(key: u8, kind: u8) -> Task {
    let name = format!("k{key}-{kind}");
    Task {
        task_id: model::keyed_task_id("customer", &name),
        customer_id: "customer".into(),
        plan_id: "plan".into(),
        region: "r".into(),
        spec: sync::Arc::new(TaskSpec {
            kind: "form".into(),
            class: Class::Batch,
            demand: Demand::default(),
            members: 1,
            urgency: Urgency::Normal,
            deadline_ms: 4_000,
            repeatable: kind.is_multiple_of(2),
            key: Some(name),
            declared_run_ms: None,
            body: "{}".into(),
        }),
        wait: kind < 2,
    }
}

fn apply(cluster: &mut Cluster, step: Step) {
    match step {
        Step::Submit {
            receiver,
            key,
            kind,
        } => cluster.start_call(receiver, task(key, kind), false),
        Step::Cancel {
            receiver,
            key,
            kind,
        } => cluster.start_call(receiver, task(key, kind), true),
        Step::Run {
            receiver,
            key,
            kind,
            holder,
        } => {
            cluster.start_call(receiver, task(key, kind), false);
            cluster.advance(20);
            cluster.deliver_all();
            for id in 0..NODES {
                cluster.dispatch(id, holder);
            }
            cluster.deliver_all();
        }
        Step::DispatchAll(holder) => {
            for id in 0..NODES {
                cluster.dispatch(id, holder);
            }
        }
        Step::LoseAll(late) => {
            for index in (0..cluster.messages.len()).rev() {
                cluster.lose(index, late);
            }
        }
        Step::Dispatch(id, holder) => cluster.dispatch(id, holder),
        Step::Deliver(index) if !cluster.messages.is_empty() => {
            cluster.deliver(index % cluster.messages.len());
        }
        Step::Lose { index, late } if !cluster.messages.is_empty() => {
            cluster.lose(index % cluster.messages.len(), late);
        }
        Step::Deliver(_) | Step::Lose { .. } => {}
        Step::DeliverAll => cluster.deliver_all(),
        Step::Advance(millis) => cluster.advance(millis),
        Step::Finish(worker, succeeds) => cluster.finish(worker, succeeds),
        Step::Kill(id) => cluster.kill(id),
        Step::KillWorker(worker) => cluster.kill_worker(worker),
        Step::Pause(id) => cluster.nodes[id].paused = true,
        Step::Resume(id) => cluster.resume(id),
        Step::Isolate(id, isolated) => cluster.nodes[id].isolated = isolated,
        Step::StoreDown(down) => cluster.store.down = down,
        Step::Drain(id)
            if cluster
                .nodes
                .iter()
                .all(|node| !node.draining && !node.paused) =>
        {
            cluster.nodes[id].draining = true;
            cluster.handle_event(id, owner::Event::Drain);
        }
        Step::Drain(_) => {}
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        max_shrink_iters: 0,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(42),
        ..ProptestConfig::default()
    })]

    #[test]
    fn invariants_hold(steps in prop::collection::vec(step(), 1..40)) {
        let mut cluster = Cluster::new();
        for (index, step) in steps.into_iter().enumerate() {
            let text = format!("{step:?}");
            apply(&mut cluster, step);
            prop_assert!(
                cluster.violations.is_empty(),
                "step {index}, {text}: {:?}",
                cluster.violations
            );
        }
        cluster.recover();
        prop_assert!(cluster.violations.is_empty(), "after recovery: {:?}", cluster.violations);
        let unanswered = cluster.unanswered_calls();
        prop_assert!(unanswered.is_empty(), "calls without an answer: {unanswered:?}");
    }
}
