//! Counts the members of each service by data centre and rack.

use std::sync;

/// Customer and kind of a task; all tasks of class service with the same key form one service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct KindKey {
    pub(crate) customer_id: model::CustomerId,
    pub(crate) kind: sync::Arc<str>,
}

impl KindKey {
    pub(crate) fn of(task: &model::Task) -> Self {
        Self {
            customer_id: task.customer_id.clone(),
            kind: task.spec.kind.clone(),
        }
    }
}

/// Number of members of one service in a data centre and in one of its racks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Load {
    pub(crate) data_centre: u32,
    pub(crate) rack: u32,
}

/// Member counts of every service by location.
#[derive(Debug, Default)]
pub(crate) struct Spread {
    services: indexmap::IndexMap<KindKey, indexmap::IndexMap<model::Location, u32>>,
}

impl Spread {
    pub(crate) fn add(&mut self, key: KindKey, location: &model::Location) {
        let racks = self.services.entry(key).or_default();
        *racks.entry(location.clone()).or_default() += 1;
    }

    pub(crate) fn remove(&mut self, key: &KindKey, location: &model::Location) {
        let Some(racks) = self.services.get_mut(key) else {
            return;
        };
        if let Some(count) = racks.get_mut(location) {
            *count -= 1;
            if *count == 0 {
                racks.swap_remove(location);
            }
        }
        if racks.is_empty() {
            self.services.swap_remove(key);
        }
    }

    pub(crate) fn load(&self, key: &KindKey, location: &model::Location) -> Load {
        let Some(racks) = self.services.get(key) else {
            return Load::default();
        };
        let near = racks.iter().filter(|(other, _)| {
            other.region == location.region && other.data_centre == location.data_centre
        });
        Load {
            data_centre: near.map(|(_, count)| count).sum(),
            rack: racks.get(location).copied().unwrap_or(0),
        }
    }
}
