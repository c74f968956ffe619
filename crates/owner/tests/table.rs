//! The partition table as instances hand it on.

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
        unix_ms: 0,
        max_tasks: 10,
        max_attempts: 3,
        result_retention: 60 * SECOND,
        journal_retention: 600 * SECOND,
        journal_batch: SECOND / 100,
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

/// Tells `to` what `from` knows, as a peer's answer does.
fn tell(from: &Owner, to: &mut Owner, now: time::Instant) {
    let newer = from.newer_tenures();
    let heard = Event::TableHeard {
        table: from.stored_table().clone(),
        revision: from.table_revision(),
        newer: newer.map(|(id, tenure)| (id, tenure.clone())).collect(),
    };
    let _ = to.on(heard, now);
}

/// Found by a planned stop beside load: "b" took over a partition by delegation and heard of it
/// from "c" as if the store had it; the store's next revision, written by somebody else, did not.
#[test]
fn a_delegation_that_the_store_does_not_have_survives_the_tables_of_peers() {
    let now = time::Instant::now();
    let [mut b, mut c] = ["b", "c"].map(|id| owner(id, now));
    for one in [&mut b, &mut c] {
        let read = Event::TableRead {
            table: table(),
            revision: 7,
        };
        let _ = one.on(read, now);
    }
    let delegated = Event::Delegated {
        from: "a".into(),
        partitions: vec![(PARTITION, 2)],
        started: Vec::new(),
        queued: Vec::new(),
    };
    let _ = b.on(delegated, now);
    tell(&b, &mut c, now);
    let next = Event::TableRead {
        table: table(),
        revision: 8,
    };
    let _ = c.on(next, now);
    tell(&c, &mut b, now);
    let after = Event::TableRead {
        table: table(),
        revision: 9,
    };
    let _ = b.on(after, now);
    let own = InstanceId::from("b");
    assert_eq!(b.owner_of(PARTITION), Some(&own));
    assert_eq!(c.owner_of(PARTITION), Some(&own));
}
