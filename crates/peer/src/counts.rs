//! Counters of messages, bytes, connections and refusals.

use std::sync::atomic;

use crate::error;
use crate::message;

/// Messages and bytes of one category.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Volume {
    /// Messages sent.
    pub messages_sent: u64,
    /// Bytes of the messages sent, without h2 framing.
    pub bytes_sent: u64,
    /// Messages received.
    pub messages_received: u64,
    /// Bytes of the messages received, without h2 framing.
    pub bytes_received: u64,
}

/// Counters of a link or server since it was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Control messages (heartbeats, quotas, fences, lists and the like), with their responses.
    pub control: Volume,
    /// Every other request, with its response.
    pub traffic: Volume,
    /// Connections opened (link) or accepted (server).
    pub connections: u64,
    /// Connections dropped because they became silent; links only.
    pub replaced: u64,
    /// Connections refused for a different cluster name.
    pub refused_wrong_cluster: u64,
    /// Connections refused for a wrong secret.
    pub refused_wrong_secret: u64,
    /// Connections refused for a different protocol version.
    pub refused_wrong_version: u64,
    /// Requests refused for their size.
    pub refused_too_large: u64,
    /// Connections and requests refused because they were malformed.
    pub refused_malformed: u64,
    /// Requests refused, before they were handled, as too many bytes of others were not.
    pub refused_no_room: u64,
    /// Unauthenticated connections closed for newer ones.
    pub closed_unauthenticated: u64,
}

/// The category under which a message is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Category {
    Control,
    Traffic,
}

impl Category {
    pub(crate) fn of(request: &impl message::Message) -> Self {
        if request.is_control() {
            Self::Control
        } else {
            Self::Traffic
        }
    }
}

#[derive(Debug, Default)]
struct VolumeCounters {
    messages_sent: atomic::AtomicU64,
    bytes_sent: atomic::AtomicU64,
    messages_received: atomic::AtomicU64,
    bytes_received: atomic::AtomicU64,
}

impl VolumeCounters {
    fn snapshot(&self) -> Volume {
        Volume {
            messages_sent: load(&self.messages_sent),
            bytes_sent: load(&self.bytes_sent),
            messages_received: load(&self.messages_received),
            bytes_received: load(&self.bytes_received),
        }
    }
}

/// The counters behind [`Counts`], shared by tasks.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    control: VolumeCounters,
    traffic: VolumeCounters,
    connections: atomic::AtomicU64,
    replaced: atomic::AtomicU64,
    wrong_cluster: atomic::AtomicU64,
    wrong_secret: atomic::AtomicU64,
    wrong_version: atomic::AtomicU64,
    too_large: atomic::AtomicU64,
    malformed: atomic::AtomicU64,
    no_room: atomic::AtomicU64,
    closed_unauthenticated: atomic::AtomicU64,
}

impl Counters {
    pub(crate) fn count_sent(&self, category: Category, bytes: usize) {
        let volume = self.volume(category);
        add(&volume.messages_sent, 1);
        add(&volume.bytes_sent, bytes as u64);
    }

    pub(crate) fn count_received(&self, category: Category, bytes: usize) {
        let volume = self.volume(category);
        add(&volume.messages_received, 1);
        add(&volume.bytes_received, bytes as u64);
    }

    pub(crate) fn count_connection(&self) {
        add(&self.connections, 1);
    }

    pub(crate) fn count_replacement(&self) {
        add(&self.replaced, 1);
    }

    pub(crate) fn count_refused_stream(&self) {
        add(&self.no_room, 1);
    }

    pub(crate) fn count_closed_new_connection(&self) {
        add(&self.closed_unauthenticated, 1);
    }

    pub(crate) fn count_refusal(&self, reason: error::RefusalReason) {
        let counter = match reason {
            error::RefusalReason::WrongCluster => &self.wrong_cluster,
            error::RefusalReason::WrongSecret => &self.wrong_secret,
            error::RefusalReason::WrongVersion => &self.wrong_version,
            error::RefusalReason::TooLarge => &self.too_large,
            error::RefusalReason::Malformed => &self.malformed,
        };
        add(counter, 1);
    }

    pub(crate) fn snapshot(&self) -> Counts {
        Counts {
            control: self.control.snapshot(),
            traffic: self.traffic.snapshot(),
            connections: load(&self.connections),
            replaced: load(&self.replaced),
            refused_wrong_cluster: load(&self.wrong_cluster),
            refused_wrong_secret: load(&self.wrong_secret),
            refused_wrong_version: load(&self.wrong_version),
            refused_too_large: load(&self.too_large),
            refused_malformed: load(&self.malformed),
            refused_no_room: load(&self.no_room),
            closed_unauthenticated: load(&self.closed_unauthenticated),
        }
    }

    fn volume(&self, category: Category) -> &VolumeCounters {
        match category {
            Category::Control => &self.control,
            Category::Traffic => &self.traffic,
        }
    }
}

fn add(counter: &atomic::AtomicU64, amount: u64) {
    counter.fetch_add(amount, atomic::Ordering::Relaxed);
}

fn load(counter: &atomic::AtomicU64) -> u64 {
    counter.load(atomic::Ordering::Relaxed)
}
