//! Files with the text of a list and the revision that the edit is based on.

use std::path;

use crate::arguments;
use crate::error;

/// Prefix of the first line of a file written by `ferryctl show --out`; the revision follows it.
pub const REVISION_HEADER: &str = "# ferry-revision: ";

/// A list read from a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListFile {
    /// Name of the file.
    pub name: String,
    /// Revision that the edit is based on, if the first line has one; 0 if the list must not exist
    /// yet.
    pub revision: Option<store::Revision>,
    /// Whole text; a first line with the revision is replaced by a blank one.
    pub text: String,
}

impl ListFile {
    /// Reads the file at `path`.
    pub(crate) fn read(path: &path::Path) -> Result<Self, error::Error> {
        let text = arguments::read_file(path)?;
        Self::parse(path.display().to_string(), text)
    }

    /// Parses the revision on the first line of `text`, if there is one.
    ///
    /// # Errors
    ///
    /// Fails if the first line has the prefix of a revision but no valid number.
    pub fn parse(name: impl Into<String>, text: String) -> Result<Self, error::Error> {
        let name = name.into();
        let Some(rest) = text.strip_prefix(REVISION_HEADER) else {
            return Ok(Self {
                name,
                revision: None,
                text,
            });
        };
        let (number, body) = rest.split_once('\n').unwrap_or((rest, ""));
        let revision = number.trim().parse().ok().filter(|revision| *revision >= 0);
        if revision.is_none() {
            let number = number.trim();
            let message =
                format!("{name}:1: revision '{number}' given, expected a whole number from 0");
            return Err(error::Error::usage(message));
        }
        // A blank line takes its place, so that line numbers in findings match the file.
        Ok(Self {
            text: format!("\n{body}"),
            name,
            revision,
        })
    }

    /// Returns the text to be stored, which does not have the line with the revision.
    #[must_use]
    pub fn stored_text(&self) -> &str {
        if self.revision.is_some() {
            self.text.strip_prefix('\n').unwrap_or(&self.text)
        } else {
            &self.text
        }
    }
}

/// Returns `text` preceded by a line with its `revision`.
pub(crate) fn with_revision_line(revision: store::Revision, text: &str) -> String {
    format!("{REVISION_HEADER}{revision}\n{text}")
}
