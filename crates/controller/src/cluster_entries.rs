//! Store entries of the cluster: its instances, the leader, the strongest machine and the secret.

use serde::Serialize;

/// Prefix of all keys of the cluster; every instance watches it.
pub(crate) const CLUSTER_PREFIX: &str = "ferry/cell/";
/// Prefix of the live instances' entries.
pub(crate) const INSTANCE_PREFIX: &str = "ferry/cell/instance/";
/// Key of the leader's entry; the entry's revision is the term.
pub(crate) const LEADER_KEY: &str = "ferry/cell/leader";
/// Key of the processor time of the strongest machine that was ever a member, in thousandths of a
/// core. It outlives the instances' entries, so that a weak machine that starts first delays its
/// claim.
pub(crate) const STRONGEST_KEY: &str = "ferry/cell/strongest";
/// Key of the list of voters. It lies outside the prefix, as only a leader reads it, and outlives the leader.
pub(crate) const VOTERS_KEY: &str = "ferry/voters";
/// Key of the secret with which instances authenticate each other.
pub(crate) const SECRET_KEY: &str = "ferry/cell/secret";

/// Builds the view from all entries of the cluster, as read at `revision`.
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

/// Applies the changes reported by a watch.
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
        view.set_leader(Some(decode_leader(&entry)));
    } else if entry.key == STRONGEST_KEY {
        view.set_recorded_strength(decode(&entry.value).unwrap_or_default());
    } else if entry.key.starts_with(INSTANCE_PREFIX)
        && let Some(member) = decode_member(&entry)
    {
        view.put_member(entry.key, member);
    }
}

/// Decodes the leader from the leader's entry.
pub(crate) fn decode_leader(entry: &store::Entry) -> elect::Leader {
    let term = entry.modified_revision;
    match decode_member(entry) {
        Some(member) => elect::Leader { member, term },
        None => elect::Leader::unreadable(term),
    }
}

fn decode_member(entry: &store::Entry) -> Option<elect::Member> {
    let member = decode(&entry.value);
    if member.is_none() {
        log::warn!(key:% = entry.key; "cluster entry cannot be decoded");
    }
    member
}

/// Encodes the value of a cluster entry.
pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Encoding to memory fails only for types that bincode does not support; none is used here.
    bincode::serde::encode_to_vec(value, bincode::config::standard()).unwrap_or_default()
}

/// Decodes the value of a cluster entry.
pub(crate) fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let decoded = bincode::serde::decode_from_slice(bytes, bincode::config::standard());
    decoded.ok().map(|(value, _)| value)
}
