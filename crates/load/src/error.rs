//! The error type of this crate.

/// The kind of an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum ErrorKind {
    /// The command line is invalid.
    Usage,
    /// A file cannot be read or written, or its content is invalid.
    File,
}

/// An error of `ferry-load` itself; failed requests are reported in the results.
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

    /// Returns the kind.
    #[must_use]
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }
}
