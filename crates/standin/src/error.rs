//! The error of this crate.

use std::fmt;

/// Says what kind of failure occurred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum ErrorKind {
    /// An address could not be listened on.
    Listen,
    /// The settings have findings.
    Settings,
    /// A command names a part that does not exist.
    UnknownTarget,
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Listen => "cannot listen",
            Self::Settings => "settings are wrong",
            Self::UnknownTarget => "no such part",
        })
    }
}

/// A failure of a stand-in.
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
