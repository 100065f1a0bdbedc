use crate::clock::Millis;

/// What an upstream was heard with, which tells whether it goes on or has started anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignOfLife {
    /// Its report, which states the start that was known from this time on.
    Run {
        /// When that start was first known.
        known_at: Millis,
    },
    /// A part of the answer to a request, from an upstream that can be asked for its start.
    Answer {
        /// When the request was sent.
        sent_at: Millis,
    },
    /// Anything, from an upstream that states no start or can't be asked for it.
    Any,
}
