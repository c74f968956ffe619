//! Runs the command given on the command line and formats its result.

use std::ffi;

use crate::arguments;
use crate::commands;
use crate::error;
use crate::help;
use crate::report;

/// The output and exit code of a command.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CommandOutput {
    /// Exit code: 0 done, 1 refused or failed, 2 findings or wrong usage, 3 conflict with another
    /// writer, 4 outcome unknown.
    pub exit_code: u8,
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
pub async fn run(args: Vec<ffi::OsString>) -> CommandOutput {
    let mut args = arguments::Arguments::new(args);
    let wants_help = args.flag("--help");
    let format = match args.format() {
        Ok(format) => format,
        Err(error) => return failure_output(&error, report::Format::Table),
    };
    let name = match args.subcommand() {
        Ok(name) => name,
        Err(error) => return failure_output(&error, format),
    };
    if wants_help || name.as_deref() == Some("help") {
        return success_output(help::text(name.as_deref()));
    }
    let name = name.unwrap_or_default();
    match dispatch(&name, args, format).await {
        Ok(output) => output,
        Err(error) => failure_output(&error, format),
    }
}

async fn dispatch(
    name: &str,
    args: arguments::Arguments,
    format: report::Format,
) -> Result<CommandOutput, error::Error> {
    match name {
        "check" => format_report(&commands::check::run(args)?, format),
        "apply" => format_report(&commands::apply::run(args).await?, format),
        "show" => format_report(&commands::show::run(args).await?, format),
        "diff" => format_report(&commands::diff::run(args).await?, format),
        "status" => format_report(&commands::status::run(args).await?, format),
        "drain" => format_report(&commands::drain::run(args).await?, format),
        "wait" => format_report(&commands::wait::run(args).await?, format),
        "tenants" => format_report(&commands::tenants::run(args).await?, format),
        "submit" => format_report(&commands::task::submit(args).await?, format),
        "get" => format_report(&commands::task::get(args).await?, format),
        "cancel" => format_report(&commands::task::cancel(args).await?, format),
        "" => Err(error::Error::usage("a command is missing, see --help")),
        _ => Err(error::Error::usage(format!(
            "unknown command '{name}', expected one of: {}; see --help",
            help::COMMAND_NAMES.join(", ")
        ))),
    }
}

fn format_report<R: report::Report>(
    report: &R,
    format: report::Format,
) -> Result<CommandOutput, error::Error> {
    let stdout = match format {
        report::Format::Table => report.table(),
        report::Format::Json => {
            let json = serde_json::to_string_pretty(report);
            let json = json.map_err(|reason| error::Error::refused(reason.to_string()))?;
            format!("{json}\n")
        }
    };
    Ok(CommandOutput {
        exit_code: report.exit_code(),
        stdout,
        stderr: String::new(),
    })
}

fn success_output(stdout: String) -> CommandOutput {
    CommandOutput {
        stdout,
        ..CommandOutput::default()
    }
}

fn failure_output(error: &error::Error, format: report::Format) -> CommandOutput {
    let stderr = match format {
        report::Format::Table if error.findings().is_empty() => format!("ferryctl: {error}\n"),
        report::Format::Table => format!("{error}\n"),
        report::Format::Json => {
            let failure = Failure {
                error: error.kind().as_str(),
                message: error.context(),
                findings: report::convert_findings(error.findings()),
            };
            // Strings and numbers always serialise, so the default is never used.
            let json = serde_json::to_string(&failure).unwrap_or_default();
            format!("{json}\n")
        }
    };
    CommandOutput {
        exit_code: error.kind().exit_code(),
        stdout: String::new(),
        stderr,
    }
}
