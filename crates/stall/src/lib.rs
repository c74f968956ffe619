//! Notices that the process stood still, so that what it reads then is not taken for new.
//!
//! A process that is frozen, suspended or starved finds data in its sockets that arrived at an unknown
//! time. [`Monitor`] detects such stalls by a tick that comes late; [`Input`] tells for each socket
//! whether what it gives may have waited during one. [`PeerClock`] limits the time of messages that wait
//! on their way to another process. Times are [`Uptime`], as the steady clock of the
//! standard library does not count the time for which a machine is suspended.

mod input;
mod monitor;
mod peer_clock;
mod uptime;

pub use input::Input;
pub use monitor::MAX_UNDETECTED_STALL;
pub use monitor::Monitor;
pub use peer_clock::PeerClock;
pub use peer_clock::Reading;
pub use uptime::Uptime;
pub use uptime::uptime;
