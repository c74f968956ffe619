//! The operators' lists of customers and plans.
//!
//! Both are INI documents with a section for each customer or plan; each is stored as one value in
//! the platform's key-value service. [`Lists`] is a parsed pair of them; [`ListsInForce`] keeps the
//! newest valid pair that an instance has received.

mod change;
mod customer;
mod document;
mod in_force;
mod lists;
mod plan;
mod token;

pub use change::Change;
pub use change::ChangeKind;
pub use change::FieldChange;
pub use change::diff;
pub use customer::Customer;
pub use customer::parse_customers;
pub use document::CUSTOMERS_KEY;
pub use document::Document;
pub use document::List;
pub use document::PLANS_KEY;
pub use in_force::ApplyResult;
pub use in_force::ListsInForce;
pub use lists::Lists;
pub use plan::Limits;
pub use plan::Plan;
pub use plan::parse_plans;
pub use token::TokenDigest;
pub use token::digest_token;
