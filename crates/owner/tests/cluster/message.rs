//! Messages between instances and to the store.
//!
//! Each request gets exactly one reply or failure. A late request still takes effect.

use std::time;

use model::Generation;
use model::InstanceId;
use model::Partition;
use model::PartitionTable;
use model::Revision;
use model::RunReport;
use model::Task;
use model::TaskAttempt;
use model::TaskId;
use owner::BatchId;
use owner::Event;
use owner::JournalEntry;
use owner::QueuedTask;
use owner::WriteResult;

use super::Cluster;
use super::OFFER_VALIDITY;

#[derive(Clone, Debug)]
pub(crate) enum Request {
    Offer {
        holder: InstanceId,
        task: QueuedTask,
    },
    Withdraw {
        holder: InstanceId,
        run: TaskAttempt,
    },
    Fence {
        to: InstanceId,
        partitions: Vec<(Partition, Generation)>,
    },
    Report(Box<RunReport>),
    ReadTable,
    WriteTable(PartitionTable, Revision),
    WriteJournal {
        batch_id: BatchId,
        table_revision: Revision,
        entries: Vec<JournalEntry>,
        deletes: Vec<TaskId>,
    },
    ReadJournal(Partition),
    Delegate {
        to: InstanceId,
        partitions: Vec<(Partition, Generation)>,
        started: Vec<RunReport>,
        queued: Vec<(Task, u64)>,
    },
}

#[derive(Clone, Debug)]
pub(crate) struct Message {
    pub(crate) from: usize,
    pub(crate) boot: usize,
    pub(crate) request: Request,
    pub(crate) sent_at: time::Instant,
    /// Set once the request has taken effect and its reply is under way.
    pub(crate) reply: Option<Event>,
    /// Whether a failure has already been reported to the sender.
    pub(crate) failure_reported: bool,
}

impl Cluster {
    pub(crate) fn send(&mut self, from: usize, request: Request) {
        self.messages.push(Message {
            from,
            boot: self.nodes[from].boot,
            request,
            sent_at: self.now,
            reply: None,
            failure_reported: false,
        });
    }

    /// Advances a message one step: applies its request, or delivers its reply to the sender.
    pub(crate) fn deliver(&mut self, index: usize) {
        let message = self.messages.remove(index);
        if self.nodes[message.from].boot != message.boot {
            return;
        }
        if let Some(event) = message.reply.clone() {
            if self.nodes[message.from].paused {
                self.messages.push(message);
            } else if !message.failure_reported {
                self.deliver_reply(message.from, &message.request, event);
            }
            return;
        }
        let target = self.target(&message.request);
        if let Some(Some(to)) = target
            && self.nodes[to].paused
        {
            self.messages.push(message);
            return;
        }
        let reachable = match target {
            Some(Some(to)) => self.can_reach(message.from, to),
            Some(None) => false,
            None => !self.store.down && !self.nodes[message.from].isolated,
        };
        let event = if reachable {
            self.apply_request(&message, target.flatten())
        } else {
            self.failure_event(&message, false)
        };
        if let Some(event) = event {
            let reply = Some(event);
            self.messages.push(Message { reply, ..message });
        }
    }

    /// Loses a message; if `late` is set, its request still takes effect later.
    pub(crate) fn lose(&mut self, index: usize, late: bool) {
        let mut message = self.messages.remove(index);
        if self.nodes[message.from].paused {
            self.messages.push(message);
            return;
        }
        let may_have_effect = late || message.reply.is_some();
        let failure = self.failure_event(&message, may_have_effect);
        let from = message.from;
        let current = self.nodes[from].boot == message.boot && !message.failure_reported;
        let request = message.request.clone();
        if late && message.reply.is_none() {
            message.failure_reported = true;
            self.messages.push(message);
        }
        if let Some(event) = failure.filter(|_| current) {
            self.deliver_reply(from, &request, event);
        }
    }

    /// Reports requests older than 400 ms as failed; they may still arrive later.
    pub(crate) fn time_out_requests(&mut self) {
        let limit = time::Duration::from_millis(400);
        while let Some(index) = self.messages.iter().position(|message| {
            let old = self.now > message.sent_at + limit;
            old && !message.failure_reported && !self.nodes[message.from].paused
        }) {
            let before = self.messages.len();
            self.lose(index, true);
            if self.messages.len() == before
                && self.messages.iter().all(|message| message.failure_reported)
            {
                break;
            }
        }
    }

    pub(crate) fn deliver_all(&mut self) {
        for _ in 0..6 {
            let count = self.messages.len();
            if count == 0 {
                return;
            }
            for _ in 0..count {
                if !self.messages.is_empty() {
                    self.deliver(0);
                }
            }
        }
    }

    /// Returns the instance that a request goes to: `None` for the store, `Some(None)` for an
    /// instance that no longer exists.
    fn target(&self, request: &Request) -> Option<Option<usize>> {
        match request {
            Request::Offer { holder, .. } | Request::Withdraw { holder, .. } => {
                Some(self.node_of(holder))
            }
            Request::Fence { to, .. } | Request::Delegate { to, .. } => Some(self.node_of(to)),
            Request::Report(report) => {
                let partition = model::partition_of(report.run.task_id);
                let reporter = self.node_of(&report.holder);
                let owner = reporter.and_then(|id| self.nodes[id].owner.owner_of(partition));
                Some(owner.and_then(|owner| self.node_of(owner)))
            }
            _ => None,
        }
    }

    fn apply_request(&mut self, message: &Message, to: Option<usize>) -> Option<Event> {
        let to = to.unwrap_or_default();
        match message.request.clone() {
            Request::Offer { holder, task } => {
                let fresh = self.now <= message.sent_at + OFFER_VALIDITY;
                let worker = fresh.then(|| self.accept_offer(to, &task)).flatten();
                Some(self.offer_reply(holder, &task, worker))
            }
            Request::Withdraw { holder, run } => Some(match self.withdraw(to, run) {
                Some(report) => Event::Withdrawn(report),
                None => Event::WithdrawFailed { run, holder },
            }),
            Request::Fence {
                to: from,
                partitions,
            } => {
                if to != message.from {
                    let owner = self.nodes[message.from].owner.instance_id().clone();
                    let partitions = partitions.clone();
                    self.handle_event(to, Event::Fenced { owner, partitions });
                }
                let ack = self.fence_ack(to, &partitions);
                Some(Event::FenceAcked {
                    from,
                    partitions,
                    ack,
                })
            }
            Request::Report(report) => {
                self.accept_report(to, *report);
                None
            }
            Request::Delegate {
                to: peer,
                partitions,
                started,
                queued,
            } => {
                let from = self.nodes[message.from].owner.instance_id().clone();
                self.handle_event(
                    to,
                    Event::Delegated {
                        from,
                        partitions,
                        started,
                        queued,
                    },
                );
                Some(Event::DelegateAcked { to: peer })
            }
            store_request => {
                Some(self.apply_store_request((message.from, message.boot), store_request))
            }
        }
    }

    fn apply_store_request(&mut self, writer: (usize, usize), request: Request) -> Event {
        let result = |written| {
            if written {
                WriteResult::Written
            } else {
                WriteResult::Conflict
            }
        };
        match request {
            Request::WriteTable(table, expected) => {
                let written = self.store.write_table(table, expected);
                Event::TableWritten {
                    result: result(written),
                    revision: self.store.revision,
                }
            }
            Request::WriteJournal {
                batch_id,
                table_revision,
                entries,
                deletes,
            } => {
                let written =
                    self.store
                        .write_journal((writer, batch_id), table_revision, entries, &deletes);
                Event::JournalWritten {
                    batch_id,
                    result: result(written),
                }
            }
            Request::ReadJournal(partition) => Event::JournalRead {
                partition,
                entries: self.store.read_journal(partition),
            },
            _ => Event::TableRead {
                table: self.store.table.clone(),
                revision: self.store.revision,
            },
        }
    }

    fn offer_reply(&self, holder: InstanceId, task: &QueuedTask, worker: Option<usize>) -> Event {
        let task_id = task.task.task_id;
        let attempt = task.attempt;
        let members = vec![0];
        match worker {
            Some(index) => Event::OfferAccepted {
                task_id,
                attempt,
                members,
                holder,
                workers: vec![self.workers[index].id.clone()],
            },
            None => Event::OfferRefused {
                task_id,
                attempt,
                members,
                holder,
            },
        }
    }

    /// Passes a report to the owner, and removes the result from the worker once it is accepted.
    fn accept_report(&mut self, to: usize, report: RunReport) {
        let run = report.run;
        let partition = model::partition_of(run.task_id);
        if !self.nodes[to].owner.owns(partition) {
            return;
        }
        let finished = matches!(report.state, model::RunState::Finished(_));
        let lost = matches!(report.state, model::RunState::Lost);
        let holder = self.node_of(&report.holder);
        self.handle_event(to, Event::Reports(vec![report]));
        if let Some(holder) = holder.filter(|_| finished || lost) {
            let removed = self.nodes[holder].known_runs.swap_remove(&run);
            if let Some((index, _)) = removed.filter(|_| finished) {
                self.workers[index].finished.swap_remove(&run);
            }
        }
    }

    fn failure_event(&self, message: &Message, may_have_effect: bool) -> Option<Event> {
        let result = if may_have_effect {
            WriteResult::Unknown
        } else {
            WriteResult::Unavailable
        };
        match &message.request {
            Request::Offer { holder, task } => Some(Event::OfferReplyLost {
                task_id: task.task.task_id,
                attempt: task.attempt,
                members: vec![0],
                holder: holder.clone(),
            }),
            Request::Withdraw { holder, run } => Some(Event::WithdrawFailed {
                run: *run,
                holder: holder.clone(),
            }),
            Request::Fence { to, .. } => Some(Event::FenceFailed { from: to.clone() }),
            Request::Report(_) => None,
            Request::ReadTable => Some(Event::TableReadFailed),
            Request::WriteTable(..) => Some(Event::TableWritten {
                result,
                revision: 0,
            }),
            Request::WriteJournal { batch_id, .. } => Some(Event::JournalWritten {
                batch_id: *batch_id,
                result,
            }),
            Request::ReadJournal(partition) => Some(Event::JournalReadFailed {
                partition: *partition,
            }),
            Request::Delegate { to, .. } => Some(Event::DelegateFailed { to: to.clone() }),
        }
    }

    /// Passes a reply to the sender; a refused task is queued again first.
    fn deliver_reply(&mut self, to: usize, request: &Request, event: Event) {
        if let (Request::Offer { task, .. }, Event::OfferRefused { .. }) = (request, &event) {
            self.nodes[to].queue.push(task.clone());
        }
        self.handle_event(to, event);
    }
}
