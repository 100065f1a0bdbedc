use {
    super::unix_millis,
    jasmine_core::clock::Millis,
    tokio::{sync::watch, time::timeout},
};

/// Change notification with a sequence number that increases with each change.
#[derive(Clone, Debug)]
pub struct ChangeNotifier {
    tx: watch::Sender<u64>,
    first_seq: u64,
}

impl ChangeNotifier {
    /// Creates a signal; zero is never used as its sequence number.
    ///
    /// Numbers start at the Unix time, so that those of another run or daemon are not taken for its own.
    pub fn new() -> Self {
        let first_seq = unix_millis();
        Self {
            tx: watch::Sender::new(first_seq),
            first_seq,
        }
    }

    /// Sequence number of the newest change.
    pub fn seq(&self) -> u64 {
        *self.tx.borrow()
    }

    /// Whether this signal issued the sequence number `seq`.
    pub fn has_issued(
        &self,
        seq: u64,
    ) -> bool {
        (self.first_seq..=self.seq()).contains(&seq)
    }

    /// Increments the sequence number and wakes all waiting tasks.
    pub fn raise(&self) {
        self.tx.send_modify(|seq| *seq += 1);
    }

    /// Waits until the sequence number differs from `have`, at most for `wait`.
    pub async fn wait_for_change_after(
        &self,
        have: u64,
        wait: Millis,
    ) -> u64 {
        let mut rx = self.tx.subscribe();
        // `self` holds the sender, so the channel can't close while waiting.
        let seq = timeout(wait.to_std(), rx.wait_for(|&seq| seq != have))
            .await
            .ok()
            .and_then(Result::ok)
            .map(|seq| *seq);
        seq.unwrap_or(have)
    }
}

impl Default for ChangeNotifier {
    fn default() -> Self {
        Self::new()
    }
}
