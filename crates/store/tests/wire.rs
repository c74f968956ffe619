//! Tests the exact requests of the client, with responses in the format of the real service.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time;

use expect_test::expect;
use store::Store as _;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net as tokio_net;

/// Responds to the next request with `response` and returns its path and body.
async fn serve_one(listener: &tokio_net::TcpListener, response: &str) -> String {
    let (mut stream, _) = listener.accept().await.unwrap();
    let request = read_request(&mut stream).await;
    let length_bytes = response.len();
    let head =
        format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {length_bytes}\r\n\r\n");
    stream
        .write_all(format!("{head}{response}").as_bytes())
        .await
        .unwrap();
    request
}

async fn read_request(stream: &mut tokio_net::TcpStream) -> String {
    let mut text = String::new();
    loop {
        let mut buffer = [0; 4096];
        let read_bytes = stream.read(&mut buffer).await.unwrap();
        text.push_str(std::str::from_utf8(&buffer[..read_bytes]).unwrap());
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let content_length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "))
            .unwrap();
        if body.len() == content_length.parse::<usize>().unwrap() {
            let path = head.split(' ').nth(1).unwrap();
            return format!("{path} {body}");
        }
    }
}

async fn bind() -> (tokio_net::TcpListener, store::Etcd) {
    let listener = tokio_net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let client = store::Etcd::builder()
        .addresses([address])
        .timeout(time::Duration::from_secs(20))
        .build();
    (listener, client)
}

#[tokio::test]
async fn a_transaction_request_contains_conditions_and_changes() {
    let (listener, client) = bind().await;
    let txn = store::Txn {
        compares: vec![
            store::Compare::Absent {
                key: "a".to_owned(),
            },
            store::Compare::ModifiedAt {
                key: "b".to_owned(),
                revision: 7,
            },
            store::Compare::ValueIs {
                key: "c".to_owned(),
                value: b"old".to_vec(),
            },
        ],
        puts: vec![store::Put {
            key: "a".to_owned(),
            value: b"new".to_vec(),
            lease_id: Some(9),
        }],
        deletes: vec!["c".to_owned()],
    };
    // The real service omits fields with their default value, here `succeeded`.
    let response = r#"{"header":{"cluster_id":"1","revision":"8","raft_term":"2"}}"#;
    let (request, committed) = tokio::join!(serve_one(&listener, response), client.commit(txn));
    assert_eq!(
        committed.unwrap(),
        store::TxnOutcome {
            succeeded: false,
            revision: 8
        }
    );
    expect![[r#"/v3/kv/txn {"compare":[{"key":"YQ==","target":"CREATE","result":"EQUAL","create_revision":"0"},{"key":"Yg==","target":"MOD","result":"EQUAL","mod_revision":"7"},{"key":"Yw==","target":"VALUE","result":"EQUAL","value":"b2xk"}],"success":[{"request_put":{"key":"YQ==","value":"bmV3","lease":"9"}},{"request_delete_range":{"key":"Yw=="}}]}"#]].assert_eq(&request);
}

#[tokio::test]
async fn a_range_request_contains_the_limit_and_the_first_key() {
    let (listener, client) = bind().await;
    let response = r#"{"header":{"revision":"8"},"kvs":[{"key":"cC8z","create_revision":"3","mod_revision":"4","version":"2","value":"MQ=="}],"more":true,"count":"9"}"#;
    let (request, page) = tokio::join!(
        serve_one(&listener, response),
        client.range("p/", 1, Some("p/2"))
    );
    expect![[r#"/v3/kv/range {"key":"cC8yAA==","range_end":"cDA=","limit":"1"}"#]]
        .assert_eq(&request);
    let entry = store::Entry {
        key: "p/3".to_owned(),
        value: b"1".to_vec(),
        modified_revision: 4,
    };
    assert_eq!(
        page.unwrap(),
        store::Page {
            entries: vec![entry],
            more: true,
            revision: 8
        }
    );
}

#[tokio::test]
async fn a_lease_ttl_is_rounded_up_to_whole_seconds() {
    let (listener, client) = bind().await;
    let response = r#"{"header":{"revision":"8"},"ID":"7587","TTL":"2"}"#;
    let ttl = time::Duration::from_millis(1001);
    let (request, lease_id) = tokio::join!(serve_one(&listener, response), client.grant_lease(ttl));
    assert_eq!(lease_id.unwrap(), 7587);
    expect![[r#"/v3/lease/grant {"TTL":"2"}"#]].assert_eq(&request);
}

#[tokio::test]
async fn a_compacted_watch_fails_with_its_own_kind() {
    let (listener, client) = bind().await;
    let response = "{\"result\":{\"header\":{\"revision\":\"8\"},\"created\":true}}\n\
        {\"result\":{\"header\":{},\"canceled\":true,\"compact_revision\":\"6\"}}\n";
    let (request, watch) = tokio::join!(serve_one(&listener, response), client.watch("p/", 5));
    expect![[
        r#"/v3/watch {"create_request":{"key":"cC8=","range_end":"cDA=","start_revision":"5"}}"#
    ]]
    .assert_eq(&request);
    let error = store::Watch::next(&mut watch.unwrap()).await.unwrap_err();
    assert_eq!(error.kind(), store::ErrorKind::Compacted);
}

#[tokio::test]
async fn an_invalid_response_is_a_protocol_error() {
    let (listener, client) = bind().await;
    let (_, page) = tokio::join!(serve_one(&listener, "[]]"), client.get("a"));
    assert_eq!(page.unwrap_err().kind(), store::ErrorKind::Protocol);
}
