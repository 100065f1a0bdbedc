use {
    super::unix_millis,
    jasmine_core::clock::Millis,
    tokio::{sync::watch, time::timeout},
};

/// A counter that grows with each change, for those who wait for the next one.
#[derive(Clone, Debug)]
pub struct Signal {
    tx: watch::Sender<u64>,
    began: u64,
}

impl Signal {
    /// A counter that begins above zero, which is what somebody has who has seen nothing.
    ///
    /// It begins at the time of day, so that a number of another run or another daemon is not
    /// mistaken for one of this.
    pub fn new() -> Self {
        let began = unix_millis();
        Self {
            tx: watch::Sender::new(began),
            began,
        }
    }

    /// The number of the newest change.
    pub fn seq(&self) -> u64 {
        *self.tx.borrow()
    }

    /// Whether this is a number that this very counter has given since it began.
    pub fn knows(
        &self,
        seq: u64,
    ) -> bool {
        (self.began..=self.seq()).contains(&seq)
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
