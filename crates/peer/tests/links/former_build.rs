//! Requests of tenants, and requests with a time limit, to an instance of the build without tenants.

use serde::Deserialize;
use serde::Serialize;

use crate::common;

/// Requests as the build without tenants defines them.
#[derive(Debug, Serialize, Deserialize)]
enum FormerRequest {
    Heartbeat(model::ControllerHeartbeat),
    Job {
        manifest_version: model::ManifestVersion,
        remaining_ms: u64,
        request: model::JobRequest,
    },
    Manifest,
}

impl peer::Message for FormerRequest {
    type Response = model::ControllerReply;

    fn is_control(&self) -> bool {
        false
    }

    fn is_heartbeat(&self) -> bool {
        false
    }
}

/// Answers requests about jobs with the version of the manifest and the time that they have.
#[derive(Clone)]
struct FormerHandler;

impl peer::Handler for FormerHandler {
    type Request = FormerRequest;

    async fn handle(
        &self,
        _from: model::InstanceId,
        request: FormerRequest,
    ) -> model::ControllerReply {
        match request {
            FormerRequest::Job {
                manifest_version,
                remaining_ms,
                request: model::JobRequest::Status { job_id },
            } => model::ControllerReply::Job(model::JobReply::Pending(
                manifest_version * 100 + remaining_ms * 10 + job_id,
            )),
            _ => model::ControllerReply::Manifest(None),
        }
    }
}

/// Guards against requests without a tenant that the former build misreads, and against requests of
/// tenants, or with a time limit, that leave their callers in doubt.
#[tokio::test]
async fn former_build_refuses_requests_of_tenants_as_not_handled() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("bind");
    let address = listener.local_addr().expect("address").to_string();
    let shutdown = tokio_util::sync::CancellationToken::new();
    let server = peer::Server::new(common::identity("server#1"));
    let stop = shutdown.clone();
    let server = tokio::spawn(async move { server.serve(listener, FormerHandler, stop).await });
    let link = common::link(common::identity("client#1"), &address);
    let request = model::JobRequest::Status { job_id: 3 };
    let untenanted = model::ControllerRequest::Job {
        manifest_version: 1,
        remaining_ms: 2,
        request: request.clone(),
    };
    let reply = link.request(&untenanted, common::LONG_TIMEOUT).await;
    let expected = model::ControllerReply::Job(model::JobReply::Pending(123));
    assert_eq!(reply.expect("the layout has not changed"), expected);
    let of_tenant = model::ControllerRequest::TenantJob {
        tenant: "a".into(),
        manifest_version: 1,
        remaining_ms: 2,
        request,
    };
    let timed = model::ControllerRequest::TimedJob {
        term: 1,
        received_ms: 1,
        handle_by_ms: 2,
        tenant: None,
        manifest_version: 1,
        request: model::JobRequest::Cancel { job_id: 3 },
    };
    let unknown = [
        of_tenant,
        timed,
        model::ControllerRequest::ManifestState,
        model::ControllerRequest::Clock,
    ];
    for request in unknown {
        let reply = link.request(&request, common::LONG_TIMEOUT).await;
        let cause = reply.expect_err("the former build does not know it");
        let refused = peer::ErrorKind::Refused(peer::RefusalReason::Malformed);
        assert_eq!(cause.kind(), refused);
        assert!(cause.is_unhandled());
    }
    // The connection goes on.
    let reply = link.request(&untenanted, common::LONG_TIMEOUT).await;
    assert!(reply.is_ok());
    shutdown.cancel();
    link.close().await;
    server.await.expect("no panic");
}
