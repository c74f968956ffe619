//! Settings of `ferry-entry`: defaults, faults and values that contradict each other.

use std::time;

use expect_test::expect;

const MINIMAL: &str = "\
[instance]
name = almaty-1
region = almaty
data_centre = ala-a
callers_address = 127.0.0.1:7001
peer_address = 127.0.0.1:7101
[cluster]
name = demo
secret_file = secret.txt
regions = almaty, astana
[platform]
store_addresses = 127.0.0.1:2379, 127.0.0.1:2380
directory_address = 127.0.0.1:2400
";

#[test]
fn minimal_settings_use_every_default() {
    let entry = settings::Entry::load("entry.ini", MINIMAL).unwrap();
    assert_eq!(entry.cluster.regions, ["almaty", "astana"]);
    assert_eq!(entry.platform.store_addresses.len(), 2);
    assert_eq!(entry.lease.ttl, time::Duration::from_secs(2));
    assert_eq!(
        entry.owner.journal_retention,
        time::Duration::from_secs(600)
    );
    assert_eq!(entry.peer.max_message_bytes, 8 << 20);
    assert_eq!(entry.queue.policy, settings::Policy::Fair);
    assert_eq!(entry.logs.level, log::LevelFilter::Info);
    assert_eq!(entry.metrics.address, None);
}

#[test]
fn empty_document_names_every_missing_key() {
    let findings = settings::Entry::load("entry.ini", "").unwrap_err();
    expect![[r#"
        entry.ini: [instance] name: the key is missing, expected a text
        entry.ini: [instance] region: the key is missing, expected a text
        entry.ini: [instance] data_centre: the key is missing, expected a text
        entry.ini: [instance] callers_address: the key is missing, expected an ip number and a port, such as 10.1.0.4:7000
        entry.ini: [instance] peer_address: the key is missing, expected an ip number and a port, such as 10.1.0.4:7000
        entry.ini: [cluster] name: the key is missing, expected a text
        entry.ini: [cluster] secret_file: the key is missing, expected a text
        entry.ini: [cluster] regions: the key is missing, expected texts separated by commas
        entry.ini: [platform] store_addresses: the key is missing, expected an ip number and a port, such as 10.1.0.4:7000
        entry.ini: [platform] directory_address: the key is missing, expected an ip number and a port, such as 10.1.0.4:7000"#]]
    .assert_eq(&findings.to_string());
}

#[test]
fn all_faults_are_reported_with_their_line() {
    let text = "\
stray = 1
[instance]
name = a#b
region = astana
data_centre = ala-a
callers_address = localhost:7001
peer_address = 127.0.0.1:7101
colour = blue
[cluster]
name = demo
name = other
secret_file =
regions = almaty,, almaty
[platform]
store_addresses = 127.0.0.1:2379, nowhere
directory_address = 127.0.0.1:2400
store_timeout_ms = 5
[lease]
ttl_ms = 2s
[logs]
level = loud
[logs]
[extras]
key = 1
[queue]
policy = best
max_attempts = -1
";
    let findings = settings::Entry::load("entry.ini", text).unwrap_err();
    expect![[r#"
        entry.ini:1: stray: the key stands before the first section
        entry.ini:3: [instance] name: 'a#b' given, expected a name without '#' and '/'
        entry.ini:4: [instance] region: 'astana' given, expected one of the cluster's regions: almaty, , almaty
        entry.ini:6: [instance] callers_address: 'localhost:7001' given, expected an ip number and a port, such as 10.1.0.4:7000
        entry.ini:8: [instance] colour: unknown key, expected one of: name, region, data_centre, callers_address, peer_address, memory_mb, max_descriptors
        entry.ini:11: [cluster] name: the key stands twice, first on line 10
        entry.ini:12: [cluster] secret_file: the key is missing, expected a text
        entry.ini:13: [cluster] regions: an item is empty, expected texts separated by commas
        entry.ini:13: [cluster] regions: 'almaty' stands twice
        entry.ini:15: [platform] store_addresses: 'nowhere' given, expected an ip number and a port, such as 10.1.0.4:7000
        entry.ini:17: [platform] store_timeout_ms: '5' given, expected a whole number from 10 to 60000
        entry.ini:19: [lease] ttl_ms: '2s' given, expected a whole number from 100 to 60000
        entry.ini:21: [logs] level: 'loud' given, expected one of: off, error, warn, info, debug, trace
        entry.ini:22: [logs] the section stands twice, first on line 20
        entry.ini:23: [extras] unknown section, expected one of: instance, cluster, platform, lease, logs, queue, peer, owner, callers, workers, metrics
        entry.ini:26: [queue] policy: 'best' given, expected one of: fair, baseline
        entry.ini:27: [queue] max_attempts: '-1' given, expected a whole number from 1 to 100"#]].assert_eq(&findings.to_string());
}

#[test]
fn values_that_contradict_each_other_are_findings() {
    let text = format!(
        "{MINIMAL}\
[lease]
renew_every_ms = 1500
margin_ms = 2000
[peer]
heartbeat_ms = 1000
dead_after_ms = 1000
max_message_bytes = 65536
[owner]
journal_retention_s = 599
max_tasks = 100
[queue]
max_queued = 200
max_queued_of_plan = 300
[callers]
default_deadline_ms = 700000
"
    );
    let findings = settings::Entry::load("entry.ini", &text).unwrap_err();
    expect![[r#"
        entry.ini:15: [lease] renew_every_ms: more than half of ttl_ms, expected at most half, so that one renewal may be lost
        entry.ini:16: [lease] margin_ms: not less than ttl_ms, expected less
        entry.ini:17: [peer] deadline_ms: less than twice heartbeat_ms, expected at least twice, so that one heartbeat may be lost
        entry.ini:19: [peer] dead_after_ms: less than deadline_ms, expected at least as much, so that a silent connection is replaced first
        entry.ini:22: [owner] journal_retention_s: less than max_deadline_ms of [callers], expected at least as much, so that a key is remembered until it can no longer start
        entry.ini:25: [queue] max_queued: more than max_tasks of [owner], expected at most as much
        entry.ini:26: [queue] max_queued_of_plan: more than max_queued, expected at most as much
        entry.ini:27: [callers] max_body_bytes: more than max_message_bytes of [peer], expected at most as much, so that every accepted body can be forwarded
        entry.ini:28: [callers] default_deadline_ms: more than max_deadline_ms, expected at most as much"#]].assert_eq(&findings.to_string());
}

#[test]
fn lines_that_are_not_ini_are_the_only_findings() {
    let findings = settings::Entry::load("entry.ini", "[instance]\nname\n[cluster\n").unwrap_err();
    expect![[r#"
        entry.ini:2: neither section, key nor comment, expected 'key = value'
        entry.ini:3: neither section, key nor comment, expected 'key = value'"#]]
    .assert_eq(&findings.to_string());
}
