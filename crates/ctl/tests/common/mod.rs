//! Helpers for sessions of `ferryctl`.

/// Runs `ferryctl` with the words of `line` and returns what it printed, as one text.
pub(crate) async fn session(line: &str) -> String {
    let args = line.split_whitespace().map(Into::into).collect();
    let finished = ctl::run(args).await;
    format!(
        "$ ferryctl {line}\n{}{}exit code {}\n",
        finished.stdout, finished.stderr, finished.code
    )
}
