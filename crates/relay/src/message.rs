//! Messages between the leader and its relays.

use std::sync;
use std::time;

use serde::Deserialize;
use serde::Serialize;

/// Layout of the messages on a channel; to be raised with each change of them.
///
/// Builds with different layouts must not relay for each other, as they could misread the messages.
pub const LAYOUT: u32 = 5;

/// First message of a relay on a channel.
///
/// The first layout had no number here, so that neither side can decode the other's.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Term of the leader that the relay wants to serve.
    pub term: model::Term,
    /// Data centre of the relay.
    pub data_centre: model::DataCentre,
    /// Processor time of the relay's machine, in thousandths of a core.
    pub strength_milli: u32,
    /// [`LAYOUT`] of the relay's build.
    pub layout: u32,
}

/// An order of the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// Identifies the order; its report carries the same number.
    pub id: crate::OrderId,
    /// How long the call may take, without the wait that a renewal asks for.
    pub timeout: time::Duration,
    /// Until when the call may be begun, by the clock of the instance that makes it.
    pub begin_by: crate::OrderTime,
    /// The call to make.
    pub request: Request,
}

/// A call that a relay makes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Starts a run.
    Start(jobs::StartOrder),
    /// Stops a run.
    Stop(jobs::StopOrder),
    /// Sets the share of a best-effort run.
    Throttle(jobs::ThrottleOrder),
    /// Renews the lease of a worker and lists its runs.
    Renew(jobs::RenewalOrder),
    /// Calls the recommendation service.
    Advise(model::AdviceRequest),
}

/// What a leader tells about itself with its orders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderState {
    /// Whether the store does not accept its batches.
    pub has_lost_store: bool,
    /// Whether it is to stop.
    pub is_draining: bool,
}

/// Orders that are sent together; none if the leader only asks whether its term still holds.
///
/// The specification of a job is sent once for all tasks of the job that start together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OrderBatch {
    /// State of the leader; a batch shows that it is alive, as the reply to a heartbeat does.
    pub leader: LeaderState,
    /// When the batch was made, by the leader's clock.
    pub asked_at: crate::OrderTime,
    specs: Vec<sync::Arc<str>>,
    /// Orders, each with the index of its specification if it is a start.
    orders: Vec<(Order, Option<u32>)>,
}

impl OrderBatch {
    /// Creates a batch of `orders` at `asked_at` by the leader's clock.
    #[must_use]
    pub fn new(
        leader: LeaderState,
        asked_at: crate::OrderTime,
        orders: impl IntoIterator<Item = Order>,
    ) -> Self {
        let mut batch = Self {
            leader,
            asked_at,
            ..Self::default()
        };
        for mut order in orders {
            let spec = match &mut order.request {
                Request::Start(start) => Some(std::mem::replace(&mut start.spec, "".into())),
                _ => None,
            };
            let index = spec.map(|spec| batch.index_of(spec));
            batch.orders.push((order, index));
        }
        batch
    }

    /// Returns whether the batch has no orders.
    #[must_use]
    pub fn is_question(&self) -> bool {
        self.orders.is_empty()
    }

    /// Returns the orders; a start whose specification is missing is left out.
    pub fn into_orders(self) -> impl Iterator<Item = Order> {
        let specs = self.specs;
        self.orders
            .into_iter()
            .filter_map(move |(mut order, index)| {
                if let Request::Start(start) = &mut order.request {
                    let spec = specs.get(usize::try_from(index?).ok()?)?;
                    start.spec = sync::Arc::clone(spec);
                }
                Some(order)
            })
    }

    fn index_of(&mut self, spec: sync::Arc<str>) -> u32 {
        // The starts of a job follow each other.
        let is_last = self
            .specs
            .last()
            .is_some_and(|last| sync::Arc::ptr_eq(last, &spec));
        if !is_last {
            self.specs.push(spec);
        }
        u32::try_from(self.specs.len() - 1).unwrap_or(u32::MAX)
    }
}

/// The result of an order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The order.
    pub id: crate::OrderId,
    /// The result.
    pub response: Response,
}

/// The result of a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Response {
    /// Of [`Request::Start`].
    Start(jobs::StartOutcome),
    /// Of [`Request::Stop`].
    Stop(jobs::StopOutcome),
    /// Of [`Request::Throttle`].
    Throttle(jobs::ThrottleOutcome),
    /// Of [`Request::Renew`].
    Renewal(jobs::RenewalOutcome),
    /// Of [`Request::Advise`].
    Advice {
        /// What the service has answered.
        outcome: Result<model::AdviceReply, model::AdviceFailure>,
        /// Time that the call took.
        elapsed: time::Duration,
    },
    /// Of any request: the call was not made, as the time to begin it had passed.
    Expired,
}

impl Response {
    /// Returns whether the leader waits for the result: tasks can start, or have ended.
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        match self {
            Self::Advice { .. } => true,
            Self::Renewal(jobs::RenewalOutcome::Listing(listing)) => !listing.ended.is_empty(),
            Self::Start(outcome) => !matches!(outcome, jobs::StartOutcome::Started(_)),
            _ => false,
        }
    }

    /// Adds the time that the result has waited at the relay to the age of what it says.
    #[must_use]
    pub fn aged_by(mut self, waited: time::Duration) -> Self {
        if let Self::Renewal(jobs::RenewalOutcome::Listing(listing)) = &mut self {
            listing.age += waited;
        }
        self
    }
}

/// Results that are reported together; none if there was nothing to report for a while.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReportBatch {
    /// When it was sent, by the relay's clock.
    pub sent_at: crate::OrderTime,
    /// Latest [`OrderBatch::asked_at`] on the channel, by the leader's clock, if the relay had not
    /// acknowledged a later term after it received that batch.
    pub confirmed: Option<crate::OrderTime>,
    /// The results.
    pub reports: Vec<Report>,
}
