//! Counters of messages and bytes.

/// Messages and bytes of one kind.
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
    /// Heartbeats, quotas, fences and lists, with their responses.
    pub control: Volume,
    /// Every other request, with its response.
    pub traffic: Volume,
    /// Connections opened (link) or accepted (server).
    pub connections: u64,
    /// Connections dropped because they went silent.
    pub replaced: u64,
    /// Connections and requests refused for another cluster name.
    pub refused_wrong_cluster: u64,
    /// Connections and requests refused for a wrong secret.
    pub refused_wrong_secret: u64,
    /// Connections and requests refused for another protocol version.
    pub refused_wrong_version: u64,
    /// Requests refused for their size.
    pub refused_too_large: u64,
    /// Requests refused because they could not be read.
    pub refused_malformed: u64,
    /// Requests refused because the receiver stops.
    pub refused_stopping: u64,
}
