use jasmine_core::clock::Millis;

/// Options of the key-value service's client.
#[derive(Clone, Debug)]
pub struct EtcdOptions {
    /// Base URLs, such as `http://10.0.0.5:2379`; a failure switches to the next one.
    pub endpoints: Vec<String>,
    /// Timeout of one call.
    pub timeout: Millis,
    /// Maximum calls per second of this VM, with bursts of a few seconds.
    pub calls_per_second: u32,
}

impl EtcdOptions {
    /// Default timeout of one call.
    pub const DEFAULT_TIMEOUT: Millis = Millis(2000);

    /// Default maximum of calls per second of one VM.
    pub const DEFAULT_CALLS_PER_SECOND: u32 = 50;

    /// Default options for these endpoints.
    pub fn new(endpoints: Vec<String>) -> Self {
        Self {
            endpoints,
            timeout: Self::DEFAULT_TIMEOUT,
            calls_per_second: Self::DEFAULT_CALLS_PER_SECOND,
        }
    }
}
