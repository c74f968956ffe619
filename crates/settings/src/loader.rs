//! Reads one document and collects its findings.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::finding;
use crate::lines;
use crate::section;

/// A key with its value and place.
#[derive(Debug)]
pub(crate) struct Value {
    pub(crate) text: String,
    pub(crate) line: Option<usize>,
}

/// A section of the document as read.
#[derive(Debug, Default)]
pub(crate) struct Body {
    pub(crate) line: Option<usize>,
    pub(crate) values: IndexMap<String, Value>,
    /// Keys that were asked for.
    pub(crate) known: IndexSet<String>,
    /// Whether the section was asked for.
    opened: bool,
}

/// Reads one INI document, collecting everything that is wrong with it.
///
/// Values are single lines, taken as they are: without quotes, escapes or comments behind them.
/// A bad or missing value is a finding and is replaced by a stand-in, so that reading goes on;
/// [`Loader::finish`] hands out the value only if there was no finding.
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
    sections: IndexMap<String, Body>,
    findings: Vec<finding::Finding>,
    /// Whether the text could be read; if not, missing keys are no findings of their own.
    readable: bool,
}

impl Loader {
    /// Reads `text`; `file_name` is what findings call it.
    #[must_use]
    pub fn new(file_name: impl Into<String>, text: &str) -> Self {
        let mut loader = Self {
            file: file_name.into(),
            sections: IndexMap::new(),
            findings: Vec::new(),
            readable: true,
        };
        let lines = lines::Lines::scan(text);
        for line in &lines.strays {
            loader.readable = false;
            let message = "neither section, key nor comment, expected 'key = value'";
            loader.push(Some(*line), "", None, message.to_owned());
        }
        if loader.readable {
            loader.parse(text, &lines);
        }
        loader
    }

    /// Opens the section `name`, present or not.
    pub fn section(&mut self, name: &str) -> section::Section<'_> {
        let body = self.sections.entry(name.to_owned()).or_default();
        body.opened = true;
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

    /// Adds a finding about `key` of `section`, at its place in the text if it has one.
    pub fn reject(&mut self, section: &str, key: Option<&str>, message: impl Into<String>) {
        let line = self.line_of(section, key);
        self.push(line, section, key, message.into());
    }

    /// Returns `value` if the document has no fault.
    ///
    /// # Errors
    ///
    /// Returns every finding, among them sections and keys that nobody asked for.
    pub fn finish<T>(mut self, value: T) -> Result<T, finding::Findings> {
        self.reject_unknown();
        let findings: finding::Findings = self.findings.into_iter().collect();
        findings.into_result(value)
    }

    pub(crate) fn body(&self, section: &str) -> Option<&Body> {
        self.sections.get(section)
    }

    pub(crate) fn mark_known(&mut self, section: &str, key: &str) {
        if let Some(body) = self.sections.get_mut(section) {
            body.known.insert(key.to_owned());
        }
    }

    fn parse(&mut self, text: &str, lines: &lines::Lines) {
        match ini::Ini::load_from_str_opt(text, options()) {
            Ok(document) => self.take(&document, lines),
            Err(error) => {
                self.readable = false;
                let line = error.line.min(text.lines().count());
                let message = format!("not an ini document: {}", error.msg);
                self.push(Some(line), "", None, message);
            }
        }
    }

    fn line_of(&self, section: &str, key: Option<&str>) -> Option<usize> {
        let body = self.sections.get(section)?;
        let value = key.and_then(|key| body.values.get(key));
        value.map_or(body.line, |value| value.line)
    }

    fn take(&mut self, document: &ini::Ini, lines: &lines::Lines) {
        for header in &lines.sections {
            let body = self.sections.entry(header.name.clone()).or_default();
            if let Some(first) = body.line {
                let message = format!("the section stands twice, first on line {first}");
                self.push(Some(header.line), &header.name, None, message);
            } else {
                body.line = Some(header.line);
            }
        }
        for place in &lines.keys {
            self.take_key(document, place);
        }
    }

    fn take_key(&mut self, document: &ini::Ini, place: &lines::KeyLine) {
        if place.section.is_empty() {
            let message = "the key stands before the first section".to_owned();
            self.push(Some(place.line), "", Some(&place.key), message);
            return;
        }
        let mut sections = document.section_all(Some(place.section.as_str()));
        let text = sections.find_map(|section| section.get(&place.key));
        let value = Value {
            text: text.unwrap_or_default().to_owned(),
            line: Some(place.line),
        };
        let body = self.sections.entry(place.section.clone()).or_default();
        if let Some(first) = body.values.get(&place.key) {
            let first_line = first.line.unwrap_or_default();
            let message = format!("the key stands twice, first on line {first_line}");
            self.push(Some(place.line), &place.section, Some(&place.key), message);
        } else {
            body.values.insert(place.key.clone(), value);
        }
    }

    fn reject_unknown(&mut self) {
        let mut unknown = Vec::new();
        for (name, body) in &self.sections {
            if !body.opened {
                unknown.push((body.line, name.clone(), None));
                continue;
            }
            for (key, value) in &body.values {
                if !body.known.contains(key) {
                    unknown.push((value.line, name.clone(), Some(key.clone())));
                }
            }
        }
        for (line, section, key) in unknown {
            let message = match &key {
                None => self.unknown_section(),
                Some(_) => self.unknown_key(&section),
            };
            self.push(line, &section, key.as_deref(), message);
        }
    }

    fn unknown_section(&self) -> String {
        let opened = self.sections.iter().filter(|(_, body)| body.opened);
        let names: Vec<_> = opened.map(|(name, _)| name.as_str()).collect();
        format!("unknown section, expected one of: {}", names.join(", "))
    }

    fn unknown_key(&self, section: &str) -> String {
        let known = self.sections.get(section).map(|body| &body.known);
        let names: Vec<_> = known.into_iter().flatten().map(String::as_str).collect();
        format!("unknown key, expected one of: {}", names.join(", "))
    }

    fn push(&mut self, line: Option<usize>, section: &str, key: Option<&str>, message: String) {
        self.findings.push(finding::Finding {
            file: self.file.clone(),
            line,
            section: section.to_owned(),
            key: key.map(str::to_owned),
            message,
        });
    }
}

fn options() -> ini::ParseOption {
    ini::ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ini::ParseOption::default()
    }
}
