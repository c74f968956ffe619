//! Tests channels over real connections.

use crate::common;

use peer::ErrorKind;

async fn open(test_server: &common::TestServer) -> (peer::Link, peer::Channel) {
    let link = common::link(common::identity("client#1"), &test_server.address);
    let channel = link.open_channel(common::LONG_TIMEOUT).await;
    (link, channel.expect("channel"))
}

async fn start_server() -> common::TestServer {
    common::TestServer::start(peer::Server::new(common::identity("server#1"))).await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn messages_arrive_whole_and_in_order_beside_requests() {
    let test_server = start_server().await;
    let (link, mut channel) = open(&test_server).await;
    let lengths = [0_usize, 1, 17, 16_384, 70_000, 1_000_000, 3];
    for length in lengths {
        let text = "t".repeat(length);
        channel.sender.send(&text).await.expect("sent");
    }
    let request = common::lookup("customer", 5);
    let response = link.request(&request, common::LONG_TIMEOUT).await;
    assert_eq!(response.expect("answered"), common::text_response("5"));
    for length in lengths {
        let text: Option<String> = channel.receiver.receive().await.expect("received");
        assert_eq!(text.map(|text| text.len()), Some(length));
    }
    assert_eq!(link.counts().connections, 1);
    drop(channel);
    test_server.stop().await;
    link.close().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_end_sees_that_the_other_one_has_closed_the_channel() {
    let test_server = start_server().await;
    let (link, mut channel) = open(&test_server).await;
    channel.sender.send(&"end").await.expect("sent");
    let end = channel.receiver.receive::<String>().await;
    assert_eq!(end.expect("closed in order"), None);
    test_server.handler.started.notified().await;
    let other = link.open_channel(common::LONG_TIMEOUT).await;
    drop(other.expect("channel"));
    test_server.handler.started.notified().await;
    test_server.stop().await;
    link.close().await;
}

/// A message that cannot be decoded ends its channel, and neither the process nor other requests on
/// the connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn malformed_message_ends_only_its_channel() {
    let test_server = start_server().await;
    let (link, mut channel) = open(&test_server).await;
    // No text: the length of the text exceeds the message.
    channel.sender.send(&[250_u8; 9]).await.expect("sent");
    test_server.handler.started.notified().await;
    let end = channel.receiver.receive::<String>().await;
    assert_eq!(end.expect("closed in order"), None);
    assert_eq!(test_server.handled(), 0);
    let request = common::lookup("customer", 6);
    let response = link.request(&request, common::LONG_TIMEOUT).await;
    assert_eq!(response.expect("answered"), common::text_response("6"));
    assert_eq!(link.counts().connections, 1);
    test_server.stop().await;
    link.close().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn channel_ends_with_its_connection() {
    let test_server = start_server().await;
    let (link, mut channel) = open(&test_server).await;
    link.replace();
    let lost = channel.receiver.receive::<String>().await;
    assert_eq!(lost.expect_err("lost").kind(), ErrorKind::Unanswered);
    let too_large = "t".repeat(common::MAX_MESSAGE_BYTES + 1);
    let refused = channel.sender.send(&too_large).await;
    assert_eq!(refused.expect_err("too large").kind(), ErrorKind::TooLarge);
    test_server.stop().await;
    link.close().await;
}
