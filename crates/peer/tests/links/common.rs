//! A server with an echo handler, and a relay that can stop forwarding.

use std::sync;
use std::sync::atomic;
use std::time;

use tokio::io;
use tokio::net;
use tokio::task;
use tokio_util::sync::CancellationToken;

pub(crate) const LONG_TIMEOUT: time::Duration = time::Duration::from_secs(30);
pub(crate) const SHORT_TIMEOUT: time::Duration = time::Duration::from_millis(200);
pub(crate) const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Responds to a lookup with its wait, and to a submission with its body.
///
/// A lookup of the customer `held` and a body that starts so are answered after `release`, and one of `large` with as many
/// bytes as its wait.
#[derive(Clone, Default)]
pub(crate) struct Echo {
    pub(crate) handled: sync::Arc<atomic::AtomicU64>,
    pub(crate) started: sync::Arc<tokio::sync::Notify>,
    pub(crate) release: sync::Arc<tokio::sync::Notify>,
}

impl peer::Handler for Echo {
    type Request = model::PeerRequest;

    async fn handle(
        &self,
        from: model::InstanceId,
        request: model::PeerRequest,
    ) -> model::PeerResponse {
        assert_eq!(&*from, "client#1");
        self.handled.fetch_add(1, atomic::Ordering::SeqCst);
        match request {
            model::PeerRequest::Lookup { customer_id, .. } if &*customer_id == "held" => {
                self.started.notify_one();
                self.release.notified().await;
                model::PeerResponse::Accepted
            }
            model::PeerRequest::Lookup {
                customer_id,
                wait_ms,
                ..
            } if &*customer_id == "large" => text_response(&"b".repeat(wait_ms as usize)),
            model::PeerRequest::Lookup { wait_ms, .. } => text_response(&wait_ms.to_string()),
            model::PeerRequest::Submit(submission)
                if submission.task.spec.body.starts_with("held") =>
            {
                self.started.notify_one();
                self.release.notified().await;
                model::PeerResponse::Accepted
            }
            model::PeerRequest::Submit(submission) => text_response(&submission.task.spec.body),
            _ => model::PeerResponse::Accepted,
        }
    }

    /// Sends each text back, until one is `end`.
    async fn serve_channel(&self, from: model::InstanceId, mut channel: peer::Channel) {
        assert_eq!(&*from, "client#1");
        while let Ok(Some(text)) = channel.receiver.receive::<String>().await {
            self.handled.fetch_add(1, atomic::Ordering::SeqCst);
            if text == "end" || channel.sender.send(&text).await.is_err() {
                break;
            }
        }
        self.started.notify_one();
    }
}

pub(crate) fn text_response(text: &str) -> model::PeerResponse {
    model::PeerResponse::Lists(model::ListsState {
        customers: model::ListText {
            revision: 1,
            text: text.into(),
        },
        plans: model::ListText::default(),
    })
}

pub(crate) fn lookup(customer_id: &str, wait_ms: u64) -> model::PeerRequest {
    model::PeerRequest::Lookup {
        customer_id: customer_id.into(),
        task_id: model::TaskId::from_u128(7),
        wait_ms,
    }
}

pub(crate) fn submission(body: String) -> model::PeerRequest {
    let spec = model::TaskSpec {
        kind: "pack".into(),
        class: model::Class::Batch,
        demand: model::Demand::default(),
        members: 1,
        urgency: model::Urgency::Normal,
        deadline_ms: 1,
        repeatable: true,
        key: None,
        declared_run_ms: None,
        body: body.into(),
    };
    model::PeerRequest::Submit(model::Submission {
        task: model::Task {
            task_id: model::TaskId::from_u128(8),
            customer_id: "customer".into(),
            plan_id: "plan".into(),
            region: "region".into(),
            spec: spec.into(),
            wait: true,
        },
        remaining_ms: 1,
        resent: false,
    })
}

pub(crate) fn heartbeat() -> model::PeerRequest {
    model::PeerRequest::Heartbeat(Box::new(model::Heartbeat {
        instance_id: "client#1".into(),
        address: "127.0.0.1:1".into(),
        location: model::Location {
            region: "region".into(),
            data_centre: "centre".into(),
            rack: "".into(),
        },
        clock_ms: 1,
        echo_clock_ms: 0,
        draining: false,
        customers_revision: 0,
        plans_revision: 0,
        table_revision: 0,
        pending_partitions: 0,
        capacity: model::CapacitySummary::default(),
        racks: 0,
    }))
}

pub(crate) fn identity(instance_id: &str) -> peer::Identity {
    peer::Identity::new(instance_id)
        .cluster("cluster")
        .secret("hidden")
}

pub(crate) fn link(identity: peer::Identity, address: &str) -> peer::Link {
    let settings = peer::LinkSettings {
        connect_timeout: LONG_TIMEOUT,
        max_message_bytes: MAX_MESSAGE_BYTES,
    };
    peer::Link::new(identity, address, settings)
}

/// A running server.
pub(crate) struct TestServer {
    pub(crate) address: String,
    pub(crate) handler: Echo,
    pub(crate) server: peer::Server,
    pub(crate) shutdown: CancellationToken,
    pub(crate) task: task::JoinHandle<()>,
}

impl TestServer {
    pub(crate) async fn start(server: peer::Server) -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address").to_string();
        let handler = Echo::default();
        let shutdown = CancellationToken::new();
        let serve = {
            let (server, handler) = (server.clone(), handler.clone());
            let shutdown = shutdown.clone();
            async move { server.serve(listener, handler, shutdown).await }
        };
        Self {
            address,
            handler,
            server,
            shutdown,
            task: tokio::spawn(serve),
        }
    }

    pub(crate) fn handled(&self) -> u64 {
        self.handler.handled.load(atomic::Ordering::SeqCst)
    }

    pub(crate) async fn stop(self) {
        self.shutdown.cancel();
        tokio::time::timeout(LONG_TIMEOUT, self.task)
            .await
            .expect("the server stops")
            .expect("the server does not panic");
    }
}

/// Forwards connections to a target; those open at [`Relay::silence`] stay open without forwarding.
pub(crate) struct Relay {
    pub(crate) address: String,
    silence_token: sync::Arc<sync::Mutex<CancellationToken>>,
    task: task::JoinHandle<()>,
}

impl Relay {
    pub(crate) async fn start(target: &str) -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address").to_string();
        let silence_token = sync::Arc::new(sync::Mutex::new(CancellationToken::new()));
        let task = tokio::spawn(forward_connections(
            listener,
            target.to_owned(),
            sync::Arc::clone(&silence_token),
        ));
        Self {
            address,
            silence_token,
            task,
        }
    }

    pub(crate) fn silence(&self) {
        let mut silence_token = self.silence_token.lock().expect("lock");
        std::mem::take(&mut *silence_token).cancel();
    }

    pub(crate) async fn stop(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

async fn forward_connections(
    listener: net::TcpListener,
    target: String,
    silence_token: sync::Arc<sync::Mutex<CancellationToken>>,
) {
    let mut connections = task::JoinSet::new();
    loop {
        let (mut client_stream, _) = listener.accept().await.expect("accept");
        let mut server_stream = net::TcpStream::connect(&target).await.expect("connect");
        let silenced = silence_token.lock().expect("lock").clone();
        connections.spawn(async move {
            tokio::select! {
                _ = io::copy_bidirectional(&mut client_stream, &mut server_stream) => {}
                () = silenced.cancelled() => std::future::pending().await,
            }
        });
    }
}
