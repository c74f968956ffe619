//! Connections that callers keep open between requests.

mod common;

use http_body_util::BodyExt as _;
use hyper_util::rt;

/// Longer than the header timeout of 10 s that once also closed idle connections, so that a caller
/// lost the next request on one.
const IDLE_TIME: std::time::Duration = std::time::Duration::from_secs(11);

#[tokio::test]
async fn a_connection_that_was_idle_serves_the_next_request() {
    let options = common::ClusterOptions {
        instances: 1,
        ..common::ClusterOptions::default()
    };
    let cluster = common::Cluster::start(options).await;
    let address = cluster.instances[0].callers;
    let stream = tokio::net::TcpStream::connect(address)
        .await
        .expect("connects");
    let io = rt::TokioIo::new(stream);
    let handshake = hyper::client::conn::http1::handshake(io).await;
    let (mut sender, connection) = handshake.expect("handshake");
    let driver = tokio::spawn(connection);
    for pause in [std::time::Duration::ZERO, IDLE_TIME] {
        tokio::time::sleep(pause).await;
        let request = http::Request::get("/readyz")
            .header("host", address.to_string())
            .body(http_body_util::Empty::<bytes::Bytes>::new())
            .expect("request");
        let response = sender.send_request(request).await.expect("answer");
        assert_eq!(response.status(), 200);
        let _ = response.into_body().collect().await;
    }
    drop(sender);
    let _ = driver.await;
}
