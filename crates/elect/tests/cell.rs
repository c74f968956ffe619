//! What an instance knows of the cell.

use std::time;

fn member(id: &str, strength_milli: u32) -> elect::Member {
    elect::Member {
        instance_id: id.into(),
        address: id.into(),
        strength_milli,
    }
}

/// Pattern: every machine has lost power, and a weak one is back first.
#[test]
fn a_weak_machine_leaves_a_vacancy_to_a_strong_one_that_is_not_back_yet() {
    let weak = member("weak", 120);
    let mut cell = elect::Cell::new(7);
    cell.put_member("weak", weak.clone());
    assert_eq!(cell.delay_of(&weak), time::Duration::ZERO);
    cell.record_strongest(500);
    assert!(cell.delay_of(&weak) >= time::Duration::from_millis(500));
    assert_eq!(cell.delay_of(&member("strong", 500)), time::Duration::ZERO);
}

#[test]
fn the_strongest_machine_is_recorded_once_the_store_has_been_read() {
    let mut cell = elect::Cell::default();
    assert!(!cell.outdoes_record(&member("a", 250)));
    cell.advance(1);
    assert!(cell.outdoes_record(&member("a", 250)));
    cell.record_strongest(250);
    assert!(!cell.outdoes_record(&member("a", 250)));
    assert!(cell.outdoes_record(&member("b", 500)));
}

#[test]
fn a_leader_is_learned_only_from_beyond_what_the_store_has_told() {
    let leader = |term| elect::Leader {
        member: member("a", 250),
        term,
    };
    let mut cell = elect::Cell::new(10);
    assert!(!cell.learn(leader(9)), "its term is over");
    assert!(cell.learn(leader(12)));
    assert!(!cell.learn(leader(11)));
    cell.advance(20);
    cell.set_leader(None);
    assert!(
        !cell.learn(leader(12)),
        "the store has told that it is over"
    );
}
