use {
    super::{AskKind, AskShare, ToldShares, ask_share::WHOLE},
    crate::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        ids::AccountId,
        placement::rendezvous_hash,
        rights::CallerTag,
    },
    std::collections::BTreeMap,
};

/// How long shares hold after the scheduler was last heard.
const VALIDITY: Millis = Millis(1_000);

/// Refuses the requests about which the scheduler doesn't want to be asked.
#[derive(Clone, Debug, Default)]
pub struct AskFilter {
    shares: BTreeMap<(AccountId, AskKind), AskShare>,
    revision: u64,
    choice: u64,
    heard_at: Option<Millis>,
}

impl AskFilter {
    /// Which shares are known, by the number that came with them; zero for none.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Replaces the shares by those of the scheduler.
    pub fn replace(
        &mut self,
        told: &ToldShares,
    ) {
        self.revision = told.revision;
        self.choice = told.choice;
        let shares = told.shares.iter();
        self.shares = shares
            .map(|share| ((share.account, share.kind), *share))
            .collect();
    }

    /// Records that the scheduler has confirmed the shares.
    pub const fn note_heard(
        &mut self,
        now: Millis,
    ) {
        self.heard_at = Some(now);
    }

    /// Forgets the shares, as the scheduler is lost.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Refuses a request, unless it is one about which the scheduler wants to be asked.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::RateLimited`], with the time that the scheduler last told a refused caller of the account.
    pub fn check(
        &self,
        account: AccountId,
        kind: AskKind,
        caller: CallerTag,
        now: Millis,
    ) -> Result<(), Refusal> {
        let is_valid = self
            .heard_at
            .is_some_and(|heard_at| now.since(heard_at) < VALIDITY);
        let Some(share) = self.shares.get(&(account, kind)).filter(|_| is_valid) else {
            return Ok(());
        };
        // A caller that was passed on and refused is passed on again when it returns.
        let is_chosen = [self.choice, self.choice.wrapping_sub(1)]
            .into_iter()
            .any(|choice| position(caller, choice) < share.share / 2);
        if is_chosen {
            return Ok(());
        }
        let kind = ErrorKind::RateLimited;
        Err(match share.retry_after {
            Millis::ZERO => Refusal::new(kind),
            delay => Refusal::after(kind, delay),
        })
    }
}

/// The place of a request in a choice, below [`WHOLE`].
fn position(
    caller: CallerTag,
    choice: u64,
) -> u32 {
    (rendezvous_hash(caller.0, choice) % u64::from(WHOLE)) as u32
}
