//! Many concurrent submissions, for tests that inject faults meanwhile.

use std::net;
use std::time;

use tokio::task;

use crate::common::http;

/// A submission with the output that its answer must contain.
#[derive(Clone, Debug)]
pub(crate) struct Submission {
    pub(crate) body: String,
    pub(crate) expected_output: String,
}

impl Submission {
    /// Creates a submission of `kind`; `work` is the task body, which the stand-in worker executes,
    /// and `fields` are further fields of the submission.
    pub(crate) fn new(kind: &str, work: &serde_json::Value, fields: &serde_json::Value) -> Self {
        let mut body = serde_json::json!({
            "kind": kind, "processors_milli": 2000, "memory_mb": 2048, "body": work,
        });
        let fields = fields.as_object().expect("fields of a submission");
        let object = body.as_object_mut().expect("a submission");
        object.extend(fields.clone());
        Self {
            expected_output: standin::expected_output(kind, &work.to_string()),
            body: body.to_string(),
        }
    }
}

/// Submissions with their answers, in the order of submission.
pub(crate) type Answers = Vec<(Submission, http::Answer)>;

/// Submissions in flight, each on its own connection.
pub(crate) struct Burst {
    tasks: task::JoinSet<(usize, Submission, http::Answer)>,
}

impl Burst {
    /// Sends `submissions` to `addresses` in round-robin order.
    pub(crate) fn start(addresses: &[net::SocketAddr], submissions: Vec<Submission>) -> Self {
        let mut tasks = task::JoinSet::new();
        for (index, submission) in submissions.into_iter().enumerate() {
            let address = addresses[index % addresses.len()];
            tasks.spawn(async move {
                let body = submission.body.clone();
                let answer = http::request(address, "POST", "/v1/tasks", http::TOKEN, &body).await;
                (index, submission, answer)
            });
        }
        Self { tasks }
    }

    /// Waits for every answer; panics if one is still missing after a minute.
    pub(crate) async fn answers(mut self) -> Answers {
        let deadline = tokio::time::Instant::now() + time::Duration::from_secs(60);
        let mut answers = Vec::new();
        while !self.tasks.is_empty() {
            let next = tokio::time::timeout_at(deadline, self.tasks.join_next()).await;
            let missing = self.tasks.len();
            let next =
                next.unwrap_or_else(|_| panic!("{missing} submissions unanswered after a minute"));
            answers.extend(next.map(|joined| joined.expect("a submission")));
        }
        answers.sort_by_key(|(index, _, _)| *index);
        let ordered = answers.into_iter();
        ordered
            .map(|(_, submission, answer)| (submission, answer))
            .collect()
    }
}
