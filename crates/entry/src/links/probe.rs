//! Requests that only show whether an upstream or another VM answers.

use {
    crate::{
        context::Context,
        http1::{ResponseHead, Status},
        scheduling::ProbeTarget,
        upstream::{Awaited, Connection, ExchangeError, Pool},
    },
    jasmine_core::{clock::Millis, reachability::ProbeResult},
    jasmine_platform::{engine::REPORT_TARGET, headers::write_expected_upstream},
    std::{fmt::Write, net::SocketAddr},
    tokio::time::timeout,
};

/// Timeout of a probe after its connection was opened.
const ANSWER_TIMEOUT: Millis = Millis(450);
/// Timeout of the question to another VM, which may have to test its own links first.
const PEER_TIMEOUT: Millis = Millis(1_200);

/// Probes an upstream over a new connection: an engine's report, otherwise the health check of its service.
pub(super) async fn probe_upstream(
    cx: &Context,
    target: &ProbeTarget,
) -> ProbeResult {
    let Ok(connection) = cx.pool.open(target.address).await else {
        return ProbeResult::Refused;
    };
    let config = cx.config();
    let service = config
        .as_ref()
        .and_then(|config| config.services.get(&target.service));
    let path = service.and_then(|service| match &service.engine {
        Some(_) => Some(REPORT_TARGET),
        None => service.health_path.as_deref(),
    });
    let Some(path) = path else {
        return ProbeResult::Answered;
    };
    let mut request = head(path, target.address);
    write_expected_upstream(&target.name, &mut request);
    request.push_str("\r\n");
    match timeout(
        ANSWER_TIMEOUT.to_std(),
        first_response(connection, &request),
    )
    .await
    {
        Ok(Ok(_)) => ProbeResult::Answered,
        Ok(Err(_closed)) => ProbeResult::Refused,
        Err(_elapsed) => ProbeResult::Silent,
    }
}

/// Asks another VM whether it reaches the upstreams.
pub(super) async fn ask_peer(
    pool: &Pool,
    address: SocketAddr,
) -> bool {
    let Ok(connection) = pool.open(address).await else {
        return false;
    };
    let request = head("/", address) + "\r\n";
    let response = timeout(PEER_TIMEOUT.to_std(), first_response(connection, &request)).await;
    matches!(response, Ok(Ok(head)) if head.status == Status::OK)
}

async fn first_response(
    mut connection: Connection,
    request: &str,
) -> Result<ResponseHead, ExchangeError> {
    let start = connection.send_request(request.as_bytes(), "GET", Awaited::Any);
    Ok(start.await?.head)
}

fn head(
    path: &str,
    address: SocketAddr,
) -> String {
    let mut head = format!("GET {path} HTTP/1.1\r\n");
    let _infallible = write!(head, "Host: {address}\r\n");
    head
}
