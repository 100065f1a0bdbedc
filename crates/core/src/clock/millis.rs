use {
    serde::{Deserialize, Serialize},
    std::ops::{Add, AddAssign, Sub},
};

/// A point in time or a duration, in milliseconds.
///
/// Points in time are relative to an arbitrary origin of the process, on a monotonic clock that
/// keeps running while the process is suspended. They can't be compared between processes;
/// durations can.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[derive(derive_more::Display)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The origin of the clock, or an empty duration.
    pub const ZERO: Self = Self(0);

    /// Creates a duration from seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1000)
    }

    /// The duration since `earlier`, or zero if `earlier` is later.
    pub const fn since(
        self,
        earlier: Self,
    ) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// The duration in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1000.0
    }

    /// Converts the duration to [`std::time::Duration`].
    pub const fn to_std(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(
        self,
        rhs: Self,
    ) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl AddAssign for Millis {
    fn add_assign(
        &mut self,
        rhs: Self,
    ) {
        *self = *self + rhs;
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(
        self,
        rhs: Self,
    ) -> Self {
        self.since(rhs)
    }
}
