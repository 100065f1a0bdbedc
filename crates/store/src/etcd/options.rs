use jasmine_core::clock::Millis;

/// How a VM uses the key-value service.
#[derive(Clone, Debug)]
pub struct EtcdOptions {
    /// Base addresses such as `http://10.0.0.5:2379`; the next one is tried after a failure.
    pub endpoints: Vec<String>,
    /// How long a call may take.
    pub timeout: Millis,
    /// Calls a second that this VM makes at most, averaged over a few seconds.
    pub calls_per_second: u32,
}

impl EtcdOptions {
    /// The time that a call gets unless the settings say otherwise.
    pub const TIMEOUT: Millis = Millis(2000);

    /// Calls a second of one VM unless the settings say otherwise.
    pub const CALLS_PER_SECOND: u32 = 50;

    /// The usual options for these endpoints.
    pub fn new(endpoints: Vec<String>) -> Self {
        Self {
            endpoints,
            timeout: Self::TIMEOUT,
            calls_per_second: Self::CALLS_PER_SECOND,
        }
    }
}
