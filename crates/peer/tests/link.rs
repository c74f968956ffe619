//! Tests requests, limits, refusals, silent connections and shutdown over real connections.

mod common;

use std::sync::atomic;

use peer::ErrorKind;
use peer::RefusalReason;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_requests_get_their_own_answers_over_one_connection() {
    let running = common::Running::start(peer::Server::new(common::identity("server#1"))).await;
    let link = common::link(common::identity("client#1"), &running.address);
    let mut requests = tokio::task::JoinSet::new();
    for number in 0..2000 {
        let link = link.clone();
        requests.spawn(async move {
            let request = common::lookup("customer", number);
            (number, link.request(&request, common::LONG).await)
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
        running.server.counts().traffic.bytes_received,
        counts.traffic.bytes_sent
    );
    running.stop().await;
    link.close().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_messages_pass_both_ways_at_once() {
    let running = common::Running::start(peer::Server::new(common::identity("server#1"))).await;
    let link = common::link(common::identity("client#1"), &running.address);
    let body = "b".repeat(common::MAX_MESSAGE_BYTES - 1024);
    let request = common::submission(body.clone());
    // Together larger than the connection's flow control window.
    let mut requests = tokio::task::JoinSet::new();
    for _ in 0..8 {
        let (link, request) = (link.clone(), request.clone());
        requests.spawn(async move { link.request(&request, common::LONG).await });
    }
    while let Some(joined) = requests.join_next().await {
        let response = joined.expect("no panic").expect("answered");
        assert!(response == common::text_response(&body));
    }
    running.stop().await;
    link.close().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_message_larger_than_the_window_passes_as_it_is_read() {
    let max_message_bytes = 3 * common::MAX_MESSAGE_BYTES;
    let server = peer::Server::new(common::identity("server#1"));
    let running = common::Running::start(server.max_message_bytes(max_message_bytes)).await;
    let settings = peer::LinkSettings {
        connect_timeout: common::LONG,
        max_message_bytes,
    };
    let link = peer::Link::new(common::identity("client#1"), &*running.address, settings);
    let body = "b".repeat(max_message_bytes - 1024);
    let request = common::submission(body.clone());
    let response = link.request(&request, common::LONG).await;
    assert!(response.expect("answered") == common::text_response(&body));
    running.stop().await;
    link.close().await;
}

#[tokio::test]
async fn oversize_requests_are_refused_at_both_ends() {
    let server = peer::Server::new(common::identity("server#1")).max_message_bytes(1024_usize);
    let running = common::Running::start(server).await;
    let link = common::link(common::identity("client#1"), &running.address);

    let request = common::submission("b".repeat(common::MAX_MESSAGE_BYTES + 1));
    let error = link
        .request(&request, common::LONG)
        .await
        .expect_err("too large");
    assert_eq!(error.kind(), ErrorKind::TooLarge);

    for size_bytes in [1025, 100_000, common::MAX_MESSAGE_BYTES - 1024] {
        let request = common::submission("b".repeat(size_bytes));
        let error = link
            .request(&request, common::LONG)
            .await
            .expect_err("refused");
        assert_eq!(error.kind(), ErrorKind::Refused(RefusalReason::TooLarge));
        assert!(error.is_unhandled());
    }
    assert_eq!(running.handled(), 0);
    assert_eq!(running.server.counts().refused_too_large, 3);

    let response = link
        .request(&common::lookup("customer", 1), common::LONG)
        .await;
    assert_eq!(response.expect("answered"), common::text_response("1"));
    running.stop().await;
    link.close().await;
}

#[tokio::test]
async fn an_oversize_response_is_an_error_of_a_handled_request() {
    let server = peer::Server::new(common::identity("server#1")).max_message_bytes(8192_usize);
    let running = common::Running::start(server).await;
    let settings = peer::LinkSettings {
        connect_timeout: common::LONG,
        max_message_bytes: 1024,
    };
    let link = peer::Link::new(common::identity("client#1"), &*running.address, settings);
    // The first is too large for the link, the second for the server itself.
    for size_bytes in [1025, 8193] {
        let request = common::lookup("large", size_bytes);
        let error = link
            .request(&request, common::LONG)
            .await
            .expect_err("too large");
        assert_eq!(error.kind(), ErrorKind::Protocol);
        assert!(!error.is_unhandled());
    }
    assert_eq!(running.handled(), 2);
    running.stop().await;
    link.close().await;
}

#[tokio::test]
async fn strangers_are_refused_by_name_and_counted() {
    let running = common::Running::start(peer::Server::new(common::identity("server#1"))).await;
    let named = || peer::Identity::new("client#1");
    let strangers = [
        (
            named().cluster("cluster").secret("other"),
            RefusalReason::WrongSecret,
        ),
        (
            named().cluster("cluster").secret(""),
            RefusalReason::WrongSecret,
        ),
        (named().cluster("cluster"), RefusalReason::WrongSecret),
        (
            named().cluster("other").secret("hidden"),
            RefusalReason::WrongCluster,
        ),
    ];
    for (identity, reason) in strangers {
        let link = common::link(identity, &running.address);
        let error = link
            .request(&common::lookup("customer", 1), common::LONG)
            .await
            .expect_err("refused");
        assert_eq!(error.kind(), ErrorKind::Refused(reason));
        link.close().await;
    }
    assert_eq!(running.handled(), 0);
    let counts = running.server.counts();
    assert_eq!(counts.refused_wrong_secret, 3);
    assert_eq!(counts.refused_wrong_cluster, 1);
    assert_eq!(counts.connections, 0);
    running.stop().await;
}

#[tokio::test]
async fn a_server_without_a_secret_accepts_nobody() {
    let server = peer::Server::new(peer::Identity::new("server#1").cluster("cluster"));
    let running = common::Running::start(server).await;
    let identity = peer::Identity::new("client#1").cluster("cluster");
    let link = common::link(identity, &running.address);
    let error = link
        .request(&common::lookup("customer", 1), common::LONG)
        .await
        .expect_err("refused");
    assert_eq!(error.kind(), ErrorKind::Refused(RefusalReason::WrongSecret));
    running.stop().await;
    link.close().await;
}

#[test]
fn a_secret_is_never_shown() {
    let identity = common::identity("client#1");
    let link = common::link(identity.clone(), "127.0.0.1:1");
    for shown in [format!("{identity:?}"), format!("{link:?}")] {
        assert!(!shown.contains("hidden"), "{shown}");
    }
    expect_test::expect![[r#"Identity { instance_id: "client#1", cluster: "cluster", .. }"#]]
        .assert_eq(&format!("{identity:?}"));
}

#[tokio::test]
async fn a_heartbeat_without_answer_replaces_a_silent_connection() {
    let running = common::Running::start(peer::Server::new(common::identity("server#1"))).await;
    let relay = common::Relay::start(&running.address).await;
    let link = common::link(common::identity("client#1"), &relay.address);
    let request = common::lookup("customer", 1);
    link.request(&request, common::LONG)
        .await
        .expect("answered");

    relay.silence();
    let waiting = tokio::spawn({
        let (link, request) = (link.clone(), request.clone());
        async move { link.request(&request, common::LONG).await }
    });
    let error = link
        .request(&request, common::SHORT)
        .await
        .expect_err("silent");
    assert_eq!(error.kind(), ErrorKind::Unanswered);
    assert_eq!(link.counts().replaced, 0);

    let error = link
        .request(&common::heartbeat(), common::SHORT)
        .await
        .expect_err("silent");
    assert_eq!(error.kind(), ErrorKind::Unanswered);
    assert_eq!(link.counts().replaced, 1);

    // The request in flight fails immediately, well before its own timeout.
    let error = waiting.await.expect("no panic").expect_err("lost");
    assert_eq!(error.kind(), ErrorKind::Unanswered);

    link.request(&request, common::LONG)
        .await
        .expect("answered");
    assert_eq!(link.counts().connections, 2);
    assert_eq!(link.counts().replaced, 1);
    link.close().await;
    relay.stop().await;
    running.stop().await;
}

#[tokio::test]
async fn an_unfinished_request_on_a_silent_connection_was_not_sent() {
    let running = common::Running::start(peer::Server::new(common::identity("server#1"))).await;
    let relay = common::Relay::start(&running.address).await;
    let link = common::link(common::identity("client#1"), &relay.address);
    link.request(&common::lookup("customer", 1), common::LONG)
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
            .request(&request, common::SHORT)
            .await
            .expect_err("silent");
        kinds.push(error.kind());
    }
    assert_eq!(kinds.last(), Some(&ErrorKind::NotSent));
    assert_eq!(running.handled(), 1);
    link.close().await;
    relay.stop().await;
    running.stop().await;
}

#[tokio::test]
async fn a_shutdown_answers_what_is_open_and_takes_nothing_new() {
    let running = common::Running::start(peer::Server::new(common::identity("server#1"))).await;
    let link = common::link(common::identity("client#1"), &running.address);
    let open = tokio::spawn({
        let link = link.clone();
        async move { link.request(&common::lookup("held", 1), common::LONG).await }
    });
    running.handler.started.notified().await;
    running.shutdown.cancel();
    // The listener is closed before the open request is answered.
    while tokio::net::TcpStream::connect(&running.address)
        .await
        .is_ok()
    {
        tokio::task::yield_now().await;
    }
    running.handler.release.notify_one();
    let response = open.await.expect("no panic");
    assert_eq!(response.expect("answered"), model::PeerResponse::Accepted);
    let handled = running.handler.handled.clone();
    running.stop().await;

    let error = link
        .request(&common::lookup("customer", 1), common::LONG)
        .await
        .expect_err("stopped");
    assert_eq!(error.kind(), ErrorKind::NotSent);
    assert_eq!(handled.load(atomic::Ordering::SeqCst), 1);
    link.close().await;
}

#[tokio::test]
async fn a_shutdown_ends_although_a_connection_is_silent() {
    let running = common::Running::start(peer::Server::new(common::identity("server#1"))).await;
    let relay = common::Relay::start(&running.address).await;
    let link = common::link(common::identity("client#1"), &relay.address);
    link.request(&common::lookup("customer", 1), common::LONG)
        .await
        .expect("answered");
    relay.silence();
    running.stop().await;
    link.close().await;
    relay.stop().await;
}

#[tokio::test]
async fn a_link_connects_again_to_a_restarted_server() {
    let running = common::Running::start(peer::Server::new(common::identity("server#1"))).await;
    let address = running.address.clone();
    let link = common::link(common::identity("client#1"), &address);
    let request = common::lookup("customer", 1);
    link.request(&request, common::LONG)
        .await
        .expect("answered");
    running.stop().await;
    let error = link
        .request(&request, common::LONG)
        .await
        .expect_err("stopped");
    assert!(error.is_unhandled());

    let listener = tokio::net::TcpListener::bind(&address).await.expect("bind");
    let shutdown = tokio_util::sync::CancellationToken::new();
    let server = peer::Server::new(common::identity("server#2"));
    let serving = tokio::spawn({
        let shutdown = shutdown.clone();
        async move {
            server
                .serve(listener, common::Echo::default(), shutdown)
                .await
        }
    });
    link.request(&request, common::LONG)
        .await
        .expect("answered");
    assert_eq!(link.counts().connections, 2);
    link.close().await;
    shutdown.cancel();
    serving.await.expect("no panic");
}
