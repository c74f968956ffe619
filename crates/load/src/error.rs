//! Errors of the load program.

/// What went wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum ErrorKind {
    /// The command line is wrong.
    Usage,
    /// A file could not be read or written, or its content is wrong.
    File,
}

/// A failure of the program itself, not of a request.
#[derive(Debug, thiserror::Error)]
#[error("{context}")]
pub struct Error {
    kind: ErrorKind,
    context: String,
}

impl Error {
    pub(crate) fn usage(context: impl Into<String>) -> Self {
        Self {
            kind: ErrorKind::Usage,
            context: context.into(),
        }
    }

    pub(crate) fn file(context: impl Into<String>) -> Self {
        Self {
            kind: ErrorKind::File,
            context: context.into(),
        }
    }

    /// Returns what went wrong.
    #[must_use]
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }
}
