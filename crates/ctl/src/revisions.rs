//! Finds the lowest revisions in force among live instances.

use indexmap::IndexMap;

use crate::status;

/// The newest revisions that are known to be in force at one instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct InstanceRevision {
    /// Revision of its customers list.
    pub customers: model::Revision,
    /// Revision of its plans list.
    pub plans: model::Revision,
}

/// What every live instance has reached.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct LowestRevisions {
    /// Live instances that the revisions are the lowest of; no instance means no revision.
    pub instances: usize,
    /// Lowest revision of the customers list; 0 if no instance is known.
    pub customers: model::Revision,
    /// Lowest revision of the plans list; 0 if no instance is known.
    pub plans: model::Revision,
}

/// Returns the lowest revisions among the instances that answered and those that any of them calls
/// alive.
///
/// Revisions only rise, so of several reports on one instance the highest counts.
#[must_use]
pub fn lowest_revisions(statuses: &[status::OperatorStatus]) -> LowestRevisions {
    let mut known = IndexMap::<&str, InstanceRevision>::new();
    for status in statuses {
        let own = InstanceRevision {
            customers: status.customers_revision,
            plans: status.plans_revision,
        };
        raise(&mut known, &status.instance_id, own);
        for peer in status.peers.iter().filter(|peer| peer.alive) {
            let reported = InstanceRevision {
                customers: peer.customers_revision,
                plans: peer.plans_revision,
            };
            raise(&mut known, &peer.instance_id, reported);
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

fn raise<'a>(
    known: &mut IndexMap<&'a str, InstanceRevision>,
    instance_id: &'a str,
    reported: InstanceRevision,
) {
    let entry = known.entry(instance_id).or_default();
    entry.customers = entry.customers.max(reported.customers);
    entry.plans = entry.plans.max(reported.plans);
}
