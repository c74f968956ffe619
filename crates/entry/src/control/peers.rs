//! Requests of peers, and results of calls to them.

use std::time;

use crate::control::effect;
use crate::control::input;
use crate::control::state;

impl state::Control {
    /// Handles a request of a peer; every request gets one response.
    pub(super) fn on_peer_request(
        &mut self,
        request_id: input::RequestId,
        from: model::InstanceId,
        request: model::PeerRequest,
        now: time::Instant,
    ) {
        match request {
            model::PeerRequest::Heartbeat(heartbeat) => {
                let address = heartbeat.address.clone();
                self.on_heartbeat(&address, *heartbeat, now);
                let own = self.build_heartbeat(&address, now);
                self.respond(request_id, model::PeerResponse::Heartbeat(Box::new(own)));
            }
            model::PeerRequest::Submit(submission) => {
                self.on_peer_submit(request_id, submission, now)
            }
            model::PeerRequest::Lookup {
                customer_id,
                task_id,
                wait_ms,
            } => {
                let event = owner::Event::Lookup {
                    request_id,
                    customer_id,
                    task_id,
                    until: now + time::Duration::from_millis(wait_ms),
                };
                self.pass_to_owner(request_id, task_id, event, now);
            }
            model::PeerRequest::Cancel {
                customer_id,
                task_id,
            } => {
                let event = owner::Event::Cancel {
                    request_id,
                    customer_id,
                    task_id,
                };
                self.pass_to_owner(request_id, task_id, event, now);
            }
            model::PeerRequest::Offer(offer) => {
                let expected_run_time = time::Duration::from_millis(offer.expected_run_ms);
                let short = expected_run_time <= self.settings.queue.short_run;
                let reply = self.handle_offer(Some(&from), &offer, short, now);
                self.respond(request_id, model::PeerResponse::Offer(reply));
            }
            model::PeerRequest::Withdraw { run } => self.withdraw_local(run, Some(request_id), now),
            model::PeerRequest::Report(reports) => self.on_reports(request_id, reports, now),
            model::PeerRequest::Fence { partitions } => {
                let ack = self.fence_local(&partitions);
                let event = owner::Event::Fenced {
                    owner: from,
                    partitions,
                };
                self.owner_event(event, now);
                self.respond(request_id, model::PeerResponse::Fenced(ack));
            }
            model::PeerRequest::Quota(requests) => {
                let replies = self.on_quota_requests(requests, now);
                self.respond(request_id, model::PeerResponse::Quota(replies));
            }
            model::PeerRequest::Lists => {
                let state = self.lists.state().clone();
                self.respond(request_id, model::PeerResponse::Lists(state));
            }
            model::PeerRequest::Table => {
                let response = model::PeerResponse::Table {
                    table: self.owner.stored_table().clone(),
                    revision: self.owner.table_revision(),
                    newer: self
                        .owner
                        .newer_tenures()
                        .map(|(partition, tenure)| (partition, tenure.clone()))
                        .collect(),
                };
                self.respond(request_id, response);
            }
            model::PeerRequest::Delegate {
                partitions,
                started,
                queued,
            } => self.on_delegation(request_id, from, partitions, started, queued, now),
        }
    }

    pub(super) fn respond(&mut self, request_id: input::RequestId, response: model::PeerResponse) {
        self.push_effect(effect::Effect::Respond {
            request_id,
            response,
        });
    }

    pub(super) fn respond_with_owner_answer(
        &mut self,
        request_id: input::RequestId,
        answer: owner::Answer,
    ) {
        let response = match answer {
            owner::Answer::Submit(reply) => model::PeerResponse::Submit(reply),
            owner::Answer::Status(status) => model::PeerResponse::Status(status),
            owner::Answer::NotOwner => model::PeerResponse::NotOwner,
        };
        self.respond(request_id, response);
    }

    fn owns(&self, task_id: model::TaskId) -> bool {
        let partition = model::partition_of(task_id);
        let owner_id = self.owner.owner_of(partition);
        owner_id.is_some_and(|owner_id| self.is_self(owner_id))
    }

    fn pass_to_owner(
        &mut self,
        request_id: input::RequestId,
        task_id: model::TaskId,
        event: owner::Event,
        now: time::Instant,
    ) {
        if self.owns(task_id) {
            self.owner_event(event, now);
        } else {
            self.respond(request_id, model::PeerResponse::NotOwner);
        }
    }

    fn on_peer_submit(
        &mut self,
        request_id: input::RequestId,
        submission: model::Submission,
        now: time::Instant,
    ) {
        let task_id = submission.task.task_id;
        let event = owner::Event::Submit {
            request_id,
            task: submission.task,
            deadline: now + time::Duration::from_millis(submission.remaining_ms),
            resent: submission.resent,
        };
        self.pass_to_owner(request_id, task_id, event, now);
    }

    fn on_reports(
        &mut self,
        request_id: input::RequestId,
        reports: Vec<model::RunReport>,
        now: time::Instant,
    ) {
        if !reports.iter().all(|report| self.owns(report.run.task_id)) {
            self.respond(request_id, model::PeerResponse::NotOwner);
            return;
        }
        self.owner_event(owner::Event::Reports(reports), now);
        self.respond(request_id, model::PeerResponse::Accepted);
    }

    fn on_delegation(
        &mut self,
        request_id: input::RequestId,
        from: model::InstanceId,
        partitions: Vec<(model::Partition, model::Generation)>,
        started: Vec<model::RunReport>,
        queued: Vec<(model::Task, u64)>,
        now: time::Instant,
    ) {
        if self.draining {
            self.respond(request_id, model::PeerResponse::NotOwner);
            return;
        }
        let event = owner::Event::Delegated {
            from,
            partitions,
            started,
            queued,
        };
        self.owner_event(event, now);
        self.respond(request_id, model::PeerResponse::Accepted);
    }

    /// Handles the result of a call to a peer.
    pub(super) fn on_call_ended(
        &mut self,
        address: &str,
        context: effect::CallContext,
        result: Result<model::PeerResponse, input::CallError>,
        now: time::Instant,
    ) {
        match context {
            effect::CallContext::Heartbeat => self.on_heartbeat_ended(address, result, now),
            effect::CallContext::Forward { request_id } => {
                self.on_forward_ended(request_id, address, result, now)
            }
            effect::CallContext::Offer(dispatch) => {
                let result = match result {
                    Ok(model::PeerResponse::Offer(reply)) => Ok(reply),
                    Ok(_) => Err(input::CallError::Unanswered),
                    Err(error) => Err(error),
                };
                self.on_offer_ended(*dispatch, result, now);
            }
            effect::CallContext::Report(reports) => {
                self.on_report_ended(address, reports, result, now)
            }
            effect::CallContext::Withdraw { holder, run } => {
                let event = match result {
                    Ok(model::PeerResponse::Withdrawn(report)) => owner::Event::Withdrawn(report),
                    _ => owner::Event::WithdrawFailed { run, holder },
                };
                self.owner_event(event, now);
            }
            effect::CallContext::Fence { holder, partitions } => {
                let event = match result {
                    Ok(model::PeerResponse::Fenced(ack)) => owner::Event::FenceAcked {
                        from: holder,
                        partitions,
                        ack,
                    },
                    _ => owner::Event::FenceFailed { from: holder },
                };
                self.owner_event(event, now);
            }
            effect::CallContext::Quota => {
                if let Ok(model::PeerResponse::Quota(replies)) = result {
                    self.on_shares_granted(replies, now);
                }
            }
            effect::CallContext::Lists => {
                if let Ok(model::PeerResponse::Lists(state)) = result {
                    self.on_lists(state, now);
                }
            }
            effect::CallContext::Table => {
                if let Ok(model::PeerResponse::Table {
                    table,
                    revision,
                    newer,
                }) = result
                {
                    let received = owner::Event::PeerTableReceived {
                        table,
                        revision,
                        newer,
                    };
                    self.owner_event(received, now);
                }
            }
            effect::CallContext::Delegate { to } => {
                let event = match result {
                    Ok(model::PeerResponse::Accepted) => owner::Event::DelegateAcked { to },
                    Ok(model::PeerResponse::NotOwner) | Err(input::CallError::NotHandled) => {
                        self.members.mark_draining(&to);
                        owner::Event::DelegateRefused { to }
                    }
                    _ => owner::Event::DelegateFailed { to },
                };
                self.owner_event(event, now);
            }
        }
    }
}
