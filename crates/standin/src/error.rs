//! The error type of this crate.

use std::fmt;

/// The kind of an [`Error`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum ErrorKind {
    /// An address could not be bound.
    Listen,
    /// The settings are invalid.
    Settings,
    /// A fault command names a component that does not exist.
    UnknownTarget,
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Listen => "cannot listen",
            Self::Settings => "invalid settings",
            Self::UnknownTarget => "no such part",
        })
    }
}

/// An error of a stand-in.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{kind}: {context}")]
pub struct Error {
    kind: ErrorKind,
    context: String,
}

impl Error {
    /// Creates an error; `context` names what the error concerns and its cause, if there is one.
    #[must_use]
    pub fn new(kind: ErrorKind, context: impl Into<String>) -> Self {
        Self {
            kind,
            context: context.into(),
        }
    }

    /// Returns the kind of the error.
    #[must_use]
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }
}
