//! Faults of a document, with their location.

use std::error;
use std::fmt;

/// One fault of a document.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// Name of the document.
    pub file: String,
    /// Line in the document, from 1; `None` if the fault is something missing that has no line.
    pub line: Option<usize>,
    /// Section; empty if the fault is outside of every section.
    pub section: String,
    /// Key; `None` if the fault concerns the whole section.
    pub key: Option<String>,
    /// What was wrong and what was expected.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.file)?;
        if let Some(line) = self.line {
            write!(f, "{line}:")?;
        }
        if !self.section.is_empty() {
            write!(f, " [{}]", self.section)?;
        }
        if let Some(key) = &self.key {
            write!(f, " {key}:")?;
        }
        write!(f, " {}", self.message)
    }
}

/// All faults of one or more documents, each document's in order of line.
///
/// Displays one finding per line, as `file:line: [section] key: message`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    findings: Vec<Finding>,
}

impl Findings {
    /// Returns whether there are no findings.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// Returns the number of findings.
    #[must_use]
    pub fn len(&self) -> usize {
        self.findings.len()
    }

    /// Iterates over the findings, in order.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.findings.iter()
    }

    /// Adds all of `other` after those of `self`.
    pub fn append(&mut self, mut other: Self) {
        self.findings.append(&mut other.findings);
    }

    /// Returns `value` if there are no findings.
    ///
    /// # Errors
    ///
    /// Returns the findings if there are any.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl FromIterator<Finding> for Findings {
    fn from_iter<I: IntoIterator<Item = Finding>>(findings: I) -> Self {
        let mut findings: Vec<_> = findings.into_iter().collect();
        findings.sort_by_key(|finding| finding.line.unwrap_or(usize::MAX));
        Self { findings }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.findings.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl error::Error for Findings {}
