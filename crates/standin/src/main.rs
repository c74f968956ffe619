//! Runs in-memory stand-ins for the services of the platform, for tests.

use std::fs;
use std::path;
use std::process;

use tokio::signal;

const USAGE: &str = "\
ferry-standin: in-memory stand-ins for the services of the platform, for tests

usage: ferry-standin --config FILE [--check-settings]

  --config FILE      read settings from this INI file
  --check-settings   validate the settings and exit
  --help             print this help";

fn main() -> process::ExitCode {
    match run(pico_args::Arguments::from_env()) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ferry-standin: {error}");
            process::ExitCode::FAILURE
        }
    }
}

fn run(mut arguments: pico_args::Arguments) -> Result<(), String> {
    if arguments.contains("--help") {
        println!("{USAGE}");
        return Ok(());
    }
    let check_only = arguments.contains("--check-settings");
    let config: path::PathBuf = arguments
        .value_from_str("--config")
        .map_err(|cause| format!("{cause}\n\n{USAGE}"))?;
    let unexpected = arguments.finish();
    if !unexpected.is_empty() {
        return Err(format!("unexpected arguments: {unexpected:?}\n\n{USAGE}"));
    }
    let settings = read_settings(&config)?;
    if check_only {
        println!("settings are valid");
        return Ok(());
    }
    telemetry::init_logs(log::LevelFilter::Info).map_err(|error| error.to_string())?;
    serve(&settings)
}

fn read_settings(config: &path::Path) -> Result<standin::Settings, String> {
    let name = config.display().to_string();
    let text =
        fs::read_to_string(config).map_err(|cause| format!("cannot read {name}: {cause}"))?;
    standin::Settings::parse(&name, &text)
        .map_err(|findings| format!("invalid settings\n{findings}"))
}

#[tokio::main]
async fn serve(settings: &standin::Settings) -> Result<(), String> {
    let control = settings.start().await.map_err(|error| error.to_string())?;
    log::info!(
        "ready; control interface listening on {}",
        control.address()
    );
    wait_for_shutdown_signal()
        .await
        .map_err(|cause| format!("cannot wait for signals: {cause}"))?;
    log::info!("stopping");
    control.shutdown().await;
    Ok(())
}

async fn wait_for_shutdown_signal() -> std::io::Result<()> {
    let mut terminate = signal::unix::signal(signal::unix::SignalKind::terminate())?;
    tokio::select! {
        _ = terminate.recv() => Ok(()),
        interrupted = signal::ctrl_c() => interrupted,
    }
}
