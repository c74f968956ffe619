//! What a queue takes in and gives out.

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

/// How far a target's workers are, nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Proximity {
    /// In the data centre of this instance.
    SameDataCentre,
    /// In another data centre of the region.
    SameRegion,
    /// In another region, over a link paid by volume.
    OtherRegion,
}

/// A task that waits to start.
#[derive(Clone, Debug)]
pub struct Queued {
    /// The task.
    pub task: model::Task,
    /// Attempt that its next start will have.
    pub attempt: model::Attempt,
    /// Generation of its partition.
    pub generation: model::Generation,
    /// When it was accepted.
    pub accepted_at: time::Instant,
    /// When it must have started.
    pub deadline: time::Instant,
    /// State saved by an earlier checkpoint.
    pub checkpoint: Option<String>,
    /// Instances that it is not offered to.
    pub avoid: Vec<model::InstanceId>,
}

/// A task to offer to a target now.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The task.
    pub queued: Queued,
    /// Where to offer it.
    pub target: Target,
    /// Resources to set aside for each member, at least the declared demand.
    pub reserve: model::Demand,
    /// Predicted run time.
    pub expected_run: time::Duration,
    /// Whether it is predicted to be short.
    pub short: bool,
    /// Its place in the queue.
    pub(crate) seq: u64,
    /// Room taken from what the target advertises.
    pub(crate) claim: targets::Claim,
}

/// Why a task was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: model::NotRunReason,
    /// When another try may be admitted; zero if never.
    pub retry_after: time::Duration,
}

/// Takes shares of plans for tasks that are about to start.
pub trait Quota {
    /// Takes what one task uses, all of it or nothing, and returns whether it was taken.
    ///
    /// For a gang, `amount` holds the resources of all members and `tasks` counts the members.
    fn try_take(
        &mut self,
        plan_id: &model::PlanId,
        amount: &model::QuotaAmount,
        now: time::Instant,
    ) -> bool;
}
