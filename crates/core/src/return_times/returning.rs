use crate::clock::Millis;

/// A request that arrives, as far as a return time was promised for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Returning {
    /// None was promised, or it is past.
    Newcomer,
    /// It comes before its time.
    Early {
        /// When it is to come.
        due: Millis,
    },
    /// It comes at its time.
    Due,
}
