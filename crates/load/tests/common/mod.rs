//! A test server that answers each task with the stand-in worker's output, or with an error.

use std::net;

use http_body_util::BodyExt as _;
use hyper_util::rt;
use tokio::task;

/// How the server answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerMode {
    /// With the expected output.
    Expected,
    /// With the output of a different body.
    OtherBody,
    /// With an output that lacks the kind.
    MissingKind,
    /// With `not_run`.
    NotRun,
    /// Closes the connection without an answer.
    NoAnswer,
    /// Accepts the task, and answers `done` when it is polled.
    Polled,
}

type Reply = http::Response<http_body_util::Full<bytes::Bytes>>;

/// Starts a server that runs until the returned task set is dropped.
pub(crate) async fn start(mode: AnswerMode) -> (net::SocketAddr, task::JoinSet<()>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind");
    let address = listener.local_addr().expect("address");
    let mut tasks = task::JoinSet::new();
    tasks.spawn(async move {
        let mut connections = task::JoinSet::new();
        loop {
            let (stream, _) = listener.accept().await.expect("accept");
            let service = hyper::service::service_fn(move |request| answer(mode, request));
            let builder = hyper::server::conn::http1::Builder::new();
            let connection = builder.serve_connection(rt::TokioIo::new(stream), service);
            connections.spawn(async move { drop(connection.await) });
        }
    });
    (address, tasks)
}

async fn answer(
    mode: AnswerMode,
    request: http::Request<hyper::body::Incoming>,
) -> Result<Reply, std::io::Error> {
    let token = request.headers().get(http::header::AUTHORIZATION).cloned();
    assert_eq!(token.expect("a token"), "Bearer customer-token");
    if request.method() == http::Method::DELETE {
        return Ok(reply(200, r#"{"outcome":"running"}"#.to_owned()));
    }
    if request.method() == http::Method::GET {
        let path = request.uri().path().to_owned();
        let body = path.trim_start_matches("/v1/tasks/").replace('~', "\"");
        return Ok(done("badge", &body));
    }
    let sent = request
        .into_body()
        .collect()
        .await
        .expect("a body")
        .to_bytes();
    let task: load::TaskRequest = serde_json::from_slice(&sent).expect("a task");
    let body = task.body.get();
    Ok(match mode {
        AnswerMode::Expected => done(&task.kind, body),
        AnswerMode::OtherBody => done(&task.kind, &format!("{body} ")),
        AnswerMode::MissingKind => done("", body),
        AnswerMode::NotRun => reply(
            503,
            r#"{"outcome":"not_run","reason":"draining"}"#.to_owned(),
        ),
        AnswerMode::NoAnswer => return Err(std::io::Error::other("no answer")),
        AnswerMode::Polled => {
            let id = body.replace('"', "~");
            reply(202, format!(r#"{{"task_id":"{id}","outcome":"queued"}}"#))
        }
    })
}

fn done(kind: &str, body: &str) -> Reply {
    let output = load::expected_output(kind, body);
    let answer = format!(
        r#"{{"task_id":"t","outcome":"done","succeeded":true,"outputs":["{output}"],"waited_ms":4,"run_ms":5,"attempts":1}}"#
    );
    reply(200, answer)
}

fn reply(status: u16, json: String) -> Reply {
    let mut reply = http::Response::new(http_body_util::Full::from(json));
    *reply.status_mut() = http::StatusCode::from_u16(status).expect("a status");
    reply
}
