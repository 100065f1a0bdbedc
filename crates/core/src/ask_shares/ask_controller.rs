use {
    super::{AskKind, AskShare, ToldShares, ask_share::WHOLE},
    crate::{clock::Millis, ids::AccountId},
    std::collections::BTreeMap,
};

/// How often shares are adjusted; longer than a VM takes to learn them.
const ADJUST_INTERVAL: Millis = Millis(400);
/// An account with fewer refusals within that interval costs the scheduler little.
const MIN_REFUSALS: u32 = 20;
/// The scheduler is asked for more than it can admit, in percent, so that no rate is left unused.
const ASKED_PERCENT: u64 = 130;
/// The least share, so that it is seen when an account has rate left.
const MIN_SHARE: u32 = WHOLE / 50;
/// After this many adjustments other requests are chosen, so that each caller has another chance when it returns.
const ADJUSTMENTS_PER_CHOICE: u64 = 8;
/// By what a share grows when nothing was refused.
const GROWTH: u32 = 3;

/// What was asked for one account since the last adjustment.
#[derive(Clone, Copy, Debug)]
struct Asked {
    share: u32,
    admitted: u32,
    refused: u32,
    retry_after: Millis,
}

/// Decides which share of each account's requests the scheduler wants to be asked about.
#[derive(Clone, Debug, Default)]
pub struct AskController {
    accounts: BTreeMap<(AccountId, AskKind), Asked>,
    adjusted_at: Millis,
    /// No share is adjusted before this time.
    begins_at: Millis,
    adjustments: u64,
    /// Changes whenever VMs have to be told.
    revision: u64,
}

impl AskController {
    /// Records the decision about a request; `retry_after` is what its caller was told, if it was refused by the rate.
    pub fn note(
        &mut self,
        account: AccountId,
        kind: AskKind,
        retry_after: Option<Millis>,
    ) {
        let asked = self.accounts.entry((account, kind)).or_insert(Asked {
            share: WHOLE,
            admitted: 0,
            refused: 0,
            retry_after: Millis::ZERO,
        });
        match retry_after {
            None => asked.admitted += 1,
            Some(delay) => {
                asked.refused += 1;
                asked.retry_after = delay;
            }
        }
    }

    /// Adjusts the shares, if that is due.
    pub fn adjust(
        &mut self,
        now: Millis,
    ) {
        if now < self.begins_at {
            self.accounts.clear();
            return;
        }
        if now.since(self.adjusted_at) < ADJUST_INTERVAL {
            return;
        }
        self.adjusted_at = now;
        self.adjustments += 1;
        let is_new_choice = self.adjustments.is_multiple_of(ADJUSTMENTS_PER_CHOICE);
        let has_shares = self.accounts.values().any(|asked| asked.share < WHOLE);
        let mut is_changed = is_new_choice && has_shares;
        for asked in self.accounts.values_mut() {
            let before = asked.share;
            asked.adjust();
            is_changed |= asked.share != before;
        }
        self.accounts.retain(|_, asked| asked.share < WHOLE);
        self.revision += u64::from(is_changed);
    }

    /// Forgets all shares, as by a change of the limits or of the scheduler, and adjusts none before `begins_at`.
    pub fn restart(
        &mut self,
        begins_at: Millis,
    ) {
        self.begins_at = begins_at;
        self.revision += u64::from(!self.accounts.is_empty());
        self.accounts.clear();
    }

    /// The shares below the whole, for VMs that know another revision.
    pub fn told(&self) -> ToldShares {
        let accounts = self.accounts.iter();
        let shares = accounts.filter(|(_, asked)| asked.share < WHOLE);
        let shares = shares.map(|(&(account, kind), asked)| AskShare {
            account,
            kind,
            share: asked.share,
            retry_after: asked.retry_after,
        });
        ToldShares {
            revision: self.revision,
            choice: self.adjustments / ADJUSTMENTS_PER_CHOICE,
            shares: shares.collect(),
        }
    }

    /// The number that changes with what VMs have to be told.
    pub const fn revision(&self) -> u64 {
        self.revision
    }
}

impl Asked {
    fn adjust(&mut self) {
        let total = u64::from(self.admitted + self.refused);
        self.share = match self.refused {
            0 => (self.share * GROWTH).min(WHOLE),
            refused if self.share == WHOLE && refused < MIN_REFUSALS => WHOLE,
            _ => {
                let admitted = u64::from(self.share) * u64::from(self.admitted) / total;
                let wanted = admitted * ASKED_PERCENT / 100;
                // A share that falls by more than half at once would react to the burst of a moment.
                (wanted as u32).clamp((self.share / 2).max(MIN_SHARE), WHOLE)
            }
        };
        (self.admitted, self.refused) = (0, 0);
    }
}
