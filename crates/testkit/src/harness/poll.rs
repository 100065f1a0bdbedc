use {
    std::time::{Duration, Instant},
    tokio::time,
};

/// How long between two looks.
const PAUSE: Duration = Duration::from_millis(20);

/// Why the system could not be brought up, or did not come to a wanted state.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::From)]
pub enum HarnessError {
    /// A file, process or address.
    #[display("{_0}")]
    Io(std::io::Error),
    /// A wanted state that was not reached in time.
    #[from(skip)]
    #[display("not within {}s: {wanted}; last seen: {seen}", bound.as_secs_f64())]
    Late {
        /// What was waited for.
        wanted: String,
        /// How long.
        bound: Duration,
        /// What was seen last.
        seen: String,
    },
    /// The daemons could not be built.
    #[from(skip)]
    #[display("cargo build failed: {_0}")]
    Build(String),
}

impl std::error::Error for HarnessError {}

/// Looks again and again until `look` gives a value: how long it took, and the value.
///
/// # Errors
///
/// [`HarnessError::Late`] with what `look` said last, after `bound`.
pub async fn poll<T, L, F>(
    wanted: &str,
    bound: Duration,
    mut look: L,
) -> Result<(Duration, T), HarnessError>
where
    L: FnMut() -> F,
    F: Future<Output = Result<T, String>>,
{
    let start = Instant::now();
    loop {
        match look().await {
            Ok(value) => return Ok((start.elapsed(), value)),
            Err(seen) if start.elapsed() >= bound => {
                return Err(HarnessError::Late {
                    wanted: wanted.to_owned(),
                    bound,
                    seen,
                });
            }
            Err(_) => time::sleep(PAUSE).await,
        }
    }
}
