//! The control state of an instance: every decision, without I/O.
//!
//! [`Control`] handles [`Input`]s with the current time and collects [`Effect`]s. One thread owns
//! it; the I/O threads carry out the effects and send the results back as inputs.

mod callers;
mod effect;
mod held_workers;
mod input;
mod list_updates;
mod members;
mod offers;
mod orders;
mod owner_actions;
mod peers;
mod reports;
mod results;
mod runs;
mod settings;
mod shares;
mod starts;
mod state;
mod status;

pub use effect::Answer;
pub use effect::CallContext;
pub use effect::Effect;
pub use effect::RunOrder;
pub use input::CallError;
pub use input::Input;
pub use input::Leased;
pub use input::RequestId;
pub use input::Submit;
pub use settings::ControlSettings;
pub use state::Control;
pub use status::PeerStatus;
pub use status::Status;
