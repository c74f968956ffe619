//! The error of this crate.

use std::fmt;

/// Kind of a failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum ErrorKind {
    /// Nothing was sent: connecting failed, or no connection was free in time.
    NotSent,
    /// The request was not answered, but may have been received: it may have taken effect.
    Unanswered,
    /// The response could not be understood: the request may have taken effect.
    Protocol,
    /// The server refused the request: it had no effect.
    Refused,
    /// The request is larger than allowed; it was not sent.
    TooLarge,
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotSent => "request not sent",
            Self::Unanswered => "request not answered",
            Self::Protocol => "invalid response",
            Self::Refused => "request refused",
            Self::TooLarge => "request too large",
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

    /// Returns whether the request is certain to have had no effect.
    #[must_use]
    pub fn had_no_effect(&self) -> bool {
        matches!(
            self.kind,
            ErrorKind::NotSent | ErrorKind::Refused | ErrorKind::TooLarge
        )
    }
}
