//! Errors of links.

use std::fmt;

/// Why the other end refused a connection or request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum RefusalReason {
    /// The cluster names differ.
    WrongCluster,
    /// The secrets differ, or one is missing.
    WrongSecret,
    /// The protocol versions differ.
    WrongVersion,
    /// The request is larger than the other end accepts.
    TooLarge,
    /// The request could not be decoded.
    Malformed,
}

impl RefusalReason {
    /// Every reason, in declaration order.
    pub const ALL: &'static [Self] = &[
        Self::WrongCluster,
        Self::WrongSecret,
        Self::WrongVersion,
        Self::TooLarge,
        Self::Malformed,
    ];

    /// Returns the name used in logs, headers and counters.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::WrongCluster => "wrong_cluster",
            Self::WrongSecret => "wrong_secret",
            Self::WrongVersion => "wrong_version",
            Self::TooLarge => "too_large",
            Self::Malformed => "malformed",
        }
    }

    /// Returns the reason of that name.
    pub(crate) fn from_name(name: &str) -> Option<Self> {
        let mut all = Self::ALL.iter().copied();
        all.find(|reason| reason.as_str() == name)
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// What went wrong with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum ErrorKind {
    /// The request was not sent: the other end has not handled it and never will.
    NotSent,
    /// The request was sent, at least in part, and not answered: it may have been handled.
    Unanswered,
    /// The other end refused it and did not handle it.
    Refused(RefusalReason),
    /// The request is larger than the link's limit; it was not sent.
    TooLarge,
    /// The response was too large or could not be decoded; the request may have been handled.
    Protocol,
}

/// A failed request.
#[derive(Debug, thiserror::Error)]
#[error("{context}")]
pub struct Error {
    kind: ErrorKind,
    context: String,
    is_connection_refused: bool,
}

impl Error {
    pub(crate) fn new(kind: ErrorKind, context: impl Into<String>) -> Self {
        Self {
            kind,
            context: context.into(),
            is_connection_refused: false,
        }
    }

    /// Creates the error for an address that refuses connections.
    pub(crate) fn connection_refused(context: impl Into<String>) -> Self {
        Self {
            is_connection_refused: true,
            ..Self::new(ErrorKind::NotSent, context)
        }
    }

    /// Returns whether the other end's address refused the connection: nothing listens there.
    #[must_use]
    pub fn is_connection_refused(&self) -> bool {
        self.is_connection_refused
    }

    /// Returns what went wrong.
    #[must_use]
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns whether the other end certainly has not handled the request and never will.
    #[must_use]
    pub fn is_unhandled(&self) -> bool {
        matches!(
            self.kind,
            ErrorKind::NotSent | ErrorKind::Refused(_) | ErrorKind::TooLarge
        )
    }
}
