//! Command-line parsing.

use std::ffi;
use std::fs;
use std::net;
use std::path;
use std::str;
use std::time;

use crate::error;
use crate::report;

/// The command-line arguments that are still to be parsed.
pub(crate) struct Arguments {
    inner: pico_args::Arguments,
}

impl Arguments {
    pub(crate) fn new(args: Vec<ffi::OsString>) -> Self {
        Self {
            inner: pico_args::Arguments::from_vec(args),
        }
    }

    pub(crate) fn subcommand(&mut self) -> Result<Option<String>, error::Error> {
        self.inner.subcommand().map_err(usage_error)
    }

    pub(crate) fn flag(&mut self, name: &'static str) -> bool {
        self.inner.contains(name)
    }

    pub(crate) fn optional<T>(&mut self, name: &'static str) -> Result<Option<T>, error::Error>
    where
        T: str::FromStr,
        T::Err: std::fmt::Display,
    {
        let text: Option<String> = self.inner.opt_value_from_str(name).map_err(usage_error)?;
        let Some(text) = text else {
            return Ok(None);
        };
        let value = text
            .parse()
            .map_err(|reason| error::Error::usage(format!("{name}: '{text}' given: {reason}")))?;
        Ok(Some(value))
    }

    pub(crate) fn required<T>(
        &mut self,
        name: &'static str,
        expected: &str,
    ) -> Result<T, error::Error>
    where
        T: str::FromStr,
        T::Err: std::fmt::Display,
    {
        let value = self.optional(name)?;
        value.ok_or_else(|| error::Error::usage(format!("{name} is missing, expected {expected}")))
    }

    pub(crate) fn format(&mut self) -> Result<report::Format, error::Error> {
        Ok(self.optional("--format")?.unwrap_or_default())
    }

    pub(crate) fn path(
        &mut self,
        name: &'static str,
    ) -> Result<Option<path::PathBuf>, error::Error> {
        self.optional(name)
    }

    pub(crate) fn duration_ms(
        &mut self,
        name: &'static str,
        default: time::Duration,
    ) -> Result<time::Duration, error::Error> {
        let given: Option<u64> = self.optional(name)?;
        Ok(given.map_or(default, time::Duration::from_millis))
    }

    /// Parses one or more addresses separated by commas.
    pub(crate) fn addresses(
        &mut self,
        name: &'static str,
    ) -> Result<Vec<net::SocketAddr>, error::Error> {
        let expected = "addresses separated by commas, such as 10.1.0.4:7000";
        let text: String = self.required(name, expected)?;
        let items = text.split(',').map(str::trim);
        let addresses = items.map(|item| {
            item.parse().map_err(|_| {
                error::Error::usage(format!("{name}: '{item}' given, expected {expected}"))
            })
        });
        addresses.collect()
    }

    /// Reads a secret from the file that the option names, without surrounding white space.
    pub(crate) fn secret(&mut self, name: &'static str) -> Result<String, error::Error> {
        let path: path::PathBuf = self.required(name, "a file that contains only the secret")?;
        let text = read_file(&path)?;
        let secret = text.trim();
        if secret.is_empty() {
            let message = format!("{}: the file is empty, expected a secret", path.display());
            return Err(error::Error::usage(message));
        }
        Ok(secret.to_owned())
    }

    /// Parses a required positional argument.
    pub(crate) fn positional(&mut self, expected: &str) -> Result<String, error::Error> {
        let given = self.inner.opt_free_from_str().map_err(usage_error)?;
        given.ok_or_else(|| error::Error::usage(format!("missing argument: {expected}")))
    }

    /// Parses an optional positional argument.
    pub(crate) fn optional_positional(&mut self) -> Result<Option<String>, error::Error> {
        self.inner.opt_free_from_str().map_err(usage_error)
    }

    /// Fails if any argument is left unparsed.
    pub(crate) fn finish(self) -> Result<(), error::Error> {
        let unparsed = self.inner.finish();
        if unparsed.is_empty() {
            return Ok(());
        }
        let names: Vec<_> = unparsed.iter().map(|arg| arg.to_string_lossy()).collect();
        let message = format!("unknown arguments: {}, see --help", names.join(" "));
        Err(error::Error::usage(message))
    }
}

/// Reads a UTF-8 text file.
pub(crate) fn read_file(path: &path::Path) -> Result<String, error::Error> {
    fs::read_to_string(path).map_err(|reason| {
        error::Error::usage(format!("{}: cannot be read: {reason}", path.display()))
    })
}

fn usage_error(reason: pico_args::Error) -> error::Error {
    error::Error::usage(reason.to_string())
}
