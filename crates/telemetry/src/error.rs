//! Errors of this crate.

use std::fmt;

/// Kind of a failure to set up logs or metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum ErrorKind {
    /// A logger is already installed.
    LoggerInstalled,
    /// The thread that writes logs could not be started.
    LogThread,
    /// The socket for metrics could not be set up.
    MetricsSocket,
}

/// Failure to set up logs or metrics.
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

    /// Returns the kind.
    #[must_use]
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.kind {
            ErrorKind::LoggerInstalled => write!(f, "a logger is already installed"),
            ErrorKind::LogThread => write!(
                f,
                "the thread that writes logs could not be started: {}",
                self.context
            ),
            ErrorKind::MetricsSocket => {
                write!(
                    f,
                    "the socket for metrics could not be set up: {}",
                    self.context
                )
            }
        }
    }
}
