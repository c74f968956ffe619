//! Decisions about queueing and placement.
//!
//! A [`Queue`] belongs to an owner of tasks and decides which task goes to which holder next. A
//! [`Fleet`] belongs to a holder of workers and decides which worker runs it. Both are plain state
//! machines: they are told the time and do no I/O.

mod admit;
mod control;
mod dispatch;
mod drain;
mod fit_tree;
mod fleet;
mod fleet_settings;
mod health;
mod histogram;
mod lanes;
mod next;
mod overrun;
mod place;
mod plan;
mod pool;
mod predictor;
mod queue;
mod queue_settings;
mod rate;
mod relief;
mod run;
mod short_slots;
mod sizes;
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
pub use fleet::NoRoom;
pub use fleet::Request;
pub use fleet_settings::FleetSettings;
pub use queue::Queue;
pub use queue_settings::Policy;
pub use queue_settings::QueueSettings;
