//! Reads one document and collects its findings.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::finding;
use crate::lines;
use crate::section;

/// The value of a key and its line, from 1.
#[derive(Debug)]
pub(crate) struct Value {
    pub(crate) text: String,
    pub(crate) line: Option<usize>,
}

/// A parsed section of the document.
#[derive(Debug, Default)]
pub(crate) struct ParsedSection {
    pub(crate) line: Option<usize>,
    pub(crate) values: IndexMap<String, Value>,
    /// Keys that the program has read.
    pub(crate) requested_keys: IndexSet<String>,
    /// Whether the program has opened the section.
    opened: bool,
}

/// Reads one INI document and collects its faults.
///
/// Values are single lines, taken literally: no quotes, escapes or trailing comments.
/// A bad or missing value is a finding and is replaced by a placeholder, so that reading continues;
/// [`Loader::finish`] returns the value only if there are no findings.
///
/// # Examples
///
/// ```
/// let mut loader = settings::Loader::new("demo.ini", "[server]\nidle_ms = 250\n");
/// let idle = loader.section("server").duration_ms("idle_ms", 100, 1..=1000);
/// assert_eq!(loader.finish(idle).unwrap().as_millis(), 250);
/// ```
#[derive(Debug)]
pub struct Loader {
    file: String,
    sections: IndexMap<String, ParsedSection>,
    findings: Vec<finding::Finding>,
    /// Whether the text could be parsed; if not, missing keys are not reported as well.
    readable: bool,
}

impl Loader {
    /// Parses `text`; findings refer to it as `file_name`.
    #[must_use]
    pub fn new(file_name: impl Into<String>, text: &str) -> Self {
        let mut loader = Self {
            file: file_name.into(),
            sections: IndexMap::new(),
            findings: Vec::new(),
            readable: true,
        };
        let lines = lines::Lines::scan(text);
        for line in &lines.unrecognised {
            loader.readable = false;
            let message = "neither section, key nor comment, expected 'key = value'";
            loader.add_finding(Some(*line), "", None, message.to_owned());
        }
        if loader.readable {
            loader.parse(text, &lines);
        }
        loader
    }

    /// Opens the section `name`, present or not.
    pub fn section(&mut self, name: &str) -> section::Section<'_> {
        let parsed_section = self.sections.entry(name.to_owned()).or_default();
        parsed_section.opened = true;
        section::Section::new(self, name)
    }

    /// Returns the names of all sections, in order.
    #[must_use]
    pub fn section_names(&self) -> Vec<String> {
        self.sections.keys().cloned().collect()
    }

    /// Returns whether the text could be split into sections and keys.
    #[must_use]
    pub fn is_readable(&self) -> bool {
        self.readable
    }

    /// Adds a finding about `key` of `section`, with its line if it is in the text.
    pub fn reject(&mut self, section: &str, key: Option<&str>, message: impl Into<String>) {
        let line = self.line_of(section, key);
        self.add_finding(line, section, key, message.into());
    }

    /// Returns `value` if the document has no faults.
    ///
    /// # Errors
    ///
    /// Returns every finding, including unknown sections and keys, which the program never read.
    pub fn finish<T>(mut self, value: T) -> Result<T, finding::Findings> {
        self.reject_unknown();
        let findings: finding::Findings = self.findings.into_iter().collect();
        findings.into_result(value)
    }

    pub(crate) fn parsed_section(&self, section: &str) -> Option<&ParsedSection> {
        self.sections.get(section)
    }

    pub(crate) fn mark_requested(&mut self, section: &str, key: &str) {
        if let Some(parsed_section) = self.sections.get_mut(section) {
            parsed_section.requested_keys.insert(key.to_owned());
        }
    }

    fn parse(&mut self, text: &str, lines: &lines::Lines) {
        match ini::Ini::load_from_str_opt(text, parse_options()) {
            Ok(document) => self.collect_sections(&document, lines),
            Err(error) => {
                self.readable = false;
                let line = error.line.min(text.lines().count());
                let message = format!("invalid INI syntax: {}", error.msg);
                self.add_finding(Some(line), "", None, message);
            }
        }
    }

    fn line_of(&self, section: &str, key: Option<&str>) -> Option<usize> {
        let parsed_section = self.sections.get(section)?;
        let value = key.and_then(|key| parsed_section.values.get(key));
        value.map_or(parsed_section.line, |value| value.line)
    }

    fn collect_sections(&mut self, document: &ini::Ini, lines: &lines::Lines) {
        for header in &lines.sections {
            let parsed_section = self.sections.entry(header.name.clone()).or_default();
            if let Some(first) = parsed_section.line {
                let message = format!("the section stands twice, first on line {first}");
                self.add_finding(Some(header.line), &header.name, None, message);
            } else {
                parsed_section.line = Some(header.line);
            }
        }
        for key_line in &lines.keys {
            self.collect_key(document, key_line);
        }
    }

    fn collect_key(&mut self, document: &ini::Ini, key_line: &lines::KeyLine) {
        if key_line.section.is_empty() {
            let message = "the key stands before the first section".to_owned();
            self.add_finding(Some(key_line.line), "", Some(&key_line.key), message);
            return;
        }
        let mut sections = document.section_all(Some(key_line.section.as_str()));
        let text = sections.find_map(|section| section.get(&key_line.key));
        let value = Value {
            text: text.unwrap_or_default().to_owned(),
            line: Some(key_line.line),
        };
        let parsed_section = self.sections.entry(key_line.section.clone()).or_default();
        if let Some(first) = parsed_section.values.get(&key_line.key) {
            let first_line = first.line.unwrap_or_default();
            let message = format!("the key stands twice, first on line {first_line}");
            self.add_finding(
                Some(key_line.line),
                &key_line.section,
                Some(&key_line.key),
                message,
            );
        } else {
            parsed_section.values.insert(key_line.key.clone(), value);
        }
    }

    fn reject_unknown(&mut self) {
        let mut unknown = Vec::new();
        for (name, parsed_section) in &self.sections {
            if !parsed_section.opened {
                unknown.push((parsed_section.line, name.clone(), None));
                continue;
            }
            for (key, value) in &parsed_section.values {
                if !parsed_section.requested_keys.contains(key) {
                    unknown.push((value.line, name.clone(), Some(key.clone())));
                }
            }
        }
        for (line, section, key) in unknown {
            let message = match &key {
                None => self.unknown_section(),
                Some(_) => self.unknown_key(&section),
            };
            self.add_finding(line, &section, key.as_deref(), message);
        }
    }

    fn unknown_section(&self) -> String {
        let opened = self
            .sections
            .iter()
            .filter(|(_, parsed_section)| parsed_section.opened);
        let names: Vec<_> = opened.map(|(name, _)| name.as_str()).collect();
        format!("unknown section, expected one of: {}", names.join(", "))
    }

    fn unknown_key(&self, section: &str) -> String {
        let requested_keys = self
            .sections
            .get(section)
            .map(|parsed_section| &parsed_section.requested_keys);
        let names: Vec<_> = requested_keys
            .into_iter()
            .flatten()
            .map(String::as_str)
            .collect();
        format!("unknown key, expected one of: {}", names.join(", "))
    }

    fn add_finding(
        &mut self,
        line: Option<usize>,
        section: &str,
        key: Option<&str>,
        message: String,
    ) {
        self.findings.push(finding::Finding {
            file: self.file.clone(),
            line,
            section: section.to_owned(),
            key: key.map(str::to_owned),
            message,
        });
    }
}

fn parse_options() -> ini::ParseOption {
    ini::ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ini::ParseOption::default()
    }
}
