use crate::clock::Millis;

/// How exactly VMs know as of when their view is complete, in percent of the allowed propagation time of a change.
///
/// Answers of the store and of other VMs tell of some time between question and answer.
const VIEW_MARGIN_PERCENT: u64 = 25;

/// Whether a VM may give an answer after which its caller doesn't come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finality {
    /// The configuration that it was judged by is recent enough.
    Final,
    /// The store has to be asked whether there is a newer configuration first.
    Confirm,
    /// The configuration isn't known, so that the caller has to try elsewhere.
    Uncertain,
}

/// Decides whether refusals by the configuration are final.
///
/// A change may take a while to reach all VMs. A VM that refuses by a configuration that is older than that may refuse
/// what has long been allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinalAnswers {
    max_view_age: Millis,
}

impl FinalAnswers {
    /// Decides for this allowed propagation time of a change.
    pub const fn new(max_propagation_delay: Millis) -> Self {
        Self {
            max_view_age: Millis(max_propagation_delay.0 * (100 - VIEW_MARGIN_PERCENT) / 100),
        }
    }

    /// The time as of which the configuration has to be known to refuse a request that arrived at `arrived`.
    pub const fn required_at(
        self,
        arrived: Millis,
    ) -> Millis {
        arrived.since(self.max_view_age)
    }

    /// Decides about a request that arrived at `arrived`, by a configuration that is known as of `known_at`.
    ///
    /// `known_at` is `None` without a configuration; `has_asked` tells whether the store was asked for this request.
    pub fn decide(
        self,
        arrived: Millis,
        known_at: Option<Millis>,
        has_asked: bool,
    ) -> Finality {
        match known_at {
            None => Finality::Uncertain,
            Some(at) if at >= self.required_at(arrived) => Finality::Final,
            Some(_) if has_asked => Finality::Uncertain,
            Some(_) => Finality::Confirm,
        }
    }
}
