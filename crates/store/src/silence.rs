//! Evidence that open connections have gone silent: a later call on a newer connection was answered.

use std::collections;
use std::sync;
use std::time;

use tokio::sync::watch;

/// Time without an answer from which later calls use new connections. The service answers in a few
/// milliseconds, and in 200 ms when it is slow; shorter than the delays after which calls are repeated,
/// so that a repetition uses a new one.
const SUSPICION_TIME: time::Duration = time::Duration::from_millis(250);
/// Time after the answer to a later call for which the earlier one may still be answered. An overloaded
/// process reads answers late, and in any order.
const CONFIRMATION_TIME: time::Duration = time::Duration::from_millis(60);

/// Number of a set of connections; those opened later have a higher one.
pub type Generation = u64;

/// Calls to a service, and what they tell of its connections; clones share the state.
///
/// An unanswered call alone may mean that the service is down or slow, or that this process is. While there
/// is one, calls use connections of a new generation. If one of them is answered and the earlier call still
/// is not, the connections of the earlier generation are taken to be silent: they are not used any more,
/// and whoever waits on them for something that may take long asks anew.
#[derive(Clone, Debug)]
pub struct Silence {
    shared: sync::Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: sync::Mutex<State>,
    /// Told when a call on newer connections was answered.
    answered: tokio::sync::Notify,
    /// The generation in use. Connections of lower ones are silent.
    current: watch::Sender<Generation>,
}

#[derive(Debug, Default)]
struct State {
    /// Generation of the connections in use.
    current: Generation,
    /// The newest generation, at least `current`; used while that one is under suspicion.
    newest: Generation,
    is_suspected: bool,
    next_call: u64,
    /// Generation and start of each call in flight, by its number.
    in_flight: collections::BTreeMap<u64, (Generation, time::Instant)>,
    /// The newest generation of which a call was given up without an answer.
    given_up: Option<Generation>,
    /// Generation of an answered call that is newer than `current`, and when it was answered.
    answered: Option<(Generation, time::Instant)>,
}

/// A call in flight; dropping it means that it was given up without an answer.
#[derive(Debug)]
pub struct Call {
    id: u64,
    generation: Generation,
    shared: sync::Arc<Shared>,
}

impl Default for Silence {
    fn default() -> Self {
        let shared = Shared {
            state: sync::Mutex::default(),
            answered: tokio::sync::Notify::new(),
            current: watch::Sender::new(0),
        };
        Self {
            shared: sync::Arc::new(shared),
        }
    }
}

impl Silence {
    /// Begins a call at `now`, which has to use a connection of its generation.
    #[must_use]
    pub fn begin(&self, now: time::Instant) -> Call {
        self.shared.confirm(now);
        let mut state = self.shared.lock();
        let is_suspected = state.has_unanswered(state.current, now);
        let is_new = is_suspected && !state.is_suspected;
        if is_new || is_suspected && state.has_unanswered(state.newest, now) {
            state.newest += 1;
        }
        state.is_suspected = is_suspected;
        let generation = match is_suspected {
            true => state.newest,
            false => state.current,
        };
        let id = state.next_call;
        state.next_call += 1;
        state.in_flight.insert(id, (generation, now));
        Call {
            id,
            generation,
            shared: sync::Arc::clone(&self.shared),
        }
    }

    /// Returns the generation of the connections in use.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.shared.lock().current
    }

    /// Waits until connections of `generation` are known to be silent.
    pub async fn wait_for_silence(&self, generation: Generation) {
        let mut current = self.shared.current.subscribe();
        let answers = async {
            loop {
                self.shared.answered.notified().await;
                tokio::time::sleep(CONFIRMATION_TIME).await;
                self.shared.confirm(time::Instant::now());
            }
        };
        tokio::select! {
            // The sender lives as long as this.
            _ = current.wait_for(|current| generation < *current) => {}
            () = answers => {}
        }
    }
}

impl State {
    /// Returns whether a call on connections of `generation` has had no answer for long, or was given up.
    fn has_unanswered(&self, generation: Generation, now: time::Instant) -> bool {
        let mut in_flight = self.in_flight.values();
        self.given_up == Some(generation)
            || in_flight.any(|(of, since)| {
                *of == generation && now.saturating_duration_since(*since) >= SUSPICION_TIME
            })
    }
}

impl Call {
    /// Returns the generation of the connection to use.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Records that the call was answered at `now`.
    pub fn record_answer(self, now: time::Instant) {
        let mut state = self.shared.lock();
        state.in_flight.remove(&self.id);
        if self.generation > state.current && state.answered.is_none() {
            state.answered = Some((self.generation, now));
            self.shared.answered.notify_waiters();
        }
    }

    /// Records that the call has failed, which tells nothing of other connections.
    pub fn record_failure(self) {
        self.shared.lock().in_flight.remove(&self.id);
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        let Some((generation, since)) = state.in_flight.remove(&self.id) else {
            return;
        };
        if since.elapsed() >= SUSPICION_TIME && generation >= state.current {
            state.given_up = state.given_up.max(Some(generation));
        }
    }
}

impl Shared {
    /// Uses the connections on which a call was answered, if an earlier call still has no answer.
    fn confirm(&self, now: time::Instant) {
        let mut state = self.lock();
        let Some((generation, answered_at)) = state.answered else {
            return;
        };
        if now.saturating_duration_since(answered_at) < CONFIRMATION_TIME {
            return;
        }
        state.answered = None;
        if generation <= state.current || !state.has_unanswered(state.current, now) {
            return;
        }
        state.current = generation;
        state.is_suspected = false;
        state.given_up = state.given_up.filter(|of| *of >= generation);
        drop(state);
        self.current.send_replace(generation);
        log::info!(
            generation;
            "a later call was answered, an earlier one is not; earlier connections are taken to be silent"
        );
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        let state = self.state.lock();
        state.unwrap_or_else(sync::PoisonError::into_inner)
    }
}
