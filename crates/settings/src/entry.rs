//! Settings of `ferry-entry`.

mod callers;
mod cluster;
mod instance;
mod lease;
mod logs_and_metrics;
mod owner;
mod peer;
mod platform;
mod queue;
mod workers;

pub use callers::Callers;
pub use cluster::Cluster;
pub use instance::Instance;
pub use lease::Lease;
pub use logs_and_metrics::Logs;
pub use logs_and_metrics::Metrics;
pub use owner::Owner;
pub use peer::Peer;
pub use platform::Platform;
pub use queue::Policy;
pub use queue::Queue;
pub use workers::Workers;

use crate::finding;
use crate::loader;

/// Settings of `ferry-entry`, one field for each section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name, location and addresses of the instance.
    pub instance: Instance,
    /// Settings shared by all instances.
    pub cluster: Cluster,
    /// Addresses and timeouts of the platform's services.
    pub platform: Platform,
    /// Worker leases.
    pub lease: Lease,
    /// Links between instances.
    pub peer: Peer,
    /// Ownership of partitions, journal and results.
    pub owner: Owner,
    /// Queueing and placement.
    pub queue: Queue,
    /// Limits on callers.
    pub callers: Callers,
    /// Connections to workers.
    pub workers: Workers,
    /// Logs.
    pub logs: Logs,
    /// Metrics.
    pub metrics: Metrics,
}

impl Entry {
    /// Reads the settings from `text`; findings refer to it as `file_name`.
    ///
    /// # Errors
    ///
    /// Returns every finding: unknown, missing, repeated or out-of-range values, and values that
    /// contradict each other.
    pub fn load(file_name: impl Into<String>, text: &str) -> Result<Self, finding::Findings> {
        let mut loader = loader::Loader::new(file_name, text);
        let entry = Self::read(&mut loader);
        entry.check(&mut loader);
        loader.finish(entry)
    }

    fn read(loader: &mut loader::Loader) -> Self {
        Self {
            instance: Instance::read(loader.section("instance")),
            cluster: Cluster::read(loader.section("cluster")),
            platform: Platform::read(loader.section("platform")),
            lease: Lease::read(loader.section("lease")),
            peer: Peer::read(loader.section("peer")),
            owner: Owner::read(loader.section("owner")),
            queue: Queue::read(loader.section("queue")),
            callers: Callers::read(loader.section("callers")),
            workers: Workers::read(loader.section("workers")),
            logs: Logs::read(loader.section("logs")),
            metrics: Metrics::read(loader.section("metrics")),
        }
    }

    fn check(&self, loader: &mut loader::Loader) {
        self.check_region(loader);
        self.check_addresses(loader);
        self.check_lease(loader);
        self.check_peer(loader);
        self.check_retention(loader);
        self.check_queue(loader);
        self.check_callers(loader);
    }

    fn check_region(&self, loader: &mut loader::Loader) {
        let region = &self.instance.region;
        let regions = &self.cluster.regions;
        if !region.is_empty() && !regions.is_empty() && !regions.contains(region) {
            let expected = regions.join(", ");
            let message =
                format!("'{region}' given, expected one of the cluster's regions: {expected}");
            loader.reject("instance", Some("region"), message);
        }
    }

    fn check_addresses(&self, loader: &mut loader::Loader) {
        let callers = self.instance.callers_address;
        let is_same = callers.port() != 0 && callers == self.instance.peer_address;
        if is_same {
            let message = "equal to callers_address, expected another address";
            loader.reject("instance", Some("peer_address"), message);
        }
    }

    fn check_lease(&self, loader: &mut loader::Loader) {
        if self.lease.renew_every.saturating_mul(2) > self.lease.ttl {
            let message = "more than half of ttl_ms, expected at most half, so that one renewal \
                           may be lost";
            loader.reject("lease", Some("renew_every_ms"), message);
        }
        if self.lease.margin >= self.lease.ttl {
            let message = "not less than ttl_ms, expected less";
            loader.reject("lease", Some("margin_ms"), message);
        }
    }

    fn check_peer(&self, loader: &mut loader::Loader) {
        if self.peer.heartbeat.saturating_mul(2) > self.peer.silence_timeout {
            let message = "less than twice heartbeat_ms, expected at least twice, so that one \
                           heartbeat may be lost";
            loader.reject("peer", Some("deadline_ms"), message);
        }
        if self.peer.dead_after < self.peer.silence_timeout {
            let message = "less than deadline_ms, expected at least as much, so that a silent \
                           connection is replaced first";
            loader.reject("peer", Some("dead_after_ms"), message);
        }
    }

    fn check_retention(&self, loader: &mut loader::Loader) {
        if self.owner.journal_retention < self.callers.max_deadline {
            let message = "less than max_deadline_ms of [callers], expected at least as much, so \
                           that a key is remembered until it can no longer start";
            loader.reject("owner", Some("journal_retention_s"), message);
        }
    }

    fn check_queue(&self, loader: &mut loader::Loader) {
        if self.queue.max_queued_of_plan > self.queue.max_queued {
            let message = "more than max_queued, expected at most as much";
            loader.reject("queue", Some("max_queued_of_plan"), message);
        }
        if self.queue.max_queued > self.owner.max_tasks {
            let message = "more than max_tasks of [owner], expected at most as much";
            loader.reject("queue", Some("max_queued"), message);
        }
    }

    fn check_callers(&self, loader: &mut loader::Loader) {
        if self.callers.default_deadline > self.callers.max_deadline {
            let message = "more than max_deadline_ms, expected at most as much";
            loader.reject("callers", Some("default_deadline_ms"), message);
        }
        if self.callers.max_body_bytes > self.peer.max_message_bytes {
            let message = "more than max_message_bytes of [peer], expected at most as much, so \
                           that every accepted body can be forwarded";
            loader.reject("callers", Some("max_body_bytes"), message);
        }
    }
}
