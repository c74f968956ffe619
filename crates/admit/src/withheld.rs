//! Refusals that are withheld, as a successor of the leader may accept the request.

use std::time;

/// How long a refusal is withheld at most: instances replace a leader that has lost the store
/// within this time.
const SUCCESSOR_WAIT: time::Duration = time::Duration::from_millis(500);

/// Returns how long an instance should wait for another leader before it passes `reply` on; `None`
/// if it should pass it on at once.
///
/// A leader that refuses as it does not reach the store is replaced if other instances do. If this
/// instance does not reach it either, the store is down, and waiting would only delay the refusal.
/// `remaining` is the time in which a successor's reply would still be of use.
#[must_use]
pub fn successor_wait(
    reply: &model::JobReply,
    is_store_reachable: bool,
    remaining: time::Duration,
) -> Option<time::Duration> {
    let is_store_refusal = matches!(
        reply,
        model::JobReply::Refused {
            reason: model::RefusalReason::StoreUnavailable,
            ..
        }
    );
    let wait = SUCCESSOR_WAIT.min(remaining);
    (is_store_refusal && is_store_reachable && !wait.is_zero()).then_some(wait)
}
