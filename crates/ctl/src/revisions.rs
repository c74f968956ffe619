//! Lowest list revisions in force among the live instances.

use indexmap::IndexMap;

use crate::status;

/// The newest list revisions known to be in force on one instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct InstanceRevision {
    /// Revision of its customers list.
    pub customers: model::Revision,
    /// Revision of its plans list.
    pub plans: model::Revision,
}

/// The lowest list revisions that are in force on every live instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct LowestRevisions {
    /// Number of live instances that were counted; with 0, both revisions are 0.
    pub instances: usize,
    /// Lowest revision of the customers list; 0 if no instance is known.
    pub customers: model::Revision,
    /// Lowest revision of the plans list; 0 if no instance is known.
    pub plans: model::Revision,
}

/// Returns the lowest revisions among the instances that answered and the peers that any of them
/// reports as alive.
///
/// Revisions only increase, so the highest one reported for an instance is its latest.
#[must_use]
pub fn lowest_revisions(statuses: &[status::OperatorStatus]) -> LowestRevisions {
    let mut known = IndexMap::<&str, InstanceRevision>::new();
    for status in statuses {
        let own = InstanceRevision {
            customers: status.customers_revision,
            plans: status.plans_revision,
        };
        record_revisions(&mut known, &status.instance_id, own);
        for peer in status.peers.iter().filter(|peer| peer.alive) {
            let reported = InstanceRevision {
                customers: peer.customers_revision,
                plans: peer.plans_revision,
            };
            record_revisions(&mut known, &peer.instance_id, reported);
        }
    }
    let customers = known.values().map(|known| known.customers);
    let plans = known.values().map(|known| known.plans);
    LowestRevisions {
        instances: known.len(),
        customers: customers.min().unwrap_or(0),
        plans: plans.min().unwrap_or(0),
    }
}

fn record_revisions<'a>(
    known: &mut IndexMap<&'a str, InstanceRevision>,
    instance_id: &'a str,
    reported: InstanceRevision,
) {
    let entry = known.entry(instance_id).or_default();
    entry.customers = entry.customers.max(reported.customers);
    entry.plans = entry.plans.max(reported.plans);
}
