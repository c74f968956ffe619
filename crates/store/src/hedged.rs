//! Attempts at one call, several at once.

use std::future;

use tokio::task;

/// Most attempts in flight: a dead connection or two leave one that can succeed, and a slow store is
/// not made slower by many.
const MAX_IN_FLIGHT: usize = 3;

/// Attempts at one call, of which whichever replies first counts.
///
/// A store that has become slow replies to none in time if each attempt is abandoned before the
/// next. Dropping this abandons all attempts.
#[derive(Debug)]
pub struct Hedged<T> {
    attempts: task::JoinSet<T>,
}

impl<T> Default for Hedged<T> {
    fn default() -> Self {
        Self {
            attempts: task::JoinSet::new(),
        }
    }
}

impl<T: Send + 'static> Hedged<T> {
    /// Starts an attempt, unless too many are in flight; none is abandoned, so that each ends with a
    /// reply or by its own timeout.
    pub fn start(&mut self, attempt: impl future::Future<Output = T> + Send + 'static) {
        if self.attempts.len() < MAX_IN_FLIGHT {
            self.attempts.spawn(attempt);
        }
    }

    /// Returns whether no attempt is in flight.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Waits for the next reply to any attempt, for ever if none is in flight.
    ///
    /// Nothing is lost if the wait is cancelled.
    pub async fn next_reply(&mut self) -> T {
        loop {
            match self.attempts.join_next().await {
                Some(Ok(reply)) => return reply,
                Some(Err(cause)) => log::error!(cause:% = cause; "attempt at a store call failed"),
                None => future::pending().await,
            }
        }
    }
}
