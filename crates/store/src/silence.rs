//! Evidence that open connections have gone silent: a later call on a newer connection was answered.

use std::collections;
use std::sync;
use std::time;

use tokio::sync::watch;

/// Time without an answer from which later calls use new connections. The service answers in a few
/// milliseconds, and in 200 ms when it is slow; shorter than the delays after which calls are repeated,
/// so that a repetition uses a new one.
const SUSPICION_TIME: time::Duration = time::Duration::from_millis(250);

/// Number of a set of connections; those opened after a suspicion have a higher one.
pub type Generation = u64;

/// Calls to a service, and what they tell of its connections; clones share the state.
///
/// An unanswered call alone may mean that the service is down or slow. If a call on connections of a later
/// generation is answered meanwhile, those of the earlier one are taken to be silent, and whoever waits on
/// them for something that may take long asks anew.
#[derive(Clone, Debug)]
pub struct Silence {
    shared: sync::Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: sync::Mutex<State>,
    /// Connections of lower generations are silent.
    oldest_sound: watch::Sender<Generation>,
}

#[derive(Debug, Default)]
struct State {
    generation: Generation,
    next_call: u64,
    /// Generation and start of each call in flight, the oldest first.
    in_flight: collections::BTreeMap<u64, (Generation, time::Instant)>,
    /// Generation of the latest call that was given up without an answer.
    given_up: Option<Generation>,
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
            oldest_sound: watch::Sender::new(0),
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
        let mut state = self.shared.lock();
        let generation = state.generation;
        let is_late = |(of, since): &(Generation, time::Instant)| {
            *of == generation && now.saturating_duration_since(*since) >= SUSPICION_TIME
        };
        if state.given_up == Some(generation) || state.in_flight.values().any(is_late) {
            state.generation += 1;
        }
        let id = state.next_call;
        state.next_call += 1;
        let generation = state.generation;
        state.in_flight.insert(id, (generation, now));
        Call {
            id,
            generation,
            shared: sync::Arc::clone(&self.shared),
        }
    }

    /// Returns the generation of a connection that is opened for something else than a call, for example
    /// to wait for changes.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.shared.lock().generation
    }

    /// Waits until connections of `generation` are known to be silent.
    pub async fn wait_for_silence(&self, generation: Generation) {
        let mut oldest_sound = self.shared.oldest_sound.subscribe();
        // The sender lives as long as this.
        let _ = oldest_sound.wait_for(|sound| generation < *sound).await;
    }
}

impl Call {
    /// Returns the generation of the connection to use.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Records that the call was answered.
    pub fn record_answer(self) {
        let mut state = self.shared.lock();
        state.in_flight.remove(&self.id);
        let is_older = |of: &Generation| *of < self.generation;
        let waits = |(of, _): &(Generation, time::Instant)| is_older(of);
        let is_silent =
            state.in_flight.values().any(waits) || state.given_up.as_ref().is_some_and(is_older);
        state.given_up = state.given_up.filter(|of| !is_older(of));
        drop(state);
        if is_silent {
            self.shared.report_silence(self.generation);
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
        if since.elapsed() >= SUSPICION_TIME {
            state.given_up = state.given_up.max(Some(generation));
        }
    }
}

impl Shared {
    fn report_silence(&self, oldest_sound: Generation) {
        let is_new = self.oldest_sound.send_if_modified(|current| {
            let is_new = *current < oldest_sound;
            *current = oldest_sound.max(*current);
            is_new
        });
        if is_new {
            log::info!(
                generation = oldest_sound;
                "a later call was answered first; earlier connections are taken to be silent"
            );
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        let state = self.state.lock();
        state.unwrap_or_else(sync::PoisonError::into_inner)
    }
}
