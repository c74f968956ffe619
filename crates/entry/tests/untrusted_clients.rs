//! Crowds of untrusted clients at the listeners of `ferry-entry`.
//!
//! Such clients ended a process, which ran out of memory. Each test starts one instance with small
//! limits, lets a crowd do one thing, and checks that the process lives, that its memory and its
//! descriptors stay under a bound, and that one ordinary request is answered while the crowd still
//! holds its connections. The tests run one at a time.

mod common;

use std::time;

use standin::crowd;

/// Memory of the machine in the settings, in MB.
const MEMORY_MB: u32 = 80;
/// Largest growth of the resident memory above that at rest, in kB.
const MAX_GROWTH_KB: u64 = 32 * 1024;
/// Descriptors of the process in the settings; also the bound that is checked.
const MAX_DESCRIPTORS: usize = 200;
/// Clients that send large bodies: 64 MB if all are kept.
const BODY_CLIENTS: u32 = 250;
/// Clients that send chunks of one byte: 140 MB if each chunk is kept as a buffer of its own.
const ONE_BYTE_CLIENTS: u32 = 16;
/// Clients that hold connections; more than the descriptors of the process allow.
const CONNECTION_CLIENTS: u32 = 300;
/// Time between two samples of the use of the process.
const SAMPLE_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Samples with the same peak after which the process has handled what it was sent.
const SETTLED_SAMPLES: u32 = 30;

/// Held by the test that runs.
static RUNNING: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// A listener of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Listener {
    Callers,
    Peers,
}

/// Returns the largest use once the process has handled what it was sent: until its peak has not
/// changed for a while.
async fn settled_usage(id: u32) -> crowd::Usage {
    let mut largest = crowd::Usage::of_process(id).expect("process lives");
    let mut unchanged_samples = 0;
    while unchanged_samples < SETTLED_SAMPLES {
        tokio::time::sleep(SAMPLE_INTERVAL).await;
        let usage = crowd::Usage::of_process(id).expect("process lives");
        unchanged_samples = match usage.peak_kb == largest.peak_kb {
            true => unchanged_samples + 1,
            false => 0,
        };
        largest.peak_kb = usage.peak_kb;
        largest.resident_kb = usage.resident_kb;
        largest.descriptors = largest.descriptors.max(usage.descriptors);
    }
    largest
}

fn head(method: &str, path: &str) -> String {
    let token = common::TOKEN;
    format!("{method} {path} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {token}\r\n")
}

/// Starts an instance, lets a crowd call it and checks that the process bears it.
async fn bear(listener: Listener, behaviour: crowd::Behaviour, count: u32, request: &str) {
    let _running = RUNNING.lock().await;
    let has_few_descriptors = count == CONNECTION_CLIENTS;
    let mut settings = vec![("memory_mb", MEMORY_MB.to_string())];
    if has_few_descriptors {
        settings.push(("max_descriptors", MAX_DESCRIPTORS.to_string()));
    }
    let options = common::ClusterOptions {
        instances: 1,
        settings,
        ..common::ClusterOptions::default()
    };
    let mut cluster = common::Cluster::start(options).await;
    let id = cluster.instances[0].id();
    let at_rest = crowd::Usage::of_process(id).expect("process lives");
    let callers = cluster.instances[0].callers;
    let address = match listener {
        Listener::Callers => callers,
        Listener::Peers => cluster.instances[0].peers,
    };
    let mut crowd = crowd::Crowd::start(address, behaviour, count, request);
    crowd.wait_until_sent().await;
    let usage = settled_usage(id).await;
    let growth_kb = usage.peak_kb.saturating_sub(at_rest.resident_kb);
    let open = crowd.open_connections();
    println!("{behaviour:?} x {count}: {usage:?} growth_kb={growth_kb} open={open}");
    assert!(growth_kb <= MAX_GROWTH_KB, "{usage:?} {at_rest:?}");
    if has_few_descriptors {
        assert!(usage.descriptors <= MAX_DESCRIPTORS, "{usage:?}");
    }
    let lookup = head("GET", "/readyz");
    common::wait_until("an ordinary answer", || async {
        crowd::ask(callers, &lookup, "").await == Some(200)
    })
    .await;
    assert!(!cluster.instances[0].has_exited(), "process has ended");
}

async fn bear_bodies(behaviour: crowd::Behaviour, count: u32) {
    let request = head("POST", "/v1/tasks");
    bear(Listener::Callers, behaviour, count, &request).await;
}

async fn bear_connections(listener: Listener, behaviour: crowd::Behaviour) {
    let request = head("GET", "/readyz");
    bear(listener, behaviour, CONNECTION_CLIENTS, &request).await;
}

#[tokio::test]
async fn bodies_that_are_sent_whole_do_not_exhaust_memory() {
    bear_bodies(crowd::Behaviour::WholeBody, BODY_CLIENTS).await;
}

#[tokio::test]
async fn bodies_that_are_sent_in_pieces_do_not_exhaust_memory() {
    bear_bodies(crowd::Behaviour::Pieces, BODY_CLIENTS).await;
}

#[tokio::test]
async fn bodies_in_large_chunks_do_not_exhaust_memory() {
    bear_bodies(crowd::Behaviour::LargeChunks, BODY_CLIENTS).await;
}

#[tokio::test]
async fn bodies_in_chunks_of_one_byte_do_not_exhaust_memory() {
    bear_bodies(crowd::Behaviour::OneByteChunks, ONE_BYTE_CLIENTS).await;
}

#[tokio::test]
async fn heads_that_never_end_do_not_exhaust_descriptors() {
    bear_connections(Listener::Callers, crowd::Behaviour::EndlessHead).await;
}

#[tokio::test]
async fn silent_connections_do_not_exhaust_descriptors() {
    bear_connections(Listener::Callers, crowd::Behaviour::Silent).await;
}

#[tokio::test]
async fn responses_that_nobody_reads_do_not_exhaust_descriptors() {
    bear_connections(Listener::Callers, crowd::Behaviour::Unread).await;
}

#[tokio::test]
async fn pipelined_requests_do_not_exhaust_descriptors() {
    bear_connections(Listener::Callers, crowd::Behaviour::Pipelined).await;
}

#[tokio::test]
async fn silent_connections_of_peers_do_not_exhaust_descriptors() {
    bear_connections(Listener::Peers, crowd::Behaviour::Silent).await;
}

#[tokio::test]
async fn half_open_handshakes_of_peers_do_not_exhaust_descriptors() {
    bear_connections(Listener::Peers, crowd::Behaviour::H2Preface).await;
}

#[tokio::test]
async fn withheld_messages_of_peers_do_not_exhaust_descriptors() {
    bear_connections(Listener::Peers, crowd::Behaviour::H2Withheld).await;
}
