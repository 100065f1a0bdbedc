use {
    super::{
        EngineError, EngineReport,
        engine_client::{fresh_client, unclear},
    },
    awc::Client,
    jasmine_core::clock::Millis,
    std::net::SocketAddr,
    tokio::time::timeout,
};

/// How long a report may take.
const REPORT_TIMEOUT: Millis = Millis(1_000);

/// The largest answer taken, in bytes.
const MAX_ANSWER: usize = 1024 * 1024;

/// Reads the reports of one engine over a connection that is kept.
///
/// A report asks for nothing, so unlike an order it may go over a connection that has gone silent: it
/// is missed, and the next goes over a new one.
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
    /// A reader of the engine that listens at `engine`.
    pub fn new(engine: SocketAddr) -> Self {
        Self {
            engine,
            client: fresh_client(),
        }
    }

    /// Reads the report.
    ///
    /// # Errors
    ///
    /// [`EngineError`] where the engine can't be reached or answers something else.
    pub async fn read(&mut self) -> Result<EngineReport, EngineError> {
        let read = timeout(REPORT_TIMEOUT.to_std(), self.send()).await;
        let report = read.unwrap_or_else(|e| Err(unclear(&e)));
        if report.is_err() {
            self.client = fresh_client();
        }
        report
    }

    async fn send(&self) -> Result<EngineReport, EngineError> {
        let mut res = self
            .client
            .get(format!("http://{}/v1/load", self.engine))
            .send()
            .await
            .map_err(|e| unclear(&e))?;
        let body = res
            .body()
            .limit(MAX_ANSWER)
            .await
            .map_err(|e| unclear(&e))?;
        serde_json::from_slice(&body).map_err(|e| unclear(&e))
    }
}
