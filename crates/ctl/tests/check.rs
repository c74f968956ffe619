//! Golden sessions of commands that connect to nothing.

mod common;

use expect_test::expect_file;

#[tokio::test]
async fn check_reports_every_finding_together() {
    let mut text = String::new();
    for line in [
        "check --customers tests/data/customers.ini --plans tests/data/plans.ini \
         --settings tests/data/entry.ini",
        "check --customers tests/data/broken.ini",
        "check --plans tests/data/plans.ini --format json",
        "check --plans ../../examples/nusqa/plans.ini",
    ] {
        text.push_str(&common::session(line).await);
    }
    expect_file!["golden/check.txt"].assert_eq(&text);
}

#[tokio::test]
async fn usage_errors_name_the_expected_arguments() {
    let mut text = String::new();
    for line in [
        "",
        "aply",
        "check",
        "check --customers tests/data/absent.ini",
        "check --plans ../../examples/nusqa/plans.ini --fast",
        "check --format xml",
        "apply --plans ../../examples/nusqa/plans.ini",
        "apply --store 127.0.0.1:1 --plans ../../examples/nusqa/plans.ini",
        "apply --store 127.0.0.1:1 --plans ../../examples/nusqa/plans.ini --expect-revision x",
        "show --store localhost:2379",
        "show groups --store 127.0.0.1:1",
        "show --store 127.0.0.1:1 --out target/list.ini",
        "wait --instances 127.0.0.1:1",
        "get ../secret --instances 127.0.0.1:1 --token-file tests/data/plans.ini",
        "status --format json",
    ] {
        text.push_str(&common::session(line).await);
    }
    expect_file!["golden/usage.txt"].assert_eq(&text);
}

#[tokio::test]
async fn every_command_has_help() {
    let mut text = common::session("--help").await;
    for name in [
        "check", "apply", "show", "diff", "status", "drain", "wait", "submit", "get", "cancel",
    ] {
        text.push_str(&common::session(&format!("{name} --help")).await);
    }
    expect_file!["golden/help.txt"].assert_eq(&text);
}
