use crate::clock::Millis;

/// How long the oldest queued requests have waited; zero where none is queued.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitingAges {
    /// The oldest call of a plain service.
    pub call: Millis,
    /// The oldest generation.
    pub generation: Millis,
}
