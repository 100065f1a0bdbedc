use {
    super::{
        PartSet,
        crash::Crash,
        crash_log::CrashLog,
        recent_parts::RecentParts,
        suspect::{MIN_CRASHES, OpenCrash, Suspect, serial_ends},
        verdict::Verdict,
    },
    crate::{clock::Millis, ids::PartId},
    std::collections::BTreeMap,
};

/// Most parts that are refused only together.
const MAX_SET_LEN: usize = 8;
/// Crashes from which a part is the cause, even if others that prompts have beside it explain them as well.
const MAX_SHARED_CRASHES: usize = 7;
/// How long several suspects, or one that was sound, wait for answers that acquit them.
pub(super) const ACQUITTAL_TIME: Millis = Millis(1_200);

/// What the evidence shows about parts that aren't refused yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Finding {
    /// Prompts with all of these crash upstreams.
    Guilty(PartSet),
    /// One of these may be the cause; reviewed again at this time, if no evidence comes before.
    Open(PartSet, Option<Millis>),
    /// No part is suspected.
    Nothing,
}

/// Crashes, answers and verdicts, weighed against each other.
#[derive(Clone, Copy, Debug)]
pub(super) struct Weighing<'a> {
    pub crashes: &'a CrashLog,
    pub sound: &'a RecentParts,
    pub verdicts: &'a [Verdict],
    pub now: Millis,
}

impl Weighing<'_> {
    /// What the crashes point to that no verdict explains.
    ///
    /// Other parts of the same prompts are accused as often. A suspect that no answer has shown to be sound is guilty at
    /// once if nothing else explains one of its crashes; otherwise the suspects wait for answers that acquit some of them.
    /// Several that are left are refused where a prompt has them all. A single one, which other prompts may share, is put
    /// on trial first, and for longer where it may be what several crashing parts share.
    pub(super) fn finding(&self) -> Finding {
        if let Some(part) = self.common_cause() {
            return Finding::Guilty(PartSet::from([part]));
        }
        let unexplained: Vec<OpenCrash<'_>> = self
            .settled()
            .filter(|crash| !self.is_explained(crash))
            .map(OpenCrash::new)
            .collect();
        let refused_requests: Vec<PartId> = self
            .verdicts
            .iter()
            .filter(|verdict| verdict.is_of_request())
            .flat_map(|verdict| verdict.parts.iter().copied())
            .collect();
        let sound_at = |part| self.sound.latest(part);
        let accusations = |part| self.crashes.accusations(part);
        let suspects = Suspect::find(&unexplained, &refused_requests, sound_at, accusations);
        let Some(since) = suspects.iter().map(|one| one.qualified_at).min() else {
            return Finding::Nothing;
        };
        let has_alternative = |suspect: &Suspect| {
            let is_certain = suspect.crashes.len() >= MAX_SHARED_CRASHES;
            !is_certain && suspect.has_alternative(&unexplained, sound_at)
        };
        let is_guilty = |one: &&Suspect| {
            !one.was_sound() && !has_alternative(one) && one.is_alone(&unexplained, sound_at)
        };
        if let Some(guilty) = suspects.iter().find(is_guilty) {
            return Finding::Guilty(PartSet::from([guilty.part]));
        }
        let group = indistinct(&suspects, &unexplained, has_alternative);
        let parts: PartSet = group.iter().map(|one| one.part).collect();
        let due = since + ACQUITTAL_TIME;
        let is_decided = match &group[..] {
            [single] => {
                let was_tried = !single.was_sound() || self.was_tried(single, &unexplained);
                single.is_confirmed && was_tried && !has_alternative(single)
            }
            _ => self.now >= due,
        };
        if is_decided {
            return Finding::Guilty(parts);
        }
        Finding::Open(parts, Some(due).filter(|&due| self.now < due))
    }

    /// The parts that were sound before several crashes in turn, and until when prompts with them wait that have other
    /// suspects.
    pub(super) fn doubted(&self) -> BTreeMap<PartId, Millis> {
        let accused = self.crashes.accused();
        let accused = accused.filter(|&part| {
            let is_accused = self.crashes.accusations(part) >= MIN_CRASHES;
            is_accused && !part.is_request() && self.sound.contains(part)
        });
        let doubted = accused.filter_map(|part| {
            let accusing = self.settled().filter(|crash| crash.accuses(part));
            let ends = serial_ends(part, accusing);
            let enough = ends.get(MIN_CRASHES - 1)?;
            Some((part, enough.at + ACQUITTAL_TIME))
        });
        doubted.collect()
    }

    /// Whether a part was refused though each of its crashes has another explanation: several crashing parts may share it.
    pub(super) fn is_contested(
        &self,
        part: PartId,
    ) -> bool {
        let mut accusing = self.crashes.iter().filter(|crash| crash.accuses(part));
        let has_rival = |crash: &Crash| {
            let mut parts = crash.parts().into_iter();
            parts.any(|other| other != part && !self.sound.contains(other))
        };
        !self.sound.contains(part) && self.crashes.accusations(part) > 0 && accusing.all(has_rival)
    }

    fn settled(&self) -> impl Iterator<Item = &Crash> {
        let crashes = self.crashes.iter();
        crashes.filter(|crash| crash.is_settled(self.now))
    }

    fn part_verdicts(&self) -> impl Iterator<Item = &Verdict> {
        let verdicts = self.verdicts.iter();
        verdicts.filter(|verdict| !verdict.is_of_request())
    }

    fn is_explained(
        &self,
        crash: &Crash,
    ) -> bool {
        self.part_verdicts().any(|verdict| verdict.explains(crash))
    }

    /// Whether an upstream has crashed under a suspect that was sent while it was on trial, with no other suspect beside it.
    fn was_tried(
        &self,
        suspect: &Suspect,
        crashes: &[OpenCrash<'_>],
    ) -> bool {
        let mut accusing = suspect.crashes.iter().map(|&at| &crashes[at]);
        accusing.any(|one| {
            let is_on_trial = one.crash.sent_at(suspect.part) >= Some(suspect.qualified_at);
            is_on_trial && one.parts.iter().all(|&part| self.sound.contains(part))
        })
    }

    /// A part under which so many upstreams crashed in turn that no verdicts on others explain them, if there is one.
    ///
    /// Of the crashes that a verdict explains as many count as are enough for it, as what it is on may have caused any
    /// number.
    fn common_cause(&self) -> Option<PartId> {
        let accused = self.crashes.accused();
        let mut candidates: PartSet = accused
            .filter(|&part| {
                !part.is_request() && self.crashes.accusations(part) >= MAX_SHARED_CRASHES
            })
            .collect();
        candidates.retain(|&part| {
            let mut verdicts = self.part_verdicts();
            !verdicts.any(|verdict| verdict.parts.iter().all(|&known| known == part))
        });
        candidates.into_iter().find(|&part| self.is_common(part))
    }

    fn is_common(
        &self,
        part: PartId,
    ) -> bool {
        let mut explained: BTreeMap<usize, usize> = BTreeMap::new();
        let accusing = self.settled().filter(|crash| crash.accuses(part));
        let counted = accusing.filter(|crash| {
            let mut verdicts = self.part_verdicts();
            let Some(verdict) = verdicts.position(|verdict| verdict.explains(crash)) else {
                return true;
            };
            let count = explained.entry(verdict).or_default();
            *count += 1;
            *count <= MIN_CRASHES
        });
        let ends = serial_ends(part, counted);
        let (Some(enough), Some(last)) = (ends.get(MIN_CRASHES - 1), ends.last()) else {
            return false;
        };
        let was_tried = last.sent_at(part) >= Some(enough.at + ACQUITTAL_TIME);
        ends.len() >= MAX_SHARED_CRASHES && was_tried
    }
}

/// The suspects that the evidence doesn't tell apart from the most accused one.
fn indistinct<'a, F>(
    suspects: &'a [Suspect],
    crashes: &[OpenCrash<'_>],
    has_alternative: F,
) -> Vec<&'a Suspect>
where
    F: Fn(&Suspect) -> bool,
{
    let has_unproven = suspects.iter().any(|one| !one.was_sound());
    let open = || {
        suspects
            .iter()
            .filter(|one| !has_unproven || !one.was_sound())
    };
    let Some(top) = open().max_by_key(|one| one.crashes.len()) else {
        return Vec::new();
    };
    let is_shared = has_alternative(top);
    let is_close = |one: &&Suspect| is_shared || one.crashes.len() + 1 >= top.crashes.len();
    let mut group = vec![top];
    let mut parts = PartSet::from([top.part]);
    for other in open().filter(is_close) {
        let has_room = group.len() < MAX_SET_LEN && other.part != top.part;
        if has_room && other.crashes_with(&parts, crashes) >= MIN_CRASHES {
            parts.insert(other.part);
            group.push(other);
        }
    }
    group
}
