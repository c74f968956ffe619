//! What the store keeps of the cell: the live instances and which of them leads.

use serde::Serialize;

/// Prefix of the keys that every instance watches.
pub(crate) const PREFIX: &str = "ferry/cell/";
/// Prefix of the entries of live instances.
pub(crate) const INSTANCES: &str = "ferry/cell/instance/";
/// Key of the leader; the revision of its entry is the leader's term.
pub(crate) const LEADER: &str = "ferry/cell/leader";
/// Key of the processor time of the strongest machine that was ever a member, in thousandths of a
/// core; it outlives the entries of instances, so that a weak machine that starts first knows.
pub(crate) const STRONGEST: &str = "ferry/cell/strongest";
/// Key of the secret that instances show each other.
pub(crate) const SECRET: &str = "ferry/cell/secret";

/// Builds the cell from a whole reading.
pub(crate) fn read(entries: Vec<store::Entry>, revision: store::Revision) -> elect::ClusterView {
    let mut cell = elect::ClusterView::new(revision);
    for entry in entries {
        put(&mut cell, entry);
    }
    cell
}

/// Applies changes reported by a watch.
pub(crate) fn apply(cell: &mut elect::ClusterView, changes: Vec<store::Change>) {
    for change in changes {
        match change {
            store::Change::Put(entry) => {
                cell.advance_revision(entry.modified_revision);
                put(cell, entry);
            }
            store::Change::Deleted { key, revision } => {
                cell.advance_revision(revision);
                cell.remove_member(&key);
                if key == LEADER {
                    cell.set_leader(None);
                }
            }
        }
    }
}

fn put(cell: &mut elect::ClusterView, entry: store::Entry) {
    if entry.key == LEADER {
        cell.set_leader(leader_of(&entry));
    } else if entry.key == STRONGEST {
        cell.set_recorded_strength(decode(&entry.value).unwrap_or_default());
    } else if entry.key.starts_with(INSTANCES)
        && let Some(member) = member_of(&entry)
    {
        cell.put_member(entry.key, member);
    }
}

/// Returns the leader that an entry of the store names.
pub(crate) fn leader_of(entry: &store::Entry) -> Option<elect::Leader> {
    member_of(entry).map(|member| elect::Leader {
        member,
        term: entry.modified_revision,
    })
}

fn member_of(entry: &store::Entry) -> Option<elect::Member> {
    let member = decode(&entry.value);
    if member.is_none() {
        log::warn!(key:% = entry.key; "entry of the cell cannot be read");
    }
    member
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
