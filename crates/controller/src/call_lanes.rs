//! Limits the concurrent orders to one worker, so that they share a connection.

use std::sync;
use std::time;

use indexmap::IndexMap;

use crate::instance;

/// Number of orders that are sent to one worker at the same time.
const ORDERS_PER_WORKER: usize = 1;
/// Longest time that an order waits for the ones before it; a worker that leaves an order
/// unanswered must not hold up the others.
const MAX_WAIT: time::Duration = time::Duration::from_millis(50);

/// Lanes of orders to workers, by the address of the worker.
#[derive(Debug, Default)]
pub(crate) struct CallLanes {
    lanes: sync::Mutex<IndexMap<sync::Arc<str>, sync::Arc<tokio::sync::Semaphore>>>,
}

/// A place in the lane of a worker; the next order is sent once it is dropped.
#[derive(Debug)]
pub(crate) struct Lane<'a> {
    lanes: &'a CallLanes,
    address: sync::Arc<str>,
    /// `None` if the wait was too long.
    permit: Option<tokio::sync::OwnedSemaphorePermit>,
}

impl CallLanes {
    /// Waits until an order may be sent to the worker at `address`.
    pub(crate) async fn enter(&self, address: &sync::Arc<str>) -> Lane<'_> {
        let semaphore = {
            let mut lanes = instance::lock(&self.lanes);
            let lane = lanes
                .entry(sync::Arc::clone(address))
                .or_insert_with(|| sync::Arc::new(tokio::sync::Semaphore::new(ORDERS_PER_WORKER)));
            sync::Arc::clone(lane)
        };
        let permit = tokio::time::timeout(MAX_WAIT, semaphore.acquire_owned()).await;
        Lane {
            lanes: self,
            address: sync::Arc::clone(address),
            // The semaphore is never closed.
            permit: permit.ok().and_then(Result::ok),
        }
    }
}

impl Drop for Lane<'_> {
    fn drop(&mut self) {
        drop(self.permit.take());
        let mut lanes = instance::lock(&self.lanes.lanes);
        let is_unused = lanes
            .get(&self.address)
            .is_some_and(|lane| sync::Arc::strong_count(lane) == 1);
        if is_unused {
            lanes.swap_remove(&self.address);
        }
    }
}
