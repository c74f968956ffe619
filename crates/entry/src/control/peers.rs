//! Requests of peers, and results of calls to them.

use std::time;

use crate::control::effect;
use crate::control::input;
use crate::control::state;

impl state::Control {
    /// Handles a request of a peer; every request gets one response.
    pub(super) fn peer_request(
        &mut self,
        request_id: input::RequestId,
        from: model::InstanceId,
        request: model::PeerRequest,
        now: time::Instant,
    ) {
        match request {
            model::PeerRequest::Heartbeat(heartbeat) => {
                let address = heartbeat.address.clone();
                self.heartbeat_heard(&address, *heartbeat, now);
                let own = self.heartbeat_to(&address, now);
                self.respond(request_id, model::PeerResponse::Heartbeat(Box::new(own)));
            }
            model::PeerRequest::Submit(submission) => self.submitted(request_id, submission, now),
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
                self.ask_owner(request_id, task_id, event, now);
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
                self.ask_owner(request_id, task_id, event, now);
            }
            model::PeerRequest::Offer(offer) => {
                let expected_run_time = time::Duration::from_millis(offer.expected_run_ms);
                let short = expected_run_time <= self.settings.queue.short_run;
                let reply = self.take_offer(Some(&from), &offer, short, now);
                self.respond(request_id, model::PeerResponse::Offer(reply));
            }
            model::PeerRequest::Withdraw { run } => self.withdraw_here(run, Some(request_id), now),
            model::PeerRequest::Report(reports) => self.reported(request_id, reports, now),
            model::PeerRequest::Fence { partitions } => {
                let ack = self.fence_here(&partitions);
                let event = owner::Event::Fenced {
                    owner: from,
                    partitions,
                };
                self.owner_event(event, now);
                self.respond(request_id, model::PeerResponse::Fenced(ack));
            }
            model::PeerRequest::Quota(asks) => {
                let replies = self.grant(asks, now);
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
                        .newer_owners()
                        .map(|(partition, owner)| (partition, owner.clone()))
                        .collect(),
                };
                self.respond(request_id, response);
            }
            model::PeerRequest::Delegate {
                partitions,
                started,
                queued,
            } => self.delegated(request_id, from, partitions, started, queued, now),
        }
    }

    pub(super) fn respond(&mut self, request_id: input::RequestId, response: model::PeerResponse) {
        self.effect(effect::Effect::Respond {
            request_id,
            response,
        });
    }

    pub(super) fn respond_owner_answer(
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

    fn ask_owner(
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

    fn submitted(
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
        self.ask_owner(request_id, task_id, event, now);
    }

    fn reported(
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

    fn delegated(
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
    pub(super) fn called(
        &mut self,
        address: &str,
        context: effect::Context,
        result: Result<model::PeerResponse, input::CallError>,
        now: time::Instant,
    ) {
        match context {
            effect::Context::Heartbeat => self.heartbeat_ended(address, result, now),
            effect::Context::Forward { request_id } => {
                self.forwarded(request_id, address, result, now)
            }
            effect::Context::Offer(dispatch) => {
                let result = match result {
                    Ok(model::PeerResponse::Offer(reply)) => Ok(reply),
                    Ok(_) => Err(input::CallError::Unanswered),
                    Err(error) => Err(error),
                };
                self.offer_ended(*dispatch, result, now);
            }
            effect::Context::Report(reports) => self.report_ended(address, reports, result, now),
            effect::Context::Withdraw { holder, run } => {
                let event = match result {
                    Ok(model::PeerResponse::Withdrawn(report)) => owner::Event::Withdrawn(report),
                    _ => owner::Event::WithdrawFailed { run, holder },
                };
                self.owner_event(event, now);
            }
            effect::Context::Fence { holder, partitions } => {
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
            effect::Context::Quota => {
                if let Ok(model::PeerResponse::Quota(replies)) = result {
                    self.shares_granted(replies, now);
                }
            }
            effect::Context::Lists => {
                if let Ok(model::PeerResponse::Lists(state)) = result {
                    self.lists_read(state, now);
                }
            }
            effect::Context::Table => {
                if let Ok(model::PeerResponse::Table {
                    table,
                    revision,
                    newer,
                }) = result
                {
                    let heard = owner::Event::PeerTableReceived {
                        table,
                        revision,
                        newer,
                    };
                    self.owner_event(heard, now);
                }
            }
            effect::Context::Delegate { to } => {
                let event = match result {
                    Ok(model::PeerResponse::Accepted) => owner::Event::DelegateAcked { to },
                    Ok(model::PeerResponse::NotOwner) | Err(input::CallError::NotHandled) => {
                        self.members.note_draining(&to);
                        owner::Event::DelegateRefused { to }
                    }
                    _ => owner::Event::DelegateFailed { to },
                };
                self.owner_event(event, now);
            }
        }
    }
}
