//! A worker stand-in with a client and a holder.

#![allow(dead_code, reason = "each test file uses a part")]

use std::sync;
use std::time;

use worker::WorkerApi as _;

pub(crate) const ANY: &str = "127.0.0.1:0";
/// Long enough that only a fault lets a call run into it.
pub(crate) const PATIENT: time::Duration = time::Duration::from_secs(20);
/// Short enough for a call that a fault keeps from being answered.
pub(crate) const SHORT: time::Duration = time::Duration::from_millis(300);
pub(crate) const LONG_MS: u64 = 600_000;

pub(crate) struct Bench {
    pub(crate) server: standin::WorkerServer,
    pub(crate) client: worker::HttpWorkers,
    pub(crate) address: String,
}

impl Bench {
    pub(crate) async fn start() -> Self {
        Self::start_with(capacity(8)).await
    }

    pub(crate) async fn start_with(capacity: model::WorkerCapacity) -> Self {
        let config = standin::WorkerConfig::new("w", location())
            .capacity(capacity)
            .usage_lag(time::Duration::ZERO);
        let server = standin::WorkerServer::start(config, ANY.parse().unwrap())
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
            .lease(&self.address, request, PATIENT)
            .await
            .unwrap()
    }

    pub(crate) async fn claim(&self, instance_id: &str) -> Holder {
        let granted = Granted::of(self.lease(&claim(instance_id)).await);
        Holder {
            instance_id: instance_id.into(),
            epoch: granted.epoch,
            incarnation: granted.incarnation,
        }
    }

    pub(crate) async fn start_one(
        &self,
        holder: &Holder,
        run: model::StartRun,
    ) -> model::StartVerdict {
        let reply = self
            .client
            .start(&self.address, &holder.start(run), PATIENT)
            .await
            .unwrap();
        reply.verdicts[0]
    }

    pub(crate) async fn stop(&self, holder: &Holder, run: model::TaskAttempt) -> model::StopReply {
        self.client
            .stop(&self.address, &holder.stop(run), PATIENT)
            .await
            .unwrap()
    }

    pub(crate) async fn renew(
        &self,
        holder: &Holder,
        acknowledged: Vec<model::TaskAttempt>,
        wait_ms: u64,
    ) -> Granted {
        let request = model::LeaseRequest {
            epoch: Some(holder.epoch),
            acknowledged,
            wait_ms,
            ..claim(&holder.instance_id)
        };
        Granted::of(self.lease(&request).await)
    }
}

/// Fields of a granted lease.
#[derive(Debug)]
pub(crate) struct Granted {
    pub(crate) epoch: model::Epoch,
    pub(crate) incarnation: model::Incarnation,
    pub(crate) leaving: bool,
    pub(crate) running: Vec<model::RunningRun>,
    pub(crate) finished: Vec<model::FinishedRun>,
    pub(crate) usage: Vec<model::RunUsage>,
}

impl Granted {
    pub(crate) fn of(reply: model::LeaseReply) -> Self {
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

pub(crate) struct Holder {
    pub(crate) instance_id: model::InstanceId,
    pub(crate) epoch: model::Epoch,
    pub(crate) incarnation: model::Incarnation,
}

impl Holder {
    pub(crate) fn start(&self, run: model::StartRun) -> model::StartRequest {
        model::StartRequest {
            instance_id: self.instance_id.clone(),
            epoch: self.epoch,
            incarnation: self.incarnation,
            runs: vec![run],
        }
    }

    pub(crate) fn stop(&self, run: model::TaskAttempt) -> model::StopRequest {
        model::StopRequest {
            instance_id: self.instance_id.clone(),
            epoch: self.epoch,
            run,
        }
    }

    pub(crate) fn release(&self) -> model::ReleaseRequest {
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

pub(crate) fn claim(instance_id: &str) -> model::LeaseRequest {
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

/// Returns a batch run of task `number` with this body.
pub(crate) fn run(number: u128, body: &str) -> model::StartRun {
    run_of(model::Class::Batch, number, body)
}

/// Returns a run that goes on until it is stopped.
pub(crate) fn endless(number: u128) -> model::StartRun {
    run_of(model::Class::Service, number, "{}")
}

fn run_of(class: model::Class, number: u128, body: &str) -> model::StartRun {
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
pub(crate) async fn until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
}
