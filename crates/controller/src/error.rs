//! The error of this crate.

use std::fmt;

/// Says what an instance failed at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum ErrorKind {
    /// The peer listener could not be set up.
    Listen,
    /// The control thread could not be started.
    Thread,
    /// The store did not do what was asked.
    Store,
    /// The instance no longer leads.
    LeadershipLost,
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Listen => "peer listener failed",
            Self::Thread => "control thread failed",
            Self::Store => "store failed",
            Self::LeadershipLost => "another instance leads",
        })
    }
}

/// A failure of an instance.
#[derive(Debug, thiserror::Error)]
#[error("{kind}: {context}")]
pub struct Error {
    kind: ErrorKind,
    context: String,
    /// Whether what failed may have taken effect all the same.
    in_doubt: bool,
}

impl Error {
    pub(crate) fn new(kind: ErrorKind, context: impl fmt::Display) -> Self {
        Self {
            kind,
            context: context.to_string(),
            in_doubt: false,
        }
    }

    /// Returns whether what failed may have taken effect all the same.
    #[must_use]
    pub fn is_in_doubt(&self) -> bool {
        self.in_doubt
    }

    /// Returns the kind.
    #[must_use]
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }
}

impl From<store::Error> for Error {
    fn from(cause: store::Error) -> Self {
        let in_doubt = cause.kind() != store::ErrorKind::Unavailable;
        Self {
            in_doubt,
            ..Self::new(ErrorKind::Store, cause)
        }
    }
}
