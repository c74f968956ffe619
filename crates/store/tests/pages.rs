//! Tests of reads of more entries than fit on a page.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use store::Store as _;

#[tokio::test]
async fn all_pages_are_read_in_order() {
    let address = "127.0.0.1:0".parse().unwrap();
    let server = standin::StoreServer::start(address).await.unwrap();
    let store = store::Etcd::builder()
        .addresses([server.address().to_string()])
        .build();
    let keys: Vec<_> = (0..25).map(|number| format!("cell/{number:02}")).collect();
    for key in keys.iter().map(String::as_str).chain(["other"]) {
        let put = store::Put {
            key: key.to_owned(),
            value: b"x".to_vec(),
            lease_id: None,
        };
        let txn = store::Txn {
            puts: vec![put],
            ..store::Txn::default()
        };
        store.commit(txn).await.unwrap();
    }
    for page_entries in [1, 10, 25, 100] {
        let all = store::read_all(&store, "cell/", page_entries)
            .await
            .unwrap();
        let found: Vec<_> = all.entries.into_iter().map(|entry| entry.key).collect();
        assert_eq!(found, keys, "{page_entries} a page");
        assert!(!all.more);
    }
    let first = store.range("cell/", 10, None).await.unwrap();
    assert!(first.more, "a single page is not all");
}
