use {
    std::time::{Duration, Instant},
    tokio::time,
};

/// Delay between two checks.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why the cluster could not be started or did not reach a condition.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::From)]
pub enum HarnessError {
    /// I/O error of a file, process or socket.
    #[display("{_0}")]
    Io(std::io::Error),
    /// A condition was not met in time.
    #[from(skip)]
    #[display("timed out after {}s waiting for: {condition}; last state: {last_state}", timeout.as_secs_f64())]
    Timeout {
        /// The awaited condition.
        condition: String,
        /// The timeout that expired.
        timeout: Duration,
        /// State reported by the last check.
        last_state: String,
    },
    /// The daemons could not be built.
    #[from(skip)]
    #[display("cargo build failed: {_0}")]
    Build(String),
}

impl std::error::Error for HarnessError {}

/// Calls `check` until it succeeds; returns the elapsed time and the value.
///
/// # Errors
///
/// [`HarnessError::Timeout`] with the last error of `check`, after `timeout`.
pub async fn poll<T, L, F>(
    condition: &str,
    timeout: Duration,
    mut check: L,
) -> Result<(Duration, T), HarnessError>
where
    L: FnMut() -> F,
    F: Future<Output = Result<T, String>>,
{
    let start = Instant::now();
    loop {
        match check().await {
            Ok(value) => return Ok((start.elapsed(), value)),
            Err(last_state) if start.elapsed() >= timeout => {
                return Err(HarnessError::Timeout {
                    condition: condition.to_owned(),
                    timeout,
                    last_state,
                });
            }
            Err(_) => time::sleep(POLL_INTERVAL).await,
        }
    }
}
