use std::time::{Duration, Instant};

/// The stop limit of a VM, less the margin in which its process exits.
const STOP_LIMIT: Duration = Duration::from_millis(7_500);
/// From the planned stop of a VM until it closes connections between two requests.
const BALANCER_DRAIN: Duration = Duration::from_millis(2_800);
/// How late clients and this process may note what they see.
pub const NOTE_DELAY: Duration = Duration::from_millis(150);

/// The time from the signal that ends the process of a VM until it has started again.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    pub is_killed: bool,
    pub signalled: Instant,
    /// When it was last seen running.
    pub down_from: Option<Instant>,
    pub up_at: Option<Instant>,
}

impl Outage {
    pub const fn lasts(&self) -> bool {
        self.up_at.is_none()
    }

    /// Why a request that ended then without an answer may have done so.
    pub fn excuse(
        &self,
        ended: Instant,
        is_read: bool,
    ) -> Option<&'static str> {
        let is_over = self.up_at.is_some_and(|up_at| up_at + NOTE_DELAY < ended);
        let is_after = |at: Instant| !is_over && at <= ended + NOTE_DELAY;
        match is_read {
            _ if self.is_killed && is_after(self.signalled) => Some("its VM was killed"),
            true if is_after(self.signalled + STOP_LIMIT) => Some("its VM's stop limit passed"),
            false if is_after(self.signalled + BALANCER_DRAIN) => {
                Some("a planned stop closed its connection unread")
            }
            false if self.down_from.is_some_and(is_after) => Some("its VM was gone, unread"),
            _ => None,
        }
    }
}
