//! Which workers a step prefers by their speed.
//!
//! A preference only orders the workers on which a step may start: no step waits because of it.

use crate::pass;
use crate::placement;
use crate::scheduler;
use crate::speed;

/// Estimate up to which a step is urgent whatever its queue, in milliseconds: twice the 0.65 s of
/// urgent work, as estimates are off by up to 90 %.
const MAX_URGENT_ESTIMATE_MS: u32 = 1_300;
/// Share of what is left of the objective that a task may take on a slow worker: the caller's estimate
/// is rough, and later steps need the rest.
const MAX_OBJECTIVE_SHARE: f64 = 0.5;
/// Rank of a worker of the usual speed for work that can wait; slower ones on which it ends in time
/// precede it.
const PATIENT_USUAL_RANK: u8 = 1;
/// Rank of a faster worker for such work.
const PATIENT_FAST_RANK: u8 = 2;

/// What a step prefers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Preference {
    /// All workers are alike.
    None,
    /// The fastest worker: urgent work misses its objective on a slow one.
    Fastest,
    /// No worker slower than the usual ones: a gang is as slow as its slowest member.
    NoneSlow,
    /// Workers on which urgent work would be slow, down to this level.
    LeaveFast { lowest_level: i8 },
}

impl Preference {
    /// Returns the rank of a worker of a level of speed; a lower one is preferred.
    pub(crate) fn rank(self, level: i8) -> u8 {
        let slowness = level.min(0).unsigned_abs();
        match self {
            Self::None => 0,
            Self::Fastest => i8::MAX.abs_diff(level),
            Self::NoneSlow => slowness,
            Self::LeaveFast { lowest_level } if level < lowest_level => {
                PATIENT_FAST_RANK + slowness
            }
            Self::LeaveFast { .. } => match level {
                ..0 => 0,
                0 => PATIENT_USUAL_RANK,
                1.. => PATIENT_FAST_RANK,
            },
        }
    }
}

/// Returns the lowest level of speed on which a task of `estimated_ms` ends within its share of
/// `left_ms`; at most 0.
fn lowest_level(estimated_ms: u32, left_ms: u64) -> i8 {
    let limit_ms = left_ms as f64 * MAX_OBJECTIVE_SHARE;
    let ends_in_time = |level: &i8| f64::from(estimated_ms) / speed::speed_of(*level) <= limit_ms;
    let levels = (speed::MIN_LEVEL..=0).rev();
    levels.take_while(ends_in_time).last().unwrap_or_default()
}

impl scheduler::Scheduler {
    /// Returns what a step prefers.
    pub(crate) fn preference(
        &self,
        context: &placement::StepContext<'_>,
        pass: &pass::Pass,
    ) -> Preference {
        if !pass.are_levels_distinct {
            return Preference::None;
        }
        let step = context.step;
        if step.gang {
            return Preference::NoneSlow;
        }
        if self.is_urgent(context) {
            return Preference::Fastest;
        }
        let left_ms = self.jobs.get(&context.key.job_id).map_or(0, |state| {
            let occurrence = state.occurrences.get(context.key.occurrence as usize);
            let due_at_ms = occurrence.and_then(|one| one.due_at_ms);
            let since_ms = due_at_ms.unwrap_or(state.accepted_at_ms);
            (since_ms + state.objective_ms).saturating_sub(pass.wall_ms)
        });
        Preference::LeaveFast {
            lowest_level: lowest_level(step.estimated_ms, left_ms),
        }
    }

    /// Returns whether a step is short or has the highest of several priorities in its pool.
    fn is_urgent(&self, context: &placement::StepContext<'_>) -> bool {
        let (step, queue) = (context.step, context.queue);
        if step.long_running {
            return false;
        }
        if step.estimated_ms <= MAX_URGENT_ESTIMATE_MS {
            return true;
        }
        let queues = self.manifest.queues.values();
        let in_pool = queues.filter(|other| other.pool == queue.pool);
        let priorities = in_pool.map(|other| other.priority);
        let (mut has_lower, mut has_higher) = (false, false);
        for priority in priorities {
            has_lower |= priority > queue.priority;
            has_higher |= priority < queue.priority;
        }
        has_lower && !has_higher
    }
}
