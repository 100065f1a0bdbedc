/// How long work takes on a machine now, in percent of its usual time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pace(u16);

impl Pace {
    /// The pace at which work takes its usual time.
    pub const USUAL: Self = Self(100);
    /// Bounds of a credible pace, in percent.
    const BOUNDS: std::ops::RangeInclusive<u32> = 10..=2_000;

    /// The pace of this many percent; `None` if that isn't credible.
    pub fn from_percent(percent: u32) -> Option<Self> {
        let is_credible = Self::BOUNDS.contains(&percent);
        u16::try_from(percent)
            .ok()
            .filter(|_| is_credible)
            .map(Self)
    }

    /// The pace in percent.
    pub const fn percent(self) -> u16 {
        self.0
    }

    /// Factor on the usual time of work.
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}
