//! Evidence that open connections have gone silent: a later call on a newer connection was answered.

use std::collections;
use std::sync;
use std::time;

use tokio::sync::watch;

/// Time without an answer from which later calls use new connections. The service answers in a few
/// milliseconds, and in 200 ms when it is slow; shorter than the delays after which calls are repeated,
/// so that a repetition uses a new one.
const SUSPICION_TIME: time::Duration = time::Duration::from_millis(250);
/// Number of a set of connections; those opened later have a higher one.
pub type Generation = u64;

/// Calls to a service, and what they tell of its connections; clones share the state.
///
/// An unanswered call alone may mean that the service is down or slow, or that this process is. While there
/// is one, calls use connections of a new generation. If one of them is answered at once and the earlier
/// call still is not, the connections of the earlier generation are taken to be silent: they are not used
/// any more, and whoever waits on them for something that may take long asks anew.
#[derive(Clone, Debug)]
pub struct SilenceDetector {
    shared: sync::Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: sync::Mutex<State>,
    /// The generation in use. Connections of lower ones are silent.
    current: watch::Sender<Generation>,
    metrics: telemetry::Metrics,
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
    /// Generations, none below `current`, of which a call was given up without an answer.
    given_up: collections::BTreeSet<Generation>,
}

/// A call in flight; dropping it means that it was given up without an answer.
#[derive(Debug)]
pub struct Call {
    id: u64,
    generation: Generation,
    shared: sync::Arc<Shared>,
}

impl SilenceDetector {
    /// Creates a detector that has seen no call.
    #[must_use]
    pub fn new(metrics: telemetry::Metrics) -> Self {
        let shared = Shared {
            state: sync::Mutex::default(),
            current: watch::Sender::new(0),
            metrics,
        };
        Self {
            shared: sync::Arc::new(shared),
        }
    }

    /// Begins a call at `now`, which has to use a connection of its generation.
    #[must_use]
    pub fn begin(&self, now: time::Instant) -> Call {
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
        // The sender lives as long as this.
        let _ = current.wait_for(|current| generation < *current).await;
    }
}

impl State {
    /// Returns whether a call on connections of `generation` has had no answer for long, or was given up.
    fn has_unanswered(&self, generation: Generation, now: time::Instant) -> bool {
        let mut in_flight = self.in_flight.values();
        self.given_up.contains(&generation)
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

    /// Records that the call was answered at `now`. A late answer proves nothing: whatever delays it may
    /// delay that of an earlier call for longer.
    pub fn record_answer(self, now: time::Instant) {
        let mut state = self.shared.lock();
        let since = state.in_flight.remove(&self.id).map(|(_, since)| since);
        let is_prompt = since.is_some_and(|since| now < since + SUSPICION_TIME);
        let is_newer = self.generation > state.current;
        if !is_prompt || !is_newer || !state.has_unanswered(state.current, now) {
            return;
        }
        state.current = self.generation;
        state.is_suspected = false;
        state.given_up = state.given_up.split_off(&self.generation);
        drop(state);
        self.shared.current.send_replace(self.generation);
        self.shared.metrics.count("store.silent_connections");
        log::warn!(
            generation = self.generation;
            "a later call was answered, an earlier one is not; earlier connections are taken to be silent"
        );
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
            state.given_up.insert(generation);
        }
    }
}

impl Shared {
    fn lock(&self) -> sync::MutexGuard<'_, State> {
        let state = self.state.lock();
        state.unwrap_or_else(sync::PoisonError::into_inner)
    }
}
