//! Execution of orders: calls to workers and to the recommendation service.

use std::sync;
use std::time;

use crate::instance;
use crate::platform;
use crate::platform::Advisor as _;
use crate::platform::Workers as _;

/// Time that a renewal call may take on top of the wait it asks for.
const RENEWAL_SLACK: time::Duration = time::Duration::from_millis(600);

/// Makes the call that an order asks for, unless the time to begin it has passed by `clock`, and returns
/// its result.
///
/// The order's timeout applies to each call but a renewal, which takes the wait it asks for, and a call
/// to the recommendation service, which has its own.
pub(crate) async fn execute<P: platform::Platform>(
    shared: &instance::Shared<P>,
    order: relay::Order,
    clock: relay::OrderClock,
) -> relay::Response {
    let _lane = match lane_address(&order.request) {
        Some(address) => Some(shared.call_lanes.enter(address).await),
        None => None,
    };
    let now = time::Instant::now();
    if clock.is_past(order.begin_by, now) {
        shared.metrics.count("order.expired");
        log::info!(
            order = order.id,
            subject:% = subject(&order.request),
            begin_by_ms = order.begin_by.as_millis() as u64,
            now_ms = clock.reading(now).as_millis() as u64;
            "order dropped, as the time to begin it has passed"
        );
        return relay::Response::Expired;
    }
    let timeout = order.timeout;
    let workers = shared.platform.workers();
    match order.request {
        relay::Request::Start(order) => {
            let outcome = workers.start(&order, timeout).await;
            shared.metrics.count(match &outcome {
                jobs::StartOutcome::Started(_) => "start.started",
                jobs::StartOutcome::Rejected(jobs::StartRejection::OtherLife) => {
                    "start.worker_restarted"
                }
                jobs::StartOutcome::Rejected(_) => "start.rejected",
                jobs::StartOutcome::NoAnswer => "start.unanswered",
            });
            relay::Response::Start(outcome)
        }
        relay::Request::Stop(order) => relay::Response::Stop(workers.stop(&order, timeout).await),
        relay::Request::Throttle(order) => {
            relay::Response::Throttle(workers.throttle(&order, timeout).await)
        }
        relay::Request::Renew(order) => {
            relay::Response::Renewal(workers.renew_lease(&order, RENEWAL_SLACK).await)
        }
        relay::Request::Advise(request) => {
            let began_at = time::Instant::now();
            let outcome = shared.platform.advisor().advise(&request).await;
            relay::Response::Advice {
                outcome,
                elapsed: began_at.elapsed(),
            }
        }
    }
}

/// Returns the address of the worker whose orders are made one after the other.
fn lane_address(request: &relay::Request) -> Option<&sync::Arc<str>> {
    match request {
        relay::Request::Start(order) => Some(&order.address),
        relay::Request::Stop(order) => Some(&order.address),
        relay::Request::Throttle(order) => Some(&order.address),
        relay::Request::Renew(_) | relay::Request::Advise(_) => None,
    }
}

/// Returns what an order is about, for logs.
fn subject(request: &relay::Request) -> String {
    match request {
        relay::Request::Start(order) => format!("start {}", jobs::run_name(order.run)),
        relay::Request::Stop(order) => format!("stop {}", jobs::run_name(order.run)),
        relay::Request::Throttle(order) => format!("throttle {}", jobs::run_name(order.run)),
        relay::Request::Renew(order) => format!("renew {}", order.incarnation.worker_id),
        relay::Request::Advise(request) => format!("advise {:016x}", request.step.job_id),
    }
}

/// Returns how long an order may take at the instance that executes it.
pub(crate) fn time_limit(action: &jobs::Action, timeout: time::Duration) -> time::Duration {
    match action {
        jobs::Action::Renew(order) => order.wait + RENEWAL_SLACK,
        jobs::Action::Advise(call) => time::Duration::from_millis(call.request.timeout_ms),
        _ => timeout,
    }
}
