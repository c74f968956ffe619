//! Parsing and comparing lists, and authenticating customers.

use expect_test::expect;

const PLANS: &str = "\
[house]
weight = 4
processors_milli = 512000
memory_mb = 2097152
accelerators = 0
tasks_at_once = 200
tasks_per_second_milli = 0
classes = batch, gang
[guest]
classes = batch
";

/// Returns a customers list with one section for each name, all on the plan `house`.
fn customers(names: &[&str]) -> String {
    let sections = names.iter().map(|name| {
        let digest = lists::digest_token(&format!("{name}-token"));
        let hex: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
        format!("[{name}]\nplan = house\nregion = almaty\ntoken_sha256 = {hex}\n")
    });
    sections.collect()
}

#[test]
fn limits_are_read_and_absent_ones_are_unlimited() {
    let lists = lists::Lists::parse(&customers(&["qazfair-print"]), PLANS).unwrap();
    let house = &lists.plans()["house"];
    assert_eq!(house.limits.processors_milli, Some(512_000));
    assert_eq!(house.limits.accelerators, Some(0));
    assert_eq!(house.limits.rate_milli, None);
    assert!(house.allows(model::Class::Gang));
    assert!(!house.allows(model::Class::Service));
    let guest = &lists.plans()["guest"];
    assert_eq!(guest.weight, 1);
    assert_eq!(guest.limits, lists::Limits::default());
}

#[test]
fn only_the_exact_token_authenticates_its_customer() {
    let lists = lists::Lists::parse(&customers(&["a", "b"]), PLANS).unwrap();
    let customer = lists.authenticate("b-token").unwrap();
    assert_eq!(&*customer.customer_id, "b");
    assert_eq!(lists.plan_of(customer).unwrap().weight, 4);
    for wrong in ["", "b-toke", "b-token ", "B-token", "b"] {
        assert_eq!(lists.authenticate(wrong), None, "{wrong}");
    }
}

#[test]
fn faults_of_both_lists_are_reported_together() {
    let mut text = customers(&["a"]);
    text.push_str("[b]\nplan = huose\ntoken_sha256 = zz\n[c]\nplan = house\nregion = almaty\n");
    let digest = text.lines().find(|line| line.starts_with("token"));
    let digest = digest.unwrap().to_owned();
    text.push_str(&format!("{digest}\n"));
    let findings = lists::Lists::parse(&text, PLANS).unwrap_err();
    expect![[r#"
        customers:5: [b] region: the key is missing, expected a text
        customers:6: [b] plan: 'huose' given, expected a listed plan: house, guest
        customers:7: [b] token_sha256: not a digest, expected the sha-256 of the token in 64 hexadecimal digits
        customers:11: [c] token_sha256: the same as that of [a], expected one of its own"#]]
    .assert_eq(&findings.to_string());
    let plans = "[house]\nweight = 0\nclasses = batch, bulk\ntasks_at_once = 0\nspeed = 3\n[x]\n";
    let findings = lists::Lists::parse("[b]\nplan = house\n", plans).unwrap_err();
    expect![[r#"
        customers:1: [b] region: the key is missing, expected a text
        customers:1: [b] token_sha256: the key is missing, expected a text
        plans:2: [house] weight: '0' given, expected a whole number from 1 to 10000
        plans:3: [house] classes: 'bulk' given, expected service, batch or gang
        plans:4: [house] tasks_at_once: '0' given, expected a whole number from 1 to 4294967295
        plans:5: [house] speed: unknown key, expected one of: weight, processors_milli, memory_mb, accelerators, tasks_at_once, tasks_per_second_milli, classes
        plans:6: [x] classes: the key is missing, expected texts separated by commas"#]].assert_eq(&findings.to_string());
}

#[test]
fn differences_show_each_changed_value() {
    let old = lists::Lists::parse(&customers(&["a", "b"]), PLANS).unwrap();
    let plans = PLANS
        .replace("weight = 4", "weight = 5")
        .replace("2097152", "1024");
    let plans = format!("{plans}tasks_at_once = 9\n[late]\nclasses = service\n");
    let new = lists::Lists::parse(&customers(&["b", "c"]), &plans).unwrap();
    let changes = lists::diff(&old, &new);
    let lines: Vec<_> = changes.iter().map(ToString::to_string).collect();
    expect![[r#"
        customers [c] added
        customers [a] removed
        plans [house] weight: 4 -> 5, memory_mb: 2097152 -> 1024
        plans [guest] tasks_at_once: no limit -> 9
        plans [late] added"#]]
    .assert_eq(&lines.join("\n"));
    assert_eq!(lists::diff(&new, &new), []);
}
