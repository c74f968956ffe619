//! Links between instances: requests and responses in bincode, each pair on its own h2 stream.
//!
//! [`Server`] answers the requests of other instances through a [`Handler`]; [`Link`] sends
//! requests to one other instance, many concurrently over one connection. A [`Channel`] carries many
//! messages in both directions on one stream of that connection.

mod channel;
mod codec;
mod counts;
mod error;
mod exchange;
mod guarded_stream;
mod handler;
mod handshake;
mod identity;
mod link;
mod message;
mod new_sessions;
mod received;
mod server;
mod session;

pub use channel::Channel;
pub use channel::ChannelReceiver;
pub use channel::ChannelSender;
pub use counts::Counts;
pub use counts::Volume;
pub use error::Error;
pub use error::ErrorKind;
pub use error::RefusalReason;
pub use handler::Handler;
pub use identity::Identity;
pub use link::Link;
pub use link::LinkSettings;
pub use message::Message;
pub use server::Server;
