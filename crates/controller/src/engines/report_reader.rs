use {
    super::{
        EngineError, EngineReport,
        engine_client::{new_client, no_valid_response},
    },
    awc::{Client, http::StatusCode},
    jasmine_core::clock::Millis,
    std::net::SocketAddr,
    tokio::time::timeout,
};

/// Timeout of reading a report.
const REPORT_TIMEOUT: Millis = Millis(1_000);

/// Maximum size of a report, in bytes.
const MAX_REPORT_BYTES: usize = 1024 * 1024;

/// Reads the reports of one engine over a persistent connection.
///
/// Unlike orders, reads have no side effects, so a stalled connection only costs one report; the next
/// read uses a new connection.
pub struct ReportReader {
    engine: SocketAddr,
    client: Client,
}

impl std::fmt::Debug for ReportReader {
    fn fmt(
        &self,
        f: &mut std::fmt::Formatter<'_>,
    ) -> std::fmt::Result {
        f.debug_struct("ReportReader")
            .field("engine", &self.engine)
            .finish_non_exhaustive()
    }
}

impl ReportReader {
    /// Creates a reader for the engine at address `engine`.
    pub fn new(engine: SocketAddr) -> Self {
        Self {
            engine,
            client: new_client(),
        }
    }

    /// Reads the current report.
    ///
    /// # Errors
    ///
    /// [`EngineError`] if the engine can't be reached or its answer is invalid.
    pub async fn read(&mut self) -> Result<EngineReport, EngineError> {
        let read = timeout(REPORT_TIMEOUT.to_std(), self.send()).await;
        let report = read.unwrap_or_else(|e| Err(no_valid_response(&e)));
        if report.is_err() {
            self.client = new_client();
        }
        report
    }

    async fn send(&self) -> Result<EngineReport, EngineError> {
        let mut res = self
            .client
            .get(format!("http://{}/v1/load", self.engine))
            .send()
            .await
            .map_err(|e| no_valid_response(&e))?;
        if res.status() != StatusCode::OK {
            let reason = format!("status {}, expected 200", res.status().as_u16());
            return Err(EngineError::NoValidResponse(reason));
        }
        let body = res
            .body()
            .limit(MAX_REPORT_BYTES)
            .await
            .map_err(|e| no_valid_response(&e))?;
        serde_json::from_slice(&body).map_err(|e| no_valid_response(&e))
    }
}
