//! A log of every execution, from which tests prove that work ran at most once.

use indexmap::IndexMap;

/// How an execution ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionEnd {
    /// It reached its end and succeeded.
    Finished,
    /// It reached its end and failed.
    Failed,
    /// It was stopped by its holder.
    Stopped,
    /// It was stopped by a checkpoint.
    Checkpointed,
    /// It was stopped by the worker after the grace time.
    Lapsed,
    /// The worker restarted.
    Crashed,
}

/// One execution of a run on one worker.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Execution {
    /// Which run.
    pub run: model::TaskAttempt,
    /// Where.
    pub worker_id: model::WorkerId,
    /// Start, in microseconds on the clock of this process.
    pub started_us: u64,
    /// End, in microseconds on the clock of this process; `None` while it runs.
    pub ended_us: Option<u64>,
    /// How it ended; `None` while it runs.
    pub end: Option<ExecutionEnd>,
}

/// A member of a task that was executed more than once.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RepeatedTask {
    /// The task.
    pub task_id: model::TaskId,
    /// The member.
    pub member: u16,
    /// Number of executions.
    pub executions: u32,
    /// Whether two of them ran at the same time.
    pub overlapping: bool,
}

/// Counts over a log of executions.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ExecutionSummary {
    /// Executions in all.
    pub executions: u64,
    /// Members of tasks that were executed.
    pub members: u64,
    /// Executions that have not ended.
    pub running: u64,
    /// Members that were executed more than once.
    pub repeated: Vec<RepeatedTask>,
}

impl ExecutionSummary {
    /// Counts `executions`.
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

    /// Returns whether no member was executed in two places, or twice in one, at the same time.
    #[must_use]
    pub fn never_overlapped(&self) -> bool {
        self.repeated.iter().all(|task| !task.overlapping)
    }
}

/// Returns whether two of `runs` shared a time; an end equal to the next start is none.
fn overlap(runs: &[&Execution]) -> bool {
    let mut sorted = runs.to_vec();
    sorted.sort_by_key(|run| run.started_us);
    sorted.windows(2).any(|pair| {
        pair[0]
            .ended_us
            .is_none_or(|ended_us| ended_us > pair[1].started_us)
    })
}
