//! Entries of the intent journal.

use serde::Deserialize;
use serde::Serialize;

use model::CustomerId;
use model::Task;
use model::TaskId;

/// Records in the platform's store that a task was accepted and may be started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// The task.
    pub task_id: TaskId,
    /// Customer that submitted it.
    pub customer_id: CustomerId,
    /// SHA-256 of the request, which a later use of the same key must match.
    pub digest: [u8; 32],
    /// Time after which the task is never started, in milliseconds since the Unix epoch.
    pub deadline_unix_ms: u64,
    /// Time after which the entry may be deleted, in milliseconds since the Unix epoch.
    pub expires_unix_ms: u64,
    /// The full task, so that a new owner can queue it; only for service tasks and tasks that no
    /// caller waits for.
    pub task: Option<Task>,
}
