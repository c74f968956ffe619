//! Reads the typed values of one section.

use std::net;
use std::ops;
use std::time;

use crate::loader;

/// Placeholder for a missing or invalid address.
const PLACEHOLDER_ADDRESS: net::SocketAddr =
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::UNSPECIFIED), 0);

/// Reads the values of one section, adding faults to the findings of its loader.
#[derive(Debug)]
pub struct Section<'a> {
    loader: &'a mut loader::Loader,
    name: String,
}

impl<'a> Section<'a> {
    pub(crate) fn new(loader: &'a mut loader::Loader, name: &str) -> Self {
        Self {
            loader,
            name: name.to_owned(),
        }
    }

    /// Adds a finding about `key`.
    pub fn reject(&mut self, key: &str, message: impl Into<String>) {
        self.loader.reject(&self.name, Some(key), message);
    }

    /// Reads a text that must be present and not empty.
    pub fn required_text(&mut self, key: &str) -> String {
        self.required(key, "a text").unwrap_or_default()
    }

    /// Reads a text.
    pub fn text(&mut self, key: &str, default: &str) -> String {
        self.get(key).unwrap_or_else(|| default.to_owned())
    }

    /// Reads a text that may be absent; an empty one counts as absent.
    pub fn optional_text(&mut self, key: &str) -> Option<String> {
        self.get(key).filter(|text| !text.is_empty())
    }

    /// Reads an address that must be present, such as `10.1.0.4:7000`.
    pub fn address(&mut self, key: &str) -> net::SocketAddr {
        let Some(text) = self.required(key, EXPECTED_ADDRESS) else {
            return PLACEHOLDER_ADDRESS;
        };
        self.parse_address(key, &text)
            .unwrap_or(PLACEHOLDER_ADDRESS)
    }

    /// Reads an address that may be absent.
    pub fn optional_address(&mut self, key: &str) -> Option<net::SocketAddr> {
        let text = self.optional_text(key)?;
        self.parse_address(key, &text)
    }

    /// Reads one or more addresses, separated by commas.
    pub fn addresses(&mut self, key: &str) -> Vec<net::SocketAddr> {
        let Some(text) = self.required(key, EXPECTED_ADDRESS) else {
            return Vec::new();
        };
        let items = split_list(&text);
        items
            .iter()
            .filter_map(|item| self.parse_address(key, item))
            .collect()
    }

    /// Reads a list of texts separated by commas; an absent one is empty.
    ///
    /// An empty or repeated item is a finding.
    pub fn list(&mut self, key: &str) -> Vec<String> {
        let Some(text) = self.optional_text(key) else {
            return Vec::new();
        };
        let items = split_list(&text);
        for (index, item) in items.iter().enumerate() {
            if item.is_empty() {
                self.reject(key, "an item is empty, expected texts separated by commas");
            } else if items[..index].contains(item) {
                self.reject(key, format!("'{item}' stands twice"));
            }
        }
        items
    }

    /// Reads a list of texts, separated by commas, that must not be empty.
    pub fn required_list(&mut self, key: &str) -> Vec<String> {
        if self.required(key, "texts separated by commas").is_none() {
            return Vec::new();
        }
        self.list(key)
    }

    /// Reads a whole number within `range`.
    pub fn integer(&mut self, key: &str, default: u64, range: ops::RangeInclusive<u64>) -> u64 {
        self.optional_integer(key, range).unwrap_or(default)
    }

    /// Reads a whole number within `range` that may be absent.
    pub fn optional_integer(&mut self, key: &str, range: ops::RangeInclusive<u64>) -> Option<u64> {
        let text = self.get(key)?;
        let (low, high) = (range.start(), range.end());
        match text.parse::<u64>() {
            Ok(number) if range.contains(&number) => Some(number),
            _ => {
                let message =
                    format!("'{text}' given, expected a whole number from {low} to {high}");
                self.reject(key, message);
                None
            }
        }
    }

    /// Reads a size in bytes or a count of things in memory, within `range`.
    pub fn size(&mut self, key: &str, default: u64, range: ops::RangeInclusive<u64>) -> usize {
        usize::try_from(self.integer(key, default, range)).unwrap_or(usize::MAX)
    }

    /// Reads a count within `range`.
    pub fn count(&mut self, key: &str, default: u64, range: ops::RangeInclusive<u64>) -> u32 {
        u32::try_from(self.integer(key, default, range)).unwrap_or(u32::MAX)
    }

    /// Reads a duration in milliseconds within `range`.
    pub fn duration_ms(
        &mut self,
        key: &str,
        default_ms: u64,
        range: ops::RangeInclusive<u64>,
    ) -> time::Duration {
        time::Duration::from_millis(self.integer(key, default_ms, range))
    }

    /// Reads a duration in seconds within `range`.
    pub fn duration_s(
        &mut self,
        key: &str,
        default_s: u64,
        range: ops::RangeInclusive<u64>,
    ) -> time::Duration {
        time::Duration::from_secs(self.integer(key, default_s, range))
    }

    /// Reads one of `choices`.
    pub fn choice(&mut self, key: &str, choices: &[&str], default: &str) -> String {
        let Some(text) = self.get(key) else {
            return default.to_owned();
        };
        if !choices.contains(&text.as_str()) {
            let expected = choices.join(", ");
            self.reject(key, format!("'{text}' given, expected one of: {expected}"));
            return default.to_owned();
        }
        text
    }

    fn parse_address(&mut self, key: &str, text: &str) -> Option<net::SocketAddr> {
        let address = text.parse().ok();
        if address.is_none() {
            self.reject(key, format!("'{text}' given, expected {EXPECTED_ADDRESS}"));
        }
        address
    }

    fn required(&mut self, key: &str, expected: &str) -> Option<String> {
        let text = self.optional_text(key);
        if text.is_none() && self.loader.is_readable() {
            self.reject(key, format!("the key is missing, expected {expected}"));
        }
        text
    }

    fn get(&mut self, key: &str) -> Option<String> {
        self.loader.mark_requested(&self.name, key);
        let parsed_section = self.loader.parsed_section(&self.name)?;
        parsed_section
            .values
            .get(key)
            .map(|value| value.text.clone())
    }
}

const EXPECTED_ADDRESS: &str = "an ip number and a port, such as 10.1.0.4:7000";

fn split_list(text: &str) -> Vec<String> {
    text.split(',').map(|item| item.trim().to_owned()).collect()
}
