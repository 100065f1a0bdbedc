use crate::clock::Millis;

/// Repeats that a service may get beyond the first arrival of each request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatSettings {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats besides, in one window.
    pub slack: f64,
    /// The window.
    pub window: Millis,
}

impl Default for RepeatSettings {
    /// Where the platform names nothing: a tenth of all requests, and a few on top.
    fn default() -> Self {
        Self {
            ratio: 0.1,
            slack: 10.0,
            window: Millis::from_secs(10),
        }
    }
}

/// How adapters are loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadSettings {
    /// How long an adapter takes that an engine didn't hold lately.
    pub cold: Millis,
    /// How long one takes that the engine held lately.
    pub warm: Millis,
    /// Cold loads over all engines at a time that don't slow each other down.
    pub at_once: u32,
    /// Adapters on their way to one engine at most.
    pub per_engine: usize,
    /// Adapters that an engine can load again quickly after it dropped them.
    pub kept_warm: usize,
}

impl Default for LoadSettings {
    /// The users' figures: a quarter of a second and eight at a time, a tenth of that for an adapter held
    /// lately, four on their way to one engine. How many stay at hand isn't said; with more than 25 beside
    /// those in use, loads that were taken for quick ones were late.
    fn default() -> Self {
        Self {
            cold: Millis(250),
            warm: Millis(25),
            at_once: 8,
            per_engine: 4,
            kept_warm: 25,
        }
    }
}

/// How the scheduler decides.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SchedulerSettings {
    /// Prompts sent to an engine and not yet read, in milliseconds of its work. Enough to keep it busy
    /// while the next word goes to and fro; what waits here instead can still go elsewhere.
    pub engine_backlog: Millis,
    /// The part of an engine's memory for tokens that is filled, in percent: answers longer than stated
    /// and the engine's own rounding need the rest, and a full engine preempts streams midway.
    pub memory_percent: u64,
    /// A generation needs at least this long from its assignment to its first event.
    pub least_generation: Millis,
    /// A call of a plain service needs at least this long.
    pub least_call: Millis,
    /// How long the older version of an adapter may still be used while the newer one is loaded.
    pub version_grace: Millis,
    /// How long whoever takes over gives no orders. Zero where engines refuse lower fencing tokens; others carry out
    /// what the scheduler before has sent at the last moment.
    pub order_gap: Millis,
    /// Adapters.
    pub loads: LoadSettings,
    /// Repeats.
    pub repeats: RepeatSettings,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        Self {
            engine_backlog: Millis(150),
            memory_percent: 90,
            least_generation: Millis(120),
            least_call: Millis(30),
            version_grace: Millis(2_000),
            order_gap: Millis::ZERO,
            loads: LoadSettings::default(),
            repeats: RepeatSettings::default(),
        }
    }
}
