//! Simulated cluster of `Owner`s with a store, workers, lease holders, and messages that can be
//! lost or late.

mod message;
mod node;
mod store;
mod worker;

use std::time;

use indexmap::IndexMap;
use model::Outcome;
use model::SubmitReply;
use model::TaskId;
use model::TaskStatus;
use owner::Action;
use owner::Answer;
use owner::Event;
use owner::RequestId;

pub(crate) use message::Message;
pub(crate) use message::Request;
pub(crate) use node::Node;
pub(crate) use worker::Worker;

pub(crate) const NODES: usize = 3;
pub(crate) const WORKERS: usize = 3;
pub(crate) const LEASE_TTL: time::Duration = time::Duration::from_millis(1_000);
pub(crate) const GRACE: time::Duration = time::Duration::from_millis(500);
pub(crate) const MARGIN: time::Duration = time::Duration::from_millis(100);
pub(crate) const OFFER_VALIDITY: time::Duration = time::Duration::from_millis(300);
pub(crate) const DEAD_AFTER: time::Duration = time::Duration::from_millis(700);

/// A caller's request, which may be resent to other instances.
pub(crate) struct Call {
    pub(crate) task: model::Task,
    pub(crate) cancels: bool,
    pub(crate) deadline: time::Instant,
    /// Instance and request that the caller waits for.
    pub(crate) waiting_at: Option<(usize, RequestId)>,
    pub(crate) answer: Option<Answer>,
}

pub(crate) struct Cluster {
    pub(crate) now: time::Instant,
    pub(crate) nodes: Vec<Node>,
    pub(crate) workers: Vec<Worker>,
    pub(crate) store: store::Store,
    pub(crate) messages: Vec<Message>,
    pub(crate) calls: Vec<Call>,
    pub(crate) request_ids: IndexMap<RequestId, usize>,
    pub(crate) boot_count: usize,
    pub(crate) next_id: u64,
    /// Number of starts of each task.
    pub(crate) start_counts: IndexMap<TaskId, usize>,
    /// Number of calls made when a task was last answered as not run.
    pub(crate) calls_at_not_run: IndexMap<TaskId, usize>,
    pub(crate) violations: Vec<String>,
}

impl Cluster {
    pub(crate) fn new() -> Self {
        let now = time::Instant::now();
        let mut cluster = Self {
            now,
            nodes: Vec::new(),
            workers: (0..WORKERS).map(|id| Worker::new(id, now)).collect(),
            store: store::Store::default(),
            messages: Vec::new(),
            calls: Vec::new(),
            request_ids: IndexMap::new(),
            boot_count: 0,
            next_id: 0,
            start_counts: IndexMap::new(),
            calls_at_not_run: IndexMap::new(),
            violations: Vec::new(),
        };
        for id in 0..NODES {
            cluster.boot_count += 1;
            let boot = cluster.boot_count;
            cluster.nodes.push(Node::new(id, boot, now));
        }
        for _ in 0..20 {
            cluster.advance(100);
            cluster.deliver_all();
        }
        cluster
    }

    pub(crate) fn record_violation(&mut self, text: String) {
        self.violations.push(text);
    }

    /// Passes an event to an instance and performs its actions.
    pub(crate) fn handle_event(&mut self, id: usize, event: Event) {
        let actions = self.nodes[id].owner.handle_event(event, self.now);
        for action in actions {
            self.perform(id, action);
        }
    }

    fn perform(&mut self, id: usize, action: Action) {
        match action {
            Action::Answer { request_id, answer } => self.handle_answer(request_id, answer),
            Action::Enqueue(task) => {
                let known = self.nodes[id].is_queued(task.task.task_id);
                if known {
                    self.record_violation(format!("queued twice: {:?}", task.task.task_id));
                }
                self.nodes[id].queue.push(task);
            }
            Action::Unqueue { task_id } => self.nodes[id].unqueue(task_id),
            Action::Withdraw { holder, run } => {
                let request = Request::Withdraw { holder, run };
                self.send(id, request);
            }
            Action::ReadTable => self.send(id, Request::ReadTable),
            Action::WriteTable {
                table,
                expected_revision,
            } => self.send(id, Request::WriteTable(table, expected_revision)),
            Action::Fence { to, partitions } => self.send(id, Request::Fence { to, partitions }),
            Action::WriteJournal {
                batch_id,
                table_revision,
                entries,
                deletes,
            } => self.send(
                id,
                Request::WriteJournal {
                    batch_id,
                    table_revision,
                    entries,
                    deletes,
                },
            ),
            Action::ReadJournal { partition } => self.send(id, Request::ReadJournal(partition)),
            Action::Delegate {
                to,
                partitions,
                started,
                queued,
            } => self.send(
                id,
                Request::Delegate {
                    to,
                    partitions,
                    started,
                    queued,
                },
            ),
            Action::Settled(_) | Action::ResourcesFreed { .. } | Action::Adopted { .. } => {}
            Action::Serving { .. } | Action::Superseded { .. } => {}
        }
    }

    /// Starts a call and sends it to the instance that `receiver` knows as the owner of the task.
    pub(crate) fn start_call(&mut self, receiver: usize, task: model::Task, cancels: bool) {
        self.calls.push(Call {
            task,
            cancels,
            deadline: self.now + time::Duration::from_secs(4),
            waiting_at: None,
            answer: None,
        });
        self.route_call(self.calls.len() - 1, receiver, false);
    }

    fn route_call(&mut self, call: usize, receiver: usize, resent: bool) {
        let task_id = self.calls[call].task.task_id;
        let partition = model::partition_of(task_id);
        let owner = self.nodes[receiver].owner.owner_of(partition).cloned();
        let target = owner.and_then(|owner| self.node_of(&owner));
        let Some(target) = target.filter(|id| self.can_reach(receiver, *id)) else {
            return;
        };
        self.next_id += 1;
        let request_id = self.next_id;
        self.request_ids.insert(request_id, call);
        self.calls[call].waiting_at = Some((target, request_id));
        let Call {
            task,
            cancels,
            deadline,
            ..
        } = &self.calls[call];
        let event = if *cancels {
            Event::Cancel {
                request_id,
                customer_id: task.customer_id.clone(),
                task_id,
            }
        } else {
            Event::Submit {
                request_id,
                task: task.clone(),
                deadline: *deadline,
                resent,
            }
        };
        if self.nodes[target].paused {
            self.nodes[target].inbox.push(event);
        } else {
            self.handle_event(target, event);
        }
    }

    fn handle_answer(&mut self, request_id: RequestId, answer: Answer) {
        let Some(call) = self.request_ids.get(&request_id).copied() else {
            self.record_violation(format!("request {request_id} was answered twice"));
            return;
        };
        self.request_ids.swap_remove(&request_id);
        let current = self.calls[call]
            .waiting_at
            .map(|(_, request_id)| request_id);
        if current != Some(request_id) {
            return;
        }
        self.calls[call].waiting_at = None;
        if answer == Answer::NotOwner {
            return;
        }
        if is_not_run(&answer) {
            self.check_not_run(call);
        }
        self.calls[call].answer = Some(answer);
    }

    fn check_not_run(&mut self, call: usize) {
        let task_id = self.calls[call].task.task_id;
        if self.calls[call].cancels {
            return;
        }
        if self
            .start_counts
            .get(&task_id)
            .is_some_and(|starts| *starts > 0)
        {
            let answer = "answered as not run, but it ran";
            self.record_violation(format!("call {call} of task {task_id}: {answer}"));
        }
        self.calls_at_not_run.insert(task_id, self.calls.len());
    }

    /// Resends unanswered calls whose instance has died or answered `NotOwner`.
    pub(crate) fn resend_calls(&mut self) {
        for call in 0..self.calls.len() {
            if self.calls[call].answer.is_some() || self.calls[call].waiting_at.is_some() {
                continue;
            }
            if let Some(receiver) = self.nodes.iter().position(Node::is_up) {
                self.route_call(call, receiver, true);
            }
        }
    }

    pub(crate) fn advance(&mut self, millis: u64) {
        let mut left = millis;
        while left > 0 {
            let part = left.min(450);
            self.advance_step(part);
            left -= part;
        }
    }

    fn advance_step(&mut self, millis: u64) {
        self.now += time::Duration::from_millis(millis);
        self.advance_workers();
        self.refresh_members();
        self.time_out_requests();
        for id in 0..NODES {
            if self.nodes[id].paused {
                continue;
            }
            self.expire_queue(id);
            self.handle_event(id, Event::Tick);
        }
        self.report_runs();
        self.resend_calls();
    }

    /// Ends all injected faults and runs the cluster until every call is answered, or for 200
    /// rounds.
    pub(crate) fn recover(&mut self) {
        self.store.down = false;
        for id in 0..NODES {
            self.nodes[id].isolated = false;
            self.resume(id);
        }
        for round in 0..200 {
            if round > 20 && self.unanswered_calls().is_empty() {
                return;
            }
            self.advance(100);
            self.deliver_all();
            for id in 0..NODES {
                if round == 10 && self.nodes[id].draining {
                    self.kill(id);
                }
                while !self.nodes[id].queue.is_empty() {
                    let before = self.nodes[id].queue.len();
                    self.dispatch(id, id);
                    self.deliver_all();
                    if self.nodes[id].queue.len() >= before {
                        break;
                    }
                }
            }
            for worker in 0..WORKERS {
                self.finish(worker, true);
            }
        }
    }

    pub(crate) fn unanswered_calls(&self) -> Vec<usize> {
        (0..self.calls.len())
            .filter(|call| self.calls[*call].answer.is_none())
            .collect()
    }
}

pub(crate) fn is_not_run(answer: &Answer) -> bool {
    match answer {
        Answer::Submit(SubmitReply::Settled(outcome))
        | Answer::Status(TaskStatus::Settled(outcome)) => matches!(outcome, Outcome::NotRun(_)),
        Answer::Submit(SubmitReply::RetryLater { .. }) => true,
        _ => false,
    }
}
