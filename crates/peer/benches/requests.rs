//! Measures the request rate and round-trip time over one link, by number of concurrent requests.

// The tests use items that the benchmark does not.
#[allow(dead_code)]
#[path = "../tests/links/common.rs"]
mod common;

use std::time;

use hdrhistogram::Histogram;

const REQUESTS: u64 = 50_000;
const MAX_TIME_US: u64 = 60_000_000;

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() {
    let test_server =
        common::TestServer::start(peer::Server::new(common::identity("server#1"))).await;
    let link = common::link(common::identity("client#1"), &test_server.address);
    for concurrency in [1, 16, 256] {
        measure(&link, concurrency).await;
    }
    link.close().await;
    test_server.stop().await;
}

async fn measure(link: &peer::Link, concurrency: u64) {
    let start = time::Instant::now();
    let mut senders = tokio::task::JoinSet::new();
    for _ in 0..concurrency {
        let link = link.clone();
        senders.spawn(async move { send(&link, REQUESTS / concurrency).await });
    }
    let mut latencies_us = histogram();
    while let Some(joined) = senders.join_next().await {
        latencies_us
            .add(joined.expect("no panic"))
            .expect("same bounds");
    }
    let rate = latencies_us.len() as f64 / start.elapsed().as_secs_f64();
    println!(
        "{concurrency:>4} at once: {rate:>8.0} requests/s, p50 {} us, p99 {} us",
        latencies_us.value_at_quantile(0.5),
        latencies_us.value_at_quantile(0.99)
    );
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_TIME_US, 3).expect("valid bounds")
}

async fn send(link: &peer::Link, count: u64) -> Histogram<u64> {
    let mut latencies_us = histogram();
    let request = common::submission("b".repeat(200));
    for _ in 0..count {
        let start = time::Instant::now();
        let response = link.request(&request, common::LONG_TIMEOUT).await;
        response.expect("answered");
        latencies_us.saturating_record(start.elapsed().as_micros() as u64);
    }
    latencies_us
}
