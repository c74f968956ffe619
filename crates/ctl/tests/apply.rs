//! Write conflicts and lost replies in `apply`, against an in-memory store.

#[path = "common/fake_store.rs"]
mod fake_store;

use std::time;

use fake_store::Event;
use fake_store::FakeStore;

const PLANS: &str = "[house]\nclasses = batch\n";
const NEW_PLANS: &str = "[house]\nweight = 2\nclasses = batch\n";
const OTHER_PLANS: &str = "[house]\nweight = 9\nclasses = batch\n";
const CUSTOMERS: &str = "\
[a]
plan = house
region = almaty
token_sha256 = 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef
";

fn file(text: &str) -> Option<ctl::ListFile> {
    Some(ctl::ListFile::parse("list.ini", text.to_owned()).expect("the list has a valid header"))
}

/// Returns options to write `text` as the plans list, edited from `revision`.
fn plans_from(revision: store::Revision, text: &str) -> ctl::Apply {
    ctl::Apply {
        plans: file(text),
        expect_revision: Some(revision),
        settle: ctl::SettleTiming {
            tries: 3,
            pause: time::Duration::ZERO,
        },
        ..ctl::Apply::default()
    }
}

async fn fails(store: &FakeStore, order: &ctl::Apply) -> (ctl::ErrorKind, String) {
    let error = ctl::apply(store, order)
        .await
        .expect_err("the lists are not applied");
    (error.kind(), error.to_string())
}

#[tokio::test]
async fn both_lists_are_written_at_one_revision() {
    let store = FakeStore::default();
    let order = ctl::Apply {
        customers: file(CUSTOMERS),
        ..plans_from(0, PLANS)
    };
    let report = ctl::apply(&store, &order).await.unwrap();
    let revisions: Vec<_> = report.lists.iter().map(|list| list.revision).collect();
    assert_eq!(revisions, [1, 1]);
    assert_eq!(store.text(lists::PLANS_KEY), Some((1, PLANS.to_owned())));
    let again = ctl::apply(&store, &order).await.unwrap();
    assert!(again.lists.iter().all(|list| !list.written));
    assert_eq!(store.commits(), 1);
}

#[tokio::test]
async fn the_revision_on_the_first_line_counts_and_is_not_stored() {
    let store = FakeStore::default();
    store.set(lists::PLANS_KEY, PLANS);
    let order = ctl::Apply {
        expect_revision: None,
        ..plans_from(0, &format!("{}1\n{NEW_PLANS}", ctl::REVISION_HEADER))
    };
    ctl::apply(&store, &order).await.unwrap();
    assert_eq!(
        store.text(lists::PLANS_KEY),
        Some((2, NEW_PLANS.to_owned()))
    );
    let untold = ctl::Apply {
        expect_revision: None,
        ..plans_from(0, NEW_PLANS)
    };
    assert_eq!(fails(&store, &untold).await.0, ctl::ErrorKind::Usage);
}

#[tokio::test]
async fn an_edit_of_an_older_revision_changes_nothing() {
    let store = FakeStore::default();
    store.set(lists::PLANS_KEY, PLANS);
    store.set(lists::PLANS_KEY, OTHER_PLANS);
    for revision in [0, 1, 3] {
        let (kind, message) = fails(&store, &plans_from(revision, NEW_PLANS)).await;
        assert_eq!(kind, ctl::ErrorKind::LostRace);
        assert!(
            message.starts_with("the plans list is at revision 2"),
            "{message}"
        );
    }
    assert_eq!(
        store.text(lists::PLANS_KEY),
        Some((2, OTHER_PLANS.to_owned()))
    );
}

#[tokio::test]
async fn a_writer_between_read_and_write_wins() {
    let events = [Event::WriterFirst(lists::PLANS_KEY, OTHER_PLANS)];
    let store = FakeStore::new(events);
    store.set(lists::PLANS_KEY, PLANS);
    let (kind, _) = fails(&store, &plans_from(1, NEW_PLANS)).await;
    assert_eq!(kind, ctl::ErrorKind::LostRace);
    assert_eq!(
        store.text(lists::PLANS_KEY),
        Some((2, OTHER_PLANS.to_owned()))
    );
}

#[tokio::test]
async fn a_change_of_the_other_list_is_a_lost_race_too() {
    let events = [Event::WriterFirst(lists::CUSTOMERS_KEY, CUSTOMERS)];
    let store = FakeStore::new(events);
    store.set(lists::PLANS_KEY, PLANS);
    let without_house = "[guest]\nclasses = batch\n";
    let (kind, message) = fails(&store, &plans_from(1, without_house)).await;
    assert_eq!(kind, ctl::ErrorKind::LostRace);
    assert!(
        message.starts_with("the customers list is at revision 2"),
        "{message}"
    );
    assert_eq!(store.text(lists::PLANS_KEY), Some((1, PLANS.to_owned())));
}

#[tokio::test]
async fn a_plan_in_use_cannot_be_removed() {
    let store = FakeStore::default();
    store.set(lists::PLANS_KEY, PLANS);
    store.set(lists::CUSTOMERS_KEY, CUSTOMERS);
    let (kind, message) = fails(&store, &plans_from(1, "[guest]\nclasses = batch\n")).await;
    assert_eq!(kind, ctl::ErrorKind::Findings);
    assert!(
        message.contains("customers:2: [a] plan: 'house' given"),
        "{message}"
    );
    assert_eq!(store.commits(), 0);
}

#[tokio::test]
async fn a_lost_reply_is_settled_by_reading_back() {
    let store = FakeStore::new([Event::ReplyLost]);
    store.set(lists::PLANS_KEY, PLANS);
    let report = ctl::apply(&store, &plans_from(1, NEW_PLANS)).await.unwrap();
    assert_eq!(
        (report.lists[0].revision, report.lists[0].written),
        (2, true)
    );
    assert_eq!(store.commits(), 1);
}

#[tokio::test]
async fn a_lost_reply_is_settled_by_the_refused_repetition_too() {
    let store = FakeStore::new([Event::ReplyLost]);
    store.set(lists::PLANS_KEY, PLANS);
    store.fail_reads(1);
    let report = ctl::apply(&store, &plans_from(1, NEW_PLANS)).await.unwrap();
    assert_eq!(report.lists[0].revision, 2);
    assert_eq!(store.commits(), 2);
}

#[tokio::test]
async fn a_lost_request_is_repeated() {
    let store = FakeStore::new([Event::RequestLost, Event::Unavailable]);
    store.set(lists::PLANS_KEY, PLANS);
    let report = ctl::apply(&store, &plans_from(1, NEW_PLANS)).await.unwrap();
    assert_eq!(report.lists[0].revision, 2);
    assert_eq!(store.commits(), 3);
}

#[tokio::test]
async fn a_lost_request_overtaken_by_another_list_is_a_lost_race() {
    let events = [
        Event::RequestLost,
        Event::WriterFirst(lists::CUSTOMERS_KEY, CUSTOMERS),
    ];
    let store = FakeStore::new(events);
    store.set(lists::PLANS_KEY, PLANS);
    let (kind, _) = fails(&store, &plans_from(1, NEW_PLANS)).await;
    assert_eq!(kind, ctl::ErrorKind::LostRace);
    assert_eq!(store.text(lists::PLANS_KEY), Some((1, PLANS.to_owned())));
}

#[tokio::test]
async fn a_write_that_may_have_been_replaced_is_unknown() {
    let events = [Event::ReplyLostThenWriter(lists::PLANS_KEY, OTHER_PLANS)];
    let store = FakeStore::new(events);
    store.set(lists::PLANS_KEY, PLANS);
    let (kind, _) = fails(&store, &plans_from(1, NEW_PLANS)).await;
    assert_eq!(kind, ctl::ErrorKind::Unknown);
}

#[tokio::test]
async fn an_outage_after_the_write_is_unknown_and_before_it_refused() {
    let store = FakeStore::new([Event::ReplyLost, Event::Unavailable, Event::Unavailable]);
    store.set(lists::PLANS_KEY, PLANS);
    store.fail_reads(usize::MAX);
    assert_eq!(
        fails(&store, &plans_from(1, NEW_PLANS)).await.0,
        ctl::ErrorKind::Unknown
    );
    let store = FakeStore::new([Event::Unavailable]);
    assert_eq!(
        fails(&store, &plans_from(0, PLANS)).await.0,
        ctl::ErrorKind::Refused
    );
    assert_eq!(store.text(lists::PLANS_KEY), None);
}
