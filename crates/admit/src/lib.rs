//! Admission of callers' requests by the leader.
//!
//! Every instance forwards its callers' requests to the leader. [`Attempts`] decides which reply to
//! such a request is true if earlier attempts have remained unanswered, and [`RetryBudget`] how
//! many attempts are repeated; [`successor_wait`] withholds a refusal that a successor may lift. At the leader, [`Inbox`] orders what waits for its control thread,
//! and detects an [`Overload`] by the time that it waits. Nothing here has sockets, clocks or
//! randomness of its own.

mod attempts;
mod inbox;
mod overload;
mod retry_budget;
mod withheld;

pub use attempts::Attempts;
pub use inbox::Inbox;
pub use inbox::Rank;
pub use inbox::Round;
pub use overload::Overload;
pub use retry_budget::RetryBudget;
pub use withheld::successor_wait;
