//! Settings, and the HTTP interface to inject faults and read counters.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net;
use std::time;

use expect_test::expect;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net as tokio_net;

const EXAMPLE: &str = include_str!("../examples/small.ini");

fn ephemeral_address() -> net::SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

/// Parses the example, with free ports in place of its own.
fn example_settings() -> standin::Settings {
    let mut settings = standin::Settings::parse("small.ini", EXAMPLE).unwrap();
    settings.control = ephemeral_address();
    settings.store = Some(ephemeral_address());
    settings.directory.as_mut().unwrap().address = ephemeral_address();
    settings.workers.as_mut().unwrap().first_address = ephemeral_address();
    settings.relays[0].address = ephemeral_address();
    settings
}

/// Sends one request and returns the status line and the body.
async fn send_request(address: net::SocketAddr, method: &str, path: &str, body: &str) -> String {
    let mut stream = tokio_net::TcpStream::connect(address).await.unwrap();
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    let (head, body) = answer.split_once("\r\n\r\n").unwrap();
    format!("{} {body}", head.lines().next().unwrap())
}

#[test]
fn example_settings_are_parsed() {
    let settings = standin::Settings::parse("small.ini", EXAMPLE).unwrap();
    let workers = settings.workers.unwrap();
    assert_eq!((workers.count, workers.workers_per_rack), (16, 8));
    assert_eq!(workers.worker.capacity.resources.memory_mb, 262_144);
    let directory = settings.directory.unwrap();
    assert_eq!(directory.lag, time::Duration::from_secs(1));
    assert_eq!(&*directory.instances[1].location.data_centre, "astana-1");
    assert_eq!(settings.relays[0].name, "store");
}

#[test]
fn parse_reports_all_findings() {
    let text = "\
[store]
address = nowhere

[workers]
count = 0
first_address = 127.0.0.1:65530
data_centres = almaty

[directory]
address = 127.0.0.1:1
instances = entry-1 almaty/almaty-1
lag = 5

[relay far]
address = 127.0.0.1:2

[unknown]
";
    let findings = standin::Settings::parse("bad.ini", text).unwrap_err();
    expect![[r#"
        bad.ini:2: [store] address: 'nowhere' given, expected an ip number and a port, such as 10.1.0.4:7000
        bad.ini:5: [workers] count: '0' given, expected a whole number from 1 to 4096
        bad.ini:6: [workers] first_address: no 48 ports follow, expected a lower port
        bad.ini:7: [workers] data_centres: 'almaty' given, expected 'region/data-centre'
        bad.ini:11: [directory] instances: 'entry-1 almaty/almaty-1' given, expected 'name address:port region/data-centre'
        bad.ini:12: [directory] lag: unknown key, expected one of: address, lag_ms, instances
        bad.ini:14: [relay far] target: the key is missing, expected an ip number and a port, such as 10.1.0.4:7000
        bad.ini:17: [unknown] unknown section, expected one of: store, workers, directory, relay far, control
        bad.ini: [control] address: the key is missing, expected an ip number and a port, such as 10.1.0.4:7000"#]].assert_eq(&findings.to_string());
}

#[tokio::test]
async fn racks_are_assigned_to_data_centres_round_robin() {
    let control = example_settings().start().await.unwrap();
    let fleet = control.platform().fleet.as_ref().unwrap();
    let locations: Vec<_> = fleet
        .directory_entries()
        .iter()
        .map(|entry| {
            format!(
                "{} {}/{}",
                entry.id, entry.location.region, entry.location.rack
            )
        })
        .collect();
    assert_eq!(locations.len(), 16);
    assert_eq!(locations[7], "worker-008 almaty/rack-01");
    assert_eq!(locations[8], "worker-009 astana/rack-02");
    control.shutdown().await;
}

#[tokio::test]
async fn faults_are_set_over_http() {
    let control = example_settings().start().await.unwrap();
    let address = control.address();
    let command = r#"{"worker":{"worker_id":"worker-002","faults":{"fail_all":true}}}"#;
    assert_eq!(
        send_request(address, "POST", "/faults", command).await,
        "HTTP/1.1 200 OK {}"
    );
    let fleet = control.platform().fleet.as_ref().unwrap();
    assert!(fleet.worker("worker-002").unwrap().faults().fail_all);
    assert!(!fleet.worker("worker-001").unwrap().faults().fail_all);

    let down = r#"{"store":{"reachability":"down"}}"#;
    send_request(address, "POST", "/faults", down).await;
    let store = control.platform().store.as_ref().unwrap();
    let refused = tokio_net::TcpStream::connect(store.address())
        .await
        .unwrap_err();
    assert_eq!(refused.kind(), std::io::ErrorKind::ConnectionRefused);
    send_request(address, "POST", "/faults", r#"{"store":{}}"#).await;
    assert!(tokio_net::TcpStream::connect(store.address()).await.is_ok());

    let leaving = r#"{"machine_state":{"id":"worker-001","state":"leaving"}}"#;
    send_request(address, "POST", "/faults", leaving).await;
    let restart = r#"{"restart_worker":{"worker_id":"worker-001"}}"#;
    assert_eq!(
        send_request(address, "POST", "/faults", restart).await,
        "HTTP/1.1 200 OK {}"
    );

    expect!["HTTP/1.1 400 Bad Request no such part: worker nobody"].assert_eq(
        &send_request(
            address,
            "POST",
            "/faults",
            r#"{"restart_worker":{"worker_id":"nobody"}}"#,
        )
        .await,
    );
    let unknown = send_request(address, "POST", "/faults", r#"{"store":{"dwon":true}}"#).await;
    assert!(unknown.starts_with("HTTP/1.1 400"), "{unknown}");
    control.shutdown().await;
}

#[tokio::test]
async fn counts_and_executions_are_read_over_http() {
    let control = example_settings().start().await.unwrap();
    let address = control.address();
    let store = control.platform().store.as_ref().unwrap().address();
    send_request(store, "POST", "/v3/kv/range", r#"{"key":"YQ=="}"#).await;
    expect![[r#"HTTP/1.1 200 OK {"store":{"reads":1,"writes":0,"leases":0,"watches":0},"workers":{"started":0,"started_again":0,"finished":0,"refused_full":0,"refused_stale_epoch":0,"refused_wrong_incarnation":0,"refused_tombstoned":0,"stopped_after_grace":0,"overcommits":0,"memory_overruns":0,"most_connections":0,"refused_connections":0},"relays":{"store":{"connections":0,"forward_bytes":0,"backward_bytes":0}}}"#]].assert_eq(&send_request(address, "GET", "/counts", "").await);
    expect![[r#"HTTP/1.1 200 OK {"executions":0,"members":0,"running":0,"repeated":[]}"#]]
        .assert_eq(&send_request(address, "GET", "/executions/summary", "").await);
    expect!["HTTP/1.1 200 OK []"].assert_eq(&send_request(address, "GET", "/executions", "").await);
    control.shutdown().await;
}
