//! Open-loop load generator and sample replay against instances on this machine.

use std::env;
use std::process;

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() -> process::ExitCode {
    let output = load::run_command(env::args_os().skip(1).collect()).await;
    print!("{}", output.stdout);
    eprint!("{}", output.stderr);
    process::ExitCode::from(output.exit_code)
}
