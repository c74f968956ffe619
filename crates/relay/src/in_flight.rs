//! Orders that were sent to relays and have no result yet.

use std::time;

use indexmap::IndexMap;

use crate::message;

/// Numbers the orders of a term.
pub type OrderId = u64;

/// Orders in flight, each with what its result is about.
///
/// Every order ends with exactly one event: with its result, or as lost once its relay is lost or
/// its time has passed. A result that comes later, or again, has no effect.
#[derive(Debug, Default)]
pub struct InFlight {
    orders: IndexMap<OrderId, InFlightOrder>,
    last_id: OrderId,
}

/// Time limits of an order.
#[derive(Clone, Copy, Debug)]
pub struct OrderLimits {
    /// How long the call may take, without the wait that a renewal asks for.
    pub timeout: time::Duration,
    /// Until when the call may be begun, by the clock of the instance that makes it.
    pub begin_by: crate::OrderTime,
    /// When the order counts as lost.
    pub expires_at: time::Instant,
}

#[derive(Debug)]
struct InFlightOrder {
    relay: model::InstanceId,
    subject: Subject,
    expires_at: time::Instant,
}

/// What an order is about.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Subject {
    Start(model::WorkerIncarnation, model::RunKey),
    Stop(model::WorkerIncarnation, model::RunKey),
    Throttle(model::WorkerIncarnation, model::RunKey, u32),
    Renewal(model::WorkerIncarnation, jobs::RenewalNumber),
    Advice(jobs::CallId),
}

impl InFlight {
    /// Adds an order that is sent to `relay`.
    ///
    /// Returns the message to send, or `None` if the action is no order.
    pub fn begin(
        &mut self,
        relay: &model::InstanceId,
        action: jobs::Action,
        limits: OrderLimits,
    ) -> Option<message::Order> {
        let (subject, request) = match action {
            jobs::Action::Start(order) => (
                Subject::Start(order.incarnation.clone(), order.run),
                message::Request::Start(order),
            ),
            jobs::Action::Stop(order) => (
                Subject::Stop(order.incarnation.clone(), order.run),
                message::Request::Stop(order),
            ),
            jobs::Action::Throttle(order) => (
                Subject::Throttle(order.incarnation.clone(), order.run, order.percent),
                message::Request::Throttle(order),
            ),
            jobs::Action::Renew(order) => (
                Subject::Renewal(order.incarnation.clone(), order.number),
                message::Request::Renew(order),
            ),
            jobs::Action::Advise(call) => (
                Subject::Advice(call.call),
                message::Request::Advise(call.request),
            ),
            jobs::Action::Reply(..) | jobs::Action::Commit(_) | jobs::Action::StepDown => {
                return None;
            }
        };
        self.last_id += 1;
        let order = InFlightOrder {
            relay: relay.clone(),
            subject,
            expires_at: limits.expires_at,
        };
        self.orders.insert(self.last_id, order);
        Some(message::Order {
            id: self.last_id,
            timeout: limits.timeout,
            begin_by: limits.begin_by,
            request,
        })
    }

    /// Ends an order with its result; `None` if it is no longer in flight, was sent to another
    /// relay, or if the result is of another kind.
    pub fn complete(
        &mut self,
        relay: &model::InstanceId,
        report: message::Report,
    ) -> Option<jobs::Event> {
        let order = self.orders.get(&report.id)?;
        if order.relay != *relay {
            return None;
        }
        let event = match (order.subject.clone(), report.response) {
            (subject, message::Response::Expired) => subject.lost(),
            (Subject::Start(incarnation, run), message::Response::Start(outcome)) => {
                jobs::Event::Start {
                    incarnation,
                    run,
                    outcome,
                }
            }
            (Subject::Stop(incarnation, run), message::Response::Stop(outcome)) => {
                jobs::Event::Stop {
                    incarnation,
                    run,
                    outcome,
                }
            }
            (
                Subject::Throttle(incarnation, run, percent),
                message::Response::Throttle(outcome),
            ) => jobs::Event::Throttle {
                incarnation,
                run,
                percent,
                outcome,
            },
            (Subject::Renewal(incarnation, number), message::Response::Renewal(outcome)) => {
                jobs::Event::Renewal {
                    incarnation,
                    number,
                    outcome,
                }
            }
            (Subject::Advice(call), message::Response::Advice { outcome, elapsed }) => {
                jobs::Event::Advice {
                    call,
                    outcome,
                    elapsed,
                }
            }
            (subject, _) => {
                log::error!(
                    relay:% = relay,
                    order = report.id,
                    subject:? = subject;
                    "result of an order is of another kind than the order"
                );
                return None;
            }
        };
        self.orders.swap_remove(&report.id);
        Some(event)
    }

    /// Ends all orders that were sent to `relay` as lost.
    pub fn lose_relay(&mut self, relay: &model::InstanceId) -> Vec<jobs::Event> {
        self.lose_where(|order| order.relay == *relay)
    }

    /// Ends the orders whose time has passed as lost.
    pub fn expire(&mut self, now: time::Instant) -> Vec<jobs::Event> {
        self.lose_where(|order| order.expires_at <= now)
    }

    /// Returns the number of orders in flight.
    #[must_use]
    pub fn len(&self) -> usize {
        self.orders.len()
    }

    /// Returns whether no order is in flight.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    fn lose_where(&mut self, is_lost: impl Fn(&InFlightOrder) -> bool) -> Vec<jobs::Event> {
        let (lost, kept) = std::mem::take(&mut self.orders)
            .into_iter()
            .partition(|(_, order)| is_lost(order));
        self.orders = kept;
        let lost: IndexMap<OrderId, InFlightOrder> = lost;
        let events = lost.into_values().map(|order| order.subject.lost());
        events.collect()
    }
}

impl Subject {
    /// Returns the event of an order without a result.
    ///
    /// A lost start or stop may have been executed. A lost renewal says nothing about the worker.
    fn lost(self) -> jobs::Event {
        match self {
            Self::Start(incarnation, run) => jobs::Event::Start {
                incarnation,
                run,
                outcome: jobs::StartOutcome::NoAnswer,
            },
            Self::Stop(incarnation, run) => jobs::Event::Stop {
                incarnation,
                run,
                outcome: jobs::StopOutcome::NoAnswer,
            },
            Self::Throttle(incarnation, run, percent) => jobs::Event::Throttle {
                incarnation,
                run,
                percent,
                outcome: jobs::ThrottleOutcome::Failed,
            },
            Self::Renewal(incarnation, number) => jobs::Event::Renewal {
                incarnation,
                number,
                outcome: jobs::RenewalOutcome::Lost,
            },
            Self::Advice(call) => jobs::Event::Advice {
                call,
                outcome: Err(model::AdviceFailure::NoAnswer),
                elapsed: time::Duration::ZERO,
            },
        }
    }
}
