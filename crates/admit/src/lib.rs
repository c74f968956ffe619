//! Admission of callers' requests by the leader.
//!
//! Every instance forwards its callers' requests to the leader. [`Attempts`] decides which reply to
//! such a request is true if earlier attempts have remained unanswered. Nothing here has sockets,
//! clocks or randomness of its own.

mod attempts;

pub use attempts::Attempts;
