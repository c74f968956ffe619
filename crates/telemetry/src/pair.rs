//! Formats `key=value` pairs.

use std::fmt;
use std::fmt::Write as _;

/// One `key=value` pair; the value is quoted and escaped if it is not a single word.
#[derive(Clone, Copy, Debug)]
pub struct Pair<'a, V> {
    key: &'a str,
    value: V,
}

/// Returns a displayable `key=value` pair.
///
/// # Examples
///
/// ```
/// assert_eq!(telemetry::kv("worker", "w-07").to_string(), "worker=w-07");
/// assert_eq!(telemetry::kv("why", "no room").to_string(), "why=\"no room\"");
/// ```
#[must_use]
pub fn kv<V: fmt::Display>(key: &str, value: V) -> Pair<'_, V> {
    Pair { key, value }
}

impl<V: fmt::Display> fmt::Display for Pair<'_, V> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = self.value.to_string();
        write!(f, "{}=", self.key)?;
        if is_word(&text) {
            f.write_str(&text)
        } else {
            write_quoted(f, &text)
        }
    }
}

fn is_word(text: &str) -> bool {
    let needs_quotes =
        |c: char| c.is_whitespace() || c.is_control() || matches!(c, '"' | '=' | '\\');
    !text.is_empty() && !text.contains(needs_quotes)
}

fn write_quoted(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    f.write_char('"')?;
    for c in text.chars() {
        match c {
            '"' | '\\' => write!(f, "\\{c}")?,
            c if c.is_control() => write!(f, "{}", c.escape_default())?,
            c => f.write_char(c)?,
        }
    }
    f.write_char('"')
}
