use {
    awc::{Client, Connector, error::SendRequestError},
    jasmine_core::{
        clock::Millis,
        ids::Fence,
        ownership::{LoadResult, UnloadResult},
        placement::Instance,
    },
    jasmine_store::http::is_unsent,
    serde_json::{Value, json},
    std::net::SocketAddr,
    tokio::time::timeout,
};

/// How long connecting to an engine may take.
const CONNECT_TIMEOUT: Millis = Millis(300);

/// How long a load may take: a quarter of a second, longer when many are under way, and cold starts.
const LOAD_TIMEOUT: Millis = Millis(20_000);

/// How long any other order may take.
const ORDER_TIMEOUT: Millis = Millis(2_000);

/// Why an engine gave no usable answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum EngineError {
    /// No connection came about; the engine has seen nothing.
    #[display("not reached: {_0}")]
    Unreachable(#[error(not(source))] String),
    /// The call went out and no clear answer came.
    #[display("no clear answer: {_0}")]
    Unclear(#[error(not(source))] String),
}

/// Sends orders to engines.
///
/// Each call has a connection of its own. An order that is repeated or held back inside a pooled
/// connection that has gone silent could reach the engine long after this controller has lost it.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineClient;

impl EngineClient {
    /// Orders a load and waits for its end.
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
            Ok(_) | Err(EngineError::Unclear(_)) => LoadResult::Unknown,
        }
    }

    /// Orders an unload.
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

    /// Tells an engine to refuse older fencing tokens; `Some(false)` when it has seen a newer one.
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
        fresh_client()
            .post(format!("http://{engine}{path}"))
            .send_json(body)
            .await
            .map(|res| res.status().as_u16())
            .map_err(|e| match e {
                SendRequestError::Connect(e) if is_unsent(&e) => {
                    EngineError::Unreachable(e.to_string())
                }
                e => unclear(&e),
            })
    };
    timeout(limit.to_std(), send)
        .await
        .unwrap_or_else(|e| Err(unclear(&e)))
}

pub(super) fn fresh_client() -> Client {
    Client::builder()
        .connector(Connector::new().timeout(CONNECT_TIMEOUT.to_std()))
        .disable_timeout()
        .finish()
}

pub(super) fn unclear(e: &dyn std::fmt::Display) -> EngineError {
    EngineError::Unclear(e.to_string())
}
