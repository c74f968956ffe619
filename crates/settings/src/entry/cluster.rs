//! Section `[cluster]`.

use std::path;

use crate::section;

/// What all instances share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cluster {
    /// Name; peers of another name are refused.
    pub name: String,
    /// File that holds the secret of peers and operators; it is never logged.
    pub secret_file: path::PathBuf,
    /// Every region of the cluster; not empty, the same order on all instances.
    pub regions: Vec<String>,
}

impl Cluster {
    pub(super) fn read(mut section: section::Section<'_>) -> Self {
        Self {
            name: section.required_text("name"),
            secret_file: path::PathBuf::from(section.required_text("secret_file")),
            regions: section.required_list("regions"),
        }
    }
}
