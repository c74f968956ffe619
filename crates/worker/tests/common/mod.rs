//! A stand-in worker with a client, and builders of requests and runs.

#![allow(dead_code, reason = "each test file uses a part")]

use std::sync;
use std::time;

use worker::WorkerApi as _;

pub(crate) const EPHEMERAL_ADDRESS: &str = "127.0.0.1:0";
/// Long enough that a call reaches it only if something is wrong.
pub(crate) const LONG_TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// Timeout of a call that an injected fault leaves unanswered.
pub(crate) const SHORT_TIMEOUT: time::Duration = time::Duration::from_millis(300);
pub(crate) const LONG_MS: u64 = 600_000;

pub(crate) struct Fixture {
    pub(crate) server: standin::WorkerServer,
    pub(crate) client: worker::HttpWorkers,
    pub(crate) address: String,
}

impl Fixture {
    pub(crate) async fn start() -> Self {
        Self::start_with(capacity(8)).await
    }

    pub(crate) async fn start_with(capacity: model::WorkerCapacity) -> Self {
        let config = standin::WorkerConfig::new("w", location())
            .capacity(capacity)
            .usage_lag(time::Duration::ZERO);
        let server = standin::WorkerServer::start(config, EPHEMERAL_ADDRESS.parse().unwrap())
            .await
            .unwrap();
        let address = server.address().to_string();
        Self {
            server,
            client: worker::HttpWorkers::builder().build(),
            address,
        }
    }

    pub(crate) async fn lease(&self, request: &model::LeaseRequest) -> model::LeaseReply {
        self.client
            .lease(&self.address, request, LONG_TIMEOUT)
            .await
            .unwrap()
    }

    pub(crate) async fn claim(&self, instance_id: &str) -> LeaseHolder {
        let grant = Grant::from_reply(self.lease(&claim_request(instance_id)).await);
        LeaseHolder {
            instance_id: instance_id.into(),
            epoch: grant.epoch,
            incarnation: grant.incarnation,
        }
    }

    pub(crate) async fn start_one(
        &self,
        holder: &LeaseHolder,
        run: model::StartRun,
    ) -> model::StartVerdict {
        let reply = self
            .client
            .start(&self.address, &holder.start_request(run), LONG_TIMEOUT)
            .await
            .unwrap();
        reply.verdicts[0]
    }

    pub(crate) async fn stop(
        &self,
        holder: &LeaseHolder,
        run: model::TaskAttempt,
    ) -> model::StopReply {
        self.client
            .stop(&self.address, &holder.stop_request(run), LONG_TIMEOUT)
            .await
            .unwrap()
    }

    pub(crate) async fn renew(
        &self,
        holder: &LeaseHolder,
        acknowledged: Vec<model::TaskAttempt>,
        wait_ms: u64,
    ) -> Grant {
        let request = model::LeaseRequest {
            epoch: Some(holder.epoch),
            acknowledged,
            wait_ms,
            ..claim_request(&holder.instance_id)
        };
        Grant::from_reply(self.lease(&request).await)
    }
}

/// Fields of a granted lease.
#[derive(Debug)]
pub(crate) struct Grant {
    pub(crate) epoch: model::Epoch,
    pub(crate) incarnation: model::Incarnation,
    pub(crate) leaving: bool,
    pub(crate) running: Vec<model::RunningRun>,
    pub(crate) finished: Vec<model::FinishedRun>,
    pub(crate) usage: Vec<model::RunUsage>,
}

impl Grant {
    pub(crate) fn from_reply(reply: model::LeaseReply) -> Self {
        let model::LeaseReply::Granted {
            epoch,
            incarnation,
            leaving,
            running,
            finished,
            usage,
            ..
        } = reply
        else {
            panic!("expected a grant, got {reply:?}");
        };
        Self {
            epoch,
            incarnation,
            leaving,
            running,
            finished,
            usage,
        }
    }
}

pub(crate) struct LeaseHolder {
    pub(crate) instance_id: model::InstanceId,
    pub(crate) epoch: model::Epoch,
    pub(crate) incarnation: model::Incarnation,
}

impl LeaseHolder {
    pub(crate) fn start_request(&self, run: model::StartRun) -> model::StartRequest {
        model::StartRequest {
            instance_id: self.instance_id.clone(),
            epoch: self.epoch,
            incarnation: self.incarnation,
            runs: vec![run],
        }
    }

    pub(crate) fn stop_request(&self, run: model::TaskAttempt) -> model::StopRequest {
        model::StopRequest {
            instance_id: self.instance_id.clone(),
            epoch: self.epoch,
            run,
        }
    }

    pub(crate) fn release_request(&self) -> model::ReleaseRequest {
        model::ReleaseRequest {
            instance_id: self.instance_id.clone(),
            epoch: self.epoch,
            successor: None,
        }
    }
}

pub(crate) fn location() -> model::Location {
    model::Location {
        region: "r".into(),
        data_centre: "d".into(),
        rack: "k".into(),
    }
}

pub(crate) fn capacity(slots: u32) -> model::WorkerCapacity {
    let resources = model::Demand {
        processors_milli: 8000,
        memory_mb: 8000,
        accelerators: 1,
    };
    model::WorkerCapacity {
        resources,
        slots,
        connections: 64,
    }
}

pub(crate) fn claim_request(instance_id: &str) -> model::LeaseRequest {
    model::LeaseRequest {
        instance_id: instance_id.into(),
        instance_address: format!("{instance_id}:1"),
        epoch: None,
        ttl_ms: LONG_MS,
        grace_ms: LONG_MS,
        acknowledged: Vec::new(),
        wait_ms: 0,
    }
}

/// Returns a batch run of task `number` with the given body.
pub(crate) fn batch_run(number: u128, body: &str) -> model::StartRun {
    start_run(model::Class::Batch, number, body)
}

/// Returns a run that lasts until it is stopped.
pub(crate) fn endless_run(number: u128) -> model::StartRun {
    start_run(model::Class::Service, number, "{}")
}

fn start_run(class: model::Class, number: u128, body: &str) -> model::StartRun {
    let task_id = model::task_id_in_partition(0, number);
    let demand = model::Demand {
        processors_milli: 1000,
        memory_mb: 100,
        accelerators: 0,
    };
    let spec = model::TaskSpec {
        kind: "badge-form".into(),
        class,
        demand,
        members: 1,
        urgency: model::Urgency::Normal,
        deadline_ms: LONG_MS,
        repeatable: true,
        key: None,
        declared_run_ms: None,
        body: body.into(),
    };
    let task = model::Task {
        task_id,
        customer_id: "c".into(),
        plan_id: "p".into(),
        region: "r".into(),
        spec: sync::Arc::new(spec),
        wait: false,
    };
    model::StartRun {
        run: model::TaskAttempt {
            task_id,
            member: 0,
            attempt: 1,
        },
        task,
        generation: 1,
        reserved: demand,
        checkpoint: None,
    }
}

/// Waits until `condition` holds.
pub(crate) async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
}
