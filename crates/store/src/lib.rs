//! Client of the platform's key-value service.
//!
//! [`Store`] is the interface that the scheduler uses; [`Etcd`] implements it over the JSON gateway
//! of etcd v3. [`Hedged`] makes several attempts at a call at once, and [`read_put_outcome`] determines the outcome of a write whose response was lost.
//! [`SilenceDetector`] finds connections that have gone silent by calls that were answered on others.

mod calls;
mod entry;
mod error;
mod etcd;
mod hedged;
mod pages;
mod put_outcome;
mod silence;
mod store;
mod transport;
mod watch;
mod wire;

pub use calls::CallCounts;
pub use entry::Change;
pub use entry::Compare;
pub use entry::Entry;
pub use entry::LeaseId;
pub use entry::MAX_VALUE_BYTES;
pub use entry::Page;
pub use entry::Put;
pub use entry::Revision;
pub use entry::Txn;
pub use entry::TxnOutcome;
pub use error::Error;
pub use error::ErrorKind;
pub use etcd::Etcd;
pub use etcd::EtcdBuilder;
pub use hedged::Hedged;
pub use pages::read_all;
pub use put_outcome::PutOutcome;
pub use put_outcome::read_put_outcome;
pub use silence::Call;
pub use silence::Generation;
pub use silence::SilenceDetector;
pub use store::Store;
pub use store::Watch;
pub use watch::EtcdWatch;
