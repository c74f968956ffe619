//! Scheduling decisions of the leader: which task of which job runs on which worker.
//!
//! [`Scheduler`] is a deterministic state machine: it handles events that carry the current time
//! and returns actions. It has no sockets, clocks or randomness of its own. State that must survive
//! a change of leader is returned as [`Batch`]es to write to the store; actions that depend on a
//! batch are returned only after the batch is committed.

mod admission;
mod advice_planner;
mod advisors;
mod blocked;
mod candidate;
mod caps;
mod crashes;
pub mod departure;
mod draining;
mod ended;
mod event;
mod gangs;
mod isolation;
mod job;
mod journal;
mod losses;
mod manifest;
mod maps;
mod orders;
mod pass;
mod placement;
mod preemption;
mod priority_preemption;
mod record;
mod recovery;
mod requests;
mod reservations;
mod restarts;
mod runs;
mod scheduler;
mod segments;
mod settings;
mod shares;
mod speculation;
mod tenancy;
mod throttling;
mod tickets;
mod worker;
mod worker_api;
mod workers;

pub use blocked::BlockReason;
pub use draining::DrainOutcome;
pub use event::Action;
pub use event::AdviceCall;
pub use event::Batch;
pub use event::BatchId;
pub use event::CallId;
pub use event::Clock;
pub use event::Event;
pub use job::RequestToken;
pub use manifest::AdviceTerms;
pub use manifest::Manifest;
pub use manifest::Pool;
pub use manifest::Queue;
pub use orders::StartObstacle;
pub use record::OUTCOME_PREFIX;
pub use record::SEGMENT_PREFIX;
pub use recovery::Recovery;
pub use runs::run_name;
pub use scheduler::Scheduler;
pub use scheduler::Summary;
pub use settings::Settings;
pub use tenancy::TenantCounters;
pub use tenancy::TenantReport;
pub use worker_api::EndedRow;
pub use worker_api::Listing;
pub use worker_api::RenewalOrder;
pub use worker_api::RenewalOutcome;
pub use worker_api::RunEnd;
pub use worker_api::RunningRow;
pub use worker_api::StartOrder;
pub use worker_api::StartOutcome;
pub use worker_api::StartRejection;
pub use worker_api::StopOrder;
pub use worker_api::StopOutcome;
pub use worker_api::ThrottleOrder;
pub use worker_api::ThrottleOutcome;
pub use worker_api::WorkerReport;
