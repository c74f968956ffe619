//! Builders of tasks, workers and limits.
#![allow(dead_code)]

use std::sync;
use std::time;

pub(crate) const fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

pub(crate) fn demand(processors_milli: u32, memory_mb: u32, accelerators: u32) -> model::Demand {
    model::Demand {
        processors_milli,
        memory_mb,
        accelerators,
    }
}

pub(crate) fn spec(class: model::Class) -> model::TaskSpec {
    model::TaskSpec {
        kind: "badge-form".into(),
        class,
        demand: demand(1000, 1024, 0),
        members: 1,
        urgency: model::Urgency::Normal,
        deadline_ms: 60_000,
        repeatable: true,
        key: None,
        declared_run_ms: Some(10_000),
        body: "".into(),
    }
}

pub(crate) fn task(number: u128, plan: &str, spec: model::TaskSpec) -> model::Task {
    model::Task {
        task_id: model::task_id_in_partition(0, number),
        customer_id: plan.into(),
        plan_id: plan.into(),
        region: "almaty".into(),
        spec: sync::Arc::new(spec),
        wait: true,
    }
}

pub(crate) fn queued(task: model::Task, now: time::Instant) -> place::Queued {
    let deadline = now + ms(task.spec.deadline_ms);
    place::Queued {
        task,
        attempt: 1,
        generation: 1,
        accepted_at: now,
        deadline,
        checkpoint: None,
        excluded_instances: Vec::new(),
    }
}

pub(crate) fn summary(slots: u32, short_slots: u32) -> model::CapacitySummary {
    model::CapacitySummary {
        workers: 6,
        free_slots: slots,
        free_short_slots: short_slots,
        free: demand(384_000, 1_572_864, 0),
        largest_free: demand(64_000, 262_144, 0),
        largest_worker: demand(64_000, 262_144, 0),
        slots: 48,
        queued: 0,
    }
}

pub(crate) fn capacity(accelerators: u32) -> model::WorkerCapacity {
    model::WorkerCapacity {
        resources: demand(8000, 16_384, accelerators),
        slots: 4,
        connections: 64,
    }
}

pub(crate) fn location(data_centre: usize, rack: usize) -> model::Location {
    model::Location {
        region: "almaty".into(),
        data_centre: format!("dc{data_centre}").into(),
        rack: format!("rack{rack}").into(),
    }
}

/// Returns a fleet of identical workers, two in each rack and two racks in each data centre.
pub(crate) fn fleet(workers: usize, policy: place::Policy, now: time::Instant) -> place::Fleet {
    let mut fleet = place::Fleet::new(place::FleetSettings {
        policy,
        ..place::FleetSettings::default()
    });
    for worker in 0..workers {
        let at = location(worker / 4, worker / 2);
        fleet.add_worker(worker_id(worker), at, capacity(0), false, &[], now);
    }
    fleet
}

pub(crate) fn worker_id(worker: usize) -> model::WorkerId {
    format!("worker{worker}").into()
}

pub(crate) fn request<'a>(task: &'a model::Task, members: &'a [u16]) -> place::Request<'a> {
    place::Request {
        task,
        attempt: 1,
        members,
        reserve: task.spec.demand,
        expected_run_time: ms(10_000),
        short: false,
        reserve_only: false,
    }
}

pub(crate) fn attempt(task: &model::Task, member: u16) -> model::TaskAttempt {
    model::TaskAttempt {
        task_id: task.task_id,
        member,
        attempt: 1,
    }
}

pub(crate) fn finished(succeeded: bool, worker_fault: bool) -> place::RunOutcome {
    place::RunOutcome {
        succeeded,
        worker_fault,
        run_time: ms(100),
        peak: demand(1000, 1024, 0),
    }
}

/// Quota that limits the tasks of each plan; a plan without a limit gets everything.
#[derive(Default)]
pub(crate) struct Limits {
    pub(crate) left: indexmap::IndexMap<model::PlanId, u32>,
}

impl place::Quota for Limits {
    fn try_acquire(
        &mut self,
        plan_id: &model::PlanId,
        amount: &model::QuotaAmount,
        _now: time::Instant,
    ) -> bool {
        let Some(left) = self.left.get_mut(plan_id) else {
            return true;
        };
        let fits = *left >= amount.tasks;
        if fits {
            *left -= amount.tasks;
        }
        fits
    }
}
