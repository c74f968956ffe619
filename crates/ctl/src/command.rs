//! Runs the command given on the command line and formats its result.

use std::ffi;

use crate::arguments;
use crate::commands;
use crate::error;
use crate::help;
use crate::report;

/// The output and exit code of a command.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Finished {
    /// Exit code: 0 done, 1 refused or failed, 2 findings or wrong usage, 3 conflict with another
    /// writer, 4 outcome unknown.
    pub code: u8,
    /// Text for standard output.
    pub stdout: String,
    /// Text for standard error.
    pub stderr: String,
}

/// JSON output of a failed command.
#[derive(Debug, serde::Serialize)]
struct Failure<'a> {
    error: &'a str,
    message: &'a str,
    findings: Vec<report::Fault>,
}

/// Runs `ferryctl` with `args`, which do not include the program's name.
pub async fn run(args: Vec<ffi::OsString>) -> Finished {
    let mut args = arguments::Arguments::new(args);
    let wants_help = args.flag("--help");
    let format = match args.format() {
        Ok(format) => format,
        Err(error) => return failed(&error, report::Format::Table),
    };
    let name = match args.subcommand() {
        Ok(name) => name,
        Err(error) => return failed(&error, format),
    };
    if wants_help || name.as_deref() == Some("help") {
        return printed(help::text(name.as_deref()));
    }
    let name = name.unwrap_or_default();
    match dispatch(&name, args, format).await {
        Ok(finished) => finished,
        Err(error) => failed(&error, format),
    }
}

async fn dispatch(
    name: &str,
    args: arguments::Arguments,
    format: report::Format,
) -> Result<Finished, error::Error> {
    match name {
        "check" => finish(&commands::check::run(args)?, format),
        "apply" => finish(&commands::apply::run(args).await?, format),
        "show" => finish(&commands::show::run(args).await?, format),
        "diff" => finish(&commands::diff::run(args).await?, format),
        "status" => finish(&commands::status::run(args).await?, format),
        "drain" => finish(&commands::drain::run(args).await?, format),
        "wait" => finish(&commands::wait::run(args).await?, format),
        "submit" => finish(&commands::task::submit(args).await?, format),
        "get" => finish(&commands::task::get(args).await?, format),
        "cancel" => finish(&commands::task::cancel(args).await?, format),
        "" => Err(error::Error::usage("a command is missing, see --help")),
        _ => Err(error::Error::usage(format!(
            "unknown command '{name}', expected one of: {}; see --help",
            help::NAMES.join(", ")
        ))),
    }
}

fn finish<R: report::Report>(report: &R, format: report::Format) -> Result<Finished, error::Error> {
    let stdout = match format {
        report::Format::Table => report.table(),
        report::Format::Json => {
            let json = serde_json::to_string_pretty(report);
            let json = json.map_err(|reason| error::Error::refused(reason.to_string()))?;
            format!("{json}\n")
        }
    };
    Ok(Finished {
        code: report.exit_code(),
        stdout,
        stderr: String::new(),
    })
}

fn printed(stdout: String) -> Finished {
    Finished {
        stdout,
        ..Finished::default()
    }
}

fn failed(error: &error::Error, format: report::Format) -> Finished {
    let stderr = match format {
        report::Format::Table if error.findings().is_empty() => format!("ferryctl: {error}\n"),
        report::Format::Table => format!("{error}\n"),
        report::Format::Json => {
            let failure = Failure {
                error: error.kind().as_str(),
                message: error.context(),
                findings: report::faults(error.findings()),
            };
            // Strings and numbers always serialise, so the default is never used.
            let json = serde_json::to_string(&failure).unwrap_or_default();
            format!("{json}\n")
        }
    };
    Finished {
        code: error.kind().exit_code(),
        stdout: String::new(),
        stderr,
    }
}
