//! Decisions about queueing and placement.
//!
//! A [`Queue`] belongs to an owner of tasks and decides which task goes to which holder next. A
//! [`Fleet`] belongs to a holder of workers and decides which worker runs it. Both are plain state
//! machines: they are told the time and do no I/O.

mod admit;
mod control;
mod dispatch;
mod fit_tree;
mod fleet;
mod fleet_settings;
mod gang_queue;
mod health;
mod histogram;
mod lanes;
mod memory_peaks;
mod next;
mod overrun;
mod place;
mod plan;
mod pool;
mod predictor;
mod preemption;
mod queue;
mod queue_settings;
mod recent_sum;
mod run;
mod short_slots;
mod spread;
mod targets;
mod worker;

pub use control::Control;
pub use dispatch::Dispatch;
pub use dispatch::Proximity;
pub use dispatch::Queued;
pub use dispatch::Quota;
pub use dispatch::Refusal;
pub use dispatch::Target;
pub use fleet::Finished;
pub use fleet::Fleet;
pub use fleet::InsufficientCapacity;
pub use fleet::Request;
pub use fleet_settings::FleetSettings;
pub use queue::Queue;
pub use queue_settings::Policy;
pub use queue_settings::QueueSettings;
