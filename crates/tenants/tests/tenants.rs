//! Validated construction of tenants, and lookups by key.
#![allow(clippy::unwrap_used)]

use proptest::prelude::*;
use tenants::Fault;

fn entry<'a>(name: &'a str, api_keys: &[&'a str], weight: f64) -> tenants::TenantEntry<'a> {
    tenants::TenantEntry {
        name,
        api_keys: api_keys.to_vec(),
        weight: Some(weight),
        cap: tenants::Cap::default(),
        faults: Vec::new(),
    }
}

fn build<'a>(
    entries: impl IntoIterator<Item = tenants::TenantEntry<'a>>,
) -> Result<tenants::Tenants, tenants::Findings> {
    let builder = tenants::TenantsBuilder::default();
    let builder = entries
        .into_iter()
        .fold(builder, tenants::TenantsBuilder::tenant);
    builder.build()
}

/// Guards against a manifest of which only the first fault is reported, and against keys in messages.
#[test]
fn all_findings_are_reported_and_have_no_key() {
    let entries = [
        entry("a", &["secret-1", "secret-1", ""], 1.0),
        entry("", &["secret-2"], 0.0),
        entry("a", &["secret-3"], -1.0),
        entry("b", &["secret-2", "secret-3"], f64::NAN),
        entry("c", &["secret-4"], f64::INFINITY),
        entry("d", &["secret-5"], 0.25),
    ];
    let findings = build(entries).unwrap_err();
    let found: Vec<_> = findings
        .0
        .iter()
        .map(|one| (&*one.tenant, &one.fault))
        .collect();
    assert_eq!(
        found,
        [
            ("a", &Fault::RepeatedKey),
            ("a", &Fault::EmptyKey),
            ("tenant 2 of the list", &Fault::MissingName),
            ("tenant 2 of the list", &Fault::InvalidWeight),
            ("a", &Fault::DuplicateName),
            ("a", &Fault::InvalidWeight),
            ("b", &Fault::InvalidWeight),
            ("b", &Fault::KeyOfTenant("tenant 2 of the list".into())),
            ("b", &Fault::KeyOfTenant("a".into())),
            ("c", &Fault::InvalidWeight),
        ]
    );
    assert!(!format!("{findings} {findings:?}").contains("secret"));
}

/// Guards against findings that are lost with a log line that is too long for the log.
#[test]
fn message_of_many_findings_is_bounded() {
    let entries = (0..10_000).map(|_| entry("a", &[], 0.0));
    let findings = build(entries).unwrap_err();
    let message = findings.to_string();
    assert!(message.len() < 64 * 1024, "{}", message.len());
    assert!(message.ends_with("; and 19499 more"), "{message}");
}

/// Guards against keys in the output of a value that has tenants.
#[test]
fn debug_output_has_no_key() {
    let tenants = build([entry("a", &["secret"], 1.0)]).unwrap();
    let output = format!("{tenants:?}");
    assert!(output.contains("key_count: 1"), "{output}");
    assert!(!output.contains("secret"), "{output}");
}

/// Guards against a list of keys that is searched from end to end, and against keys that are mixed up.
#[test]
fn ten_thousand_keys_are_found() {
    let key = |index: usize| format!("key-{index:05}");
    let (names, keys): (Vec<_>, Vec<_>) = (0..10_000)
        .map(|index| (format!("tenant-{}", index / 50), key(index)))
        .unzip();
    let entries = (0..200).map(|tenant| {
        let keys: Vec<_> = keys[tenant * 50..][..50]
            .iter()
            .map(String::as_str)
            .collect();
        entry(&names[tenant * 50], &keys, 1.5)
    });
    let tenants = build(entries).unwrap();
    for (name, key) in names.iter().zip(&keys) {
        assert_eq!(&*tenants.by_key(key.as_bytes()).unwrap().name, name);
    }
    assert!(tenants.by_key(b"key-10000").is_none());
    assert!((tenants.total_weight() - 300.0).abs() < 1e-6);
}

proptest! {
    /// Guards against a key that is accepted without being listed, or for another tenant.
    #[test]
    fn keys_belong_to_the_tenant_that_lists_them(
        lists in proptest::collection::vec(proptest::collection::vec("[ab]{0,3}", 0..4), 0..5),
        probe in "[ab]{0,4}",
    ) {
        let names: Vec<_> = (0..lists.len()).map(|index| format!("t{index}")).collect();
        let entries = names.iter().zip(&lists).map(|(name, keys)| {
            let keys: Vec<_> = keys.iter().map(String::as_str).collect();
            entry(name, &keys, 1.0)
        });
        let mut all: Vec<_> = lists.iter().flatten().collect();
        let listed = all.len();
        all.sort();
        all.dedup();
        let is_valid = all.len() == listed && !all.iter().any(|key| key.is_empty());
        match build(entries) {
            Ok(tenants) => {
                prop_assert!(is_valid);
                let owner = lists.iter().position(|keys| keys.contains(&probe));
                let found = tenants.by_key(probe.as_bytes()).map(|tenant| &*tenant.name);
                prop_assert_eq!(found, owner.map(|index| names[index].as_str()));
            }
            Err(_) => prop_assert!(!is_valid),
        }
    }
}
