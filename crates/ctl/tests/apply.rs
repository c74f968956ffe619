//! Write conflicts and lost replies in `apply`, against an in-memory store.

#[path = "common/fake_store.rs"]
mod fake_store;

use std::time;

use fake_store::CommitEvent;
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

fn list_file(text: &str) -> Option<ctl::ListFile> {
    Some(ctl::ListFile::parse("list.ini", text.to_owned()).expect("the list has a valid header"))
}

/// Returns options to write `text` as the plans list, edited from `revision`.
fn plans_options(revision: store::Revision, text: &str) -> ctl::ApplyOptions {
    ctl::ApplyOptions {
        plans: list_file(text),
        expect_revision: Some(revision),
        retry: ctl::RetryPolicy {
            max_attempts: 3,
            delay: time::Duration::ZERO,
        },
        ..ctl::ApplyOptions::default()
    }
}

async fn apply_error(store: &FakeStore, options: &ctl::ApplyOptions) -> (ctl::ErrorKind, String) {
    let error = ctl::apply(store, options)
        .await
        .expect_err("the lists are not applied");
    (error.kind(), error.to_string())
}

#[tokio::test]
async fn both_lists_are_written_at_one_revision() {
    let store = FakeStore::default();
    let options = ctl::ApplyOptions {
        customers: list_file(CUSTOMERS),
        ..plans_options(0, PLANS)
    };
    let report = ctl::apply(&store, &options).await.unwrap();
    let revisions: Vec<_> = report.lists.iter().map(|list| list.revision).collect();
    assert_eq!(revisions, [1, 1]);
    assert_eq!(store.text(lists::PLANS_KEY), Some((1, PLANS.to_owned())));
    let again = ctl::apply(&store, &options).await.unwrap();
    assert!(again.lists.iter().all(|list| !list.written));
    assert_eq!(store.commits(), 1);
}

#[tokio::test]
async fn a_revision_on_the_first_line_is_used_and_not_stored() {
    let store = FakeStore::default();
    store.set(lists::PLANS_KEY, PLANS);
    let options = ctl::ApplyOptions {
        expect_revision: None,
        ..plans_options(0, &format!("{}1\n{NEW_PLANS}", ctl::REVISION_HEADER))
    };
    ctl::apply(&store, &options).await.unwrap();
    assert_eq!(
        store.text(lists::PLANS_KEY),
        Some((2, NEW_PLANS.to_owned()))
    );
    let without_revision = ctl::ApplyOptions {
        expect_revision: None,
        ..plans_options(0, NEW_PLANS)
    };
    assert_eq!(
        apply_error(&store, &without_revision).await.0,
        ctl::ErrorKind::Usage
    );
}

#[tokio::test]
async fn an_edit_of_another_revision_is_a_lost_race() {
    let store = FakeStore::default();
    store.set(lists::PLANS_KEY, PLANS);
    store.set(lists::PLANS_KEY, OTHER_PLANS);
    for revision in [0, 1, 3] {
        let (kind, message) = apply_error(&store, &plans_options(revision, NEW_PLANS)).await;
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
async fn a_write_between_read_and_commit_is_a_lost_race() {
    let events = [CommitEvent::WriterFirst(lists::PLANS_KEY, OTHER_PLANS)];
    let store = FakeStore::new(events);
    store.set(lists::PLANS_KEY, PLANS);
    let (kind, _) = apply_error(&store, &plans_options(1, NEW_PLANS)).await;
    assert_eq!(kind, ctl::ErrorKind::LostRace);
    assert_eq!(
        store.text(lists::PLANS_KEY),
        Some((2, OTHER_PLANS.to_owned()))
    );
}

#[tokio::test]
async fn a_change_of_the_other_list_is_a_lost_race_too() {
    let events = [CommitEvent::WriterFirst(lists::CUSTOMERS_KEY, CUSTOMERS)];
    let store = FakeStore::new(events);
    store.set(lists::PLANS_KEY, PLANS);
    let without_house = "[guest]\nclasses = batch\n";
    let (kind, message) = apply_error(&store, &plans_options(1, without_house)).await;
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
    let (kind, message) =
        apply_error(&store, &plans_options(1, "[guest]\nclasses = batch\n")).await;
    assert_eq!(kind, ctl::ErrorKind::Findings);
    assert!(
        message.contains("customers:2: [a] plan: 'house' given"),
        "{message}"
    );
    assert_eq!(store.commits(), 0);
}

#[tokio::test]
async fn a_lost_reply_is_resolved_by_reading_back() {
    let store = FakeStore::new([CommitEvent::ReplyLost]);
    store.set(lists::PLANS_KEY, PLANS);
    let report = ctl::apply(&store, &plans_options(1, NEW_PLANS))
        .await
        .unwrap();
    assert_eq!(
        (report.lists[0].revision, report.lists[0].written),
        (2, true)
    );
    assert_eq!(store.commits(), 1);
}

#[tokio::test]
async fn a_lost_reply_is_resolved_after_the_retry_fails_its_condition() {
    let store = FakeStore::new([CommitEvent::ReplyLost]);
    store.set(lists::PLANS_KEY, PLANS);
    store.fail_reads(1);
    let report = ctl::apply(&store, &plans_options(1, NEW_PLANS))
        .await
        .unwrap();
    assert_eq!(report.lists[0].revision, 2);
    assert_eq!(store.commits(), 2);
}

#[tokio::test]
async fn a_lost_request_is_retried() {
    let store = FakeStore::new([CommitEvent::RequestLost, CommitEvent::Unavailable]);
    store.set(lists::PLANS_KEY, PLANS);
    let report = ctl::apply(&store, &plans_options(1, NEW_PLANS))
        .await
        .unwrap();
    assert_eq!(report.lists[0].revision, 2);
    assert_eq!(store.commits(), 3);
}

#[tokio::test]
async fn a_lost_request_followed_by_a_write_of_the_other_list_is_a_lost_race() {
    let events = [
        CommitEvent::RequestLost,
        CommitEvent::WriterFirst(lists::CUSTOMERS_KEY, CUSTOMERS),
    ];
    let store = FakeStore::new(events);
    store.set(lists::PLANS_KEY, PLANS);
    let (kind, _) = apply_error(&store, &plans_options(1, NEW_PLANS)).await;
    assert_eq!(kind, ctl::ErrorKind::LostRace);
    assert_eq!(store.text(lists::PLANS_KEY), Some((1, PLANS.to_owned())));
}

#[tokio::test]
async fn a_write_that_may_have_been_overwritten_is_unknown() {
    let events = [CommitEvent::ReplyLostThenWriter(
        lists::PLANS_KEY,
        OTHER_PLANS,
    )];
    let store = FakeStore::new(events);
    store.set(lists::PLANS_KEY, PLANS);
    let (kind, _) = apply_error(&store, &plans_options(1, NEW_PLANS)).await;
    assert_eq!(kind, ctl::ErrorKind::Unknown);
}

#[tokio::test]
async fn an_outage_is_unknown_after_the_write_and_refused_before_it() {
    let store = FakeStore::new([
        CommitEvent::ReplyLost,
        CommitEvent::Unavailable,
        CommitEvent::Unavailable,
    ]);
    store.set(lists::PLANS_KEY, PLANS);
    store.fail_reads(usize::MAX);
    assert_eq!(
        apply_error(&store, &plans_options(1, NEW_PLANS)).await.0,
        ctl::ErrorKind::Unknown
    );
    let store = FakeStore::new([CommitEvent::Unavailable]);
    assert_eq!(
        apply_error(&store, &plans_options(0, PLANS)).await.0,
        ctl::ErrorKind::Refused
    );
    assert_eq!(store.text(lists::PLANS_KEY), None);
}
