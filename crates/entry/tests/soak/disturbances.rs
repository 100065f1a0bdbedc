//! Which VM was disturbed when: only of calm ones can callers expect that they serve.

use {
    super::fault::VMS,
    std::time::{Duration, Instant},
};

/// A VM is in touch if it has been calm for so long.
pub const CONTACT: Duration = Duration::from_secs(3);

/// Within which VMs that have lost their links ask one that has started whether it relays.
const START_TIME: Duration = Duration::from_millis(500);

/// What a fault disturbs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbed {
    /// The process of a VM: killed, stopping or suspended.
    Process(usize),
    /// All links of a VM to upstreams.
    UpstreamLinks(usize),
    /// Its links to the store or to callers.
    OtherLinks(usize),
    /// The store.
    Store,
}

#[derive(Clone, Copy, Debug)]
struct Span {
    what: Disturbed,
    from: Instant,
    /// `None` while it lasts.
    until: Option<Instant>,
}

impl Span {
    fn overlaps(
        &self,
        from: Instant,
        until: Instant,
    ) -> bool {
        self.from <= until && self.until.is_none_or(|end| end >= from)
    }
}

/// The disturbances of a run so far.
#[derive(Clone, Debug, Default)]
pub struct Disturbances {
    spans: Vec<Span>,
    /// When each VM has started.
    starts: Vec<(usize, Instant)>,
}

impl Disturbances {
    pub fn add(
        &mut self,
        what: Disturbed,
        time: Duration,
    ) {
        let from = Instant::now();
        let until = Some(from + time);
        self.spans.push(Span { what, from, until });
    }

    /// Begins a disturbance that lasts until the VM has started again.
    pub fn begin_stop(
        &mut self,
        vm: usize,
    ) {
        self.spans.push(Span {
            what: Disturbed::Process(vm),
            from: Instant::now(),
            until: None,
        });
    }

    pub fn note_start(
        &mut self,
        vm: usize,
    ) {
        let now = Instant::now();
        self.starts.push((vm, now));
        let of_vm = |span: &&mut Span| span.what == Disturbed::Process(vm);
        for span in self.spans.iter_mut().filter(of_vm) {
            span.until.get_or_insert(now);
        }
    }

    /// Whether a VM and the store have been calm for [`CONTACT`].
    pub fn is_in_touch(
        &self,
        vm: usize,
        at: Instant,
    ) -> bool {
        let from = at.checked_sub(CONTACT).unwrap_or(at);
        let mut spans = self.spans.iter().filter(|span| span.overlaps(from, at));
        let has_started_lately = |&(of, start): &(usize, Instant)| of == vm && start >= from;
        !self.starts.iter().any(has_started_lately)
            && !spans.any(|span| match span.what {
                Disturbed::Process(of)
                | Disturbed::UpstreamLinks(of)
                | Disturbed::OtherLinks(of) => of == vm,
                Disturbed::Store => true,
            })
    }

    /// Whether a VM reached no upstream, and no other VM ran that did.
    pub fn is_cut_off(
        &self,
        vm: usize,
        at: Instant,
    ) -> bool {
        self.is_cut_off_but_for(vm, |of| !self.holds(Disturbed::Process(of), at), at)
    }

    /// The same where a VM that has just started doesn't count, as the others haven't asked it yet.
    pub fn is_cut_off_but_for_starts(
        &self,
        vm: usize,
        at: Instant,
    ) -> bool {
        let from = at.checked_sub(START_TIME).unwrap_or(at);
        let is_known =
            |of| !self.holds(Disturbed::Process(of), at) && !self.has_started(of, from, at);
        self.is_cut_off_but_for(vm, is_known, at)
    }

    fn is_cut_off_but_for<R>(
        &self,
        vm: usize,
        runs: R,
        at: Instant,
    ) -> bool
    where
        R: Fn(usize) -> bool,
    {
        let is_cut = |of| self.holds(Disturbed::UpstreamLinks(of), at);
        is_cut(vm) && !(0..VMS).any(|of| of != vm && runs(of) && !is_cut(of))
    }

    fn has_started(
        &self,
        vm: usize,
        from: Instant,
        until: Instant,
    ) -> bool {
        let mut starts = self.starts.iter();
        starts.any(|&(of, start)| of == vm && start >= from && start <= until)
    }

    /// Whether all VMs had started lately, so that none knew what callers had received before.
    pub fn have_all_started(
        &self,
        at: Instant,
    ) -> bool {
        let from = at.checked_sub(CONTACT).unwrap_or(at);
        let is_down = |vm| self.holds(Disturbed::Process(vm), at);
        (0..VMS).all(|vm| self.has_started(vm, from, at) || is_down(vm))
    }

    fn holds(
        &self,
        what: Disturbed,
        at: Instant,
    ) -> bool {
        let mut spans = self.spans.iter();
        spans.any(|span| span.what == what && span.overlaps(at, at))
    }
}
