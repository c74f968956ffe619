//! What the store keeps of the cell: the live instances and which of them leads.

use serde::Serialize;

/// Prefix of the keys that every instance watches.
pub(crate) const CLUSTER_PREFIX: &str = "ferry/cell/";
/// Prefix of the entries of live instances.
pub(crate) const INSTANCE_PREFIX: &str = "ferry/cell/instance/";
/// Key of the leader; the revision of its entry is the leader's term.
pub(crate) const LEADER_KEY: &str = "ferry/cell/leader";
/// Key of the processor time of the strongest machine that was ever a member, in thousandths of a
/// core; it outlives the entries of instances, so that a weak machine that starts first knows.
pub(crate) const STRONGEST_KEY: &str = "ferry/cell/strongest";
/// Key of the secret that instances show each other.
pub(crate) const SECRET_KEY: &str = "ferry/cell/secret";

/// Builds the cell from a whole reading.
pub(crate) fn build_view(
    entries: Vec<store::Entry>,
    revision: store::Revision,
) -> elect::ClusterView {
    let mut view = elect::ClusterView::new(revision);
    for entry in entries {
        put_entry(&mut view, entry);
    }
    view
}

/// Applies changes reported by a watch.
pub(crate) fn apply_changes(view: &mut elect::ClusterView, changes: Vec<store::Change>) {
    for change in changes {
        match change {
            store::Change::Put(entry) => {
                view.advance_revision(entry.modified_revision);
                put_entry(view, entry);
            }
            store::Change::Deleted { key, revision } => {
                view.advance_revision(revision);
                view.remove_member(&key);
                if key == LEADER_KEY {
                    view.set_leader(None);
                }
            }
        }
    }
}

fn put_entry(view: &mut elect::ClusterView, entry: store::Entry) {
    if entry.key == LEADER_KEY {
        view.set_leader(decode_leader(&entry));
    } else if entry.key == STRONGEST_KEY {
        view.set_recorded_strength(decode(&entry.value).unwrap_or_default());
    } else if entry.key.starts_with(INSTANCE_PREFIX)
        && let Some(member) = decode_member(&entry)
    {
        view.put_member(entry.key, member);
    }
}

/// Returns the leader that an entry of the store names.
pub(crate) fn decode_leader(entry: &store::Entry) -> Option<elect::Leader> {
    decode_member(entry).map(|member| elect::Leader {
        member,
        term: entry.modified_revision,
    })
}

fn decode_member(entry: &store::Entry) -> Option<elect::Member> {
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
