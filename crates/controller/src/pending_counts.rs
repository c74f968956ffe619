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

/// The last read of a queue; locked while one is made.
type Slot = tokio::sync::Mutex<Option<LastRead>>;

#[derive(Debug)]
struct LastRead {
    asked_at: time::Instant,
    ended_at: time::Instant,
    reply: model::JobReply,
}

impl LastRead {
    /// Returns whether it answers a caller who came at `arrived_at`: as a read that the caller has
    /// waited for, or as a number that is recent.
    fn answers(&self, arrived_at: time::Instant) -> bool {
        let is_recent = self.asked_at.elapsed() < MAX_AGE;
        let is_number = matches!(self.reply, model::JobReply::Pending(_));
        self.ended_at >= arrived_at || (is_number && is_recent)
    }
}

impl PendingCounts {
    /// Returns the reply to a caller: that of the last read if it answers the caller, else that of
    /// `read`.
    pub(crate) async fn get_or_read(
        &self,
        queue: &model::QueueName,
        read: impl future::Future<Output = model::JobReply>,
    ) -> model::JobReply {
        let arrived_at = time::Instant::now();
        let slot = self.slot(queue);
        let mut last = slot.lock().await;
        if let Some(last) = &*last
            && last.answers(arrived_at)
        {
            return last.reply.clone();
        }
        let asked_at = time::Instant::now();
        let reply = read.await;
        *last = Some(LastRead {
            asked_at,
            ended_at: time::Instant::now(),
            reply: reply.clone(),
        });
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
