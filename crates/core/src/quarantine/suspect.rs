use {
    super::crash::Crash,
    crate::{clock::Millis, ids::PartId},
    std::collections::{BTreeMap, BTreeSet},
};

/// Crashes under a part from which it may be quarantined, if they are of several upstreams.
pub(super) const MIN_CRASHES: usize = 3;
/// The same for a part that several crashes accuse beside these, though verdicts on others explain them.
pub(super) const MIN_FURTHER_CRASHES: usize = 2;
/// Crashes under a part after which few requests with it may reach upstreams.
pub(super) const MAX_CRASHES: usize = 5;

/// Crashes that each of several other parts has to explain on average, to be suspected in place of what they share.
const MIN_CRASHES_OF_ALTERNATIVE: usize = 2;
/// Most crashes under a part that may be chance where others explain the rest.
const MAX_CHANCE_CRASHES: usize = 1;
/// A part that was sound so much later than another one is less suspect.
const MIN_SOUND_LEAD: Millis = Millis(250);
/// Upstreams that end sooner after each other, under prompts that were all sent before, end together.
const MAX_TOGETHER: Millis = Millis(150);

/// A settled crash that no verdict explains, and the parts that it accuses.
#[derive(Clone, Debug)]
pub(super) struct OpenCrash<'a> {
    pub crash: &'a Crash,
    pub parts: &'a BTreeSet<PartId>,
}

impl<'a> OpenCrash<'a> {
    pub(super) const fn new(crash: &'a Crash) -> Self {
        let parts = crash.parts();
        Self { crash, parts }
    }
}

/// A part that crashes accuse, and which of them by their index.
#[derive(Clone, Debug)]
pub(super) struct Suspect {
    pub part: PartId,
    pub crashes: BTreeSet<usize>,
    /// When the latest answer began that has shown it to be sound, if only before the crashes.
    pub sound_at: Option<Millis>,
    /// When there was evidence enough against it.
    pub qualified_at: Millis,
    /// Whether an upstream has crashed under a prompt that was sent after that.
    pub is_confirmed: bool,
}

impl Suspect {
    /// Those of the accused parts that enough of the crashes accuse, but for those of a single one of the refused requests.
    ///
    /// `is_known` tells whether so many crashes accuse a part, explained ones among them, that few more may follow.
    pub(super) fn find<F, K>(
        accused: &[PartId],
        crashes: &[OpenCrash<'_>],
        refused_requests: &[PartId],
        sound_at: F,
        is_known: K,
    ) -> Vec<Self>
    where
        F: Fn(PartId) -> Option<Millis>,
        K: Fn(PartId) -> bool,
    {
        let accusing = |part: &PartId| -> BTreeSet<usize> {
            let accusing = crashes.iter().enumerate();
            let accusing = accusing.filter(|(_, one)| one.parts.contains(part));
            accusing.map(|(at, _)| at).collect()
        };
        let suspects = accused.iter().map(|part| (*part, accusing(part)));
        let is_of_one_request = |indices: &BTreeSet<usize>| {
            let mut requests = refused_requests.iter();
            requests.any(|&request| {
                let mut indices = indices.iter();
                indices.all(|&at| crashes[at].crash.accuses(request))
            })
        };
        suspects
            .filter(|(_, indices)| !indices.is_empty() && !is_of_one_request(indices))
            .filter_map(|(part, indices)| {
                let enough = if is_known(part) {
                    MIN_FURTHER_CRASHES
                } else {
                    MIN_CRASHES
                };
                let qualified_at = qualified_at(part, crashes, &indices, enough)?;
                let mut accusing = indices.iter().map(|&at| crashes[at].crash);
                Some(Self {
                    part,
                    qualified_at,
                    is_confirmed: accusing.any(|crash| crash.sent_at(part) >= Some(qualified_at)),
                    crashes: indices,
                    sound_at: sound_at(part),
                })
            })
            .collect()
    }

    /// Whether an answer has shown it to be sound.
    pub(super) const fn was_sound(&self) -> bool {
        self.sound_at.is_some()
    }

    /// The other parts that are as likely the cause of a crash, as none was sound notably later.
    pub(super) fn rivals<F>(
        &self,
        crash: &Crash,
        sound_at: F,
    ) -> impl Iterator<Item = PartId>
    where
        F: Fn(&Crash, PartId) -> Option<Millis>,
    {
        let latest = self.sound_at.map(|at| at + MIN_SOUND_LEAD);
        let parts = crash.parts().iter().copied();
        parts.filter(move |&part| part != self.part && sound_at(crash, part) <= latest)
    }

    /// Whether one of the crashes has no other explanation.
    pub(super) fn is_alone<F>(
        &self,
        crashes: &[OpenCrash<'_>],
        sound_at: F,
    ) -> bool
    where
        F: Fn(&Crash, PartId) -> Option<Millis>,
    {
        let mut accusing = self.crashes.iter().map(|&at| crashes[at].crash);
        accusing.any(|crash| self.rivals(crash, &sound_at).next().is_none())
    }

    /// How many of the crashes came under a prompt that was sent from `since` on, with no other explanation but parts that
    /// were in no other prompt.
    pub(super) fn trials<F, A>(
        &self,
        crashes: &[OpenCrash<'_>],
        sound_at: F,
        accusations: A,
        since: Millis,
    ) -> usize
    where
        F: Fn(&Crash, PartId) -> Option<Millis>,
        A: Fn(PartId) -> usize,
    {
        let is_new =
            |crash: &Crash, part| sound_at(crash, part).is_none() && accusations(part) == 1;
        let accusing = self.crashes.iter().map(|&at| crashes[at].crash);
        let later = accusing.filter(|crash| crash.sent_at(self.part) >= Some(since));
        let sole = later.filter(|crash| {
            let mut rivals = self.rivals(crash, &sound_at);
            rivals.all(|part| is_new(crash, part))
        });
        sole.count()
    }

    /// Whether a few other parts explain the crashes as well, each of them several.
    pub(super) fn has_alternative<F>(
        &self,
        crashes: &[OpenCrash<'_>],
        sound_at: F,
    ) -> bool
    where
        F: Fn(&Crash, PartId) -> Option<Millis>,
    {
        let rivals = |&at: &usize| self.rivals(crashes[at].crash, &sound_at).collect();
        let mut open: Vec<BTreeSet<PartId>> = self.crashes.iter().map(rivals).collect();
        let mut others = 0;
        while open.len() > MAX_CHANCE_CRASHES {
            let mut counts: BTreeMap<PartId, usize> = BTreeMap::new();
            for &part in open.iter().flatten() {
                *counts.entry(part).or_default() += 1;
            }
            let Some((&other, _)) = counts.iter().max_by_key(|&(_, &count)| count) else {
                return false;
            };
            open.retain(|rivals| !rivals.contains(&other));
            others += 1;
        }
        others * MIN_CRASHES_OF_ALTERNATIVE <= self.crashes.len()
    }

    /// The crashes that accuse this and other parts in one prompt.
    pub(super) fn crashes_with(
        &self,
        parts: &BTreeSet<PartId>,
        crashes: &[OpenCrash<'_>],
    ) -> usize {
        let mut all = parts.clone();
        all.insert(self.part);
        let together = self.crashes.iter();
        together
            .filter(|&&at| crashes[at].crash.accuses_together(&all))
            .count()
    }
}

/// When there were enough crashes, with one under a prompt that was sent after another crash; `None` if there aren't.
///
/// Several upstreams that end at once, as in a power loss, don't show that what they ran is the cause.
fn qualified_at(
    part: PartId,
    crashes: &[OpenCrash<'_>],
    indices: &BTreeSet<usize>,
    enough: usize,
) -> Option<Millis> {
    let mut accusing: Vec<&Crash> = indices.iter().map(|&at| crashes[at].crash).collect();
    accusing.sort_by_key(|crash| crash.at);
    let first = accusing.first()?.at;
    let is_later = |crash: &&Crash| crash.sent_at(part) >= Some(first);
    let later = accusing.iter().find(|crash| is_later(crash))?.at;
    let enough = *separate_ends(part, &accusing).get(enough - 1)?;
    Some(enough.max(later))
}

/// How many crashes under a part came one after the other, each under a prompt that was sent after the one before.
pub(super) fn serial_ends<'a, I>(
    part: PartId,
    accusing: I,
) -> Vec<&'a Crash>
where
    I: IntoIterator<Item = &'a Crash>,
{
    let mut ends: Vec<&Crash> = Vec::new();
    for crash in accusing {
        let is_next = ends
            .last()
            .is_none_or(|last| crash.sent_at(part) >= Some(last.at));
        if is_next {
            ends.push(crash);
        }
    }
    ends
}

/// When upstreams ended, once for those that ended together; the crashes are sorted by time.
///
/// Links that break, as a VM's do when they are reset, break the answers of several upstreams at one moment.
pub(super) fn separate_ends(
    part: PartId,
    accusing: &[&Crash],
) -> Vec<Millis> {
    let mut ends: Vec<Millis> = Vec::new();
    for crash in accusing {
        let is_separate = ends.last().is_none_or(|&last| {
            crash.at.since(last) >= MAX_TOGETHER || crash.sent_at(part) >= Some(last)
        });
        if is_separate {
            ends.push(crash.at);
        }
    }
    ends
}
