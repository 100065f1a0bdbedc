use {
    jasmine_core::clock::Millis,
    tokio::{sync::watch, time::timeout},
};

/// A counter that grows with each change, for those who wait for the next one.
#[derive(Clone, Debug)]
pub struct Signal {
    tx: watch::Sender<u64>,
}

impl Signal {
    /// A counter at one; zero is what somebody has who has seen nothing.
    pub fn new() -> Self {
        Self {
            tx: watch::Sender::new(1),
        }
    }

    /// The number of the newest change.
    pub fn seq(&self) -> u64 {
        *self.tx.borrow()
    }

    /// Notes a change and wakes everybody who waits.
    pub fn raise(&self) {
        self.tx.send_modify(|seq| *seq += 1);
    }

    /// Waits until the counter is not `have`, at most for `wait`.
    pub async fn changed_from(
        &self,
        have: u64,
        wait: Millis,
    ) -> u64 {
        let mut rx = self.tx.subscribe();
        // The sender lives in self, so the only way to end early is the change itself.
        let seq = timeout(wait.to_std(), rx.wait_for(|&seq| seq != have))
            .await
            .ok()
            .and_then(Result::ok)
            .map(|seq| *seq);
        seq.unwrap_or(have)
    }
}

impl Default for Signal {
    fn default() -> Self {
        Self::new()
    }
}
