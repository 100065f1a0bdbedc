use jasmine_core::{
    clock::Millis,
    error::{ErrorKind, Refusal},
};

/// `Retry-After` of a VM whose configuration is missing or may be outdated; the retry is likely to reach another VM.
const RETRY_DELAY: Millis = Millis(250);

/// The refusal by a VM that doesn't know for certain what the configuration allows.
pub const CONFIG_UNAVAILABLE: Refusal = Refusal::after(ErrorKind::ConfigUnavailable, RETRY_DELAY);
