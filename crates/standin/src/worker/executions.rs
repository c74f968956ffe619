//! A log of all executions, with which tests verify that work ran at most once.

use indexmap::IndexMap;

/// How an execution ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionEnd {
    /// Completed and succeeded.
    Finished,
    /// Completed and failed.
    Failed,
    /// Stopped by an order of the lease holder.
    Stopped,
    /// Stopped after its state was saved in a checkpoint.
    Checkpointed,
    /// Stopped by the worker because the lease had lapsed and the grace time had passed.
    Lapsed,
    /// Ended by a restart of the worker.
    Crashed,
}

/// One execution of a run on one worker.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Execution {
    /// The run.
    pub run: model::TaskAttempt,
    /// The worker that executed it.
    pub worker_id: model::WorkerId,
    /// Start, in microseconds since the start of this process's clock.
    pub started_us: u64,
    /// End, in microseconds since the start of this process's clock; `None` while it runs.
    pub ended_us: Option<u64>,
    /// How it ended; `None` while it runs.
    pub end: Option<ExecutionEnd>,
}

/// A member of a task that was executed more than once.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RepeatedTask {
    /// The task.
    pub task_id: model::TaskId,
    /// The member of the task.
    pub member: u16,
    /// Number of executions.
    pub executions: u32,
    /// Whether two of them ran at the same time.
    pub overlapping: bool,
}

/// Summary of a log of executions.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ExecutionSummary {
    /// Total number of executions.
    pub executions: u64,
    /// Number of task members that were executed.
    pub members: u64,
    /// Number of executions that have not ended.
    pub running: u64,
    /// Task members that were executed more than once.
    pub repeated: Vec<RepeatedTask>,
}

impl ExecutionSummary {
    /// Summarises `executions`.
    #[must_use]
    pub fn of(executions: &[Execution]) -> Self {
        let mut members: IndexMap<(model::TaskId, u16), Vec<&Execution>> = IndexMap::new();
        for execution in executions {
            let member = (execution.run.task_id, execution.run.member);
            members.entry(member).or_default().push(execution);
        }
        let repeated = members
            .iter()
            .filter(|(_, runs)| runs.len() > 1)
            .map(|((task_id, member), runs)| RepeatedTask {
                task_id: *task_id,
                member: *member,
                executions: u32::try_from(runs.len()).unwrap_or(u32::MAX),
                overlapping: overlap(runs),
            })
            .collect();
        Self {
            executions: executions.len() as u64,
            members: members.len() as u64,
            running: executions
                .iter()
                .filter(|run| run.ended_us.is_none())
                .count() as u64,
            repeated,
        }
    }

    /// Returns whether no two executions of a member overlapped, on one worker or on two.
    #[must_use]
    pub fn never_overlapped(&self) -> bool {
        self.repeated.iter().all(|task| !task.overlapping)
    }
}

/// Returns whether two of `runs` overlap in time; one that starts when the other ends does not.
fn overlap(runs: &[&Execution]) -> bool {
    let mut sorted = runs.to_vec();
    sorted.sort_by_key(|run| run.started_us);
    sorted.windows(2).any(|pair| {
        pair[0]
            .ended_us
            .is_none_or(|ended_us| ended_us > pair[1].started_us)
    })
}
