use {
    jasmine_core::clock::Millis,
    std::{cell::Cell, rc::Rc, time::Instant},
};

/// Tracks whether the service has answered recently; clones share the same state.
#[derive(Clone, Debug, Default)]
pub struct StoreConnectivity {
    times: Rc<Times>,
}

#[derive(Debug, Default)]
struct Times {
    answered: Cell<Option<Instant>>,
    failed: Cell<Option<Instant>>,
}

impl StoreConnectivity {
    /// Whether a call succeeded within `window` and none has failed since.
    pub fn is_up(
        &self,
        window: Millis,
    ) -> bool {
        let answered = self.times.answered.get();
        answered.is_some_and(|at| at.elapsed() < window.to_std())
            && answered > self.times.failed.get()
    }

    pub(super) fn record_result(
        &self,
        answered: bool,
    ) {
        let cell = if answered {
            &self.times.answered
        } else {
            &self.times.failed
        };
        cell.set(Some(Instant::now()));
    }
}
