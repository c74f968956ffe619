//! Dispatches queued tasks to holders as offers, and handles offers of owners.

use std::time;

use crate::control::effect;
use crate::control::input;
use crate::control::runs;
use crate::control::state;

/// Timeout of an offer sent to a peer.
const OFFER_TIMEOUT: time::Duration = time::Duration::from_millis(1500);
/// Limit of dispatches after one batch of inputs, so that further inputs are not delayed.
const MAX_DISPATCHES_PER_BATCH: usize = 512;

impl state::Control {
    /// Offers queued tasks to holders while they have free capacity.
    pub(super) fn dispatch(&mut self, now: time::Instant) {
        let summary = self.fleet.summary();
        let local = place::Target::Local;
        let proximity = place::Proximity::SameDataCentre;
        self.queue.set_capacity(&local, proximity, summary, now);
        for _ in 0..MAX_DISPATCHES_PER_BATCH {
            let Some(dispatch) = self.queue.next(&mut self.shares, now) else {
                return;
            };
            self.shares.assign_acquired(dispatch.queued.task.task_id);
            self.send_offer(dispatch, now);
        }
    }

    fn send_offer(&mut self, dispatch: place::Dispatch, now: time::Instant) {
        let holder = match &dispatch.target {
            place::Target::Local => self.own_id().clone(),
            place::Target::Peer(instance_id) => instance_id.clone(),
        };
        let event = owner::Event::Dispatched {
            task_id: dispatch.queued.task.task_id,
            attempt: dispatch.queued.attempt,
            members: members_of(&dispatch.queued.task),
            holder: holder.clone(),
        };
        self.owner_event(event, now);
        let offer = self.build_offer(&dispatch, &holder);
        if self.is_self(&holder) {
            let reply = self.handle_offer(None, &offer, dispatch.short, now);
            self.on_offer_ended(dispatch, Ok(reply), now);
            return;
        }
        let request = model::PeerRequest::Offer(offer);
        let context = effect::CallContext::Offer(Box::new(dispatch.clone()));
        self.metrics.count("offer.sent");
        if !self.call(&holder, request, OFFER_TIMEOUT, context) {
            self.on_offer_ended(dispatch, Err(input::CallError::NotHandled), now);
        }
    }

    fn build_offer(&self, dispatch: &place::Dispatch, holder: &str) -> model::Offer {
        model::Offer {
            owner: self.own_id().clone(),
            generation: dispatch.queued.generation,
            attempt: dispatch.queued.attempt,
            task: dispatch.queued.task.clone(),
            members: members_of(&dispatch.queued.task),
            holder_clock_ms: self.members.clock_of(holder),
            reserve: dispatch.reserve,
            expected_run_ms: dispatch.expected_run_time.as_millis() as u64,
            checkpoint: dispatch.queued.checkpoint.clone(),
            reserve_only: false,
        }
    }

    /// Handles the result of an offer.
    pub(super) fn on_offer_ended(
        &mut self,
        mut dispatch: place::Dispatch,
        result: Result<model::OfferReply, input::CallError>,
        now: time::Instant,
    ) {
        let task_id = dispatch.queued.task.task_id;
        let attempt = dispatch.queued.attempt;
        let members = members_of(&dispatch.queued.task);
        let holder = match &dispatch.target {
            place::Target::Local => self.own_id().clone(),
            place::Target::Peer(instance_id) => instance_id.clone(),
        };
        match result {
            Ok(model::OfferReply::Taken { workers, capacity }) => {
                self.update_capacity(&holder, capacity, now);
                let waited = now.saturating_duration_since(dispatch.queued.accepted_at);
                self.queue.record_start(waited, dispatch.short, now);
                self.metrics.time("task.wait", waited);
                let event = owner::Event::OfferAccepted {
                    task_id,
                    attempt,
                    members,
                    holder,
                    workers,
                };
                self.owner_event(event, now);
            }
            Ok(model::OfferReply::Refused { capacity }) => {
                self.update_capacity(&holder, capacity, now);
                self.on_offer_refused(dispatch, holder, members, now);
            }
            Ok(model::OfferReply::Stale) => {
                self.metrics.count("retry.offer_stale");
                dispatch.queued.excluded_instances.push(holder.clone());
                self.on_offer_refused(dispatch, holder, members, now);
            }
            Err(input::CallError::NotHandled) => {
                self.metrics.count("retry.offer_not_sent");
                self.on_offer_refused(dispatch, holder, members, now);
            }
            Err(input::CallError::Unanswered) => {
                self.metrics.count("retry.offer_unanswered");
                let event = owner::Event::OfferReplyLost {
                    task_id,
                    attempt,
                    members,
                    holder,
                };
                self.owner_event(event, now);
            }
        }
    }

    fn on_offer_refused(
        &mut self,
        dispatch: place::Dispatch,
        holder: model::InstanceId,
        members: Vec<u16>,
        now: time::Instant,
    ) {
        self.metrics.count("retry.offer_refused");
        let task_id = dispatch.queued.task.task_id;
        let attempt = dispatch.queued.attempt;
        let single = members.len() == 1;
        let returned = single.then_some(dispatch);
        if let Some(dispatch) = returned {
            self.queue.requeue_refused(dispatch, now);
        }
        let event = owner::Event::OfferRefused {
            task_id,
            attempt,
            members,
            holder,
        };
        self.owner_event(event, now);
    }

    fn update_capacity(
        &mut self,
        holder: &model::InstanceId,
        capacity: model::CapacitySummary,
        now: time::Instant,
    ) {
        if self.is_self(holder) {
            let proximity = place::Proximity::SameDataCentre;
            let local = place::Target::Local;
            self.queue.set_capacity(&local, proximity, capacity, now);
            return;
        }
        let Some(proximity) = self.members.proximity_of(holder) else {
            return;
        };
        let target = place::Target::Peer(holder.clone());
        self.queue.set_capacity(&target, proximity, capacity, now);
    }

    /// Handles an offer of the peer `from`, or of this instance if `None`.
    pub(super) fn handle_offer(
        &mut self,
        from: Option<&str>,
        offer: &model::Offer,
        short: bool,
        now: time::Instant,
    ) -> model::OfferReply {
        if self.is_stale(from, offer, now) {
            self.metrics.count("offer.stale");
            return model::OfferReply::Stale;
        }
        if let Some(workers) = self.runs.workers_of(offer) {
            let capacity = self.fleet.summary();
            return model::OfferReply::Taken { workers, capacity };
        }
        match self.place_offer(offer, short, now) {
            Some(workers) => model::OfferReply::Taken {
                workers,
                capacity: self.fleet.summary(),
            },
            None => {
                self.metrics.count("offer.no_room");
                model::OfferReply::Refused {
                    capacity: self.fleet.summary(),
                }
            }
        }
    }

    fn is_stale(&self, from: Option<&str>, offer: &model::Offer, now: time::Instant) -> bool {
        let partition = model::partition_of(offer.task.task_id);
        if !self.fences.admits(partition, offer.generation) || self.runs.is_forbidden(offer) {
            return true;
        }
        let age_ms = self.clock_ms(now).saturating_sub(offer.holder_clock_ms);
        from.is_some() && age_ms > self.settings.owner.offer_validity.as_millis() as u64
    }

    fn place_offer(
        &mut self,
        offer: &model::Offer,
        short: bool,
        now: time::Instant,
    ) -> Option<Vec<model::WorkerId>> {
        if self.draining {
            return None;
        }
        let request = place::Request {
            task: &offer.task,
            attempt: offer.attempt,
            members: &offer.members,
            reserve: offer.reserve,
            expected_run_time: time::Duration::from_millis(offer.expected_run_ms),
            short,
            reserve_only: offer.reserve_only,
        };
        let placed = self.fleet.place(&request, now).ok()?;
        let all_held = placed
            .iter()
            .all(|(_, worker_id)| self.leases.start_target(worker_id, now).is_some());
        if !all_held {
            for (member, _) in &placed {
                self.fleet.release(runs::run_of(offer, *member));
            }
            return None;
        }
        for (member, worker_id) in &placed {
            self.runs.insert_new(offer, *member, worker_id.clone());
        }
        Some(placed.into_iter().map(|(_, worker_id)| worker_id).collect())
    }

    /// Settles queued tasks whose deadline has passed.
    pub(super) fn expire_queue(&mut self, now: time::Instant) {
        for queued in self.queue.expire(now) {
            let task_id = queued.task.task_id;
            self.owner_event(owner::Event::QueueExpired { task_id }, now);
        }
    }
}

fn members_of(task: &model::Task) -> Vec<u16> {
    (0..task.spec.members).collect()
}
