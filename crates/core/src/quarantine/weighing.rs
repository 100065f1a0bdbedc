use {
    super::{
        PartSet,
        crash::{Crash, SETTLE_TIME},
        crash_log::CrashLog,
        recent_parts::RecentParts,
        suspect::{MAX_CRASHES, MIN_CRASHES, MIN_FURTHER_CRASHES, OpenCrash, Suspect, serial_ends},
        verdict::Verdict,
    },
    crate::{clock::Millis, ids::PartId},
    std::{cell::OnceCell, cmp::Reverse},
};

/// Most parts that are refused only together.
const MAX_SET_LEN: usize = 8;
/// Crashes from which a part is the cause, even if others that prompts have beside it explain them as well.
const MAX_SHARED_CRASHES: usize = 7;
/// Crashes under a part that may follow those after which it has to be known.
pub(super) const MAX_LATE_CRASHES: usize = 3;
/// Adapters, or parts, that have to be known as sound, so that others may be presumed to be.
const MIN_KNOWN_SOUND: usize = 20;
/// Further ones for each crash that no verdict explains.
const MIN_KNOWN_SOUND_PER_CRASH: usize = 3;
/// Trials of a part that was sound which have to crash where few others are known to be sound.
const MIN_TRIALS_BESIDE_UNKNOWN: usize = 3;
/// How long a part is tried after the crashes after which it has to be known.
const TRIAL_TIME: Millis = Millis(2_400);
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
#[derive(Debug)]
pub(super) struct Weighing<'a> {
    crashes: &'a CrashLog,
    sound: &'a RecentParts,
    verdicts: &'a [Verdict],
    now: Millis,
    /// How many adapters, or parts, have to be known as sound; computed when it is first needed, as it looks at all
    /// crashes.
    min_sound: OnceCell<usize>,
}

impl<'a> Weighing<'a> {
    pub(super) const fn new(
        crashes: &'a CrashLog,
        sound: &'a RecentParts,
        verdicts: &'a [Verdict],
        now: Millis,
    ) -> Self {
        Self {
            crashes,
            sound,
            verdicts,
            now,
            min_sound: OnceCell::new(),
        }
    }

    /// What the crashes point to that no verdict explains.
    ///
    /// Other parts of the same prompts are accused as often. A suspect that no answer has shown to be sound is guilty at
    /// once if nothing else explains one of its crashes; otherwise the suspects wait for answers that acquit some of them.
    /// Several that are left are refused where a prompt has them all. A single one, which other prompts may share, is put
    /// on trial first, and for longer where it may be what several crashing parts share. A confirmed suspect is refused once
    /// two upstreams have crashed late under requests with it.
    pub(super) fn finding(&self) -> Finding {
        // Crashes that accuse none of these show nothing about others.
        let accused = self.crashes.accused_by(MIN_CRASHES);
        let accused: Vec<PartId> = accused.filter(|part| !part.is_request()).collect();
        let unexplained: Vec<OpenCrash<'_>> = self
            .settled()
            .filter(|crash| accused.iter().any(|&part| crash.accuses(part)))
            .filter(|crash| !self.is_explained(crash))
            .map(OpenCrash::new)
            .collect();
        if let Some(part) = self.cause_of_set(&unexplained) {
            return Finding::Guilty(PartSet::from([part]));
        }
        let refused_requests: Vec<PartId> = self
            .verdicts
            .iter()
            .filter(|verdict| verdict.is_of_request())
            .flat_map(|verdict| verdict.parts.iter().copied())
            .collect();
        let sound_at = |crash: &Crash, part| self.sound_at(crash, part);
        let is_known = |part| self.crashes.accusations(part) >= MAX_CRASHES;
        let accusations = |part| self.crashes.accusations(part);
        let suspects = Suspect::find(
            &accused,
            &unexplained,
            &refused_requests,
            |part| self.sound.latest(part),
            is_known,
        );
        let Some(since) = suspects.iter().map(|one| one.qualified_at).min() else {
            return Finding::Nothing;
        };
        let has_alternative = |suspect: &Suspect| {
            let is_certain = suspect.crashes.len() >= MAX_SHARED_CRASHES;
            !is_certain && suspect.has_alternative(&unexplained, sound_at)
        };
        let trials =
            |suspect: &Suspect, since| suspect.trials(&unexplained, sound_at, accusations, since);
        let is_guilty = |one: &&Suspect| {
            let is_alone = !one.was_sound() && one.is_alone(&unexplained, sound_at);
            let is_confirmed = one.was_sound() && one.is_confirmed;
            let was_tried =
                is_confirmed && trials(one, one.qualified_at + SETTLE_TIME) >= self.min_trials();
            (is_alone || was_tried) && self.has_witnesses(one.part) && !has_alternative(one)
        };
        if let Some(guilty) = suspects.iter().find(is_guilty) {
            return Finding::Guilty(PartSet::from([guilty.part]));
        }
        let due = since + ACQUITTAL_TIME;
        let mut rest: Vec<&Suspect> = suspects.iter().collect();
        rest.sort_by_key(|one| (one.was_sound(), Reverse(one.crashes.len())));
        let mut open = PartSet::new();
        while !rest.is_empty() {
            let group = indistinct(&rest, &unexplained, has_alternative);
            let parts: PartSet = group.iter().map(|one| one.part).collect();
            let overdue = group.iter().filter(|one| self.is_overdue(one));
            let overdue: PartSet = overdue.map(|one| one.part).collect();
            if !overdue.is_empty() {
                return Finding::Guilty(overdue);
            }
            let is_witnessed = group.iter().all(|one| self.has_witnesses(one.part));
            let is_decided = if !is_witnessed {
                false
            } else if let [single] = &group[..] {
                let is_cause = single.is_confirmed && !has_alternative(single);
                is_cause && !single.was_sound() && !self.has_time(single.part)
            } else {
                // What was sound before is tried again first.
                let mut group = group.iter();
                self.now >= due && group.all(|one| one.is_confirmed || !one.was_sound())
            };
            if is_decided {
                return Finding::Guilty(parts);
            }
            rest.retain(|one| !parts.contains(&one.part));
            if open.is_empty() {
                open = parts;
            }
        }
        Finding::Open(open, Some(due).filter(|&due| self.now < due))
    }

    /// Whether answers have shown so many adapters, or parts, to be sound that few of the others may crash upstreams.
    fn are_most_sound(
        &self,
        known: usize,
    ) -> bool {
        let min_sound = self.min_sound.get_or_init(|| {
            let crashes = self.crashes.iter();
            let open = crashes.filter(|crash| !self.is_explained(crash)).count();
            MIN_KNOWN_SOUND + MIN_KNOWN_SOUND_PER_CRASH * open
        });
        known >= *min_sound
    }

    /// How many trials have to crash before a part that was sound is refused.
    ///
    /// Each may have another new part that is the cause, unless most parts are known to be sound.
    fn min_trials(&self) -> usize {
        if self.are_most_sound(self.sound.parts()) {
            1
        } else {
            MIN_TRIALS_BESIDE_UNKNOWN
        }
    }

    /// When a part that a crash accuses was last known, or is presumed, to be sound.
    ///
    /// Where each prompt has another adapter, each crash of a part would have another explanation. Under several prompts
    /// any of them may be the cause.
    fn sound_at(
        &self,
        crash: &Crash,
        part: PartId,
    ) -> Option<Millis> {
        let is_single = || crash.prompts.len() == 1 && self.crashes.accusations(part) <= 1;
        let is_presumed =
            || part.is_adapter() && is_single() && self.are_most_sound(self.sound.adapters());
        let known = self.sound.latest(part);
        known.or_else(|| is_presumed().then_some(self.now))
    }

    /// The parts that were sound before several crashes in turn.
    pub(super) fn doubted(&self) -> PartSet {
        let accused = self.crashes.accused_by(MIN_CRASHES);
        let doubted = accused.filter(|&part| {
            !part.is_request() && self.sound.contains(part) && {
                let accusing = self.settled().filter(|crash| crash.accuses(part));
                let in_turn = serial_ends(part, accusing).len();
                let is_known = self.crashes.accusations(part) >= MAX_CRASHES;
                in_turn >= MIN_CRASHES || is_known && in_turn >= MIN_FURTHER_CRASHES
            }
        });
        doubted.collect()
    }

    /// Whether a refused part that may only be what several crashing ones share may soon be tried: if it was never sound, few of
    /// its crashes came late on trial under a prompt with nothing else that explains them; if it was, none came so at all.
    pub(super) fn has_trials_left(
        &self,
        part: PartId,
    ) -> bool {
        if self.sound.contains(part) {
            self.sole_trials(part, MIN_CRASHES) == 0
        } else {
            self.sole_trials(part, MAX_CRASHES) < MAX_LATE_CRASHES
        }
    }

    /// How many crashes that nothing else explains, but parts that were in no other prompt, have come under prompts with a
    /// part that were sent after its first `known` ones.
    fn sole_trials(
        &self,
        part: PartId,
        known: usize,
    ) -> usize {
        let mut accusing = self.crashes.iter().filter(|crash| crash.accuses(part));
        let Some(known) = accusing.nth(known - 1) else {
            return 0;
        };
        let crashes: Vec<OpenCrash<'_>> = self.crashes.iter().map(OpenCrash::new).collect();
        let suspect = self.suspect(part, &crashes, known.at);
        let sound_at = |crash: &Crash, part| self.sound_at(crash, part);
        let accusations = |part| self.crashes.accusations(part);
        suspect.trials(&crashes, sound_at, accusations, known.at)
    }

    /// Whether a part may only be what several crashing ones share: each of its crashes has another explanation, not the same
    /// one for all.
    pub(super) fn may_be_shared(
        &self,
        part: PartId,
    ) -> bool {
        let accusing = self.crashes.iter().filter(|crash| crash.accuses(part));
        let accusing: Vec<&Crash> = accusing.collect();
        let suspect = self.suspect(part, &[], Millis::ZERO);
        let sound_at = |crash: &Crash, part| self.sound_at(crash, part);
        let rivals = |crash: &&Crash| suspect.rivals(crash, sound_at).collect();
        let rivals: Vec<PartSet> = accusing.iter().map(rivals).collect();
        let in_all = |other: &PartId| rivals.iter().all(|parts| parts.contains(other));
        let are_several = rivals
            .first()
            .is_some_and(|parts| !parts.iter().any(in_all));
        are_several && rivals.iter().all(|parts| !parts.is_empty())
    }

    /// Whether a part that may only be shared needn't be refused yet, as requests with it may reach upstreams for so long
    /// after the crashes after which it has to be known.
    fn has_time(
        &self,
        part: PartId,
    ) -> bool {
        let known_at = self.known_at(part);
        known_at.is_some_and(|at| self.now < at + TRIAL_TIME) && self.may_be_shared(part)
    }

    /// Whether a part is refused whatever else may explain its crashes: as many requests with it as may do so have crashed
    /// upstreams long after the crashes after which it has to be known, but for one.
    fn is_overdue(
        &self,
        suspect: &Suspect,
    ) -> bool {
        suspect.is_confirmed && self.known_late_crashes(suspect.part) + 1 >= MAX_LATE_CRASHES
    }

    /// When the crash came after which a part has to be known, as far as there is evidence of it.
    pub(super) fn known_at(
        &self,
        part: PartId,
    ) -> Option<Millis> {
        let mut accusing = self.crashes.iter().filter(|crash| crash.accuses(part));
        let known = accusing.nth(MAX_CRASHES - 1)?;
        Some(known.at)
    }

    /// How many requests with a part have crashed upstreams long after the crash at `known_at`.
    pub(super) fn late_crashes(
        &self,
        part: PartId,
        known_at: Millis,
    ) -> usize {
        let due = known_at + TRIAL_TIME;
        let late = self
            .settled()
            .filter(|crash| crash.sent_at(part) >= Some(due));
        late.count()
    }

    /// The same after the crash after which it has to be known, as far as there is evidence of that one.
    pub(super) fn known_late_crashes(
        &self,
        part: PartId,
    ) -> usize {
        let known_at = self.known_at(part);
        known_at.map_or(0, |at| self.late_crashes(part, at))
    }

    /// Whether several upstreams have crashed under a part, or one as often as it may: an upstream that crashes by itself or
    /// loses answers accuses what only it is asked for.
    fn has_witnesses(
        &self,
        part: PartId,
    ) -> bool {
        self.crashes.accusations(part) >= MAX_CRASHES || self.crashes.sole_upstream(part).is_none()
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

    /// A part that is refused together with others, after as many crashes as are allowed, and crashes an upstream without
    /// them, under a prompt that was sent after the verdict and has no other suspect; if there is one.
    fn cause_of_set(
        &self,
        unexplained: &[OpenCrash<'_>],
    ) -> Option<PartId> {
        let sound_at = |crash: &Crash, part| self.sound_at(crash, part);
        let accusations = |part| self.crashes.accusations(part);
        let crashes_alone = |part, since| {
            let suspect = self.suspect(part, unexplained, since);
            suspect.trials(unexplained, sound_at, accusations, since) > 0
        };
        let sets = self.part_verdicts().filter(|one| one.parts.len() > 1);
        let mut members = sets.flat_map(|set| set.parts.iter().map(|&part| (part, set.since)));
        let found = members.find(|&(part, since)| {
            self.crashes.accusations(part) >= MAX_CRASHES
                && !self.is_refused_alone(part)
                && crashes_alone(part, since)
        });
        found.map(|(part, _)| part)
    }

    /// A part as the suspect of those of the crashes that accuse it.
    fn suspect(
        &self,
        part: PartId,
        crashes: &[OpenCrash<'_>],
        qualified_at: Millis,
    ) -> Suspect {
        let accusing = crashes.iter().enumerate();
        let accusing = accusing.filter(|(_, one)| one.parts.contains(&part));
        Suspect {
            part,
            crashes: accusing.map(|(at, _)| at).collect(),
            sound_at: self.sound.latest(part),
            qualified_at,
            is_confirmed: true,
        }
    }

    fn is_refused_alone(
        &self,
        part: PartId,
    ) -> bool {
        let mut verdicts = self.part_verdicts();
        verdicts.any(|verdict| verdict.parts.iter().all(|&known| known == part))
    }
}

/// The suspects that the evidence doesn't tell apart from the first one, which is the most accused.
fn indistinct<'a, F>(
    suspects: &[&'a Suspect],
    crashes: &[OpenCrash<'_>],
    has_alternative: F,
) -> Vec<&'a Suspect>
where
    F: Fn(&Suspect) -> bool,
{
    let Some((&top, others)) = suspects.split_first() else {
        return Vec::new();
    };
    let is_shared = has_alternative(top);
    let is_close = |one: &&&Suspect| {
        let is_accused_as_often = is_shared || one.crashes.len() + 1 >= top.crashes.len();
        is_accused_as_often && one.was_sound() == top.was_sound()
    };
    let mut group = vec![top];
    let mut parts = PartSet::from([top.part]);
    for &other in others.iter().filter(is_close) {
        let has_room = group.len() < MAX_SET_LEN;
        if has_room && other.crashes_with(&parts, crashes) >= MIN_CRASHES {
            parts.insert(other.part);
            group.push(other);
        }
    }
    group
}
