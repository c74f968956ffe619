//! Experiments and replays against servers with valid and invalid answers.

mod common;

use common::AnswerMode;

const EXPERIMENT: &str = "
[experiment]
duration_s = 1
rate_per_s = 200
seed = 5
instances = 127.0.0.1:1

[kind badge]
customer = customer
token = customer-token
urgency = urgent
output_bytes = 200
repeatable = false
";

fn experiment(address: std::net::SocketAddr) -> load::Experiment {
    let mut experiment = load::Experiment::parse("test.ini", EXPERIMENT).expect("no findings");
    experiment.instances = vec![address];
    experiment
}

async fn run_total(mode: AnswerMode) -> load::KindStats {
    let (address, _serving) = common::start(mode).await;
    load::run(&experiment(address), 1).await.total()
}

#[tokio::test]
async fn expected_answers_are_done() {
    for mode in [AnswerMode::Expected, AnswerMode::Polled] {
        let total = run_total(mode).await;
        assert!(total.sent > 100, "{}", total.sent);
        assert_eq!(total.done, total.sent);
        assert_eq!(total.urgent_within, total.sent);
        assert_eq!(total.waited_ms.max(), 4);
        assert_eq!(total.latency_us.len(), total.sent);
    }
}

#[tokio::test]
async fn a_service_is_accepted_without_waiting() {
    let (address, _serving) = common::start(AnswerMode::Polled).await;
    let mut experiment = experiment(address);
    experiment.kinds[0].class = model::Class::Service;
    let total = load::run(&experiment, 1).await.total();
    assert!(total.sent > 0);
    assert_eq!(total.accepted, total.sent);
}

#[tokio::test]
async fn unexpected_outputs_are_wrong() {
    for mode in [AnswerMode::OtherBody, AnswerMode::MissingKind] {
        let total = run_total(mode).await;
        assert!(total.sent > 0);
        assert_eq!(total.wrong, total.sent);
    }
}

#[tokio::test]
async fn not_run_is_counted_by_reason_and_no_answer_is_missing() {
    let total = run_total(AnswerMode::NotRun).await;
    assert_eq!(total.not_run[&model::NotRunReason::Draining], total.sent);
    let total = run_total(AnswerMode::NoAnswer).await;
    assert_eq!(total.missing, total.sent);
}

#[test]
fn arrivals_are_reproducible_and_follow_the_shape() {
    let text = EXPERIMENT
        .replace(
            "duration_s = 1",
            "duration_s = 30\nshape = crest\nswing_factor = 4",
        )
        .replace(
            "output_bytes",
            "straggler_share = 0.1\nstraggler_factor = 50\noutput_bytes",
        );
    let experiment = load::Experiment::parse("test.ini", &text).expect("no findings");
    let arrivals: Vec<_> = load::Arrivals::new(&experiment).collect();
    assert_eq!(
        arrivals,
        load::Arrivals::new(&experiment).collect::<Vec<_>>()
    );
    let crest = arrivals
        .iter()
        .filter(|arrival| (12..17).contains(&arrival.at.as_secs()));
    let stragglers = arrivals.iter().filter(|arrival| arrival.run_ms == 1_000);
    expect_test::expect!["8678 arrivals, 3576 within 5 s of crest, 897 stragglers"].assert_eq(
        &format!(
            "{} arrivals, {} within 5 s of crest, {} stragglers",
            arrivals.len(),
            crest.count(),
            stragglers.count()
        ),
    );
}

#[test]
fn findings_are_reported_together() {
    let text = "
[experiment]
duration_s = 0
shape = round
instances = 127.0.0.1:1, 10.0.0.1:2
swing = 3

[kind badge]
customer = customer
straggler_share = 2
";
    let findings = load::Experiment::parse("test.ini", text).expect_err("findings");
    expect_test::expect![[r#"
        test.ini:3: [experiment] duration_s: '0' given, expected a whole number from 1 to 3600
        test.ini:4: [experiment] shape: 'round' given, expected one of: steady, swing, crest
        test.ini:5: [experiment] instances: '10.0.0.1:2' given, expected a loopback address
        test.ini:6: [experiment] swing: unknown key, expected one of: shape, duration_s, rate_per_s, swing_factor, swing_s, seed, instances, connections, timeout_ms
        test.ini:8: [kind badge] token: the key is missing, expected a text
        test.ini:10: [kind badge] straggler_share: '2' given, expected a number from 0 to 1"#]].assert_eq(&findings.to_string());
}

#[tokio::test]
async fn a_replay_prints_each_outcome_and_a_summary() {
    let samples = r#"
{"customer":"customer","request":{"kind":"badge","class":"batch","processors_milli":1000,"memory_mb":64,"deadline_ms":1000,"repeatable":true,"body":{"stand": "A 4"}}}
{"customer":"customer","request":{"kind":"booklet","class":"batch","processors_milli":1000,"memory_mb":64,"deadline_ms":1000,"repeatable":true,"body":[1, 2]}}
"#;
    let (address, _serving) = common::start(AnswerMode::Expected).await;
    let samples = load::parse_samples("samples.jsonl", samples).expect("samples");
    let tokens = indexmap::IndexMap::new();
    let report = load::replay(samples.clone(), &[address], &tokens, 2).await;
    assert!(report.all_valid);
    let text = report
        .text
        .lines()
        .map(|line| line.split(" total_ms=").next());
    let text: Vec<_> = text.flatten().collect();
    expect_test::expect![[r#"
           1 customer           badge              done waited_ms=4 run_ms=5
           2 customer           booklet            done waited_ms=4 run_ms=5

             2 done
        waited: median 4 ms, longest 4 ms"#]]
    .assert_eq(&text.join("\n"));

    let (address, _serving) = common::start(AnswerMode::OtherBody).await;
    let report = load::replay(samples, &[address], &tokens, 2).await;
    assert!(!report.all_valid);
}

#[tokio::test]
async fn wrong_usage_exits_with_2() {
    let cases: [&[&str]; 5] = [
        &[],
        &["fly"],
        &["run"],
        &["replay", "--samples", "x", "--instances", "10.0.0.1:80"],
        &["compare", "only-one.csv"],
    ];
    let mut text = String::new();
    for case in cases {
        let output = load::run_command(case.iter().map(Into::into).collect()).await;
        assert_eq!(output.exit_code, 2);
        text += &output.stderr;
    }
    expect_test::expect![[r#"
        ferry-load: expected a command; see --help
        ferry-load: 'fly' given, expected run, compare or replay; see --help
        ferry-load: the '--experiment' option must be set; see --help
        ferry-load: --instances: '10.0.0.1:80' given, expected a loopback address such as 127.0.0.1:8080
        ferry-load: free-standing argument is missing; see --help
    "#]].assert_eq(&text);
}

#[test]
fn results_are_compared_side_by_side() {
    let first = "kind,sent,done\nbadge,10,10\n";
    let second = "kind,sent,done\nbadge,10,5\npack,1,1\n";
    let text = load::compare(first, second).expect("two results");
    expect_test::expect![[r#"
        kind   value  first  second  change
        badge   done     10       5  -50.0%
        pack    sent              1
        pack    done              1
    "#]]
    .assert_eq(&text);
    assert!(load::compare(first, "no result").is_err());
}

#[test]
fn the_committed_experiments_have_no_findings() {
    for name in ["nusqa", "sulina", "zoomwerk"] {
        let path = format!("{}/experiments/{name}.ini", env!("CARGO_MANIFEST_DIR"));
        let text = std::fs::read_to_string(path).expect("a file");
        let parsed = load::Experiment::parse(name, &text);
        let experiment = parsed.unwrap_or_else(|findings| panic!("{findings}"));
        assert!(load::Arrivals::new(&experiment).count() > 10_000);
    }
}
