//! Runs `ferryctl` in tests.

/// Runs `ferryctl` with the words of `line` as arguments; returns the command line, its output and
/// its exit code as one text.
pub(crate) async fn session(line: &str) -> String {
    let args = line.split_whitespace().map(Into::into).collect();
    let output = ctl::run(args).await;
    format!(
        "$ ferryctl {line}\n{}{}exit code {}\n",
        output.stdout, output.stderr, output.exit_code
    )
}
