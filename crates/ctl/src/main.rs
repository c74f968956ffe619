//! Command line for operators and callers.

use std::env;
use std::io;
use std::io::Write as _;
use std::process;

#[tokio::main(flavor = "current_thread")]
async fn main() -> process::ExitCode {
    let output = ctl::run(env::args_os().skip(1).collect()).await;
    // A closed pipe, such as one to `head`, does not change the exit code.
    let _ = io::stdout().write_all(output.stdout.as_bytes());
    let _ = io::stderr().write_all(output.stderr.as_bytes());
    process::ExitCode::from(output.exit_code)
}
