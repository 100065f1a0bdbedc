use jasmine_core::clock::Millis;

/// The times of a connection to another daemon.
#[derive(Clone, Copy, Debug)]
pub struct LinkOptions {
    /// How long connecting may take.
    pub connect_timeout: Millis,
    /// How long an answer may take beyond the time that the call itself asks to wait.
    pub call_timeout: Millis,
    /// How often a connection is tried for life while a call waits on it.
    pub heartbeat: Millis,
    /// The first pause after a failed attempt to connect.
    pub backoff_first: Millis,
    /// The longest pause.
    pub backoff_most: Millis,
}

impl Default for LinkOptions {
    fn default() -> Self {
        Self {
            connect_timeout: Millis(1000),
            call_timeout: Millis(1500),
            heartbeat: Millis(2000),
            backoff_first: Millis(50),
            backoff_most: Millis(2000),
        }
    }
}
