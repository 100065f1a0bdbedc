use crate::clock::Millis;

/// Files that a VM keeps for everything but callers: the store, other VMs, probes, logs.
const RESERVED_FILES: usize = 128;
/// Files that one caller's connection may need: its own, and one to an upstream or to another VM.
const FILES_PER_CONNECTION: usize = 2;
/// The fewest connections that a VM takes, however few files it may open.
const MIN_CONNECTIONS: usize = 16;
/// A VM whose tasks run later than this again and again has more work than its processor can do.
const MAX_DELAY: Millis = Millis(250);
/// How long such a VM turns new connections away.
const OVERLOAD_TIME: Millis = Millis(500);
/// Interval at which it takes one nevertheless, so that no caller takes it for dead.
const ADMISSION_INTERVAL: Millis = Millis(100);

/// Which new connections of callers a VM takes; the others are closed unread, so that their callers try another VM.
///
/// A load balancer may send the callers of all VMs to one of them.
#[derive(Clone, Debug)]
pub struct ConnectionAdmission {
    max_open: usize,
    open: usize,
    /// Whether the last measured task ran late.
    was_late: bool,
    overloaded_until: Millis,
    next_admission_at: Millis,
}

impl ConnectionAdmission {
    /// The admission of a VM that may open so many files.
    pub fn new(max_files: usize) -> Self {
        let files = max_files.saturating_sub(RESERVED_FILES);
        Self {
            max_open: (files / FILES_PER_CONNECTION).max(MIN_CONNECTIONS),
            open: 0,
            was_late: false,
            overloaded_until: Millis::ZERO,
            next_admission_at: Millis::ZERO,
        }
    }

    /// Records how late a task of the VM has run; returns whether that is too late.
    pub fn note_delay(
        &mut self,
        delay: Millis,
        now: Millis,
    ) -> bool {
        let is_late = delay >= MAX_DELAY;
        // A single delay is a suspension of the process.
        if is_late && self.was_late {
            self.overloaded_until = now + OVERLOAD_TIME;
        }
        self.was_late = is_late;
        is_late
    }

    /// Whether a new connection is taken; it counts as open then until [`Self::close`].
    pub fn admit(
        &mut self,
        now: Millis,
    ) -> bool {
        let is_overloaded = now < self.overloaded_until;
        if self.open >= self.max_open || (is_overloaded && now < self.next_admission_at) {
            return false;
        }
        self.open += 1;
        self.next_admission_at = now + ADMISSION_INTERVAL;
        true
    }

    /// Records that a connection was closed.
    pub const fn close(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Number of open connections.
    pub const fn open(&self) -> usize {
        self.open
    }
}
