//! Command line of operators and callers.

use std::env;
use std::process;

#[tokio::main(flavor = "current_thread")]
async fn main() -> process::ExitCode {
    let finished = ctl::run(env::args_os().skip(1).collect()).await;
    print!("{}", finished.stdout);
    eprint!("{}", finished.stderr);
    process::ExitCode::from(finished.code)
}
