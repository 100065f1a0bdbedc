use crate::clock::Millis;

/// What an upstream was heard with, which tells whether it goes on or has started anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignOfLife {
    /// Its report, which states the start that was known from this time on.
    Run {
        /// When that start was first known.
        known_at: Millis,
    },
    /// A part of an answer, from an upstream that can be asked for its start: VMs send a request again to the next run
    /// where a connection was closed before it was read.
    Answer,
    /// Anything, from an upstream that states no start or can't be asked for it.
    Any,
}
