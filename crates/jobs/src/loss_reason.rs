//! Why runs are given up.

/// Why a run counts as ended although its worker has not listed its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LossReason {
    /// Its worker has not answered until every lease that it may have had was over.
    LeaseExpired,
    /// Its worker has restarted under its id.
    WorkerRestarted,
    /// A renewal shows that another worker has the address of its worker.
    AddressTaken,
    /// A stop order shows that another worker has the address of its worker.
    StopMisdirected,
    /// A listing of its worker that was asked for later does not have it.
    NotListed,
}

impl LossReason {
    /// Returns its name in metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::LeaseExpired => "lease_expired",
            Self::WorkerRestarted => "worker_restarted",
            Self::AddressTaken => "address_taken",
            Self::StopMisdirected => "stop_misdirected",
            Self::NotListed => "not_listed",
        }
    }

    /// Returns its description in logs.
    pub(crate) fn describe(self) -> &'static str {
        match self {
            Self::LeaseExpired => "no answer until the lease expired",
            Self::WorkerRestarted => "worker restarted",
            Self::AddressTaken => "another incarnation answered at the address",
            Self::StopMisdirected => "another incarnation answered the stop order",
            Self::NotListed => "not in the worker's listing",
        }
    }
}
