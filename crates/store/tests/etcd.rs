//! Tests the client against the stand-in server of the key-value service.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time;

use store::Store as _;
use store::Watch as _;

const ANY_PORT: &str = "127.0.0.1:0";
/// Long enough that a call times out only because of a fault.
const LONG_TIMEOUT: time::Duration = time::Duration::from_secs(20);
const SHORT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

async fn start_server() -> standin::StoreServer {
    standin::StoreServer::start(ANY_PORT.parse().unwrap())
        .await
        .unwrap()
}

fn client(server: &standin::StoreServer, timeout: time::Duration) -> store::Etcd {
    store::Etcd::builder()
        .addresses([server.address().to_string()])
        .timeout(timeout)
        .build()
}

fn put(key: &str, value: &str) -> store::Put {
    store::Put {
        key: key.to_owned(),
        value: value.into(),
        lease_id: None,
    }
}

fn create(key: &str, value: &str) -> store::Txn {
    store::Txn {
        compares: vec![store::Compare::Absent {
            key: key.to_owned(),
        }],
        puts: vec![put(key, value)],
        deletes: Vec::new(),
    }
}

fn update(key: &str, value: &str, revision: store::Revision) -> store::Txn {
    store::Txn {
        compares: vec![store::Compare::ModifiedAt {
            key: key.to_owned(),
            revision,
        }],
        puts: vec![put(key, value)],
        deletes: Vec::new(),
    }
}

async fn value_of(store: &store::Etcd, key: &str) -> Option<String> {
    let entry = store.get(key).await.unwrap();
    entry.map(|entry| String::from_utf8(entry.value).unwrap())
}

fn keys(entries: &[store::Entry]) -> Vec<&str> {
    entries.iter().map(|entry| entry.key.as_str()).collect()
}

/// Returns the changed keys; deleted ones are prefixed with a minus.
fn changed_keys(changes: &[store::Change]) -> Vec<String> {
    let names = changes.iter().map(|change| match change {
        store::Change::Put(entry) => entry.key.clone(),
        store::Change::Deleted { key, .. } => format!("-{key}"),
    });
    names.collect()
}

#[tokio::test]
async fn conditions_decide_whether_a_transaction_takes_effect() {
    let server = start_server().await;
    let store = client(&server, LONG_TIMEOUT);
    let first = store.commit(create("a", "1")).await.unwrap();
    assert!(first.succeeded);
    assert!(!store.commit(create("a", "2")).await.unwrap().succeeded);
    assert_eq!(
        store.get("a").await.unwrap().unwrap().modified_revision,
        first.revision
    );

    let second = store
        .commit(update("a", "3", first.revision))
        .await
        .unwrap();
    assert!(second.succeeded && second.revision > first.revision);
    assert!(
        !store
            .commit(update("a", "4", first.revision))
            .await
            .unwrap()
            .succeeded
    );

    let delete_if = |value: &str| store::Txn {
        compares: vec![store::Compare::ValueIs {
            key: "a".to_owned(),
            value: value.into(),
        }],
        puts: vec![put("b", "moved")],
        deletes: vec!["a".to_owned()],
    };
    assert!(!store.commit(delete_if("1")).await.unwrap().succeeded);
    assert!(store.commit(delete_if("3")).await.unwrap().succeeded);
    assert_eq!(value_of(&store, "a").await, None);
    assert_eq!(value_of(&store, "b").await.as_deref(), Some("moved"));
    assert_eq!(server.counts().writes, 6);
    assert_eq!(
        store.call_counts(),
        store::CallCounts {
            reads: 3,
            writes: 6,
            watches: 0
        }
    );
    server.shutdown().await;
}

#[tokio::test]
async fn a_prefix_is_read_page_by_page() {
    let server = start_server().await;
    let store = client(&server, LONG_TIMEOUT);
    for key in ["j/1", "j/2", "j/3", "j/4", "j/5", "k/1", "i/9"] {
        store.commit(create(key, "v")).await.unwrap();
    }
    let first = store.range("j/", 2, None).await.unwrap();
    assert_eq!(
        (keys(&first.entries), first.more),
        (vec!["j/1", "j/2"], true)
    );
    let second = store.range("j/", 2, Some("j/2")).await.unwrap();
    assert_eq!(
        (keys(&second.entries), second.more),
        (vec!["j/3", "j/4"], true)
    );
    let last = store.range("j/", 2, Some("j/4")).await.unwrap();
    assert_eq!((keys(&last.entries), last.more), (vec!["j/5"], false));
    assert!(store.range("z/", 2, None).await.unwrap().entries.is_empty());
    server.shutdown().await;
}

#[tokio::test]
async fn the_outcome_of_a_write_with_a_lost_response_is_read_back() {
    let server = start_server().await;
    let store = client(&server, LONG_TIMEOUT);
    server
        .set_faults(standin::StoreFaults {
            lose_replies: 1,
            ..Default::default()
        })
        .await;

    let error = store.commit(create("a", "mine")).await.unwrap_err();
    assert_eq!(error.kind(), store::ErrorKind::OutcomeUnknown);
    let put_outcome = store::read_put_outcome(&store, &put("a", "mine"), None)
        .await
        .unwrap();
    let revision = store.get("a").await.unwrap().unwrap().modified_revision;
    assert_eq!(put_outcome, store::PutOutcome::Applied(revision));
    assert_eq!(server.counts().writes, 1, "the write was not sent twice");

    let superseded = store::read_put_outcome(&store, &put("a", "other"), None)
        .await
        .unwrap();
    assert!(
        matches!(superseded, store::PutOutcome::Superseded(Some(entry)) if entry.value == b"mine")
    );
    let unchanged = store::read_put_outcome(&store, &put("b", "x"), None)
        .await
        .unwrap();
    assert_eq!(unchanged, store::PutOutcome::Unchanged);
    server.shutdown().await;
}

#[tokio::test]
async fn a_write_slower_than_the_timeout_may_take_effect_later() {
    let server = start_server().await;
    let store = client(&server, SHORT_TIMEOUT);
    server
        .set_faults(standin::StoreFaults {
            delay_ms: 1500,
            ..Default::default()
        })
        .await;
    let error = store.commit(create("a", "late")).await.unwrap_err();
    assert_eq!(error.kind(), store::ErrorKind::OutcomeUnknown);
    server.set_faults(standin::StoreFaults::default()).await;
    let long_timeout_client = client(&server, LONG_TIMEOUT);
    while value_of(&long_timeout_client, "a").await.is_none() {
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
    assert_eq!(server.counts().writes, 1);
    server.shutdown().await;
}

#[tokio::test]
async fn refused_and_silent_connections_fail_with_different_kinds() {
    let server = start_server().await;
    let store = client(&server, SHORT_TIMEOUT);
    server
        .set_faults(standin::StoreFaults {
            reachability: standin::Reachability::Down,
            ..Default::default()
        })
        .await;
    let down = store.commit(create("a", "1")).await.unwrap_err();
    assert_eq!(down.kind(), store::ErrorKind::Unavailable);
    assert_eq!(
        store.get("a").await.unwrap_err().kind(),
        store::ErrorKind::Unavailable
    );

    server
        .set_faults(standin::StoreFaults {
            reachability: standin::Reachability::Silent,
            ..Default::default()
        })
        .await;
    let silent = store.commit(create("a", "1")).await.unwrap_err();
    assert_eq!(silent.kind(), store::ErrorKind::OutcomeUnknown);
    assert_eq!(
        store.get("a").await.unwrap_err().kind(),
        store::ErrorKind::OutcomeUnknown
    );

    server.set_faults(standin::StoreFaults::default()).await;
    let long_timeout_client = client(&server, LONG_TIMEOUT);
    assert_eq!(
        value_of(&long_timeout_client, "a").await,
        None,
        "the refused writes had no effect"
    );
    assert_eq!(store.get("a").await.map_err(|error| error.kind()), Ok(None));
    server.shutdown().await;
}

#[tokio::test]
async fn a_write_goes_to_the_next_address_only_if_it_was_not_sent() {
    let (unreachable, reachable) = (start_server().await, start_server().await);
    let unreachable_address = unreachable.address().to_string();
    let down = standin::StoreFaults {
        reachability: standin::Reachability::Down,
        ..Default::default()
    };
    unreachable.set_faults(down).await;
    let store = store::Etcd::builder()
        .addresses([unreachable_address, reachable.address().to_string()])
        .timeout(LONG_TIMEOUT)
        .build();
    assert!(store.commit(create("a", "1")).await.unwrap().succeeded);
    assert_eq!(store.call_counts().writes, 2);
    assert!(store.commit(create("b", "1")).await.unwrap().succeeded);
    assert_eq!(
        store.call_counts().writes,
        3,
        "the address that responded is tried first"
    );

    reachable
        .set_faults(standin::StoreFaults {
            lose_replies: 1,
            ..Default::default()
        })
        .await;
    let error = store.commit(create("c", "1")).await.unwrap_err();
    assert_eq!(error.kind(), store::ErrorKind::OutcomeUnknown);
    assert_eq!(
        store.call_counts().writes,
        4,
        "a write that may have been sent is not sent to another address"
    );
    unreachable.shutdown().await;
    reachable.shutdown().await;
}

#[tokio::test]
async fn a_value_that_is_too_large_is_not_sent() {
    let server = start_server().await;
    let store = client(&server, LONG_TIMEOUT);
    let mut txn = create("a", "");
    txn.puts[0].value = vec![0; store::MAX_VALUE_BYTES + 1];
    let error = store.commit(txn.clone()).await.unwrap_err();
    assert_eq!(error.kind(), store::ErrorKind::TooLarge);
    assert_eq!(server.counts().writes, 0);
    txn.puts[0].value.pop();
    assert!(store.commit(txn).await.unwrap().succeeded);
    assert_eq!(
        store.get("a").await.unwrap().unwrap().value.len(),
        store::MAX_VALUE_BYTES
    );
    server.shutdown().await;
}

#[tokio::test]
async fn a_watch_returns_past_and_later_changes_until_the_connection_ends() {
    let server = start_server().await;
    let store = client(&server, LONG_TIMEOUT);
    let first = store.commit(create("w/a", "1")).await.unwrap();
    store.commit(create("other", "1")).await.unwrap();
    let mut watch = store.watch("w/", first.revision).await.unwrap();
    assert_eq!(changed_keys(&watch.next().await.unwrap()), ["w/a"]);

    store.commit(create("w/b", "1")).await.unwrap();
    let delete = store::Txn {
        deletes: vec!["w/a".to_owned(), "w/b".to_owned()],
        ..Default::default()
    };
    store.commit(delete).await.unwrap();
    let last = store.commit(create("w/c", "7")).await.unwrap();
    assert_eq!(changed_keys(&watch.next().await.unwrap()), ["w/b"]);
    assert_eq!(changed_keys(&watch.next().await.unwrap()), ["-w/a", "-w/b"]);
    let changed = watch.next().await.unwrap();
    assert_eq!(changed_keys(&changed), ["w/c"]);
    let expected = store::Change::Put(store::Entry {
        key: "w/c".to_owned(),
        value: b"7".to_vec(),
        modified_revision: last.revision,
    });
    assert_eq!(changed, [expected]);
    assert_eq!(store.call_counts().watches, 1);

    let down = standin::StoreFaults {
        reachability: standin::Reachability::Down,
        ..Default::default()
    };
    server.set_faults(down).await;
    let ended = watch.next().await.unwrap_err();
    assert_eq!(ended.kind(), store::ErrorKind::Unavailable);
    server.shutdown().await;
}

#[tokio::test]
async fn a_watch_that_replaces_a_silent_one_misses_no_change() {
    let server = start_server().await;
    let store = client(&server, LONG_TIMEOUT);
    let from_revision = store.range("w/", 1, None).await.unwrap().revision + 1;
    let mut watch = store.watch("w/", from_revision).await.unwrap();
    let silent = standin::StoreFaults {
        reachability: standin::Reachability::Silent,
        ..Default::default()
    };
    server.set_faults(silent).await;
    server.set_faults(standin::StoreFaults::default()).await;
    store.commit(create("w/a", "1")).await.unwrap();
    assert!(
        tokio::time::timeout(SHORT_TIMEOUT, watch.next())
            .await
            .is_err()
    );
    let mut new_watch = store.watch("w/", from_revision).await.unwrap();
    assert_eq!(changed_keys(&new_watch.next().await.unwrap()), ["w/a"]);
    server.shutdown().await;
}

#[tokio::test]
async fn keys_are_deleted_when_their_lease_ends() {
    let server = start_server().await;
    let store = client(&server, LONG_TIMEOUT);
    let lease_id = store
        .grant_lease(time::Duration::from_millis(1))
        .await
        .unwrap();
    let mut txn = create("a", "1");
    txn.puts[0].lease_id = Some(lease_id);
    assert!(store.commit(txn).await.unwrap().succeeded);
    store.commit(create("b", "1")).await.unwrap();
    while store.get("a").await.unwrap().is_some() {
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    assert!(store.get("b").await.unwrap().is_some());
    assert!(!store.renew_lease(lease_id).await.unwrap());
    let active_lease_id = store
        .grant_lease(time::Duration::from_secs(60))
        .await
        .unwrap();
    assert!(store.renew_lease(active_lease_id).await.unwrap());
    server.shutdown().await;
}
