//! `ferryctl submit`, `get` and `cancel`: the callers' API.

use std::io;
use std::net;
use std::path;
use std::time;

use crate::answer;
use crate::arguments;
use crate::error;
use crate::http_client;
use crate::report;

const TASKS_PATH: &str = "/v1/tasks";
const DEFAULT_SUBMIT_TIMEOUT: time::Duration = time::Duration::from_secs(120);
const DEFAULT_REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(10);
const STDIN_PATH: &str = "-";

/// Answer to a cancellation; the exit code is 0 if the task is cancelled or being stopped.
#[derive(Debug, serde::Serialize)]
#[serde(transparent)]
pub(crate) struct CancelReport {
    answer: answer::TaskAnswer,
}

impl report::Report for CancelReport {
    fn table(&self) -> String {
        self.answer.table()
    }

    fn exit_code(&self) -> u8 {
        let cancelled = [
            model::NotRunReason::Cancelled.as_str(),
            model::UnknownReason::CancelledWhileRunning.as_str(),
        ];
        match &self.answer.reason {
            Some(reason) if cancelled.contains(&reason.as_str()) => 0,
            _ if self.answer.outcome == "done" => error::ErrorKind::Refused.exit_code(),
            _ => self.answer.exit_code(),
        }
    }
}

/// Client of the callers' API.
struct TaskClient {
    client: http_client::HttpClient,
    instances: Vec<net::SocketAddr>,
    token: String,
    timeout: time::Duration,
}

pub(crate) async fn submit(
    mut args: arguments::Arguments,
) -> Result<answer::TaskAnswer, error::Error> {
    let client = TaskClient::from_arguments(&mut args, DEFAULT_SUBMIT_TIMEOUT)?;
    let file: path::PathBuf = args.required("--request", "a JSON file, or - for standard input")?;
    let no_wait = args.flag("--no-wait");
    args.finish()?;
    let request = request_body(&read_request(&file)?, no_wait)?;
    client.send(http::Method::POST, TASKS_PATH, request).await
}

pub(crate) async fn get(
    mut args: arguments::Arguments,
) -> Result<answer::TaskAnswer, error::Error> {
    let client = TaskClient::from_arguments(&mut args, DEFAULT_REQUEST_TIMEOUT)?;
    let path = task_path(&mut args)?;
    args.finish()?;
    client.send(http::Method::GET, &path, Vec::new()).await
}

pub(crate) async fn cancel(mut args: arguments::Arguments) -> Result<CancelReport, error::Error> {
    let client = TaskClient::from_arguments(&mut args, DEFAULT_REQUEST_TIMEOUT)?;
    let path = task_path(&mut args)?;
    args.finish()?;
    let answer = client.send(http::Method::DELETE, &path, Vec::new()).await?;
    Ok(CancelReport { answer })
}

fn task_path(args: &mut arguments::Arguments) -> Result<String, error::Error> {
    let id = args.positional("the id of a task")?;
    let allowed = |c: char| c.is_ascii_hexdigit() || c == '-';
    if id.is_empty() || !id.chars().all(allowed) {
        let message = format!("task id '{id}' given, expected hexadecimal digits and hyphens");
        return Err(error::Error::usage(message));
    }
    Ok(format!("{TASKS_PATH}/{id}"))
}

fn read_request(file: &path::Path) -> Result<String, error::Error> {
    if file != path::Path::new(STDIN_PATH) {
        return arguments::read_file(file);
    }
    io::read_to_string(io::stdin())
        .map_err(|reason| error::Error::usage(format!("cannot read standard input: {reason}")))
}

fn request_body(text: &str, no_wait: bool) -> Result<Vec<u8>, error::Error> {
    let parsed: Result<serde_json::Map<String, serde_json::Value>, _> = serde_json::from_str(text);
    let mut request = parsed.map_err(|reason| {
        error::Error::usage(format!("the request is not a JSON object: {reason}"))
    })?;
    if no_wait {
        request.insert("wait".to_owned(), false.into());
    }
    serde_json::to_vec(&request).map_err(|reason| error::Error::usage(reason.to_string()))
}

impl TaskClient {
    /// Creates a client from `--instances`, `--token-file` and `--timeout-ms`.
    fn from_arguments(
        args: &mut arguments::Arguments,
        timeout: time::Duration,
    ) -> Result<Self, error::Error> {
        Ok(Self {
            client: http_client::HttpClient::new(),
            instances: args.addresses("--instances")?,
            token: args.secret("--token-file")?,
            timeout: args.duration_ms("--timeout-ms", timeout)?,
        })
    }

    /// Sends a request to the first instance that accepts a connection.
    async fn send(
        &self,
        method: http::Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<answer::TaskAnswer, error::Error> {
        let mut last_error = error::Error::refused("no instance given");
        for address in &self.instances {
            let request = http_client::Request::new(method.clone(), *address, path, &self.token);
            match self
                .client
                .send(request.body(body.clone()), self.timeout)
                .await
            {
                Ok(response) => return parse_response(&response),
                // Only a request that was certainly not sent may be sent to another instance.
                Err(reason) if reason.kind() == error::ErrorKind::Unreachable => {
                    last_error = reason
                }
                Err(reason) => return Err(reason),
            }
        }
        Err(last_error)
    }
}

fn parse_response(response: &http_client::Response) -> Result<answer::TaskAnswer, error::Error> {
    let error_answer: Result<answer::ErrorAnswer, _> = response.json();
    if let Ok(error_answer) = error_answer {
        let kind = match response.status {
            http::StatusCode::BAD_REQUEST => error::ErrorKind::Usage,
            _ => error::ErrorKind::Refused,
        };
        let message = format!("{}: {}", response.status, error_answer.describe());
        return Err(error::Error::new(kind, message));
    }
    if response.status == http::StatusCode::NOT_FOUND {
        return Err(error::Error::refused("404 Not Found: no such task"));
    }
    response.json()
}
