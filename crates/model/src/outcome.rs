//! The three possible outcomes of a task.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// The final outcome of a task, as reported to its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The task ran to its end.
    Done(TaskResult),
    /// The task did not run and will not.
    NotRun(NotRunReason),
    /// The task may have run; it will not run again.
    Unknown(UnknownReason),
}

/// The result of a task that ran to its end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskResult {
    /// Whether the work itself reported success.
    pub succeeded: bool,
    /// Output of each member in order; one for every class but gang.
    pub outputs: Vec<String>,
    /// Time from acceptance to the start, in milliseconds.
    pub waited_ms: u64,
    /// Longest run time of a member, in milliseconds.
    pub run_ms: u64,
    /// Number of attempts to run the task: the number, from 1, of the attempt that settled it.
    pub attempts: u32,
}

macro_rules! reasons {
    ($(#[$meta:meta])* $name:ident { $($(#[$doc:meta])* $variant:ident = $text:literal,)+ }) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        #[serde(rename_all = "snake_case")]
        pub enum $name {
            $($(#[$doc])* $variant,)+
        }

        impl $name {
            /// Every reason, in declaration order.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)+];

            /// Returns the name used in answers, counters and documents.
            #[must_use]
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)+
                }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }
    };
}

reasons! {
    /// Why a task did not run.
    NotRunReason {
        /// The queue of its plan or instance was full.
        QueueFull = "queue_full",
        /// It could not have started by its deadline.
        CannotStartInTime = "cannot_start_in_time",
        /// Its deadline passed while it was queued.
        DeadlinePassed = "deadline_passed",
        /// No worker is large enough for it.
        NeverFits = "never_fits",
        /// Its demand exceeds the limit of its plan.
        ExceedsPlanLimit = "exceeds_plan_limit",
        /// Its plan does not allow its class.
        ClassNotAllowed = "class_not_allowed",
        /// Its plan's rate of tasks was exceeded.
        RateLimited = "rate_limited",
        /// It was cancelled before it started.
        Cancelled = "cancelled",
        /// The instance is stopping.
        Draining = "draining",
        /// It is not repeatable, and the intent to start it could not be recorded in time.
        StoreUnavailable = "store_unavailable",
        /// Its partition had no serving owner until the deadline.
        OwnerUnavailable = "owner_unavailable",
        /// The instance has reached its limit of tasks in memory.
        InstanceOverloaded = "instance_overloaded",
        /// Its owner failed before the task was started.
        OwnerLost = "owner_lost",
    }
}

reasons! {
    /// Why it is not known whether a task ran.
    UnknownReason {
        /// The worker was lost while the task may have been running.
        WorkerLost = "worker_lost",
        /// The intent to start it was recorded, but no worker knows the task.
        JournalledOnly = "journalled_only",
        /// The owner could not be reached, and may have started it.
        OwnerUnreachable = "owner_unreachable",
        /// It was cancelled while it was running.
        CancelledWhileRunning = "cancelled_while_running",
        /// Its result was discarded after the retention time.
        Expired = "expired",
        /// Every permitted attempt failed on its worker.
        AttemptsExhausted = "attempts_exhausted",
        /// The worker's answer was incomplete or corrupt.
        ResultDamaged = "result_damaged",
    }
}
