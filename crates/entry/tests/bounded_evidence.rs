//! How much a VM tells others of what it knows about crashes.

use {
    jasmine_core::{
        clock::Millis,
        ids::PartId,
        quarantine::{EvidenceBudget, PromptReport, SoundReport},
    },
    jasmine_entry::scheduling::{CrashSpec, EvidenceSpec},
};

/// Bytes that a part takes at least, whoever it is told to.
const PART_BYTES: usize = 9;
/// Most bytes that all VMs tell a new leader: a second of a link of 20 Mbit/s.
const MAX_TOLD_BYTES: usize = 2_500_000;

/// What is known after so many upstreams crashed, each under so many prompts of three parts.
fn evidence(
    crashes: u64,
    prompts: u64,
) -> EvidenceSpec {
    let prompt = |crash: u64, number: u64| PromptReport {
        parts: vec![
            PartId::Part(number % 3),
            PartId::Part(1_000 * crash + number),
            PartId::Adapter(number),
        ],
        sent_ago: Millis(100),
    };
    let crash = |at: u64| CrashSpec {
        upstream: format!("i-{at}"),
        ago: Millis(at),
        prompts: (0..prompts).map(|number| prompt(at, number)).collect(),
        requests: Vec::new(),
    };
    let sound = |part: u64| SoundReport {
        part: PartId::Part(part),
        ago: Millis(part),
    };
    EvidenceSpec {
        crashes: (0..crashes).map(crash).collect(),
        sound: (0..256).map(sound).collect(),
    }
}

fn part_count(evidence: &EvidenceSpec) -> usize {
    let prompts = evidence.crashes.iter().flat_map(|crash| &crash.prompts);
    prompts.map(|prompt| prompt.parts.len()).sum::<usize>() + evidence.sound.len()
}

#[test]
fn a_new_leader_of_hundreds() {
    // Guards against a leader that can't answer in time for all that VMs tell it at once.
    for vms in [8, 195, 360] {
        let told = evidence(256, 64).bounded(EvidenceBudget::max_record(vms));
        let bytes = part_count(&told) * PART_BYTES * vms as usize;
        assert!(bytes <= MAX_TOLD_BYTES, "{vms} VMs: {bytes} bytes");
    }
}

#[test]
fn few_crashes_are_told_whole() {
    // Guards against evidence that is lost with a leader though it is small.
    let known = evidence(5, 4);
    let told = known.clone().bounded(EvidenceBudget::max_record(8));
    assert_eq!(told.crashes, known.crashes);
    assert_eq!(told.sound.len(), known.sound.len());
}

#[test]
fn sound_parts_of_told_crashes() {
    // Guards against crashes that accuse parts which are known to be sound.
    let mut known = evidence(2, 4);
    known.sound.push(SoundReport {
        part: PartId::Adapter(3),
        ago: Millis(90_000),
    });
    let told = known.bounded(1_024);
    assert!(!told.crashes.is_empty());
    assert!(
        told.sound
            .iter()
            .any(|report| report.part == PartId::Adapter(3))
    );
}
