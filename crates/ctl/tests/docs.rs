//! Checks that the documentation and examples match the code.

use std::collections;
use std::fs;
use std::path;

const DEPLOYMENTS: [&str; 3] = ["nusqa", "sulina", "zoomwerk"];

fn read(file: &str) -> String {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    fs::read_to_string(root.join(file)).expect("the file is part of the repository")
}

/// Returns the cells of every table row whose first cell is `` `first` ``.
fn rows<'a>(text: &'a str, first: &str) -> Vec<Vec<&'a str>> {
    let start = format!("| `{first}` |");
    let lines = text.lines().filter(|line| line.starts_with(&start));
    let cells = lines.map(|line| line.trim_matches('|').split('|').map(str::trim));
    cells.map(Iterator::collect).collect()
}

/// Returns every known section and key, which the loader lists in its findings on unknown ones.
fn known_keys() -> collections::BTreeSet<(String, String)> {
    let unknown = settings::Entry::load("x", "[unknown]\n").expect_err("the section is unknown");
    let sections = listed_names(&unknown, "unknown section");
    let text: String = sections
        .iter()
        .map(|name| format!("[{name}]\nx = 1\n"))
        .collect();
    let findings = settings::Entry::load("x", &text).expect_err("the keys are unknown");
    let mut known = collections::BTreeSet::new();
    for finding in findings.iter().filter(|it| it.key.as_deref() == Some("x")) {
        let keys = finding
            .message
            .split_once("one of: ")
            .expect("the keys are named")
            .1;
        for key in keys.split(", ") {
            known.insert((finding.section.clone(), key.to_owned()));
        }
    }
    known
}

fn listed_names(findings: &settings::Findings, start: &str) -> Vec<String> {
    let mut found = findings.iter().filter(|it| it.message.starts_with(start));
    let message = &found.next().expect("there is such a finding").message;
    let names = message.split_once("one of: ").expect("names are listed").1;
    names.split(", ").map(str::to_owned).collect()
}

/// Returns the sections and keys in an INI text.
fn present_keys(text: &str) -> collections::BTreeSet<(String, String)> {
    let mut section = "";
    let mut keys = collections::BTreeSet::new();
    for line in text.lines().filter(|line| !line.starts_with(';')) {
        if let Some(name) = line.strip_prefix('[') {
            section = name.trim_end_matches(']');
        } else if let Some((key, _)) = line.split_once(" = ") {
            keys.insert((section.to_owned(), key.to_owned()));
        }
    }
    keys
}

#[test]
fn every_reason_is_documented_once() {
    let text = read("docs/API.md");
    let not_run = model::NotRunReason::ALL.iter();
    let not_run = not_run.map(|reason| (reason.as_str(), "refused", not_run_status(*reason)));
    let unknown = model::UnknownReason::ALL.iter();
    let unknown = unknown.map(|reason| (reason.as_str(), "unknown", "504"));
    for (reason, family, status) in not_run.chain(unknown) {
        let found = rows(&text, reason);
        assert_eq!(found.len(), 1, "{reason}");
        assert_eq!(found[0][1], status, "{reason}");
        assert_eq!(found[0][2], format!("`{family}.{reason}`"), "{reason}");
        assert!(!found[0][3].is_empty(), "{reason}");
    }
}

fn not_run_status(reason: model::NotRunReason) -> &'static str {
    use model::NotRunReason as Reason;
    match reason {
        Reason::Cancelled => "410",
        Reason::NeverFits | Reason::ExceedsPlanLimit | Reason::ClassNotAllowed => "422",
        Reason::RateLimited
        | Reason::QueueFull
        | Reason::CannotStartInTime
        | Reason::InstanceOverloaded => "429",
        _ => "503",
    }
}

#[test]
fn every_setting_is_documented_and_in_the_examples() {
    let known = known_keys();
    let text = read("docs/OPERATING.md");
    for (section, key) in &known {
        let row = format!("| `[{section}]` | `{key}` |");
        assert_eq!(text.matches(&row).count(), 1, "{row}");
    }
    assert_eq!(text.matches("\n| `[").count(), known.len());
    for deployment in DEPLOYMENTS {
        let entry = read(&format!("examples/{deployment}/entry.ini"));
        assert_eq!(present_keys(&entry), known, "{deployment}");
    }
}

#[test]
fn omitted_defaults_equal_the_documented_ones() {
    for deployment in DEPLOYMENTS {
        let text = read(&format!("examples/{deployment}/entry.ini"));
        let shown = settings::Entry::load("entry.ini", &text).unwrap();
        let mut without_defaults = String::new();
        let mut default_follows = false;
        for line in text.lines() {
            if !(default_follows && line.contains(" = ")) {
                without_defaults.push_str(&format!("{line}\n"));
            }
            default_follows = line.contains("(default ");
        }
        assert_eq!(
            settings::Entry::load("entry.ini", &without_defaults).unwrap(),
            shown
        );
    }
}

#[test]
fn example_lists_have_no_findings_and_accept_their_tokens() {
    for deployment in DEPLOYMENTS {
        let lists = lists::Lists::parse(
            &read(&format!("examples/{deployment}/customers.ini")),
            &read(&format!("examples/{deployment}/plans.ini")),
        )
        .unwrap();
        let entry = read(&format!("examples/{deployment}/entry.ini"));
        let entry = settings::Entry::load("entry.ini", &entry).unwrap();
        for customer in lists.customers().values() {
            let token = format!("{}-token", customer.customer_id);
            assert_eq!(lists.authenticate(&token), Some(customer));
            let region = customer.region.to_string();
            assert!(entry.cluster.regions.contains(&region), "{region}");
        }
    }
}

#[test]
fn every_error_in_the_bad_lists_is_found_with_its_place() {
    let findings = lists::Lists::parse_documents(
        lists::Document::new(
            "bad-customers.ini",
            &read("examples/zoomwerk/bad-customers.ini"),
        ),
        lists::Document::new("bad-plans.ini", &read("examples/zoomwerk/bad-plans.ini")),
    )
    .unwrap_err();
    expect_test::expect![[r#"
        bad-customers.ini:6: [winkel-haarlem] plan: 'counter' given, expected a listed plan: counters, ateliers
        bad-customers.ini:14: [winkel-leiden] token_sha256: not a digest, expected the sha-256 of the token in 64 hexadecimal digits
        bad-customers.ini:17: [winkel-zwolle] region: the key is missing, expected a text
        bad-customers.ini:25: [atelier-zuid] token_sha256: the same as that of [winkel-zwolle], expected one of its own
        bad-customers.ini:26: [atelier-zuid] shop: unknown key, expected one of: plan, region, token_sha256
        bad-plans.ini:6: [counters] weight: '0' given, expected a whole number from 1 to 10000
        bad-plans.ini:13: [ateliers] processors_milli: '1200 cores' given, expected a whole number from 1 to 4294967295
        bad-plans.ini:15: [ateliers] classes: 'gangs' given, expected service, batch or gang"#]]
    .assert_eq(&findings.to_string());
}

/// One line of a samples file.
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct Sample {
    customer: String,
    request: Request,
}

#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct Request {
    kind: String,
    class: model::Class,
    processors_milli: u32,
    memory_mb: u32,
    accelerators: u32,
    members: u16,
    #[serde(rename = "urgency")]
    _urgency: model::Urgency,
    deadline_ms: u64,
    repeatable: bool,
    key: Option<String>,
    #[serde(default, rename = "declared_run_ms")]
    _declared_run_ms: Option<u64>,
    wait: bool,
    body: Body,
}

#[derive(serde::Deserialize)]
struct Body {
    run_ms: u64,
    output_bytes: u64,
}

#[test]
fn samples_are_allowed_by_their_plans() {
    for deployment in DEPLOYMENTS {
        let lists = lists::Lists::parse(
            &read(&format!("examples/{deployment}/customers.ini")),
            &read(&format!("examples/{deployment}/plans.ini")),
        )
        .unwrap();
        let text = read(&format!("examples/{deployment}/samples.jsonl"));
        assert_eq!(text.lines().count(), 30);
        for line in text.lines() {
            let sample: Sample = serde_json::from_str(line).unwrap();
            let customer = &lists.customers()[sample.customer.as_str()];
            let plan = lists.plan_of(customer).unwrap();
            check_sample(&sample.request, plan);
        }
    }
}

fn check_sample(request: &Request, plan: &lists::Plan) {
    let kind = &request.kind;
    assert!(plan.allows(request.class), "{kind}");
    assert!(request.repeatable || request.key.is_some(), "{kind}");
    assert_eq!(request.members > 1, request.class == model::Class::Gang);
    assert_eq!(request.wait, request.class != model::Class::Service);
    assert!((1..=600_000).contains(&request.deadline_ms), "{kind}");
    assert!(request.body.run_ms > 0 && request.body.output_bytes > 0);
    let members = u32::from(request.members);
    let within = |limit: Option<u32>, amount| limit.is_none_or(|limit| amount <= limit);
    let limits = &plan.limits;
    assert!(within(
        limits.processors_milli,
        request.processors_milli * members
    ));
    assert!(within(limits.memory_mb, request.memory_mb * members));
    assert!(within(limits.accelerators, request.accelerators * members));
}

/// Guards against a table of silent connections that no longer says what the constants do.
#[test]
fn times_of_silent_connections_are_those_of_the_sources() {
    let design = read("docs/DESIGN.md");
    let section = design.split("## Silent connections").nth(1);
    let section = section.and_then(|text| text.split("\n## ").next());
    let rows = section.expect("the section").lines();
    let rows = rows.filter(|line| line.contains(".rs`"));
    let mut count = 0;
    for row in rows {
        let cells: Vec<_> = row.trim_matches('|').split('|').map(str::trim).collect();
        let [_, _, constants, longest_ms] = cells[..] else {
            panic!("four columns expected: {row}");
        };
        let times_ms = constants.split(", ").map(|constant| {
            let words: Vec<_> = constant.split(' ').collect();
            let [file, name, ms] = words[..] else {
                panic!("a file, a name and a time expected: {constant}");
            };
            let source = read(file.trim_matches('`')).replace('_', "");
            let name = name.replace('_', "");
            let is_constant = source.contains(&format!(
                "const {name}: time::Duration = time::Duration::frommillis({ms});"
            ));
            let is_default = source.contains(&format!("{name}: ms({ms}),"))
                || source.contains(&format!("{name}: time::Duration::frommillis({ms}),"));
            assert!(is_constant || is_default, "{constant} is not in the source");
            ms.parse::<u64>().expect("a number")
        });
        assert_eq!(times_ms.sum::<u64>().to_string(), longest_ms, "{row}");
        count += 1;
    }
    assert!(count >= 10, "rows are missing");
}
