//! Ended jobs, whose outcomes are kept for a while.

use crate::record;

/// An ended job.
#[derive(Clone, Debug)]
pub(crate) struct EndedJob {
    pub(crate) ending: record::Ending,
    /// The tenant and the queue; `None` if the job has no tenant.
    pub(crate) owner: Option<record::Owner>,
}
