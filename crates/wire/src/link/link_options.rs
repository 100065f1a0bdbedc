use jasmine_core::clock::Millis;

/// Timeouts and delays of a connection to another daemon.
#[derive(Clone, Copy, Debug)]
pub struct LinkOptions {
    /// Timeout of connecting.
    pub connect_timeout: Millis,
    /// Timeout of a response, in addition to the time that a long-polling call asks the server to wait.
    pub call_timeout: Millis,
    /// Interval of pings on a connection with a pending call.
    pub heartbeat_interval: Millis,
    /// Delay after the first failed attempt to connect.
    pub backoff_initial: Millis,
    /// Maximum delay between attempts to connect.
    pub backoff_max: Millis,
}

impl Default for LinkOptions {
    fn default() -> Self {
        Self {
            connect_timeout: Millis(1000),
            call_timeout: Millis(1500),
            heartbeat_interval: Millis(2000),
            backoff_initial: Millis(50),
            backoff_max: Millis(2000),
        }
    }
}
