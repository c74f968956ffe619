//! The interface to which a server passes requests.

use std::future;

use crate::channel;
use crate::message;

/// Answers the requests of other instances.
pub trait Handler: Clone + Send + Sync + 'static {
    /// The type of request that it answers.
    type Request: message::Message;

    /// Answers one request of the instance `from`.
    fn handle(
        &self,
        from: model::InstanceId,
        request: Self::Request,
    ) -> impl future::Future<Output = <Self::Request as message::Message>::Response> + Send;

    /// Serves a channel that the instance `from` has opened; the channel ends with the future.
    ///
    /// Unless implemented, every channel is closed at once.
    fn serve_channel(
        &self,
        _from: model::InstanceId,
        channel: channel::Channel,
    ) -> impl future::Future<Output = ()> + Send {
        drop(channel);
        future::ready(())
    }
}
