//! The error of this crate.

use std::fmt;

/// The kind of failure of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum ErrorKind {
    /// The request had no effect: no address could be reached, or the service refused it for now.
    /// Also the end of a watch.
    Unavailable,
    /// The outcome is unknown: the response was late, incomplete or a server error. A write may
    /// have taken effect.
    OutcomeUnknown,
    /// The service rejected the request, or its response was invalid.
    Protocol,
    /// A value is larger than the service accepts; the request was not sent.
    TooLarge,
    /// The service refused the content of the request, which had no effect and never will.
    Refused,
    /// The start revision of a watch has been compacted: read the keys again.
    Compacted,
    /// The lease that a write names has ended; nothing was written.
    LeaseEnded,
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unavailable => "store unavailable",
            Self::OutcomeUnknown => "outcome of the store call unknown",
            Self::Protocol => "store protocol error",
            Self::TooLarge => "value too large for the store",
            Self::Refused => "store refuses the content of the request",
            Self::Compacted => "store has compacted the revision",
            Self::LeaseEnded => "store lease has ended",
        })
    }
}

/// A failed call.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{kind}: {context}")]
pub struct Error {
    kind: ErrorKind,
    context: String,
}

impl Error {
    /// Creates an error; `context` says what was wrong and what was expected.
    #[must_use]
    pub fn new(kind: ErrorKind, context: impl Into<String>) -> Self {
        Self {
            kind,
            context: context.into(),
        }
    }

    /// Returns the kind.
    #[must_use]
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }
}
