//! Many submissions at once, while faults are caused.

use std::net;
use std::time;

use tokio::task;

use crate::common::http;

/// A submission with the output that its own answer must bring.
#[derive(Clone, Debug)]
pub(crate) struct Order {
    pub(crate) submission: String,
    pub(crate) output: String,
}

impl Order {
    /// Makes an order of `kind`; `work` tells the stand-in what to do, `fields` are more of the
    /// submission's fields.
    pub(crate) fn new(kind: &str, work: &serde_json::Value, fields: &serde_json::Value) -> Self {
        let mut submission = serde_json::json!({
            "kind": kind, "processors_milli": 2000, "memory_mb": 2048, "body": work,
        });
        let fields = fields.as_object().expect("fields of a submission");
        let whole = submission.as_object_mut().expect("a submission");
        whole.extend(fields.clone());
        Self {
            output: standin::expected_output(kind, &work.to_string()),
            submission: submission.to_string(),
        }
    }
}

/// Answers to orders in their order.
pub(crate) type Answers = Vec<(Order, http::Answer)>;

/// Submissions on their way, one connection each.
pub(crate) struct Burst {
    tasks: task::JoinSet<(usize, Order, http::Answer)>,
}

impl Burst {
    /// Submits `orders`, dealt to `addresses` in turn.
    pub(crate) fn start(addresses: &[net::SocketAddr], orders: Vec<Order>) -> Self {
        let mut tasks = task::JoinSet::new();
        for (index, order) in orders.into_iter().enumerate() {
            let address = addresses[index % addresses.len()];
            tasks.spawn(async move {
                let body = order.submission.clone();
                let answer = http::request(address, "POST", "/v1/tasks", http::TOKEN, &body).await;
                (index, order, answer)
            });
        }
        Self { tasks }
    }

    /// Waits for every answer; fails if one is still missing after a minute.
    pub(crate) async fn answers(mut self) -> Answers {
        let limit = tokio::time::Instant::now() + time::Duration::from_secs(60);
        let mut answers = Vec::new();
        while !self.tasks.is_empty() {
            let next = tokio::time::timeout_at(limit, self.tasks.join_next()).await;
            let missing = self.tasks.len();
            let next = next.unwrap_or_else(|_| panic!("{missing} submissions stay unanswered"));
            answers.extend(next.map(|joined| joined.expect("a submission")));
        }
        answers.sort_by_key(|(index, _, _)| *index);
        let ordered = answers.into_iter();
        ordered.map(|(_, order, answer)| (order, answer)).collect()
    }
}
