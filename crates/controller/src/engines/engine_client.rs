use {
    awc::{Client, error::SendRequestError},
    jasmine_core::{
        clock::Millis,
        ids::Fence,
        ownership::{LoadResult, UnloadResult},
        placement::Instance,
    },
    jasmine_http1::checked_connector,
    jasmine_store::http::is_unsent,
    serde_json::{Value, json},
    std::net::SocketAddr,
    tokio::time::timeout,
};

/// Timeout of connecting to an engine.
const CONNECT_TIMEOUT: Millis = Millis(300);

/// Timeout of a load, with room for concurrent loads and cold starts.
const LOAD_TIMEOUT: Millis = Millis(20_000);

/// Timeout of any other order.
const ORDER_TIMEOUT: Millis = Millis(2_000);

/// A failed call to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum EngineError {
    /// No connection was established, so the engine has received nothing.
    #[display("engine unreachable: {_0}")]
    Unreachable(#[error(not(source))] String),
    /// The call may have been sent, but no valid response was received.
    #[display("no valid response from engine: {_0}")]
    NoValidResponse(#[error(not(source))] String),
}

/// Sends orders to engines.
///
/// Each call uses a new connection. An order that is retried or delayed in a stalled pooled connection
/// could reach the engine long after this controller has lost its ownership.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineClient;

impl EngineClient {
    /// Orders a load and waits for its result.
    pub async fn load(
        self,
        engine: SocketAddr,
        instance: Instance,
        weights: &str,
        fence: Fence,
    ) -> LoadResult {
        let body = json!({ "instance": instance.name(), "weights": weights, "fence": fence });
        match post(engine, "/v1/load_adapter", &body, LOAD_TIMEOUT).await {
            Ok(200) => LoadResult::Loaded,
            Ok(409) => LoadResult::StaleFence,
            Ok(507) => LoadResult::NoFreeSlot,
            Ok(500) | Err(EngineError::Unreachable(_)) => LoadResult::Failed,
            Ok(_) | Err(EngineError::NoValidResponse(_)) => LoadResult::Unknown,
        }
    }

    /// Orders an unload and waits for its result.
    pub async fn unload(
        self,
        engine: SocketAddr,
        instance: Instance,
        fence: Fence,
    ) -> UnloadResult {
        let body = json!({ "instance": instance.name(), "fence": fence });
        match post(engine, "/v1/unload_adapter", &body, ORDER_TIMEOUT).await {
            Ok(200 | 404) => UnloadResult::Gone,
            Ok(409) => UnloadResult::StaleFence,
            Ok(_) | Err(_) => UnloadResult::Unknown,
        }
    }

    /// Makes an engine reject older fencing tokens; `Some(false)` if it has seen a newer one.
    pub async fn raise_fence(
        self,
        engine: SocketAddr,
        fence: Fence,
    ) -> Option<bool> {
        match post(
            engine,
            "/v1/fence",
            &json!({ "fence": fence }),
            ORDER_TIMEOUT,
        )
        .await
        {
            Ok(200) => Some(true),
            Ok(409) => Some(false),
            Ok(_) | Err(_) => None,
        }
    }
}

async fn post(
    engine: SocketAddr,
    path: &str,
    body: &Value,
    limit: Millis,
) -> Result<u16, EngineError> {
    let send = async {
        new_client()
            .post(format!("http://{engine}{path}"))
            .send_json(body)
            .await
            .map(|res| res.status().as_u16())
            .map_err(|e| match e {
                SendRequestError::Connect(e) if is_unsent(&e) => {
                    EngineError::Unreachable(e.to_string())
                }
                e => no_valid_response(&e),
            })
    };
    timeout(limit.to_std(), send)
        .await
        .unwrap_or_else(|e| Err(no_valid_response(&e)))
}

pub(super) fn new_client() -> Client {
    Client::builder()
        .connector(checked_connector().timeout(CONNECT_TIMEOUT.to_std()))
        .disable_timeout()
        .finish()
}

pub(super) fn no_valid_response(e: &dyn std::fmt::Display) -> EngineError {
    EngineError::NoValidResponse(e.to_string())
}
