//! Input and output types of a queue.

use std::time;

use crate::targets;

/// Where a dispatched task is offered.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Target {
    /// The fleet of this instance.
    Local,
    /// The fleet of another instance.
    Peer(model::InstanceId),
}

/// Network distance to the workers of a target, nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Proximity {
    /// In the data centre of this instance.
    SameDataCentre,
    /// In another data centre of the region.
    SameRegion,
    /// In another region, over a link that is billed by volume.
    OtherRegion,
}

/// A task that waits to start.
#[derive(Clone, Debug)]
pub struct Queued {
    /// The task.
    pub task: model::Task,
    /// Attempt number of its next start.
    pub attempt: model::Attempt,
    /// Ownership generation of its partition.
    pub generation: model::Generation,
    /// When it was accepted.
    pub accepted_at: time::Instant,
    /// Latest time at which it may start.
    pub deadline: time::Instant,
    /// State saved by the checkpoint of an earlier attempt.
    pub checkpoint: Option<String>,
    /// Instances that it must not be offered to.
    pub excluded_instances: Vec<model::InstanceId>,
}

/// A task to be offered to a target.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The task.
    pub queued: Queued,
    /// Where to offer it.
    pub target: Target,
    /// Resources to reserve for each member, at least the declared demand.
    pub reserve: model::Demand,
    /// Predicted run time.
    pub expected_run_time: time::Duration,
    /// Whether it is predicted to be short.
    pub short: bool,
    /// Sequence number in the queue; restores its position if the offer is refused.
    pub(crate) seq: u64,
    /// Capacity claimed from what the target advertises.
    pub(crate) claim: targets::Claim,
}

/// Why a task was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: model::NotRunReason,
    /// Delay after which a retry may be admitted; zero if it never will be.
    pub retry_after: time::Duration,
}

/// Quota of plans, acquired for tasks that are about to start.
pub trait Quota {
    /// Acquires the whole of `amount` or nothing, and returns whether it was acquired.
    ///
    /// For a gang, `amount` holds the resources of all members and `tasks` counts the members.
    fn try_acquire(
        &mut self,
        plan_id: &model::PlanId,
        amount: &model::QuotaAmount,
        now: time::Instant,
    ) -> bool;
}
