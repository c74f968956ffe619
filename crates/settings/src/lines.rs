//! Line numbers of sections and keys in the text of a document.

/// A section header of the text.
#[derive(Debug)]
pub(crate) struct SectionLine {
    pub(crate) name: String,
    /// Line of the header, from 1.
    pub(crate) line: usize,
}

/// A key of the text.
#[derive(Debug)]
pub(crate) struct KeyLine {
    /// Section that the key belongs to; empty before the first header.
    pub(crate) section: String,
    pub(crate) key: String,
    /// Line, from 1.
    pub(crate) line: usize,
}

/// Every section header and key of a text, in order.
#[derive(Debug, Default)]
pub(crate) struct Lines {
    pub(crate) sections: Vec<SectionLine>,
    pub(crate) keys: Vec<KeyLine>,
    /// Lines that are neither header, key nor comment.
    pub(crate) unrecognised: Vec<usize>,
}

impl Lines {
    /// Scans `text`, which has one header, key or comment per line.
    pub(crate) fn scan(text: &str) -> Self {
        let mut lines = Self::default();
        let mut section = String::new();
        for (index, raw) in text.lines().enumerate() {
            let line = index + 1;
            let trimmed = raw.trim();
            if trimmed.is_empty() || trimmed.starts_with([';', '#']) {
                continue;
            }
            if let Some(name) = header(trimmed) {
                section = name.to_owned();
                lines.sections.push(SectionLine {
                    name: section.clone(),
                    line,
                });
            } else if let Some((key, _)) = trimmed.split_once(['=', ':']) {
                lines.keys.push(KeyLine {
                    section: section.clone(),
                    key: key.trim().to_owned(),
                    line,
                });
            } else {
                lines.unrecognised.push(line);
            }
        }
        lines
    }
}

fn header(trimmed: &str) -> Option<&str> {
    let rest = trimmed.strip_prefix('[')?;
    let (name, _) = rest.split_once(']')?;
    Some(name.trim())
}
