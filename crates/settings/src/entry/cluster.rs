//! Section `[cluster]`.

use std::path;

use crate::section;

/// Settings shared by all instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cluster {
    /// Name of the cluster; peers of another cluster are refused.
    pub name: String,
    /// File with the secret shared by peers and operators; the secret is never logged.
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
