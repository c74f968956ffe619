//! Output of commands, as a table or as JSON.

use std::str;

use crate::error;

/// Output format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Text for people.
    #[default]
    Table,
    /// One JSON document, for scripts.
    Json,
}

impl str::FromStr for Format {
    type Err = error::Error;

    fn from_str(text: &str) -> Result<Self, error::Error> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            _ => Err(error::Error::usage("expected table or json")),
        }
    }
}

/// The result of a command.
pub trait Report: serde::Serialize {
    /// Returns the text for people, ending with a newline unless it is empty.
    fn table(&self) -> String;

    /// Returns the exit code.
    fn exit_code(&self) -> u8 {
        0
    }
}

/// One finding in a list or settings file, for JSON output.
#[derive(Debug, serde::Serialize)]
pub(crate) struct Fault {
    file: String,
    line: Option<usize>,
    section: String,
    key: Option<String>,
    message: String,
}

/// Converts `findings` for JSON output.
pub(crate) fn convert_findings(findings: &settings::Findings) -> Vec<Fault> {
    let converted = findings.iter().map(|finding| Fault {
        file: finding.file.clone(),
        line: finding.line,
        section: finding.section.clone(),
        key: finding.key.clone(),
        message: finding.message.clone(),
    });
    converted.collect()
}

/// Returns `header` and `rows` as lines of text with aligned columns.
pub(crate) fn format_columns(header: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = header.iter().map(|cell| cell.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let header: Vec<String> = header.iter().map(|cell| (*cell).to_owned()).collect();
    let mut text = format_row(&header, &widths);
    for row in rows {
        text.push_str(&format_row(row, &widths));
    }
    text
}

fn format_row(cells: &[String], widths: &[usize]) -> String {
    let padded = cells.iter().zip(widths);
    let padded: Vec<_> = padded
        .map(|(cell, width)| format!("{cell:<width$}"))
        .collect();
    format!("{}\n", padded.join("  ").trim_end())
}
