//! Exchange of the partition table between instances.

use std::time;

use model::InstanceId;
use model::PartitionTable;
use model::Tenure;
use owner::Event;
use owner::Owner;
use owner::OwnerSettings;

const SECOND: time::Duration = time::Duration::from_secs(1);
const PARTITION: model::Partition = 35;

fn owner(id: &str, now: time::Instant) -> Owner {
    let settings = OwnerSettings {
        instance_id: id.into(),
        started_unix_ms: 0,
        max_tasks: 10,
        max_attempts: 3,
        result_retention: 60 * SECOND,
        journal_retention: 600 * SECOND,
        journal_batch_delay: SECOND / 100,
        journal_batch_entries: 100,
        lease_ttl: SECOND,
        grace: SECOND,
        margin: SECOND,
        offer_validity: SECOND,
        dead_after: SECOND,
    };
    Owner::new(settings, now)
}

/// A table in which "a" owns everything, in generation 1.
fn table() -> PartitionTable {
    let tenure = Tenure {
        instance_id: "a".into(),
        generation: 1,
    };
    PartitionTable {
        tenures: vec![tenure; usize::from(model::PARTITIONS)],
    }
}

/// Passes `from`'s view of the table to `to`, as a peer's answer does.
fn send_table(from: &Owner, to: &mut Owner, now: time::Instant) {
    let newer = from.newer_tenures();
    let peer_table_received = Event::PeerTableReceived {
        table: from.stored_table().clone(),
        revision: from.table_revision(),
        newer: newer.map(|(id, tenure)| (id, tenure.clone())).collect(),
    };
    let _ = to.handle_event(peer_table_received, now);
}

/// Guards against losing a delegation in a planned stop under load: "b" accepts a partition, and
/// must not treat it as stored when "c" sends its table back, because the next stored revision, by
/// another writer, does not have it.
#[test]
fn unstored_delegation_survives_tables_of_peers() {
    let now = time::Instant::now();
    let [mut b, mut c] = ["b", "c"].map(|id| owner(id, now));
    for owner in [&mut b, &mut c] {
        let read = Event::TableRead {
            table: table(),
            revision: 7,
        };
        let _ = owner.handle_event(read, now);
    }
    let delegated = Event::Delegated {
        from: "a".into(),
        partitions: vec![(PARTITION, 2)],
        started: Vec::new(),
        queued: Vec::new(),
    };
    let _ = b.handle_event(delegated, now);
    send_table(&b, &mut c, now);
    let next = Event::TableRead {
        table: table(),
        revision: 8,
    };
    let _ = c.handle_event(next, now);
    send_table(&c, &mut b, now);
    let after = Event::TableRead {
        table: table(),
        revision: 9,
    };
    let _ = b.handle_event(after, now);
    let own = InstanceId::from("b");
    assert_eq!(b.owner_of(PARTITION), Some(&own));
    assert_eq!(c.owner_of(PARTITION), Some(&own));
}
