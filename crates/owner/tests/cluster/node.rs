//! Simulated instance: an owner, its queue, and its role as a lease holder.

use std::time;

use indexmap::IndexMap;
use indexmap::IndexSet;
use model::FenceAck;
use model::Generation;
use model::InstanceId;
use model::Location;
use model::Partition;
use model::RunReport;
use model::RunState;
use model::TaskAttempt;
use model::TaskId;
use owner::Event;
use owner::Fences;
use owner::Member;
use owner::Owner;
use owner::OwnerSettings;
use owner::QueuedTask;

use super::Cluster;
use super::DEAD_AFTER;
use super::GRACE;
use super::LEASE_TTL;
use super::MARGIN;
use super::OFFER_VALIDITY;

pub(crate) struct Node {
    pub(crate) id: usize,
    pub(crate) boot: usize,
    pub(crate) owner: Owner,
    pub(crate) queue: Vec<QueuedTask>,
    pub(crate) fences: Fences,
    /// Worker and worker incarnation of each known run.
    pub(crate) known_runs: IndexMap<TaskAttempt, (usize, u64)>,
    /// When it noticed that it had lost the lease of a run's worker.
    pub(crate) lease_lost_at: IndexMap<TaskAttempt, time::Instant>,
    pub(crate) tombstones: IndexSet<TaskAttempt>,
    pub(crate) paused: bool,
    pub(crate) draining: bool,
    /// Whether it cannot reach the other instances and the store.
    pub(crate) isolated: bool,
    pub(crate) last_heartbeat_at: time::Instant,
    /// Requests that arrived while it was paused.
    pub(crate) inbox: Vec<Event>,
}

impl Node {
    pub(crate) fn new(id: usize, boot: usize, now: time::Instant) -> Self {
        let settings = OwnerSettings {
            instance_id: format!("i{id}#{boot}").into(),
            started_unix_ms: 1_000_000,
            max_tasks: 1_000,
            max_attempts: 5,
            result_retention: time::Duration::from_secs(600),
            journal_retention: time::Duration::from_secs(3_600),
            journal_batch_delay: time::Duration::from_millis(5),
            journal_batch_entries: 100,
            lease_ttl: LEASE_TTL,
            grace: GRACE,
            margin: MARGIN,
            offer_validity: OFFER_VALIDITY,
            dead_after: DEAD_AFTER,
        };
        Self {
            id,
            boot,
            owner: Owner::new(settings, now),
            queue: Vec::new(),
            fences: Fences::new(),
            known_runs: IndexMap::new(),
            lease_lost_at: IndexMap::new(),
            tombstones: IndexSet::new(),
            paused: false,
            draining: false,
            isolated: false,
            last_heartbeat_at: now,
            inbox: Vec::new(),
        }
    }

    pub(crate) fn is_up(&self) -> bool {
        !self.paused && !self.isolated
    }

    pub(crate) fn is_queued(&self, task_id: TaskId) -> bool {
        self.queue.iter().any(|task| task.task.task_id == task_id)
    }

    pub(crate) fn unqueue(&mut self, task_id: TaskId) {
        self.queue.retain(|task| task.task.task_id != task_id);
    }
}

impl Cluster {
    pub(crate) fn node_of(&self, id: &InstanceId) -> Option<usize> {
        self.nodes
            .iter()
            .position(|node| node.owner.instance_id() == id)
    }

    pub(crate) fn can_reach(&self, from: usize, to: usize) -> bool {
        from == to || (!self.nodes[from].isolated && !self.nodes[to].isolated)
    }

    /// Sends every running instance its current members and all workers.
    pub(crate) fn refresh_members(&mut self) {
        for node in &mut self.nodes {
            if node.is_up() {
                node.last_heartbeat_at = self.now;
            }
        }
        let workers: Vec<_> = self
            .workers
            .iter()
            .map(|worker| worker.id.clone())
            .collect();
        for id in 0..self.nodes.len() {
            if self.nodes[id].paused {
                continue;
            }
            let (live, unreachable) = self.members_seen_by(id);
            self.handle_event(id, Event::Workers(workers.clone()));
            self.handle_event(id, Event::Members { live, unreachable });
        }
    }

    fn members_seen_by(&self, id: usize) -> (Vec<Member>, Vec<InstanceId>) {
        let mut live = Vec::new();
        let mut unreachable = Vec::new();
        for node in &self.nodes {
            let instance_id = node.owner.instance_id().clone();
            let is_live =
                self.now < node.last_heartbeat_at + DEAD_AFTER && !self.nodes[id].isolated;
            if node.id == id || is_live {
                live.push(Member {
                    instance_id,
                    location: Location {
                        region: "r".into(),
                        data_centre: "d".into(),
                        rack: "".into(),
                    },
                    draining: node.draining,
                });
            } else {
                unreachable.push(instance_id);
            }
        }
        (live, unreachable)
    }

    /// Replaces an instance with a new process.
    pub(crate) fn kill(&mut self, id: usize) {
        self.boot_count += 1;
        let boot = self.boot_count;
        self.nodes[id] = Node::new(id, boot, self.now);
        // The new process raises its fences from the table before it claims a worker.
        for (tenure, partition) in self.store.table.tenures.clone().iter().zip(0..) {
            self.nodes[id].fences.raise(partition, tenure.generation);
        }
        self.messages.retain(|message| message.from != id);
        for call in &mut self.calls {
            if call.waiting_at.is_some_and(|(at, _)| at == id) {
                call.waiting_at = None;
            }
        }
    }

    pub(crate) fn resume(&mut self, id: usize) {
        if std::mem::take(&mut self.nodes[id].paused) {
            for event in std::mem::take(&mut self.nodes[id].inbox) {
                self.handle_event(id, event);
            }
        }
    }

    pub(crate) fn expire_queue(&mut self, id: usize) {
        let now = self.now;
        let expired: Vec<_> = self.nodes[id]
            .queue
            .iter()
            .filter(|task| task.deadline <= now)
            .map(|task| task.task.task_id)
            .collect();
        for task_id in expired {
            self.nodes[id].unqueue(task_id);
            self.handle_event(id, Event::QueueExpired { task_id });
        }
    }

    /// Offers the first queued task of an instance to a holder.
    pub(crate) fn dispatch(&mut self, id: usize, holder: usize) {
        self.expire_queue(id);
        if self.nodes[id].queue.is_empty() || self.nodes[id].paused {
            return;
        }
        let task = self.nodes[id].queue.remove(0);
        let holder = self.nodes[holder].owner.instance_id().clone();
        self.handle_event(
            id,
            Event::Dispatched {
                task_id: task.task.task_id,
                attempt: task.attempt,
                members: vec![0],
                holder: holder.clone(),
            },
        );
        self.send(id, super::Request::Offer { holder, task });
    }

    /// Handles an offer as a lease holder; returns the worker that the run was started on.
    pub(crate) fn accept_offer(&mut self, id: usize, task: &QueuedTask) -> Option<usize> {
        let partition = model::partition_of(task.task.task_id);
        let run = TaskAttempt {
            task_id: task.task.task_id,
            member: 0,
            attempt: task.attempt,
        };
        let node = &self.nodes[id];
        if !node.fences.admits(partition, task.generation) || node.tombstones.contains(&run) {
            return None;
        }
        let now = self.now;
        let index = self
            .workers
            .iter()
            .position(|worker| worker.is_held_by(node, now))?;
        let incarnation = self.workers[index].incarnation;
        self.nodes[id].known_runs.insert(run, (index, incarnation));
        self.start_run(index, run, task.task.clone())
            .then_some(index)
    }

    pub(crate) fn withdraw(&mut self, id: usize, run: TaskAttempt) -> Option<RunReport> {
        let now = self.now;
        let node = &mut self.nodes[id];
        let mut report = RunReport {
            run,
            task: None,
            holder: node.owner.instance_id().clone(),
            worker_id: "".into(),
            state: RunState::NeverStarted,
        };
        let Some((index, incarnation)) = node.known_runs.get(&run).copied() else {
            node.tombstones.insert(run);
            return Some(report);
        };
        let worker = &mut self.workers[index];
        report.worker_id = worker.id.clone();
        if worker.incarnation != incarnation {
            report.state = RunState::Lost;
            return Some(report);
        }
        if !worker.is_held_by(node, now) {
            return None;
        }
        worker.tombstones.insert(run);
        if worker.running.swap_remove(&run).is_some() {
            report.state = RunState::Stopped;
        } else if let Some((_, end)) = worker.finished.get(&run) {
            report.state = RunState::Finished(end.clone());
        } else {
            report.state = RunState::Lost;
        }
        Some(report)
    }

    pub(crate) fn fence_ack(
        &mut self,
        id: usize,
        partitions: &[(Partition, Generation)],
    ) -> FenceAck {
        for (partition, generation) in partitions {
            self.nodes[id].fences.raise(*partition, *generation);
        }
        let node = &self.nodes[id];
        let fenced = |task_id| {
            let partition = model::partition_of(task_id);
            partitions.iter().any(|(fenced, _)| *fenced == partition)
        };
        let mut ack = FenceAck::default();
        for worker in &self.workers {
            if worker.is_held_by(node, self.now) {
                ack.workers.push(worker.id.clone());
                let reports = worker.reports(node);
                ack.runs.extend(
                    reports
                        .into_iter()
                        .filter(|report| fenced(report.run.task_id)),
                );
            } else if let Some((holder, boot)) =
                worker.holder.filter(|_| self.now < worker.lease_until)
            {
                let name = format!("i{holder}#{boot}");
                ack.held_elsewhere.push((worker.id.clone(), name.into()));
            }
        }
        ack
    }

    /// Makes every lease holder report its runs, and the runs that its workers have lost.
    pub(crate) fn report_runs(&mut self) {
        for id in 0..self.nodes.len() {
            let node = &mut self.nodes[id];
            if node.paused {
                continue;
            }
            for (run, (index, _)) in &node.known_runs {
                if self.workers[*index].holder == Some((node.id, node.boot)) {
                    node.lease_lost_at.swap_remove(run);
                } else {
                    node.lease_lost_at.entry(*run).or_insert(self.now);
                }
            }
            let node = &self.nodes[id];
            let mut reports = Vec::new();
            for worker in &self.workers {
                if worker.is_held_by(node, self.now) {
                    reports.extend(worker.reports(node));
                }
            }
            for (run, (index, incarnation)) in &node.known_runs {
                let worker = &self.workers[*index];
                let ended = worker.is_held_by(node, self.now)
                    && !worker.running.contains_key(run)
                    && !worker.finished.contains_key(run);
                let lease_lost_at = node.lease_lost_at.get(run);
                let is_expired =
                    lease_lost_at.is_some_and(|at| self.now > *at + LEASE_TTL + GRACE + MARGIN);
                if worker.incarnation != *incarnation || ended || is_expired {
                    reports.push(RunReport {
                        run: *run,
                        task: None,
                        holder: node.owner.instance_id().clone(),
                        worker_id: worker.id.clone(),
                        state: RunState::Lost,
                    });
                }
            }
            for report in reports {
                self.send(id, super::Request::Report(Box::new(report)));
            }
        }
    }
}
