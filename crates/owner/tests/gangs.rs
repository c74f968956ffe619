//! Gangs: either all members finish, or the whole gang is stopped and queued again.

use std::sync;
use std::time;

use model::Class;
use model::Demand;
use model::FenceAck;
use model::FinishedRun;
use model::InstanceId;
use model::Outcome;
use model::RunReport;
use model::RunState;
use model::SubmitReply;
use model::Task;
use model::TaskAttempt;
use model::TaskSpec;
use owner::Action;
use owner::Answer;
use owner::Event;
use owner::Fences;
use owner::Member;
use owner::Owner;
use owner::OwnerSettings;
use owner::WriteResult;

const SECOND: time::Duration = time::Duration::from_secs(1);

/// A cluster of one instance, which owns every partition.
struct SingleNode {
    now: time::Instant,
    id: InstanceId,
    owner: Owner,
    actions: Vec<Action>,
}

impl SingleNode {
    fn new() -> Self {
        let now = time::Instant::now();
        let id = InstanceId::from("a#1");
        let settings = OwnerSettings {
            instance_id: id.clone(),
            started_unix_ms: 0,
            max_tasks: 10,
            max_attempts: 3,
            result_retention: 60 * SECOND,
            journal_retention: 600 * SECOND,
            journal_batch_delay: SECOND / 100,
            journal_batch_entries: 100,
            lease_ttl: SECOND,
            grace: SECOND,
            margin: SECOND,
            offer_validity: SECOND,
            dead_after: SECOND,
        };
        let mut node = Self {
            now,
            id: id.clone(),
            owner: Owner::new(settings, now),
            actions: Vec::new(),
        };
        node.now += 2 * SECOND;
        node.handle_event(Event::Workers(vec!["w".into()]));
        let location = model::Location {
            region: "r".into(),
            data_centre: "d".into(),
            rack: "".into(),
        };
        let live = vec![Member {
            instance_id: id,
            location,
            draining: false,
        }];
        let unreachable = Vec::new();
        node.handle_event(Event::Members { live, unreachable });
        for _ in 0..20 {
            node.handle_event(Event::Tick);
        }
        node
    }

    /// Passes an event to the owner and answers its actions as the store and the lease holder.
    fn handle_event(&mut self, event: Event) {
        let actions = self.owner.handle_event(event, self.now);
        for action in actions {
            match action {
                Action::ReadTable => self.handle_event(Event::TableRead {
                    table: model::PartitionTable::default(),
                    revision: 0,
                }),
                Action::WriteTable { .. } => {
                    self.handle_event(Event::TableWritten {
                        result: WriteResult::Written,
                        revision: 1,
                    });
                }
                Action::ReadJournal { partition } => self.handle_event(Event::JournalRead {
                    partition,
                    entries: Vec::new(),
                }),
                Action::Fence { to, partitions } => {
                    let ack = FenceAck {
                        workers: vec!["w".into()],
                        ..FenceAck::default()
                    };
                    self.handle_event(Event::FenceAcked {
                        from: to,
                        partitions,
                        ack,
                    });
                }
                other => self.actions.push(other),
            }
        }
    }

    fn start_gang(&mut self, task: &Task, attempt: u32) {
        let task_id = task.task_id;
        let holder = self.id.clone();
        self.handle_event(Event::Dispatched {
            task_id,
            attempt,
            members: vec![0, 1],
            holder: holder.clone(),
        });
        self.handle_event(Event::OfferAccepted {
            task_id,
            attempt,
            members: vec![0, 1],
            holder,
            workers: vec!["w".into(), "w".into()],
        });
    }

    fn report(&self, run: TaskAttempt, state: RunState) -> RunReport {
        RunReport {
            run,
            task: None,
            holder: self.id.clone(),
            worker_id: "w".into(),
            state,
        }
    }
}

fn gang_task() -> Task {
    Task {
        task_id: model::task_id_in_partition(7, 1),
        customer_id: "c".into(),
        plan_id: "p".into(),
        region: "r".into(),
        spec: sync::Arc::new(TaskSpec {
            kind: "pack".into(),
            class: Class::Gang,
            demand: Demand::default(),
            members: 2,
            urgency: model::Urgency::Normal,
            deadline_ms: 5_000,
            repeatable: true,
            key: None,
            declared_run_ms: None,
            body: "{}".into(),
        }),
        wait: true,
    }
}

fn task_attempt(task: &Task, member: u16, attempt: u32) -> TaskAttempt {
    TaskAttempt {
        task_id: task.task_id,
        member,
        attempt,
    }
}

#[test]
fn lost_member_stops_the_other_members_before_gang_is_requeued() {
    let mut node = SingleNode::new();
    let task = gang_task();
    node.handle_event(Event::Submit {
        request_id: 1,
        task: task.clone(),
        deadline: node.now + 5 * SECOND,
        resent: false,
    });
    node.start_gang(&task, 1);
    node.actions.clear();

    let stopped = node.report(task_attempt(&task, 0, 1), RunState::Stopped);
    node.handle_event(Event::Reports(vec![stopped]));
    let withdraw = Action::Withdraw {
        holder: node.id.clone(),
        run: task_attempt(&task, 1, 1),
    };
    assert_eq!(node.actions, [withdraw]);

    let withdrawn = node.report(task_attempt(&task, 1, 1), RunState::Stopped);
    node.handle_event(Event::Withdrawn(withdrawn));
    let attempt = node.actions.iter().find_map(|action| match action {
        Action::Enqueue(queued) => Some(queued.attempt),
        _ => None,
    });
    assert_eq!(attempt, Some(2));

    node.start_gang(&task, 2);
    for (member, output) in [(1, "second"), (0, "first")] {
        let run = task_attempt(&task, member, 2);
        let finished_run = FinishedRun::with_digest(run, true, output.into(), 3);
        let report = node.report(run, RunState::Finished(finished_run));
        node.handle_event(Event::Reports(vec![report]));
    }
    let outputs = node.actions.iter().find_map(|action| match action {
        Action::Answer {
            answer: Answer::Submit(SubmitReply::Settled(Outcome::Done(result))),
            ..
        } => Some(result.outputs.clone()),
        _ => None,
    });
    assert_eq!(outputs, Some(vec!["first".into(), "second".into()]));
}

#[test]
fn fences_are_never_lowered() {
    let mut fences = Fences::new();
    assert!(fences.admits(3, 1));
    fences.raise(3, 5);
    fences.raise(3, 4);
    assert!(!fences.admits(3, 4));
    assert!(fences.admits(3, 5));
    assert_eq!(fences.highest(3), 5);
}
