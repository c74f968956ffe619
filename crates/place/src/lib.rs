//! Queueing and placement of tasks.
//!
//! An owner of tasks keeps a [`Queue`], which decides which task is dispatched next and to which
//! holder. A holder of workers keeps a [`Fleet`], which decides which worker runs the task. Both are
//! state machines without I/O: callers pass in the current time.

mod admit;
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
mod run_command;
mod short_slots;
mod spread;
mod targets;
mod worker;

pub use dispatch::Dispatch;
pub use dispatch::Proximity;
pub use dispatch::Queued;
pub use dispatch::Quota;
pub use dispatch::Refusal;
pub use dispatch::Target;
pub use fleet::Fleet;
pub use fleet::InsufficientCapacity;
pub use fleet::Request;
pub use fleet::RunOutcome;
pub use fleet_settings::FleetSettings;
pub use queue::Queue;
pub use queue_settings::Policy;
pub use queue_settings::QueueSettings;
pub use run_command::RunCommand;
