//! The error type of this crate.

use std::fmt;

/// The kind of failure of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum ErrorKind {
    /// The command line is wrong, or a file cannot be read.
    Usage,
    /// A list or settings file has findings.
    Findings,
    /// The command was refused; nothing was changed.
    Refused,
    /// No connection could be made; nothing was sent.
    Unreachable,
    /// Another writer changed a list first; nothing was changed.
    LostRace,
    /// It is unknown whether the command took effect, or it did not within the timeout.
    Unknown,
}

impl ErrorKind {
    /// Returns the exit code.
    #[must_use]
    pub fn exit_code(self) -> u8 {
        match self {
            Self::Refused | Self::Unreachable => 1,
            Self::Usage | Self::Findings => 2,
            Self::LostRace => 3,
            Self::Unknown => 4,
        }
    }

    /// Returns the name used in JSON output.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Usage => "usage",
            Self::Findings => "findings",
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::LostRace => "lost_race",
            Self::Unknown => "unknown",
        }
    }
}

/// A failed command.
#[derive(Clone, Debug, thiserror::Error)]
pub struct Error {
    kind: ErrorKind,
    context: String,
    findings: settings::Findings,
}

impl Error {
    /// Creates an error; `context` says what was wrong and what was expected.
    #[must_use]
    pub fn new(kind: ErrorKind, context: impl Into<String>) -> Self {
        Self {
            kind,
            context: context.into(),
            findings: settings::Findings::default(),
        }
    }

    pub(crate) fn usage(context: impl Into<String>) -> Self {
        Self::new(ErrorKind::Usage, context)
    }

    pub(crate) fn refused(context: impl Into<String>) -> Self {
        Self::new(ErrorKind::Refused, context)
    }

    /// Returns the kind.
    #[must_use]
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns what was wrong and what was expected, without the findings.
    #[must_use]
    pub fn context(&self) -> &str {
        &self.context
    }

    /// Returns the findings; empty unless the kind is [`ErrorKind::Findings`].
    #[must_use]
    pub fn findings(&self) -> &settings::Findings {
        &self.findings
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.findings.is_empty() {
            f.write_str(&self.context)
        } else {
            write!(f, "{}\n{}", self.findings, self.context)
        }
    }
}

impl From<settings::Findings> for Error {
    fn from(findings: settings::Findings) -> Self {
        let context = format!("{} found, expected none", count_findings(findings.len()));
        Self {
            kind: ErrorKind::Findings,
            context,
            findings,
        }
    }
}

/// Returns the number of findings as text, such as `2 errors`.
pub(crate) fn count_findings(number: usize) -> String {
    match number {
        1 => "1 error".to_owned(),
        _ => format!("{number} errors"),
    }
}
