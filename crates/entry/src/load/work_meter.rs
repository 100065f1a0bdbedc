use {
    super::WorkPart,
    nix::time::{ClockId, clock_gettime},
    std::{cell::Cell, time::Duration},
};

/// One in this many steps is measured; reading the thread's clock is a system call.
const STEPS_PER_SAMPLE: u32 = 16;

/// Measures the processor time that the parts of the daemon take on its thread.
///
/// A part that runs within another one counts for itself only.
#[derive(Debug, Default)]
pub struct WorkMeter {
    steps: Cell<u32>,
    /// How many parts run within each other now.
    depth: Cell<u32>,
    /// The part that runs now and when it went on, by the thread's clock, if this step is measured.
    running: Cell<Option<(WorkPart, Duration)>>,
    spent: [Cell<Duration>; WorkPart::ALL.len()],
}

impl WorkMeter {
    /// Begins a step of a part, which ends when the guard is dropped.
    pub fn enter(
        &self,
        part: WorkPart,
    ) -> WorkGuard<'_> {
        let depth = self.depth.replace(self.depth.get() + 1);
        let is_measured = match (depth, self.running.get()) {
            (0, _) => {
                let step = self.steps.replace(self.steps.get().wrapping_add(1));
                step.is_multiple_of(STEPS_PER_SAMPLE)
            }
            (_, running) => running.is_some(),
        };
        let outer = self.running.get().map(|(outer, _)| outer);
        if is_measured {
            self.switch_to(Some(part));
        }
        WorkGuard {
            meter: self,
            outer,
            is_measured,
        }
    }

    /// The processor time that a part has taken since the start, an estimate.
    pub fn spent(
        &self,
        part: WorkPart,
    ) -> Duration {
        self.spent[part as usize].get() * STEPS_PER_SAMPLE
    }

    /// The processor time of the daemon's main thread since its start.
    pub fn thread_time(&self) -> Duration {
        read(ClockId::CLOCK_THREAD_CPUTIME_ID)
    }

    /// The processor time of the process since its start; what isn't the main thread's is for writing logs.
    pub fn process_time(&self) -> Duration {
        read(ClockId::CLOCK_PROCESS_CPUTIME_ID)
    }

    fn switch_to(
        &self,
        next: Option<WorkPart>,
    ) {
        let now = self.thread_time();
        if let Some((part, since)) = self.running.get() {
            let spent = &self.spent[part as usize];
            spent.set(spent.get() + now.saturating_sub(since));
        }
        self.running.set(next.map(|part| (part, now)));
    }
}

/// Ends a step when dropped; the part in which it ran goes on.
#[derive(Debug)]
pub struct WorkGuard<'a> {
    meter: &'a WorkMeter,
    outer: Option<WorkPart>,
    is_measured: bool,
}

impl Drop for WorkGuard<'_> {
    fn drop(&mut self) {
        self.meter.depth.set(self.meter.depth.get() - 1);
        if self.is_measured {
            self.meter.switch_to(self.outer);
        }
    }
}

/// Reads a clock of processor time; zero where the system has none.
fn read(clock: ClockId) -> Duration {
    clock_gettime(clock).map_or(Duration::ZERO, Duration::from)
}
