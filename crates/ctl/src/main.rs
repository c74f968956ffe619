//! Command line of operators and callers.

use std::env;
use std::io;
use std::io::Write as _;
use std::process;

#[tokio::main(flavor = "current_thread")]
async fn main() -> process::ExitCode {
    let finished = ctl::run(env::args_os().skip(1).collect()).await;
    // A reader that went away, such as `head`, does not change the outcome.
    let _ = io::stdout().write_all(finished.stdout.as_bytes());
    let _ = io::stderr().write_all(finished.stderr.as_bytes());
    process::ExitCode::from(finished.code)
}
