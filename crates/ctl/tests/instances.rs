//! Golden sessions of the commands that send requests to instances, against fake instances.

mod common;

use std::fs;
use std::net;
use std::path;
use std::sync;
use std::sync::atomic;

use axum::http;
use axum::response::IntoResponse as _;
use axum::routing;
use expect_test::expect_file;

/// Nothing listens on this reserved port.
const CLOSED: &str = "127.0.0.1:1";
const SECRET: &str = "operators-secret";

/// A fake instance that reports its new revision after a number of status requests.
struct FakeInstance {
    name: &'static str,
    /// Number of status requests received.
    status_requests: atomic::AtomicI64,
    /// Number of status requests after which revision 9 is in force, and no run is left if draining.
    revision_after: i64,
    draining: atomic::AtomicBool,
}

impl FakeInstance {
    fn new(name: &'static str, revision_after: i64) -> sync::Arc<Self> {
        sync::Arc::new(Self {
            name,
            status_requests: atomic::AtomicI64::new(0),
            revision_after,
            draining: atomic::AtomicBool::new(false),
        })
    }

    fn status(&self) -> ctl::OperatorStatus {
        let status_requests = self.status_requests.fetch_add(1, atomic::Ordering::SeqCst);
        let revision = if status_requests < self.revision_after {
            4
        } else {
            9
        };
        let draining = self.draining.load(atomic::Ordering::SeqCst);
        let dead = ctl::PeerStatus {
            instance_id: "atyrau-1#dead".to_owned(),
            alive: false,
            customers_revision: 2,
            plans_revision: 2,
        };
        ctl::OperatorStatus {
            instance_id: format!("{}#1", self.name),
            region: self.name.to_owned(),
            data_centre: format!("{}-a", self.name),
            ready: !draining,
            draining,
            customers_revision: revision,
            plans_revision: 9,
            table_revision: 3,
            partitions_owned: if draining { 0 } else { 128 },
            partitions_pending: 0,
            workers_held: 24,
            queued: 0,
            running: if draining && status_requests < self.revision_after {
                2
            } else {
                0
            },
            waiting: 0,
            peers: vec![dead],
            counters: [("refused.queue_full".to_owned(), 2)].into_iter().collect(),
        }
    }
}

fn is_authorised(headers: &http::HeaderMap) -> bool {
    let expected = format!("Bearer {SECRET}");
    headers
        .get(http::header::AUTHORIZATION)
        .is_some_and(|value| value.as_bytes() == expected.as_bytes())
}

async fn serve(app: axum::Router) -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a free port can be bound");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move { axum::serve(listener, app).await });
    address
}

async fn serve_instance(instance: sync::Arc<FakeInstance>) -> net::SocketAddr {
    let drained = instance.clone();
    let status = move |headers: http::HeaderMap| async move {
        if !is_authorised(&headers) {
            return http::StatusCode::UNAUTHORIZED.into_response();
        }
        axum::Json(instance.status()).into_response()
    };
    let drain = move || async move {
        drained.draining.store(true, atomic::Ordering::SeqCst);
    };
    let app = axum::Router::new()
        .route("/v1/operator/status", routing::get(status))
        .route("/v1/operator/drain", routing::post(drain));
    serve(app).await
}

/// Writes a temporary file and returns its path.
fn write_temp_file(name: &str, text: &str) -> path::PathBuf {
    let path = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("the file can be written");
    path
}

/// Runs sessions and replaces the texts in `names`, which differ between test runs.
async fn run_sessions(lines: &[String], names: &[(String, &str)]) -> String {
    let mut text = String::new();
    for line in lines {
        text.push_str(&common::session(line).await);
    }
    for (found, name) in names {
        text = text.replace(found, name);
    }
    text
}

#[tokio::test]
async fn operators_apply_wait_and_drain() {
    let almaty = serve_instance(FakeInstance::new("almaty", 4)).await;
    let astana = serve_instance(FakeInstance::new("astana", 0)).await;
    let store = standin::StoreServer::start("127.0.0.1:0".parse().unwrap());
    let store = store.await.unwrap();
    let store_address = store.address().to_string();
    let secret = write_temp_file("operator.secret", SECRET);
    let wrong = write_temp_file("wrong.secret", "another");
    let (secret, wrong) = (secret.display(), wrong.display());
    let both = format!("--instances {almaty},{astana} --secret-file {secret} --poll-ms 1");
    let plans = "--plans ../../examples/nusqa/plans.ini --expect-revision 0 --wait";
    let apply = format!("apply --store {store_address} {plans}");
    let lines = [
        format!("{apply} --instances {CLOSED} --secret-file {secret} --timeout-ms 0"),
        format!("{apply} {both}"),
        format!("status --instances {almaty},{astana},{CLOSED} --secret-file {secret} --counters"),
        format!("status --instances {almaty} --secret-file {wrong}"),
        format!("wait --revision 9 {both}"),
        format!("wait --revision 9 --list plans {both} --format json"),
        format!("wait --revision 10 {both} --timeout-ms 0"),
        format!("drain --instances {CLOSED} --secret-file {secret}"),
        format!("drain --wait {both}"),
    ];
    let names = [
        (almaty.to_string(), "ALMATY"),
        (astana.to_string(), "ASTANA"),
        (store_address.clone(), "STORE"),
        (CLOSED.to_owned(), "CLOSED"),
        (secret.to_string(), "SECRET"),
        (wrong.to_string(), "WRONG"),
    ];
    let text = run_sessions(&lines, &names).await;
    assert!(!text.contains(SECRET), "{text}");
    expect_file!["golden/operators.txt"].assert_eq(&text);
}

/// Guards against metrics of tenants that are mixed up, or taken from other lines.
#[tokio::test]
async fn metrics_of_tenants_are_summed() {
    let metrics = |text: &'static str| {
        let app = axum::Router::new().route("/metrics", routing::get(move || async move { text }));
        serve(app)
    };
    let first =
        metrics("refused.unauthorized 9\ntenant.b.accepted 2\ntenant.a.accepted 40\n").await;
    let second = metrics("tenant.a.accepted 2\ntenant.a.refused.tenant_rate 1\ntenant.x\n").await;
    let lines = [
        format!("tenants --instances {first},{second}"),
        format!("tenants --instances {first},{CLOSED} --format json"),
    ];
    let names = [
        (first.to_string(), "FIRST"),
        (second.to_string(), "SECOND"),
        (CLOSED.to_owned(), "CLOSED"),
    ];
    let text = run_sessions(&lines, &names).await;
    expect_file!["golden/tenants.txt"].assert_eq(&text);
}

/// Answers a submission; the kind of the task selects the answer.
async fn answer_task(body: String) -> axum::response::Response {
    let request: serde_json::Value = serde_json::from_str(&body).expect("the request is JSON");
    let (status, answer) = match request["kind"].as_str().expect("the kind is a string") {
        "badge-form" if request["wait"] == false => {
            (202, r#"{"task_id":"ab-1","outcome":"queued"}"#)
        }
        "badge-form" => (
            200,
            r#"{"task_id":"ab-1","outcome":"done","succeeded":true,"outputs":["badge 7"],
                "waited_ms":3,"run_ms":41,"attempts":1}"#,
        ),
        "exhibitor-pack" => (
            429,
            r#"{"task_id":"ab-2","outcome":"not_run","reason":"queue_full","retry_after_ms":800}"#,
        ),
        "start-list" => (
            504,
            r#"{"task_id":"ab-3","outcome":"unknown","reason":"worker_lost"}"#,
        ),
        _ => (
            400,
            r#"{"error":"bad_request","field":"key","expected":"a key","findings":[
                {"field":"key","expected":"a key"},{"field":"","expected":"a body"}]}"#,
        ),
    };
    let status = http::StatusCode::from_u16(status).expect("the status is valid");
    (status, answer).into_response()
}

/// Returns the routes that answer `GET` and `DELETE` of one task.
fn task_routes() -> routing::MethodRouter {
    let running = r#"{"task_id":"ab-1","outcome":"running"}"#;
    let cancelled = r#"{"task_id":"ab-1","outcome":"not_run","reason":"cancelled"}"#;
    let get = move || async move { (http::StatusCode::ACCEPTED, running) };
    let cancel = move || async move { (http::StatusCode::GONE, cancelled) };
    routing::get(get).delete(cancel)
}

#[tokio::test]
async fn callers_submit_get_and_cancel() {
    let app = axum::Router::new()
        .route("/v1/tasks", routing::post(answer_task))
        .route("/v1/tasks/ab-1", task_routes());
    let instance = serve(app).await;
    let token = write_temp_file("caller.token", "qazfair-print-token\n");
    let access = format!(
        "--instances {CLOSED},{instance} --token-file {}",
        token.display()
    );
    let mut lines = Vec::new();
    for kind in ["badge-form", "exhibitor-pack", "start-list", "registration"] {
        let request = write_temp_file(&format!("{kind}.json"), &format!("{{\"kind\":\"{kind}\"}}"));
        lines.push(format!("submit {access} --request {}", request.display()));
    }
    lines.push(format!("{} --no-wait --format json", lines[0]));
    let not_an_object = write_temp_file("list.json", "[1]");
    lines.push(format!(
        "submit {access} --request {}",
        not_an_object.display()
    ));
    lines.push(format!("get ab-1 {access}"));
    lines.push(format!("get ab-2 {access}"));
    lines.push(format!("cancel ab-1 {access}"));
    lines.push(format!(
        "get ab-1 --instances {CLOSED} --token-file {}",
        token.display()
    ));
    let names = [
        (instance.to_string(), "INSTANCE"),
        (CLOSED.to_owned(), "CLOSED"),
        (env!("CARGO_TARGET_TMPDIR").to_owned(), "TMP"),
    ];
    let text = run_sessions(&lines, &names).await;
    assert!(!text.contains("qazfair-print-token"), "{text}");
    expect_file!["golden/callers.txt"].assert_eq(&text);
}

#[tokio::test]
async fn a_lost_response_is_unknown_and_not_retried() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let accepted = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buffer = [0; 16];
        tokio::io::AsyncReadExt::read(&mut stream, &mut buffer)
            .await
            .unwrap();
        drop(stream);
    });
    let unused = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let second = unused.local_addr().unwrap();
    let token = write_temp_file("broken.token", "t");
    let request = write_temp_file("broken.json", "{}");
    let line = format!(
        "submit --instances {address},{second} --token-file {} --request {}",
        token.display(),
        request.display()
    );
    let text = common::session(&line).await;
    accepted.await.unwrap();
    assert!(
        text.ends_with("before the response was complete\nexit code 4\n"),
        "{text}"
    );
}
