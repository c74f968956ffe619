//! Error type of this crate.

use std::fmt;

/// Kind of an [`Error`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum ErrorKind {
    /// The peer listener could not be set up.
    Listen,
    /// The control thread could not be started, or a commit task panicked.
    Thread,
    /// A call to the store failed.
    Store,
    /// The store refuses the content of a request, which had no effect.
    StoreRefused,
    /// The instance is no longer the leader.
    LeadershipLost,
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Listen => "cannot set up the peer listener",
            Self::Thread => "control thread or commit task failed",
            Self::Store => "store call failed",
            Self::StoreRefused => "store refuses the request",
            Self::LeadershipLost => "leadership lost",
        })
    }
}

/// A failure of an instance.
#[derive(Debug, thiserror::Error)]
#[error("{kind}: {context}")]
pub struct Error {
    kind: ErrorKind,
    context: String,
    /// Whether the failed operation may have taken effect or still may.
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

    /// Returns whether the failed operation may have taken effect or still may.
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
        let (kind, in_doubt) = match cause.kind() {
            store::ErrorKind::Refused | store::ErrorKind::TooLarge => {
                (ErrorKind::StoreRefused, false)
            }
            store::ErrorKind::Unavailable => (ErrorKind::Store, false),
            _ => (ErrorKind::Store, true),
        };
        Self {
            in_doubt,
            ..Self::new(kind, cause)
        }
    }
}
