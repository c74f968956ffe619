//! Errors of this crate.

use std::fmt;

/// What went wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum ErrorKind {
    /// A logger was installed before.
    LoggerInstalled,
    /// The thread that writes logs could not be started.
    LogThread,
    /// The socket for metrics could not be set up.
    MetricsSocket,
}

/// Error while logs or metrics are set up.
#[derive(Debug, thiserror::Error)]
pub struct Error {
    kind: ErrorKind,
    context: String,
}

impl Error {
    pub(crate) fn new(kind: ErrorKind, context: impl fmt::Display) -> Self {
        Self {
            kind,
            context: context.to_string(),
        }
    }

    /// Returns what went wrong.
    #[must_use]
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.kind {
            ErrorKind::LoggerInstalled => write!(f, "a logger was installed before, expected none"),
            ErrorKind::LogThread => write!(f, "the log thread failed: {}", self.context),
            ErrorKind::MetricsSocket => {
                write!(f, "the socket for metrics failed: {}", self.context)
            }
        }
    }
}
