//! Command line of `ferry-load`.

use std::ffi;
use std::fs;
use std::net;

use indexmap::IndexMap;

use crate::compare;
use crate::error;
use crate::experiment;
use crate::replay;
use crate::report;
use crate::runner;

/// Exit code if every answer was valid.
const EXIT_SUCCESS: u8 = 0;
/// Exit code if an answer was wrong or missing.
const EXIT_INVALID_ANSWERS: u8 = 1;
/// Exit code if the arguments or files are invalid.
const EXIT_USAGE: u8 = 2;
/// Default limit of samples in flight.
const DEFAULT_MAX_IN_FLIGHT: usize = 64;
/// Highest limit of samples in flight that `--at-once` accepts.
const MAX_IN_FLIGHT_LIMIT: usize = 10_000;

const HELP: &str = "\
Sends tasks to instances on this machine and checks every answer

Usage: ferry-load run --experiment FILE [--instances A:P,..] [--csv FILE] [--report FILE]
       ferry-load run --experiment FILE --check-settings
       ferry-load compare FIRST.csv SECOND.csv
       ferry-load replay --samples FILE --instances A:P,.. [--tokens-file FILE] [--at-once N]

  --experiment FILE   experiment in INI format, see crates/load/experiments/
  --instances LIST    loopback addresses of instances; overrides those of the experiment
  --csv FILE          write the results to this file as CSV
  --report FILE       write the text report to this file too
  --samples FILE      one JSON object per line: {\"customer\": .., \"request\": {..}}
  --tokens-file FILE  one CUSTOMER=TOKEN per line (default: tokens are CUSTOMER-token)
  --at-once N         maximum number of samples in flight (default: 64)

Exit codes: 0 every answer was valid, 1 an answer was wrong or missing, 2 wrong usage
";

/// The output and exit code of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandOutput {
    /// Text for standard output.
    pub stdout: String,
    /// Text for standard error.
    pub stderr: String,
    /// Exit code of the process.
    pub exit_code: u8,
}

/// Runs `ferry-load` with `args`, which do not include the program's name.
pub async fn run_command(args: Vec<ffi::OsString>) -> CommandOutput {
    match dispatch(pico_args::Arguments::from_vec(args)).await {
        Ok(output) => output,
        Err(cause) => CommandOutput {
            stdout: String::new(),
            stderr: format!("ferry-load: {cause}\n"),
            exit_code: EXIT_USAGE,
        },
    }
}

async fn dispatch(mut args: pico_args::Arguments) -> Result<CommandOutput, error::Error> {
    if args.contains(["-h", "--help"]) {
        return Ok(command_output(HELP.to_owned(), true));
    }
    let command = args.subcommand().map_err(usage_error)?;
    match command.as_deref() {
        Some("run") => run(args).await,
        Some("compare") => compare_files(args),
        Some("replay") => replay_file(args).await,
        Some(other) => Err(error::Error::usage(format!(
            "'{other}' given, expected run, compare or replay; see --help"
        ))),
        None => Err(error::Error::usage("expected a command; see --help")),
    }
}

async fn run(mut args: pico_args::Arguments) -> Result<CommandOutput, error::Error> {
    let path: String = args.value_from_str("--experiment").map_err(usage_error)?;
    let instances: Option<String> = args
        .opt_value_from_str("--instances")
        .map_err(usage_error)?;
    let csv_path: Option<String> = args.opt_value_from_str("--csv").map_err(usage_error)?;
    let report_path: Option<String> = args.opt_value_from_str("--report").map_err(usage_error)?;
    let check_only = args.contains("--check-settings");
    finish(args)?;
    let parsed = experiment::Experiment::parse(&path, &read(&path)?);
    let mut experiment = parsed.map_err(|findings| error::Error::file(findings.to_string()))?;
    if let Some(instances) = instances {
        experiment.instances = parse_instances(&instances)?;
    }
    if check_only {
        return Ok(command_output(format!("{path}: no findings\n"), true));
    }
    let results = runner::run(&experiment, rand::random()).await;
    let text = report::text(&results);
    if let Some(path) = csv_path {
        write(&path, &report::csv(&results))?;
    }
    if let Some(path) = report_path {
        write(&path, &text)?;
    }
    Ok(command_output(text, results.all_valid()))
}

fn compare_files(mut args: pico_args::Arguments) -> Result<CommandOutput, error::Error> {
    let left: String = args.free_from_str().map_err(usage_error)?;
    let right: String = args.free_from_str().map_err(usage_error)?;
    finish(args)?;
    let text = compare::compare(&read(&left)?, &read(&right)?)?;
    Ok(command_output(text, true))
}

async fn replay_file(mut args: pico_args::Arguments) -> Result<CommandOutput, error::Error> {
    let path: String = args.value_from_str("--samples").map_err(usage_error)?;
    let instances: String = args.value_from_str("--instances").map_err(usage_error)?;
    let tokens_path: Option<String> = args
        .opt_value_from_str("--tokens-file")
        .map_err(usage_error)?;
    let max_in_flight: Option<usize> = args.opt_value_from_str("--at-once").map_err(usage_error)?;
    finish(args)?;
    let max_in_flight = max_in_flight.unwrap_or(DEFAULT_MAX_IN_FLIGHT);
    if !(1..=MAX_IN_FLIGHT_LIMIT).contains(&max_in_flight) {
        let context =
            format!("--at-once {max_in_flight} given, expected 1 to {MAX_IN_FLIGHT_LIMIT}");
        return Err(error::Error::usage(context));
    }
    let instances = parse_instances(&instances)?;
    let tokens = match tokens_path {
        Some(path) => parse_tokens(&path, &read(&path)?)?,
        None => IndexMap::new(),
    };
    let samples = replay::parse_samples(&path, &read(&path)?)?;
    let report = replay::replay(samples, &instances, &tokens, max_in_flight).await;
    Ok(command_output(report.text, report.all_valid))
}

fn parse_instances(text: &str) -> Result<Vec<net::SocketAddr>, error::Error> {
    let addresses = text.split(',').map(|address| {
        let address = address.trim();
        let parsed = address.parse::<net::SocketAddr>().ok();
        parsed
            .filter(|parsed| parsed.ip().is_loopback())
            .ok_or_else(|| {
                let expected = "expected a loopback address such as 127.0.0.1:8080";
                error::Error::usage(format!("--instances: '{address}' given, {expected}"))
            })
    });
    addresses.collect()
}

fn parse_tokens(path: &str, text: &str) -> Result<IndexMap<String, String>, error::Error> {
    let lines = text.lines().enumerate();
    let lines = lines.filter(|(_, line)| !line.trim().is_empty());
    let pairs = lines.map(|(index, line)| {
        let pair = line.split_once('=');
        let pair = pair.map(|(customer, token)| (customer.trim(), token.trim()));
        let (customer, token) = pair.ok_or_else(|| {
            error::Error::file(format!("{path}:{}: expected CUSTOMER=TOKEN", index + 1))
        })?;
        Ok((customer.to_owned(), token.to_owned()))
    });
    pairs.collect()
}

fn finish(args: pico_args::Arguments) -> Result<(), error::Error> {
    let rest = args.finish();
    if rest.is_empty() {
        return Ok(());
    }
    let context = format!("unexpected arguments: {rest:?}; see --help");
    Err(error::Error::usage(context))
}

fn read(path: &str) -> Result<String, error::Error> {
    fs::read_to_string(path).map_err(|cause| error::Error::file(format!("{path}: {cause}")))
}

fn write(path: &str, text: &str) -> Result<(), error::Error> {
    fs::write(path, text).map_err(|cause| error::Error::file(format!("{path}: {cause}")))
}

fn usage_error(cause: pico_args::Error) -> error::Error {
    error::Error::usage(format!("{cause}; see --help"))
}

fn command_output(stdout: String, all_valid: bool) -> CommandOutput {
    CommandOutput {
        stdout,
        stderr: String::new(),
        exit_code: if all_valid {
            EXIT_SUCCESS
        } else {
            EXIT_INVALID_ANSWERS
        },
    }
}
