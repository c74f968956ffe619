//! Errors of links.

use std::fmt;

/// Why the other end refused a connection or request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum RefusalReason {
    /// It belongs to another cluster.
    WrongCluster,
    /// It does not know the secret.
    WrongSecret,
    /// It speaks another version of the protocol.
    WrongVersion,
    /// The request is larger than it accepts.
    TooLarge,
    /// The request could not be read.
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
    /// The request was not sent: the other end has not seen it and never will.
    NotSent,
    /// The request was sent, in part at least, and no answer came: it may have been handled.
    Unanswered,
    /// The other end refused it and did not handle it.
    Refused(RefusalReason),
    /// The request is larger than the link's limit; it was not sent.
    TooLarge,
    /// The other end's answer was too large or could not be understood; the request may have been
    /// handled.
    Protocol,
}

/// A failed request.
#[derive(Debug, thiserror::Error)]
#[error("{context}")]
pub struct Error {
    kind: ErrorKind,
    context: String,
    has_no_listener: bool,
}

impl Error {
    pub(crate) fn new(kind: ErrorKind, context: impl Into<String>) -> Self {
        Self {
            kind,
            context: context.into(),
            has_no_listener: false,
        }
    }

    /// Creates the error of an address that refuses connections.
    pub(crate) fn no_listener(context: impl Into<String>) -> Self {
        Self {
            has_no_listener: true,
            ..Self::new(ErrorKind::NotSent, context)
        }
    }

    /// Returns whether nobody listens at the other end's address.
    #[must_use]
    pub fn has_no_listener(&self) -> bool {
        self.has_no_listener
    }

    /// Returns what went wrong.
    #[must_use]
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns whether the other end surely has not handled the request and never will.
    #[must_use]
    pub fn is_unhandled(&self) -> bool {
        matches!(
            self.kind,
            ErrorKind::NotSent | ErrorKind::Refused(_) | ErrorKind::TooLarge
        )
    }
}
