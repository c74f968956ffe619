//! Identifiers and the mapping from keys to partitions.

use std::sync;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;

/// Identifies one run of an instance process: its configured name, `#` and a random boot id.
///
/// A restarted process has a new id, so it never takes the state of an earlier process for its own.
pub type InstanceId = sync::Arc<str>;
/// Identifies a worker.
pub type WorkerId = sync::Arc<str>;
/// Identifies a customer in the operators' list.
pub type CustomerId = sync::Arc<str>;
/// Identifies a plan in the operators' list.
pub type PlanId = sync::Arc<str>;
/// Names a region.
pub type Region = sync::Arc<str>;
/// Names a data centre.
pub type DataCentre = sync::Arc<str>;
/// Names a rack.
pub type Rack = sync::Arc<str>;
/// Identifies a task; the upper 16 bits modulo [`PARTITIONS`] are its partition.
pub type TaskId = uuid::Uuid;
/// Numbers a partition of the task id space, below [`PARTITIONS`].
pub type Partition = u16;
/// Orders the owners of a partition; a higher one supersedes every lower one.
pub type Generation = u64;
/// Counts the grants of a worker's lease; a higher one supersedes every lower one.
pub type Epoch = u64;
/// Identifies one run of a worker process.
pub type Incarnation = u64;
/// Numbers the attempts to execute a task, from 1.
pub type Attempt = u32;
/// Revision of the platform's key-value service.
pub type Revision = i64;

/// Number of partitions of the task id space.
pub const PARTITIONS: Partition = 256;

const PARTITION_SHIFT_BITS: u32 = 112;

/// Identifies one attempt to execute one member of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskAttempt {
    /// The task.
    pub task_id: TaskId,
    /// The member of a gang; 0 for every other class.
    pub member: u16,
    /// Number of the attempt, from 1.
    pub attempt: Attempt,
}

/// Returns the partition of `task_id`.
#[must_use]
pub fn partition_of(task_id: TaskId) -> Partition {
    let upper = (task_id.as_u128() >> PARTITION_SHIFT_BITS) as u16;
    upper % PARTITIONS
}

/// Returns the partition whose owner grants shares of `plan_id`.
#[must_use]
pub fn partition_of_plan(plan_id: &str) -> Partition {
    partition_of(digest_id(&[b"plan", plan_id.as_bytes()]))
}

/// Returns the id of the task that `customer_id` submits with the idempotency key `key`.
///
/// The same customer and key always give the same id, on every instance.
#[must_use]
pub fn keyed_task_id(customer_id: &str, key: &str) -> TaskId {
    digest_id(&[b"key", customer_id.as_bytes(), key.as_bytes()])
}

/// Returns a task id in `partition`; the remaining bits are those of `random`.
#[must_use]
pub fn task_id_in_partition(partition: Partition, random: u128) -> TaskId {
    let mask = (1_u128 << PARTITION_SHIFT_BITS) - 1;
    let upper = u128::from(partition % PARTITIONS) << PARTITION_SHIFT_BITS;
    TaskId::from_u128(upper | (random & mask))
}

fn digest_id(parts: &[&[u8]]) -> TaskId {
    let mut hasher = sha2::Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    let mut bytes = [0_u8; 16];
    bytes.copy_from_slice(&digest[..16]);
    TaskId::from_bytes(bytes)
}
