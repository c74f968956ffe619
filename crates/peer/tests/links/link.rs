//! Tests requests, limits, refusals, silent connections and shutdown over real connections.

use crate::common;

use std::sync::atomic;

use peer::ErrorKind;
use peer::RefusalReason;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_requests_get_their_own_responses_over_one_connection() {
    let test_server =
        common::TestServer::start(peer::Server::new(common::identity("server#1"))).await;
    let link = common::link(common::identity("client#1"), &test_server.address);
    let mut requests = tokio::task::JoinSet::new();
    for number in 0..2000 {
        let link = link.clone();
        requests.spawn(async move {
            let request = common::lookup("customer", number);
            (number, link.request(&request, common::LONG_TIMEOUT).await)
        });
    }
    while let Some(joined) = requests.join_next().await {
        let (number, response) = joined.expect("no panic");
        let expected = common::text_response(&number.to_string());
        assert_eq!(response.expect("answered"), expected);
    }
    let counts = link.counts();
    assert_eq!(counts.connections, 1);
    assert_eq!(counts.traffic.messages_sent, 2000);
    assert_eq!(counts.traffic.messages_received, 2000);
    assert_eq!(counts.control, peer::Volume::default());
    assert_eq!(
        test_server.server.counts().traffic.bytes_received,
        counts.traffic.bytes_sent
    );
    test_server.stop().await;
    link.close().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_messages_are_transferred_concurrently_in_both_directions() {
    let test_server =
        common::TestServer::start(peer::Server::new(common::identity("server#1"))).await;
    let link = common::link(common::identity("client#1"), &test_server.address);
    let body = "b".repeat(common::MAX_MESSAGE_BYTES - 1024);
    let request = common::submission(body.clone());
    // Together larger than the connection's flow control window.
    let mut requests = tokio::task::JoinSet::new();
    for _ in 0..8 {
        let (link, request) = (link.clone(), request.clone());
        requests.spawn(async move { link.request(&request, common::LONG_TIMEOUT).await });
    }
    while let Some(joined) = requests.join_next().await {
        let response = joined.expect("no panic").expect("answered");
        assert!(response == common::text_response(&body));
    }
    test_server.stop().await;
    link.close().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_message_larger_than_the_flow_control_window_is_transferred() {
    let max_message_bytes = 3 * common::MAX_MESSAGE_BYTES;
    let server = peer::Server::new(common::identity("server#1"));
    let test_server = common::TestServer::start(server.max_message_bytes(max_message_bytes)).await;
    let settings = peer::LinkSettings {
        connect_timeout: common::LONG_TIMEOUT,
        max_message_bytes,
    };
    let link = peer::Link::new(
        common::identity("client#1"),
        &*test_server.address,
        settings,
    );
    let body = "b".repeat(max_message_bytes - 1024);
    let request = common::submission(body.clone());
    let response = link.request(&request, common::LONG_TIMEOUT).await;
    assert!(response.expect("answered") == common::text_response(&body));
    test_server.stop().await;
    link.close().await;
}

#[tokio::test]
async fn oversize_requests_are_refused_at_both_ends() {
    let server = peer::Server::new(common::identity("server#1")).max_message_bytes(1024_usize);
    let test_server = common::TestServer::start(server).await;
    let link = common::link(common::identity("client#1"), &test_server.address);

    let request = common::submission("b".repeat(common::MAX_MESSAGE_BYTES + 1));
    let error = link
        .request(&request, common::LONG_TIMEOUT)
        .await
        .expect_err("too large");
    assert_eq!(error.kind(), ErrorKind::TooLarge);

    for size_bytes in [1025, 100_000, common::MAX_MESSAGE_BYTES - 1024] {
        let request = common::submission("b".repeat(size_bytes));
        let error = link
            .request(&request, common::LONG_TIMEOUT)
            .await
            .expect_err("refused");
        assert_eq!(error.kind(), ErrorKind::Refused(RefusalReason::TooLarge));
        assert!(error.is_unhandled());
    }
    assert_eq!(test_server.handled(), 0);
    assert_eq!(test_server.server.counts().refused_too_large, 3);

    let response = link
        .request(&common::lookup("customer", 1), common::LONG_TIMEOUT)
        .await;
    assert_eq!(response.expect("answered"), common::text_response("1"));
    test_server.stop().await;
    link.close().await;
}

#[tokio::test]
async fn an_oversize_response_fails_as_possibly_handled() {
    let server = peer::Server::new(common::identity("server#1")).max_message_bytes(8192_usize);
    let test_server = common::TestServer::start(server).await;
    let settings = peer::LinkSettings {
        connect_timeout: common::LONG_TIMEOUT,
        max_message_bytes: 1024,
    };
    let link = peer::Link::new(
        common::identity("client#1"),
        &*test_server.address,
        settings,
    );
    // The first is too large for the link, the second for the server itself.
    for size_bytes in [1025, 8193] {
        let request = common::lookup("large", size_bytes);
        let error = link
            .request(&request, common::LONG_TIMEOUT)
            .await
            .expect_err("too large");
        assert_eq!(error.kind(), ErrorKind::Protocol);
        assert!(!error.is_unhandled());
    }
    assert_eq!(test_server.handled(), 2);
    test_server.stop().await;
    link.close().await;
}

#[tokio::test]
async fn links_with_a_wrong_secret_or_cluster_are_refused_and_counted() {
    let test_server =
        common::TestServer::start(peer::Server::new(common::identity("server#1"))).await;
    let client_identity = || peer::Identity::new("client#1");
    let refused_identities = [
        (
            client_identity().cluster("cluster").secret("other"),
            RefusalReason::WrongSecret,
        ),
        (
            client_identity().cluster("cluster").secret(""),
            RefusalReason::WrongSecret,
        ),
        (
            client_identity().cluster("cluster"),
            RefusalReason::WrongSecret,
        ),
        (
            client_identity().cluster("other").secret("hidden"),
            RefusalReason::WrongCluster,
        ),
    ];
    for (identity, reason) in refused_identities {
        let link = common::link(identity, &test_server.address);
        let error = link
            .request(&common::lookup("customer", 1), common::LONG_TIMEOUT)
            .await
            .expect_err("refused");
        assert_eq!(error.kind(), ErrorKind::Refused(reason));
        link.close().await;
    }
    assert_eq!(test_server.handled(), 0);
    let counts = test_server.server.counts();
    assert_eq!(counts.refused_wrong_secret, 3);
    assert_eq!(counts.refused_wrong_cluster, 1);
    assert_eq!(counts.connections, 0);
    test_server.stop().await;
}

#[tokio::test]
async fn a_server_without_a_secret_accepts_no_connection() {
    let server = peer::Server::new(peer::Identity::new("server#1").cluster("cluster"));
    let test_server = common::TestServer::start(server).await;
    let identity = peer::Identity::new("client#1").cluster("cluster");
    let link = common::link(identity, &test_server.address);
    let error = link
        .request(&common::lookup("customer", 1), common::LONG_TIMEOUT)
        .await
        .expect_err("refused");
    assert_eq!(error.kind(), ErrorKind::Refused(RefusalReason::WrongSecret));
    test_server.stop().await;
    link.close().await;
}

#[test]
fn debug_output_does_not_contain_the_secret() {
    let identity = common::identity("client#1");
    let link = common::link(identity.clone(), "127.0.0.1:1");
    for debug_text in [format!("{identity:?}"), format!("{link:?}")] {
        assert!(!debug_text.contains("hidden"), "{debug_text}");
    }
    expect_test::expect![[r#"Identity { instance_id: "client#1", cluster: "cluster", .. }"#]]
        .assert_eq(&format!("{identity:?}"));
}

#[tokio::test]
async fn an_unanswered_heartbeat_replaces_a_silent_connection() {
    let test_server =
        common::TestServer::start(peer::Server::new(common::identity("server#1"))).await;
    let relay = common::Relay::start(&test_server.address).await;
    let link = common::link(common::identity("client#1"), &relay.address);
    let request = common::lookup("customer", 1);
    link.request(&request, common::LONG_TIMEOUT)
        .await
        .expect("answered");

    relay.silence();
    let in_flight = tokio::spawn({
        let (link, request) = (link.clone(), request.clone());
        async move { link.request(&request, common::LONG_TIMEOUT).await }
    });
    let error = link
        .request(&request, common::SHORT_TIMEOUT)
        .await
        .expect_err("silent");
    assert_eq!(error.kind(), ErrorKind::Unanswered);
    assert_eq!(link.counts().replaced, 0);

    let error = link
        .request(&common::heartbeat(), common::SHORT_TIMEOUT)
        .await
        .expect_err("silent");
    assert_eq!(error.kind(), ErrorKind::Unanswered);
    assert_eq!(link.counts().replaced, 1);

    // The request in flight fails immediately, well before its own timeout.
    let error = in_flight.await.expect("no panic").expect_err("lost");
    assert_eq!(error.kind(), ErrorKind::Unanswered);

    link.request(&request, common::LONG_TIMEOUT)
        .await
        .expect("answered");
    assert_eq!(link.counts().connections, 2);
    assert_eq!(link.counts().replaced, 1);
    link.close().await;
    relay.stop().await;
    test_server.stop().await;
}

#[tokio::test]
async fn an_incomplete_request_on_a_silent_connection_fails_as_not_sent() {
    let test_server =
        common::TestServer::start(peer::Server::new(common::identity("server#1"))).await;
    let relay = common::Relay::start(&test_server.address).await;
    let link = common::link(common::identity("client#1"), &relay.address);
    link.request(&common::lookup("customer", 1), common::LONG_TIMEOUT)
        .await
        .expect("answered");
    relay.silence();
    // The first requests fill the connection's flow control window, so the end of the last one
    // cannot be sent.
    let body = "b".repeat(common::MAX_MESSAGE_BYTES - 1024);
    let mut kinds = Vec::new();
    for _ in 0..6 {
        let request = common::submission(body.clone());
        let error = link
            .request(&request, common::SHORT_TIMEOUT)
            .await
            .expect_err("silent");
        kinds.push(error.kind());
    }
    assert_eq!(kinds.last(), Some(&ErrorKind::NotSent));
    assert_eq!(test_server.handled(), 1);
    link.close().await;
    relay.stop().await;
    test_server.stop().await;
}

#[tokio::test]
async fn a_shutdown_answers_open_requests_and_accepts_no_new_ones() {
    let test_server =
        common::TestServer::start(peer::Server::new(common::identity("server#1"))).await;
    let link = common::link(common::identity("client#1"), &test_server.address);
    let open_request = tokio::spawn({
        let link = link.clone();
        async move {
            link.request(&common::lookup("held", 1), common::LONG_TIMEOUT)
                .await
        }
    });
    test_server.handler.started.notified().await;
    test_server.shutdown.cancel();
    // The listener is closed before the open request is answered.
    while tokio::net::TcpStream::connect(&test_server.address)
        .await
        .is_ok()
    {
        tokio::task::yield_now().await;
    }
    test_server.handler.release.notify_one();
    let response = open_request.await.expect("no panic");
    assert_eq!(response.expect("answered"), model::PeerResponse::Accepted);
    let handled = test_server.handler.handled.clone();
    test_server.stop().await;

    let error = link
        .request(&common::lookup("customer", 1), common::LONG_TIMEOUT)
        .await
        .expect_err("stopped");
    assert_eq!(error.kind(), ErrorKind::NotSent);
    assert_eq!(handled.load(atomic::Ordering::SeqCst), 1);
    link.close().await;
}

#[tokio::test]
async fn a_shutdown_completes_despite_a_silent_connection() {
    let test_server =
        common::TestServer::start(peer::Server::new(common::identity("server#1"))).await;
    let relay = common::Relay::start(&test_server.address).await;
    let link = common::link(common::identity("client#1"), &relay.address);
    link.request(&common::lookup("customer", 1), common::LONG_TIMEOUT)
        .await
        .expect("answered");
    relay.silence();
    test_server.stop().await;
    link.close().await;
    relay.stop().await;
}

#[tokio::test]
async fn a_link_reconnects_to_a_restarted_server() {
    let test_server =
        common::TestServer::start(peer::Server::new(common::identity("server#1"))).await;
    let address = test_server.address.clone();
    let link = common::link(common::identity("client#1"), &address);
    let request = common::lookup("customer", 1);
    link.request(&request, common::LONG_TIMEOUT)
        .await
        .expect("answered");
    test_server.stop().await;
    let error = link
        .request(&request, common::LONG_TIMEOUT)
        .await
        .expect_err("stopped");
    assert!(error.is_unhandled());

    let listener = tokio::net::TcpListener::bind(&address).await.expect("bind");
    let shutdown = tokio_util::sync::CancellationToken::new();
    let server = peer::Server::new(common::identity("server#2"));
    let server_task = tokio::spawn({
        let shutdown = shutdown.clone();
        async move {
            server
                .serve(listener, common::Echo::default(), shutdown)
                .await
        }
    });
    link.request(&request, common::LONG_TIMEOUT)
        .await
        .expect("answered");
    assert_eq!(link.counts().connections, 2);
    link.close().await;
    shutdown.cancel();
    server_task.await.expect("no panic");
}
