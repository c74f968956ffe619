//! Numbers of pending jobs, as last received from the leader.

use std::future;
use std::sync;
use std::time;

use indexmap::IndexMap;

use crate::instance;

/// Age up to which a number is given to further callers: short beside the two seconds within which
/// callers expect a change to show.
const MAX_AGE: time::Duration = time::Duration::from_millis(500);

/// Numbers of pending jobs by queue, each read once for all callers that ask at the same time.
#[derive(Debug, Default)]
pub(crate) struct PendingCounts {
    queues: sync::Mutex<IndexMap<model::QueueName, sync::Arc<Slot>>>,
}

/// The last number of a queue and when it was asked for; locked while it is being read.
type Slot = tokio::sync::Mutex<Option<(time::Instant, u64)>>;

impl PendingCounts {
    /// Returns the reply to a caller: the last number if it is recent, else the reply of `read`.
    pub(crate) async fn get_or_read(
        &self,
        queue: &model::QueueName,
        read: impl future::Future<Output = model::JobReply>,
    ) -> model::JobReply {
        let slot = self.slot(queue);
        let mut last = slot.lock().await;
        if let Some((asked_at, count)) = *last
            && asked_at.elapsed() < MAX_AGE
        {
            return model::JobReply::Pending(count);
        }
        let asked_at = time::Instant::now();
        let reply = read.await;
        if let model::JobReply::Pending(count) = reply {
            *last = Some((asked_at, count));
        }
        reply
    }

    /// Keeps only the queues of the manifest in force.
    pub(crate) fn retain(&self, manifest: &jobs::Manifest) {
        instance::lock(&self.queues).retain(|queue, _| manifest.queues.contains_key(queue));
    }

    fn slot(&self, queue: &model::QueueName) -> sync::Arc<Slot> {
        let mut queues = instance::lock(&self.queues);
        sync::Arc::clone(queues.entry(sync::Arc::clone(queue)).or_default())
    }
}
