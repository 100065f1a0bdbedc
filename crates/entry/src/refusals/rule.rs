use {
    crate::http1::RequestHead, jasmine_core::error::ErrorKind,
    jasmine_platform::headers::CallerHeaders, jasmine_telemetry::log::Line,
    xxhash_rust::xxh3::xxh3_64,
};

/// Most characters of a path in the log.
const MAX_PATH_CHARS: usize = 80;

/// The rule by which a VM refuses a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rule {
    /// No route matches.
    Route {
        /// The host and the path that were looked up.
        target: String,
    },
    /// The route needs an API key.
    Key {
        /// A hash of the key that came; `None` without one.
        hash: Option<u32>,
    },
    /// The request has no id.
    RequestId,
    /// The route's services have no weight.
    Service,
    /// No upstream is in the allowed regions.
    Regions,
    /// The message is not valid HTTP.
    Format,
    /// The head's size.
    HeaderBytes {
        /// Bytes of the head that were read.
        bytes: usize,
        /// The limit.
        max: usize,
    },
    /// The body's size.
    BodyBytes {
        /// Bytes of the body that were read or announced.
        bytes: u64,
        /// The limit.
        max: usize,
    },
    /// This VM's memory.
    VmBytes,
    /// The request was sent too slowly.
    SendTime,
    /// This VM has no configuration.
    NoConfig,
    /// This VM is about to stop.
    Stopping,
}

impl Rule {
    /// The rule by which a request with this head was refused.
    pub fn of(
        kind: ErrorKind,
        head: &RequestHead,
        caller: &CallerHeaders,
    ) -> Self {
        match kind {
            ErrorKind::KeyMissing | ErrorKind::KeyUnknown => Self::Key {
                hash: caller.key.as_deref().map(key_hash),
            },
            ErrorKind::BadRequest => Self::RequestId,
            ErrorKind::NoUpstream => Self::Service,
            ErrorKind::RegionUnavailable => Self::Regions,
            ErrorKind::ShuttingDown => Self::Stopping,
            ErrorKind::ConfigUnavailable => Self::NoConfig,
            _ => {
                let path = head.target.split('?').next().unwrap_or_default();
                let target = head.host().chars().chain(path.chars());
                Self::Route {
                    target: target.take(MAX_PATH_CHARS).collect(),
                }
            }
        }
    }

    /// Its name in the log.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Route { .. } => "route",
            Self::Key { .. } => "key",
            Self::RequestId => "request_id",
            Self::Service => "service",
            Self::Regions => "regions",
            Self::Format => "format",
            Self::HeaderBytes { .. } => "max_header_bytes",
            Self::BodyBytes { .. } => "max_body_bytes",
            Self::VmBytes => "vm_bytes",
            Self::SendTime => "send_time",
            Self::NoConfig => "no_config",
            Self::Stopping => "stopping",
        }
    }

    /// Adds the rule and what of the request broke it.
    #[must_use]
    pub fn add_to(
        &self,
        line: Line,
    ) -> Line {
        let line = line.with("rule", self.as_str());
        match self {
            Self::Route { target } => line.with("target", target),
            Self::Key { hash: Some(hash) } => line.with("key_hash", format!("{hash:08x}")),
            Self::HeaderBytes { bytes, max } => line.with("bytes", bytes).with("max", max),
            Self::BodyBytes { bytes, max } => line.with("bytes", bytes).with("max", max),
            _ => line,
        }
    }
}

/// A short hash of an API key, which itself must not get into a log.
fn key_hash(key: &str) -> u32 {
    xxh3_64(key.as_bytes()) as u32
}
