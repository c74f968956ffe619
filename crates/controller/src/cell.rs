//! The cell: the live instances and which of them leads, as the store tells.

use std::sync;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

/// Prefix of the keys that every instance watches.
pub(crate) const PREFIX: &str = "ferry/cell/";
/// Prefix of the entries of live instances.
pub(crate) const INSTANCES: &str = "ferry/cell/instance/";
/// Key of the leader; the revision of its entry is the leader's term.
pub(crate) const LEADER: &str = "ferry/cell/leader";
/// Key of the secret that instances show each other.
pub(crate) const SECRET: &str = "ferry/cell/secret";
/// An instance as it is written to the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Member {
    pub(crate) instance_id: model::InstanceId,
    /// `address:port` of its peer listener.
    pub(crate) address: sync::Arc<str>,
    /// Processor time of its machine, in thousandths of a core.
    pub(crate) strength_milli: u32,
}

/// The leader of a term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Leader {
    pub(crate) member: Member,
    pub(crate) term: model::Term,
}

/// What the store told last.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Cell {
    /// Live instances by key.
    members: IndexMap<String, Member>,
    pub(crate) leader: Option<Leader>,
    /// Revision up to which the cell is known; 0 before the first reading.
    pub(crate) revision: store::Revision,
}

impl Cell {
    /// Builds the cell from a whole reading.
    pub(crate) fn read(entries: Vec<store::Entry>, revision: store::Revision) -> Self {
        let mut cell = Self {
            revision,
            ..Self::default()
        };
        for entry in entries {
            cell.put(entry);
        }
        cell
    }

    /// Applies changes reported by a watch.
    pub(crate) fn apply(&mut self, changes: Vec<store::Change>) {
        for change in changes {
            match change {
                store::Change::Put(entry) => {
                    self.revision = self.revision.max(entry.modified_revision);
                    self.put(entry);
                }
                store::Change::Deleted { key, revision } => {
                    self.revision = self.revision.max(revision);
                    self.members.shift_remove(&key);
                    if key == LEADER {
                        self.leader = None;
                    }
                }
            }
        }
    }

    fn put(&mut self, entry: store::Entry) {
        let is_leader = entry.key == LEADER;
        if !is_leader && !entry.key.starts_with(INSTANCES) {
            return;
        }
        let Some(member) = decode::<Member>(&entry.value) else {
            log::warn!(key:% = entry.key; "entry of the cell cannot be read");
            return;
        };
        if is_leader {
            let term = entry.modified_revision;
            self.leader = Some(Leader { member, term });
        } else {
            self.members.insert(entry.key, member);
        }
    }

    /// Takes a leader that another instance has told of; returns whether it is a later one.
    pub(crate) fn learn(&mut self, leader: Leader) -> bool {
        let is_later = self
            .leader
            .as_ref()
            .is_none_or(|known| known.term < leader.term);
        if is_later {
            self.leader = Some(leader);
        }
        is_later
    }

    /// Returns the live instances.
    pub(crate) fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the place of an instance among the live ones: strong machines first, then by name.
    pub(crate) fn rank_of(&self, member: &Member) -> usize {
        let order = |one: &Member| (u32::MAX - one.strength_milli, one.instance_id.clone());
        let own = order(member);
        let before = self.members().filter(|other| order(other) < own);
        before.count()
    }
}

/// Encodes a value for the store.
pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Encoding to memory fails only for types that bincode cannot hold; none of these is one.
    bincode::serde::encode_to_vec(value, bincode::config::standard()).unwrap_or_default()
}

/// Decodes a value of the store.
pub(crate) fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let decoded = bincode::serde::decode_from_slice(bytes, bincode::config::standard());
    decoded.ok().map(|(value, _)| value)
}
