use {super::admission_share::AdmissionPart, crate::clock::Millis};

/// Window in which rejections are counted: a second, and the variation of the time until they are known.
pub(super) const REJECTION_WINDOW: Millis = Millis(1_250);
/// How long after a rejection requests that may be rejected count like rejections.
pub(super) const CAUTION: Millis = Millis(10_000);
/// How long what one upstream states holds for the others of its service, which may not have answered yet.
pub(super) const SERVICE_RETENTION: Millis = Millis(5_000);

/// How few rejections an upstream bears: it falls over if it turns more requests away in a second.
///
/// The parts of a scheduler, of two more that take over and of all VMs in standalone mode are a half
/// and three times a sixth of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Brittleness {
    /// Most rejections in a second that it bears.
    pub max_rejections: u32,
    /// When it was last stated.
    pub stated_at: Millis,
}

/// What an upstream does for one scheduler.
#[derive(Clone, Copy, Debug)]
pub(super) struct BrittleLoad {
    /// Requests that have not ended.
    pub running: u32,
    /// Those of them that it may still reject.
    pub unconfirmed: u32,
    /// Requests rejected in the window.
    pub rejected: usize,
    /// Whether it rejected one within [`CAUTION`].
    pub was_rejecting: bool,
}

impl Brittleness {
    /// What is known after a response to a request that was sent at `sent_at`.
    ///
    /// Responses may overtake each other: one to a request that was sent before it was last stated
    /// doesn't end it.
    pub(super) fn after_response(
        known: Option<Self>,
        stated: Option<u32>,
        sent_at: Millis,
        now: Millis,
    ) -> Option<Self> {
        let is_overtaken = known.is_some_and(|known| sent_at <= known.stated_at);
        match stated {
            Some(max_rejections) => Some(Self {
                max_rejections,
                stated_at: now,
            }),
            None => known.filter(|_| is_overtaken),
        }
    }

    /// Whether a scheduler with this part may send one more request to an upstream with `slots`.
    ///
    /// Until it rejects some, it has room for as many as it has slots.
    pub(super) fn allows(
        self,
        part: AdmissionPart,
        slots: u32,
        load: BrittleLoad,
    ) -> bool {
        let allowed = match part {
            AdmissionPart::Scheduler => self.max_rejections.div_ceil(2) as usize,
            AdmissionPart::ContendedScheduler => self.max_rejections as usize / 6,
            AdmissionPart::Standalone { .. } | AdmissionPart::None => {
                part.share_of(self.max_rejections as usize / 6)
            }
        };
        let has_slot = (load.running as usize) < part.share_of(slots as usize);
        has_slot && (!load.was_rejecting || load.rejected + (load.unconfirmed as usize) < allowed)
    }
}
