//! Command line for operators and callers.
//!
//! [`run`] takes the arguments of `ferryctl` and returns its output and exit code, so that tests
//! can run whole sessions. The commands that use the platform's key-value service are generic over
//! [`store::Store`].

mod answer;
mod arguments;
mod command;
mod commands;
mod error;
mod help;
mod http_client;
mod list_file;
mod report;
mod revisions;
mod status;
mod stored_list;

pub use answer::TaskAnswer;
pub use command::CommandOutput;
pub use command::run;
pub use commands::apply::AppliedList;
pub use commands::apply::ApplyOptions;
pub use commands::apply::ApplyReport;
pub use commands::apply::apply;
pub use commands::apply::retry_policy::RetryPolicy;
pub use error::Error;
pub use error::ErrorKind;
pub use list_file::ListFile;
pub use list_file::REVISION_HEADER;
pub use report::Format;
pub use report::Report;
pub use revisions::InstanceRevision;
pub use revisions::LowestRevisions;
pub use revisions::lowest_revisions;
pub use status::OperatorStatus;
pub use status::PeerStatus;
