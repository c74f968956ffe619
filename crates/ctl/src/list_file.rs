//! Files that hold a list, with the revision it was edited from.

use std::path;

use crate::arguments;
use crate::error;

/// Starts the first line of a file that `ferryctl show --out` wrote; the revision follows.
pub const REVISION_HEADER: &str = "# ferry-revision: ";

/// A list as read from a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListFile {
    /// Name of the file.
    pub name: String,
    /// Revision that the list was edited from, if the first line tells it; 0 if the list must not
    /// exist yet.
    pub revision: Option<store::Revision>,
    /// Whole text, with the first line blank if it told the revision.
    pub text: String,
}

impl ListFile {
    /// Reads the file at `path`.
    pub(crate) fn read(path: &path::Path) -> Result<Self, error::Error> {
        let text = arguments::read_file(path)?;
        Self::parse(path.display().to_string(), text)
    }

    /// Splits the revision from `text`.
    ///
    /// # Errors
    ///
    /// Fails if the first line promises a revision and tells none.
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
            let message = format!("{name}:1: revision '{number}' given, expected a whole number");
            return Err(error::Error::usage(message));
        }
        // The line stays, blank, so that findings name the lines of the file.
        Ok(Self {
            text: format!("\n{body}"),
            name,
            revision,
        })
    }

    /// Returns the text as it is kept in the store: without the line of the revision.
    #[must_use]
    pub fn stored_text(&self) -> &str {
        if self.revision.is_some() {
            self.text.strip_prefix('\n').unwrap_or(&self.text)
        } else {
            &self.text
        }
    }
}

/// Returns `text` behind a line that tells `revision`.
pub(crate) fn with_revision(revision: store::Revision, text: &str) -> String {
    format!("{REVISION_HEADER}{revision}\n{text}")
}
