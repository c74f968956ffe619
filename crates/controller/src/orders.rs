//! Execution of orders: calls to workers and to the recommendation service.

use std::time;

use crate::instance;
use crate::platform;
use crate::platform::Advisor as _;
use crate::platform::Workers as _;

/// Time that a renewal call may take on top of the wait it asks for.
const RENEWAL_SLACK: time::Duration = time::Duration::from_millis(600);

/// Makes the call that an order asks for, and returns its result.
///
/// `timeout` applies to each call but a renewal, which takes the wait it asks for, and a call to the
/// recommendation service, which has its own.
pub(crate) async fn execute<P: platform::Platform>(
    shared: &instance::Shared<P>,
    request: relay::Request,
    timeout: time::Duration,
) -> relay::Response {
    let workers = shared.platform.workers();
    match request {
        relay::Request::Start(order) => {
            let _lane = shared.call_lanes.enter(&order.address).await;
            let outcome = workers.start(&order, timeout).await;
            shared.metrics.count(match &outcome {
                jobs::StartOutcome::Started => "start.started",
                jobs::StartOutcome::Rejected(_) => "start.rejected",
                jobs::StartOutcome::NoAnswer => "start.unanswered",
            });
            relay::Response::Start(outcome)
        }
        relay::Request::Stop(order) => {
            let _lane = shared.call_lanes.enter(&order.address).await;
            relay::Response::Stop(workers.stop(&order, timeout).await)
        }
        relay::Request::Throttle(order) => {
            let _lane = shared.call_lanes.enter(&order.address).await;
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

/// Returns how long an order may take at the instance that executes it.
pub(crate) fn time_limit(action: &jobs::Action, timeout: time::Duration) -> time::Duration {
    match action {
        jobs::Action::Renew(order) => order.wait + RENEWAL_SLACK,
        jobs::Action::Advise(call) => time::Duration::from_millis(call.request.timeout_ms),
        _ => timeout,
    }
}
