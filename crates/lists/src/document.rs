//! The two lists, and their texts before parsing.

use std::fmt;

/// Key of the customers list in the platform's key-value service.
pub const CUSTOMERS_KEY: &str = "/ferry/lists/customers";
/// Key of the plans list in the platform's key-value service.
pub const PLANS_KEY: &str = "/ferry/lists/plans";

/// One of the two lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum List {
    /// Customers and their plans.
    Customers,
    /// Plans and their limits.
    Plans,
}

impl List {
    /// Both lists, plans last.
    pub const ALL: &'static [Self] = &[Self::Customers, Self::Plans];

    /// Returns the list's name.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Customers => "customers",
            Self::Plans => "plans",
        }
    }

    /// Returns the list's key in the platform's key-value service.
    #[must_use]
    pub fn key(self) -> &'static str {
        match self {
            Self::Customers => CUSTOMERS_KEY,
            Self::Plans => PLANS_KEY,
        }
    }
}

impl fmt::Display for List {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The text of a list, with the name that findings use for it.
#[derive(Clone, Copy, Debug)]
pub struct Document<'a> {
    /// Name of the file or stored list.
    pub file: &'a str,
    /// The whole text.
    pub text: &'a str,
}

impl<'a> Document<'a> {
    /// Returns `text` under the name `file`.
    #[must_use]
    pub fn new(file: &'a str, text: &'a str) -> Self {
        Self { file, text }
    }
}
