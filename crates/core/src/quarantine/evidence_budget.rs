use crate::clock::Millis;

/// Largest record of one VM, in bytes.
const MAX_RECORD_BYTES: u64 = 16 << 10;
/// Smallest bound of a record, in bytes, however many VMs write one: some crashes under a few prompts.
const MIN_RECORD_BYTES: u64 = 1 << 10;
/// Largest size of all records together, in bytes: each VM reads each of them.
const MAX_TOTAL_BYTES: u64 = 256 << 10;
/// Bytes that all VMs together write in a second.
const BYTES_PER_S: u64 = 16 << 10;
/// Records of the largest size that a VM writes at once.
const BURST_RECORDS: u64 = 4;

/// Bounds what a VM stores of crashes and of sound parts, by size and rate.
///
/// A busy upstream crashes under a hundred prompts, and upstreams crash together; what is stored reaches all VMs.
#[derive(Clone, Copy, Debug, Default)]
pub struct EvidenceBudget {
    /// Bytes written beyond what the rate allowed so far.
    debt: u64,
    /// Up to when the rate has been taken off the debt.
    paid_at: Millis,
}

impl EvidenceBudget {
    /// The largest record, in bytes, where so many VMs write one each.
    pub fn max_record(writers: u64) -> usize {
        let share = (MAX_TOTAL_BYTES / writers.max(1)).clamp(MIN_RECORD_BYTES, MAX_RECORD_BYTES);
        usize::try_from(share).unwrap_or(usize::MAX)
    }

    /// Whether a record of the largest size may be written now.
    pub fn is_available(
        &mut self,
        writers: u64,
        now: Millis,
    ) -> bool {
        let earned = now.since(self.paid_at).0 * BYTES_PER_S / (1_000 * writers.max(1));
        if earned > 0 {
            self.debt = self.debt.saturating_sub(earned);
            self.paid_at = now;
        }
        self.debt <= (BURST_RECORDS - 1) * Self::max_record(writers) as u64
    }

    /// Records that so many bytes were written.
    pub const fn spend(
        &mut self,
        bytes: usize,
    ) {
        self.debt += bytes as u64;
    }
}

/// Which of the crashes with these sizes in bytes, oldest first, are kept within `max` bytes in total.
///
/// Whole crashes are left out, as one without some of its prompts would accuse the others more. The smallest say most.
pub fn select_crashes(
    sizes: &[usize],
    max: usize,
) -> Vec<bool> {
    let mut order: Vec<usize> = (0..sizes.len()).collect();
    order.sort_by_key(|&at| (sizes[at], std::cmp::Reverse(at)));
    let mut kept = vec![false; sizes.len()];
    let mut total = 0;
    for at in order {
        total += sizes[at];
        if total > max {
            break;
        }
        kept[at] = true;
    }
    kept
}
