//! Execution of the scheduler's actions: orders to workers, and calls to the recommendation
//! service.

use std::time;

use crate::instance;
use crate::platform;
use crate::platform::Advisor as _;
use crate::platform::Workers as _;

/// Time that a renewal call may take on top of the wait it asks for.
const RENEWAL_SLACK: time::Duration = time::Duration::from_millis(600);

/// Executes an action; returns its outcome as an event, if it has one.
pub(crate) async fn execute<P: platform::Platform>(
    shared: &instance::Shared<P>,
    action: jobs::Action,
    timeout: time::Duration,
) -> Option<jobs::Event> {
    let workers = shared.platform.workers();
    match action {
        jobs::Action::Start(order) => {
            let outcome = workers.start(&order, timeout).await;
            shared.metrics.count(match &outcome {
                jobs::StartOutcome::Started => "start.started",
                jobs::StartOutcome::Rejected(_) => "start.rejected",
                jobs::StartOutcome::NoAnswer => "start.unanswered",
            });
            Some(jobs::Event::Start {
                incarnation: order.incarnation,
                run: order.run,
                outcome,
            })
        }
        jobs::Action::Stop(order) => {
            let outcome = workers.stop(&order, timeout).await;
            Some(jobs::Event::Stop {
                incarnation: order.incarnation,
                run: order.run,
                outcome,
            })
        }
        jobs::Action::Throttle(order) => {
            let outcome = workers.throttle(&order, timeout).await;
            Some(jobs::Event::Throttle {
                incarnation: order.incarnation,
                run: order.run,
                percent: order.percent,
                outcome,
            })
        }
        jobs::Action::Renew(order) => {
            let outcome = workers.renew_lease(&order, RENEWAL_SLACK).await;
            Some(jobs::Event::Renewal {
                incarnation: order.incarnation,
                outcome,
            })
        }
        jobs::Action::Advise(call) => {
            let outcome = advise(shared, &call).await;
            Some(jobs::Event::Advice {
                call: call.call,
                outcome,
            })
        }
        jobs::Action::Reply(..) | jobs::Action::Commit(_) | jobs::Action::StepDown => None,
    }
}

/// Calls the recommendation service from the instance chosen by the scheduler.
async fn advise<P: platform::Platform>(
    shared: &instance::Shared<P>,
    call: &jobs::AdviceCall,
) -> Result<model::AdviceReply, model::AdviceFailure> {
    if call.instance_id == shared.member.instance_id {
        return shared.platform.advisor().advise(&call.request).await;
    }
    let address = instance::lock(&shared.followers).address_of(&call.instance_id);
    let Some(address) = address else {
        return Err(model::AdviceFailure::NoAnswer);
    };
    let request = model::ControllerRequest::Advise(call.request.clone());
    let timeout = time::Duration::from_millis(call.request.timeout_ms);
    match shared.links.to(&address).request(&request, timeout).await {
        Ok(model::ControllerReply::Advice(outcome)) => outcome,
        Ok(_) => Err(model::AdviceFailure::Protocol),
        Err(cause) => {
            log::info!(
                instance:% = call.instance_id,
                cause:% = cause;
                "recommendation call through another instance failed"
            );
            Err(model::AdviceFailure::NoAnswer)
        }
    }
}
