//! Messages: each request has exactly one reply or failure, and a late request has its effect.

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
    /// Set once the request has had its effect; the reply is on its way.
    pub(crate) reply: Option<Event>,
    /// Whether the sender has been told of a failure already.
    pub(crate) given_up: bool,
}

impl Cluster {
    pub(crate) fn send(&mut self, from: usize, request: Request) {
        self.net.push(Message {
            from,
            boot: self.nodes[from].boot,
            request,
            sent_at: self.now,
            reply: None,
            given_up: false,
        });
    }

    /// Moves a message one step on: to its effect, or to its sender.
    pub(crate) fn deliver(&mut self, index: usize) {
        let message = self.net.remove(index);
        if self.nodes[message.from].boot != message.boot {
            return;
        }
        if let Some(event) = message.reply.clone() {
            if self.nodes[message.from].paused {
                self.net.push(message);
            } else if !message.given_up {
                self.back(message.from, &message.request, event);
            }
            return;
        }
        let target = self.target(&message.request);
        if let Some(Some(to)) = target
            && self.nodes[to].paused
        {
            self.net.push(message);
            return;
        }
        let reachable = match target {
            Some(Some(to)) => self.reaches(message.from, to),
            Some(None) => false,
            None => !self.store.down && !self.nodes[message.from].cut,
        };
        let event = if reachable {
            self.effect(&message, target.flatten())
        } else {
            self.failure(&message, false)
        };
        if let Some(event) = event {
            let reply = Some(event);
            self.net.push(Message { reply, ..message });
        }
    }

    /// Loses a message; a late one still has its effect.
    pub(crate) fn lose(&mut self, index: usize, late: bool) {
        let mut message = self.net.remove(index);
        if self.nodes[message.from].paused {
            self.net.push(message);
            return;
        }
        let may_have_effect = late || message.reply.is_some();
        let failure = self.failure(&message, may_have_effect);
        let from = message.from;
        let current = self.nodes[from].boot == message.boot && !message.given_up;
        let request = message.request.clone();
        if late && message.reply.is_none() {
            message.given_up = true;
            self.net.push(message);
        }
        if let Some(event) = failure.filter(|_| current) {
            self.back(from, &request, event);
        }
    }

    /// Fails requests that have been under way for long; they may arrive later.
    pub(crate) fn time_out(&mut self) {
        let limit = time::Duration::from_millis(400);
        while let Some(index) = self.net.iter().position(|message| {
            let old = self.now > message.sent_at + limit;
            old && !message.given_up && !self.nodes[message.from].paused
        }) {
            let before = self.net.len();
            self.lose(index, true);
            if self.net.len() == before && self.net.iter().all(|message| message.given_up) {
                break;
            }
        }
    }

    pub(crate) fn deliver_all(&mut self) {
        for _ in 0..6 {
            let count = self.net.len();
            if count == 0 {
                return;
            }
            for _ in 0..count {
                if !self.net.is_empty() {
                    self.deliver(0);
                }
            }
        }
    }

    /// Returns the instance that a request goes to: `None` for the store, `Some(None)` for one
    /// that is gone.
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

    fn effect(&mut self, message: &Message, to: Option<usize>) -> Option<Event> {
        let to = to.unwrap_or_default();
        match message.request.clone() {
            Request::Offer { holder, task } => {
                let fresh = self.now <= message.sent_at + OFFER_VALIDITY;
                let worker = fresh.then(|| self.take_offer(to, &task)).flatten();
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
                    self.on(to, Event::Fenced { owner, partitions });
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
                self.on(
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
            stored => Some(self.store_effect((message.from, message.boot), stored)),
        }
    }

    fn store_effect(&mut self, writer: (usize, usize), request: Request) -> Event {
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
            Some(index) => Event::OfferTaken {
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

    /// Passes a report on, and forgets the result at the worker once it is accepted.
    fn accept_report(&mut self, to: usize, report: RunReport) {
        let run = report.run;
        let partition = model::partition_of(run.task_id);
        if !self.nodes[to].owner.owns(partition) {
            return;
        }
        let finished = matches!(report.state, model::RunState::Finished(_));
        let lost = matches!(report.state, model::RunState::Lost);
        let holder = self.node_of(&report.holder);
        self.on(to, Event::Reports(vec![report]));
        if let Some(holder) = holder.filter(|_| finished || lost) {
            let placed = self.nodes[holder].placed.swap_remove(&run);
            if let Some((index, _)) = placed.filter(|_| finished) {
                self.workers[index].finished.swap_remove(&run);
            }
        }
    }

    fn failure(&self, message: &Message, may_have_effect: bool) -> Option<Event> {
        let result = if may_have_effect {
            WriteResult::Unknown
        } else {
            WriteResult::Unavailable
        };
        match &message.request {
            Request::Offer { holder, task } => Some(Event::OfferLost {
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

    /// Passes a reply to the sender; a refused task goes back to the queue first.
    fn back(&mut self, to: usize, request: &Request, event: Event) {
        if let (Request::Offer { task, .. }, Event::OfferRefused { .. }) = (request, &event) {
            self.nodes[to].queue.push(task.clone());
        }
        self.on(to, event);
    }
}
