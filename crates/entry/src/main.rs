//! `ferry-entry`: one instance of the scheduler.

use std::fs;
use std::path;
use std::process;

const HELP: &str = "\
ferry-entry - one instance of the scheduler

Usage: ferry-entry --settings FILE [--check-settings]

Options:
  --settings FILE    settings in INI
  --check-settings   check the settings, print every finding, and exit
  --version          print the version
  --help             print this text

Exit codes: 0 stopped as planned, 1 failed, 2 findings in the settings or wrong usage

SIGTERM and SIGINT stop the instance as planned: it hands over its partitions
and workers to other instances and answers every request in flight.
";
const IO_THREADS: usize = 2;
const EXIT_FAILED: u8 = 1;
const EXIT_FINDINGS: u8 = 2;

/// Command line.
struct Options {
    settings: path::PathBuf,
    check_only: bool,
}

fn main() -> process::ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains("--help") {
        print!("{HELP}");
        return process::ExitCode::SUCCESS;
    }
    if arguments.contains("--version") {
        println!("ferry-entry {}", env!("CARGO_PKG_VERSION"));
        return process::ExitCode::SUCCESS;
    }
    match parse_options(arguments) {
        Ok(options) => run(&options),
        Err(message) => {
            eprintln!("ferry-entry: {message}; see --help");
            process::ExitCode::from(EXIT_FINDINGS)
        }
    }
}

fn parse_options(mut arguments: pico_args::Arguments) -> Result<Options, String> {
    let check_only = arguments.contains("--check-settings");
    let settings = arguments
        .value_from_str("--settings")
        .map_err(|error| error.to_string())?;
    let rest = arguments.finish();
    if rest.is_empty() {
        Ok(Options {
            settings,
            check_only,
        })
    } else {
        Err(format!("unexpected arguments: {rest:?}"))
    }
}

fn run(options: &Options) -> process::ExitCode {
    let file = options.settings.display().to_string();
    let text = match fs::read_to_string(&options.settings) {
        Ok(text) => text,
        Err(error) => return failure(&format!("failed to read settings {file}: {error}")),
    };
    let settings = match settings::Entry::load(file, &text) {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{findings}");
            return process::ExitCode::from(EXIT_FINDINGS);
        }
    };
    if options.check_only {
        println!("settings are valid");
        return process::ExitCode::SUCCESS;
    }
    match serve(settings) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(message) => failure(&message),
    }
}

fn failure(message: &str) -> process::ExitCode {
    eprintln!("ferry-entry: {message}");
    process::ExitCode::from(EXIT_FAILED)
}

fn serve(settings: settings::Entry) -> Result<(), String> {
    telemetry::init_logs(settings.logs.level).map_err(|error| error.to_string())?;
    let secret_file = &settings.cluster.secret_file;
    let secret = fs::read_to_string(secret_file)
        .map_err(|error| format!("failed to read secret {}: {error}", secret_file.display()))?;
    let metrics = match settings.metrics.address {
        Some(address) => telemetry::Metrics::to_udp(address, &settings.metrics.prefix)
            .map_err(|error| error.to_string())?,
        None => telemetry::Metrics::without_exporter(),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(IO_THREADS)
        .enable_all()
        .build()
        .map_err(|error| error.to_string())?;
    runtime.block_on(async {
        let platform = entry::NetworkPlatform::new(&settings);
        let secret = secret.trim().to_owned();
        let instance = entry::Instance::start(settings, secret, platform, metrics)
            .await
            .map_err(|error| error.to_string())?;
        wait_for_stop_signal()
            .await
            .map_err(|error| error.to_string())?;
        log::info!("stop signal received");
        instance.drain().await;
        log::info!("stopped");
        Ok(())
    })
}

async fn wait_for_stop_signal() -> std::io::Result<()> {
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    tokio::select! {
        _ = terminate.recv() => {}
        result = tokio::signal::ctrl_c() => result?,
    }
    Ok(())
}
