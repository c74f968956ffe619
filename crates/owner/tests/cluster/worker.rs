//! Simulated worker: one lease at a time, runs, and results until they are reported.

use std::time;

use indexmap::IndexMap;
use indexmap::IndexSet;
use model::FinishedRun;
use model::RunReport;
use model::RunState;
use model::SubmitReply;
use model::Task;
use model::TaskAttempt;
use model::WorkerId;
use owner::Answer;

use super::Cluster;
use super::GRACE;
use super::LEASE_TTL;
use super::Node;

pub(crate) struct Worker {
    pub(crate) id: WorkerId,
    pub(crate) incarnation: u64,
    pub(crate) epoch: u64,
    /// Instance that holds the lease, by node index and boot number.
    pub(crate) holder: Option<(usize, usize)>,
    pub(crate) lease_until: time::Instant,
    pub(crate) running: IndexMap<TaskAttempt, Task>,
    pub(crate) finished: IndexMap<TaskAttempt, (Task, FinishedRun)>,
    pub(crate) tombstones: IndexSet<TaskAttempt>,
}

impl Worker {
    pub(crate) fn new(id: usize, now: time::Instant) -> Self {
        Self {
            id: format!("w{id}").into(),
            incarnation: 0,
            epoch: 0,
            holder: None,
            lease_until: now,
            running: IndexMap::new(),
            finished: IndexMap::new(),
            tombstones: IndexSet::new(),
        }
    }

    /// Returns whether `node` holds the lease of this worker.
    pub(crate) fn is_held_by(&self, node: &Node, now: time::Instant) -> bool {
        self.holder == Some((node.id, node.boot)) && now < self.lease_until
    }

    pub(crate) fn reports(&self, node: &Node) -> Vec<RunReport> {
        let report = |run: &TaskAttempt, task: &Task, state| RunReport {
            run: *run,
            task: Some(task.clone()),
            holder: node.owner.instance_id().clone(),
            worker_id: self.id.clone(),
            state,
        };
        let running = self
            .running
            .iter()
            .map(|(run, task)| report(run, task, RunState::Running { running_ms: 0 }));
        let finished = self
            .finished
            .iter()
            .map(|(run, (task, end))| report(run, task, RunState::Finished(end.clone())));
        running.chain(finished).collect()
    }
}

impl Cluster {
    /// Renews leases, lets instances claim lapsed ones, and ends runs once a lease has lapsed for
    /// longer than the grace period.
    pub(crate) fn advance_workers(&mut self) {
        for index in 0..self.workers.len() {
            let worker = &mut self.workers[index];
            if self.now >= worker.lease_until + GRACE {
                worker.running.clear();
            }
            let holder = worker.holder.map(|(id, _)| id);
            let renews = holder.is_some_and(|id| {
                let node = &self.nodes[id];
                !node.paused && worker.is_held_by(node, self.now)
            });
            if renews {
                worker.lease_until = self.now + LEASE_TTL;
            } else if self.now >= worker.lease_until {
                self.claim_lease(index);
            }
        }
    }

    fn claim_lease(&mut self, index: usize) {
        let first = index % self.nodes.len();
        let order = (0..self.nodes.len()).map(|offset| (first + offset) % self.nodes.len());
        let Some(id) = order.into_iter().find(|id| !self.nodes[*id].paused) else {
            return;
        };
        let node = &mut self.nodes[id];
        let worker = &mut self.workers[index];
        worker.epoch += 1;
        worker.holder = Some((node.id, node.boot));
        worker.lease_until = self.now + LEASE_TTL;
        for run in worker.running.keys().chain(worker.finished.keys()) {
            node.known_runs.insert(*run, (index, worker.incarnation));
        }
    }

    /// Starts a run; returns whether it is running or finished.
    pub(crate) fn start_run(&mut self, index: usize, run: TaskAttempt, task: Task) -> bool {
        let worker = &mut self.workers[index];
        if worker.tombstones.contains(&run) {
            return false;
        }
        if worker.running.contains_key(&run) || worker.finished.contains_key(&run) {
            return true;
        }
        worker.running.insert(run, task.clone());
        let starts = self.start_counts.entry(task.task_id).or_default();
        *starts += 1;
        let starts = *starts;
        let id = task.task_id;
        if starts > 1 && !task.spec.repeatable {
            self.record_violation(format!(
                "non-repeatable task {id} was started {starts} times"
            ));
        }
        let running = self
            .workers
            .iter()
            .flat_map(|worker| worker.running.keys())
            .filter(|run| run.task_id == id)
            .count();
        if running > 1 {
            self.record_violation(format!("task {id} runs {running} times at once"));
        }
        self.check_start_after_not_run(id);
        true
    }

    fn check_start_after_not_run(&mut self, id: model::TaskId) {
        let Some(calls) = self.calls_at_not_run.get(&id) else {
            return;
        };
        let wanted = self.calls.iter().enumerate().any(|(call, state)| {
            let later = call >= *calls;
            let open = matches!(
                state.answer,
                None | Some(Answer::Submit(SubmitReply::Accepted))
            );
            state.task.task_id == id && !state.cancels && (later || open)
        });
        if !wanted {
            self.record_violation(format!(
                "task {id} was started after it was answered as not run"
            ));
        }
    }

    /// Finishes the first run of a worker.
    pub(crate) fn finish(&mut self, index: usize, succeeds: bool) {
        let worker = &mut self.workers[index];
        if let Some((run, task)) = worker.running.shift_remove_index(0) {
            let mut end = FinishedRun::with_digest(run, succeeds, "output".into(), 5);
            end.worker_fault = !succeeds;
            worker.finished.insert(run, (task, end));
        }
    }

    /// Restarts a worker, which loses its state.
    pub(crate) fn kill_worker(&mut self, index: usize) {
        let worker = &mut self.workers[index];
        worker.incarnation += 1;
        worker.running.clear();
        worker.finished.clear();
        worker.tombstones.clear();
        worker.lease_until = self.now;
        worker.holder = None;
    }
}
