//! Connections that are not authenticated yet.

use std::collections;
use std::net;
use std::sync;
use std::time;

use tokio_util::sync::CancellationToken;

use crate::counts;

/// Time between two log lines on closed connections; others are only counted.
const LOG_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// The unauthenticated connections of a server; clones share them.
#[derive(Clone, Debug)]
pub(crate) struct NewSessions {
    shared: sync::Arc<sync::Mutex<State>>,
    counters: sync::Arc<counts::Counters>,
    max_count: usize,
}

#[derive(Debug, Default)]
struct State {
    /// Tells each connection to close; older ones have lower numbers.
    open: collections::BTreeMap<u64, CancellationToken>,
    next_number: u64,
    logged_at: Option<time::Instant>,
}

/// An unauthenticated connection; it counts until this is dropped.
#[derive(Debug)]
pub(crate) struct NewSession {
    number: u64,
    closed: CancellationToken,
    sessions: NewSessions,
}

impl NewSessions {
    pub(crate) fn new(max_count: usize, counters: &sync::Arc<counts::Counters>) -> Self {
        Self {
            shared: sync::Arc::default(),
            counters: sync::Arc::clone(counters),
            max_count,
        }
    }

    /// Adds a connection; closes the oldest one if there are too many. An instance authenticates
    /// within a round trip, so that the oldest one is hardly an instance.
    pub(crate) fn add(&self, remote: net::SocketAddr) -> NewSession {
        let closed = CancellationToken::new();
        let mut state = self.lock();
        if state.open.len() >= self.max_count
            && let Some((_, oldest)) = state.open.pop_first()
        {
            oldest.cancel();
            self.counters.count_closed_new_connection();
            let now = time::Instant::now();
            let is_due = state
                .logged_at
                .is_none_or(|logged| now.duration_since(logged) >= LOG_INTERVAL);
            if is_due {
                state.logged_at = Some(now);
                log::warn!(
                    "event=peer_unauthenticated_closed limit={} remote={remote}",
                    self.max_count
                );
            }
        }
        state.next_number += 1;
        let number = state.next_number;
        state.open.insert(number, closed.clone());
        drop(state);
        NewSession {
            number,
            closed,
            sessions: self.clone(),
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        let state = self.shared.lock();
        state.unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl NewSession {
    /// Waits until the connection is to be closed for another.
    pub(crate) async fn closed(&self) {
        self.closed.cancelled().await;
    }
}

impl Drop for NewSession {
    fn drop(&mut self) {
        self.sessions.lock().open.remove(&self.number);
    }
}
