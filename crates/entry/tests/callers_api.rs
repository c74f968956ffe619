//! Compares a session of callers' requests and answers with a golden file.

mod common;

use std::fmt::Write as _;

use indexmap::IndexSet;

const OTHER_TOKEN: &str = "dala-token";
const PLANS: &str = "\
[manuals]
weight = 1
classes = service, batch, gang

[forms]
weight = 1
processors_milli = 1000
classes = batch
";
const WORKERS: usize = 2;
const MAX_BODY_BYTES: usize = 262_144;
const HUGE_HEADER_BYTES: usize = 20_000;
/// Fields of an answer whose values differ between runs.
const MASKED_FIELDS: &[&str] = &["waited_ms", "run_ms", "retry_after_ms"];

/// Transcript of the requests and answers so far.
struct Session {
    cluster: common::Cluster,
    ids: IndexSet<String>,
    text: String,
}

impl Session {
    async fn start() -> Self {
        let cluster = common::Cluster::start(common::ClusterOptions {
            instances: 1,
            workers: WORKERS,
            plans: PLANS.to_owned(),
            ..common::ClusterOptions::default()
        })
        .await;
        cluster
            .write_list("/ferry/lists/customers", &customers())
            .await;
        let session = Self {
            cluster,
            ids: IndexSet::new(),
            text: String::new(),
        };
        let session_ref = &session;
        common::wait_until("the second customer", || async move {
            let path = format!("/v1/tasks/{}", "0".repeat(32));
            let answer = session_ref.send("GET", &path, OTHER_TOKEN, "").await;
            answer.status != 401
        })
        .await;
        common::wait_until("leases of every worker", || async move {
            session_ref.cluster.status(0).await["workers_held"] == WORKERS
        })
        .await;
        session
    }

    async fn send(&self, method: &str, path: &str, token: &str, body: &str) -> common::Answer {
        let address = self.cluster.instances[0].callers;
        common::request(address, method, path, token, body).await
    }

    /// Sends a request and records it with its answer.
    async fn send_and_record(&mut self, call: &str, token: &str, body: &str) -> common::Answer {
        let (method, path) = call.split_once(' ').expect("method and path");
        let answer = self.send(method, path, token, body).await;
        self.record(call, body, &answer);
        answer
    }

    /// Submits as the first customer.
    async fn submit(&mut self, body: &str) -> common::Answer {
        self.send_and_record("POST /v1/tasks", common::TOKEN, body)
            .await
    }

    fn write_title(&mut self, title: &str) {
        let _ = writeln!(self.text, "# {title}");
    }

    fn record(&mut self, call: &str, body: &str, answer: &common::Answer) {
        if let Some(id) = answer.body["task_id"].as_str() {
            self.ids.insert(id.to_owned());
        }
        let mut shown = answer.body.clone();
        for name in MASKED_FIELDS {
            if let Some(value) = shown.get_mut(name) {
                *value = "*".into();
            }
        }
        let body = if body.len() > 200 { "(long)" } else { body };
        let lines = format!("{} {body}\n{} {shown}\n", call.trim(), answer.status);
        self.text.push_str(&self.mask_task_ids(lines));
    }

    fn mask_task_ids(&self, mut lines: String) -> String {
        for (index, id) in self.ids.iter().enumerate() {
            lines = lines.replace(id, &format!("<task {}>", index + 1));
        }
        lines
    }

    async fn wait_until_running(&self, id: &str) {
        let path = format!("/v1/tasks/{id}");
        let path = path.as_str();
        common::wait_until("the start of a service", || async move {
            let answer = self.send("GET", path, common::TOKEN, "").await;
            answer.text("outcome") == "running"
        })
        .await;
    }
}

fn customers() -> String {
    let section = |name: &str, plan: &str, token: &str| {
        let digest = lists::digest_token(token);
        let hex: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
        format!("[{name}]\nplan = {plan}\nregion = almaty\ntoken_sha256 = {hex}\n\n")
    };
    section("press", "manuals", common::TOKEN) + &section("dala", "forms", OTHER_TOKEN)
}

async fn valid_requests(session: &mut Session) -> String {
    session.write_title("batch, waiting");
    session
        .submit(r#"{"kind":"badge-form","processors_milli":500,"memory_mb":256,"urgency":"urgent","body":{"run_ms":5}}"#)
        .await;
    session.write_title("work that reports failure");
    session
        .submit(r#"{"kind":"badge-form","body":{"run_ms":5,"fail":true}}"#)
        .await;
    session.write_title("gang, waiting");
    session
        .submit(r#"{"kind":"results-run","class":"gang","members":3,"body":{"run_ms":5}}"#)
        .await;
    session.write_title("batch, not waiting, then asked for");
    let answer = session
        .submit(r#"{"kind":"stand-rules","wait":false,"deadline_ms":20000,"declared_run_ms":5,"body":null}"#)
        .await;
    let batch_id = answer.text("task_id").to_owned();
    let path = format!("/v1/tasks/{batch_id}");
    let call = format!("GET {path}?wait_ms=60000");
    session.send_and_record(&call, common::TOKEN, "").await;
    session.write_title("cancellation of finished work changes nothing");
    let call = format!("DELETE {path}");
    session.send_and_record(&call, common::TOKEN, "").await;
    session.write_title("service, cancelled while it runs");
    let answer = session
        .submit(r#"{"kind":"entries","class":"service","body":{"run_ms":600000}}"#)
        .await;
    let path = format!("/v1/tasks/{}", answer.text("task_id"));
    session.wait_until_running(answer.text("task_id")).await;
    let call = format!("GET {path}");
    session.send_and_record(&call, common::TOKEN, "").await;
    session
        .send_and_record(&format!("DELETE {path}"), common::TOKEN, "")
        .await;
    let call = format!("GET {path}?wait_ms=60000");
    session.send_and_record(&call, common::TOKEN, "").await;
    batch_id
}

async fn idempotency_keys(session: &mut Session) {
    let body = r#"{"kind":"registration","repeatable":false,"key":"club-7","body":{"run_ms":50}}"#;
    session.write_title("the same key twice at once and once more: one execution");
    let before = session.cluster.fleet.executions().len();
    let (first, second) = tokio::join!(
        session.send("POST", "/v1/tasks", common::TOKEN, body),
        session.send("POST", "/v1/tasks", common::TOKEN, body)
    );
    session.record("POST /v1/tasks", body, &first);
    session.record("POST /v1/tasks", body, &second);
    session.submit(body).await;
    assert_eq!(session.cluster.fleet.executions().len(), before + 1);
    session.write_title("the same key with another body");
    session
        .submit(r#"{"kind":"registration","repeatable":false,"key":"club-7","body":{"run_ms":51}}"#)
        .await;
}

async fn invalid_bodies(session: &mut Session) {
    let bodies = [
        ("not JSON", "kind=badge-form"),
        ("no object", "[1]"),
        ("empty", ""),
        ("unknown field", r#"{"kind":"a","priority":1}"#),
        ("negative size", r#"{"kind":"a","memory_mb":-1}"#),
        (
            "impossible size",
            r#"{"kind":"a","processors_milli":99999999999}"#,
        ),
        ("fraction", r#"{"kind":"a","accelerators":0.5}"#),
        ("no kind", r#"{"body":1}"#),
        ("no key", r#"{"kind":"a","repeatable":false}"#),
        ("empty key", r#"{"kind":"a","key":""}"#),
        ("wrong class", r#"{"kind":"a","class":"cron"}"#),
        ("wrong urgency", r#"{"kind":"a","urgency":"now"}"#),
        ("one member", r#"{"kind":"a","class":"gang","members":1}"#),
        ("members of no gang", r#"{"kind":"a","members":2}"#),
        (
            "waiting for a service",
            r#"{"kind":"a","class":"service","wait":true}"#,
        ),
        ("deadline of zero", r#"{"kind":"a","deadline_ms":0}"#),
        (
            "deadline beyond the limit",
            r#"{"kind":"a","deadline_ms":600001}"#,
        ),
        (
            "several at once",
            r#"{"kind":7,"memory_mb":"much","repeatable":"no","colour":"red"}"#,
        ),
    ];
    for (title, body) in bodies {
        session.write_title(title);
        session.submit(body).await;
    }
    session.write_title("too large a body");
    let body = format!(r#"{{"kind":"a","body":"{}"}}"#, "x".repeat(MAX_BODY_BYTES));
    let body = &body[..=MAX_BODY_BYTES];
    session.submit(body).await;
}

async fn invalid_calls(session: &mut Session, batch_id: &str) {
    let form = r#"{"kind":"badge-form"}"#;
    session.write_title("wrong token, no token");
    session
        .send_and_record("POST /v1/tasks", "nobody", form)
        .await;
    session.send_and_record("POST /v1/tasks", "", form).await;
    session.write_title("huge header");
    let token = "x".repeat(HUGE_HEADER_BYTES);
    session
        .send_and_record("POST /v1/tasks", &token, form)
        .await;
    session.write_title("wrong method, unknown path");
    session
        .send_and_record("PUT /v1/tasks", common::TOKEN, form)
        .await;
    session
        .send_and_record("POST /v2/tasks", common::TOKEN, form)
        .await;
    session.write_title("ids and parameters that are none");
    for call in [
        "GET /v1/tasks/7",
        "GET /v1/tasks/%ff",
        "DELETE /v1/tasks/all",
        "GET /v1/tasks/00000000000000000000000000000000?wait_ms=soon",
        "GET /v1/tasks/00000000000000000000000000000000?wait=1",
        "GET /v1/tasks/00000000000000000000000000000000",
        "DELETE /v1/tasks/00000000000000000000000000000000",
    ] {
        session.send_and_record(call, common::TOKEN, "").await;
    }
    session.write_title("a task of another customer");
    let call = format!("GET /v1/tasks/{batch_id}");
    session.send_and_record(&call, OTHER_TOKEN, "").await;
    let call = format!("DELETE /v1/tasks/{batch_id}");
    session.send_and_record(&call, OTHER_TOKEN, "").await;
}

async fn refusals(session: &mut Session) {
    session.write_title("class that the plan does not allow");
    let body = r#"{"kind":"a","class":"gang","members":2}"#;
    session
        .send_and_record("POST /v1/tasks", OTHER_TOKEN, body)
        .await;
    session.write_title("more than the limit of the plan");
    let body = r#"{"kind":"a","processors_milli":2000}"#;
    session
        .send_and_record("POST /v1/tasks", OTHER_TOKEN, body)
        .await;
}

#[tokio::test]
async fn session_matches_the_golden_file() {
    let mut session = Session::start().await;
    let batch_id = valid_requests(&mut session).await;
    idempotency_keys(&mut session).await;
    let started = session.cluster.fleet.executions().len();
    invalid_bodies(&mut session).await;
    invalid_calls(&mut session, &batch_id).await;
    refusals(&mut session).await;
    assert_eq!(session.cluster.fleet.executions().len(), started);
    session.write_title("afterwards");
    session.send_and_record("GET /healthz", "", "").await;
    session.send_and_record("GET /readyz", "", "").await;
    session.submit(r#"{"kind":"badge-form","body":1}"#).await;
    expect_test::expect_file!["golden/callers_api.txt"].assert_eq(&session.text);
}

#[tokio::test]
async fn a_task_larger_than_every_worker_is_refused_at_once() {
    let session = Session::start().await;
    let body = r#"{"kind":"a","memory_mb":16384,"deadline_ms":2000}"#;
    let answer = session.send("POST", "/v1/tasks", common::TOKEN, body).await;
    assert_eq!((answer.status, answer.text("reason")), (422, "never_fits"));
}
