//! A small test cluster: instances as processes, stand-ins of the platform in the test process.

#![allow(dead_code, unused_imports, reason = "each test file uses a part of it")]

mod burst;
mod cluster;
mod http;
mod instance;
mod load;

pub(crate) use burst::Answers;
pub(crate) use burst::Burst;
pub(crate) use burst::Submission;
pub(crate) use cluster::Cluster;
pub(crate) use cluster::ClusterOptions;
pub(crate) use cluster::SECRET;
pub(crate) use http::Answer;
pub(crate) use http::TOKEN;
pub(crate) use http::request;
pub(crate) use instance::InstanceProcess;
pub(crate) use load::CompletedRequest;
pub(crate) use load::Load;

use std::time;

/// Polls `condition` until it holds; panics after a minute.
pub(crate) async fn wait_until<F: Future<Output = bool>>(what: &str, condition: impl Fn() -> F) {
    let poll = async {
        while !condition().await {
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    };
    let timeout = time::Duration::from_secs(60);
    assert!(
        tokio::time::timeout(timeout, poll).await.is_ok(),
        "timed out after a minute waiting for {what}"
    );
}
