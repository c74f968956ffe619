//! Relays: instances through which the leader calls the workers.
//!
//! The leader decides and sends its orders to relays in batches; a relay makes the calls to the
//! workers near it and reports the results in batches. [`Assignments`] decides which relay calls
//! which worker, [`InFlight`] tracks the orders that have no result yet, and [`RelayTime`] limits until
//! when a relay may begin one. None has sockets, clocks or randomness of its own.
//!
//! A relay keeps no state that must last: what runs where is the worker's list, and every order
//! carries the leader's term. An order that is lost with its relay counts as unanswered, and the
//! next listing through another relay tells what became of it.

mod assignments;
mod in_flight;
mod message;
mod order_clock;

pub use assignments::Assignments;
pub use assignments::RelayInfo;
pub use assignments::Route;
pub use in_flight::InFlight;
pub use in_flight::OrderId;
pub use in_flight::OrderLimits;
pub use message::Hello;
pub use message::LAYOUT;
pub use message::LeaderState;
pub use message::Order;
pub use message::OrderBatch;
pub use message::Report;
pub use message::ReportBatch;
pub use message::Request;
pub use message::Response;
pub use order_clock::OrderClock;
pub use order_clock::OrderTime;
pub use order_clock::RelayTime;
