//! Requests of accounts that are over their rate: which ones the leader is asked about.

use {
    super::{JobSpec, LocalScheduler},
    jasmine_core::{
        ask_shares::{AskKind, AskShare, ToldShares},
        clock::Millis,
        error::Refusal,
        rights::CallerTag,
    },
};

/// The share of an account's requests that the leader wants to be asked about, by the account's name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AskShareSpec {
    /// The account.
    pub account: String,
    /// Which of its requests.
    pub kind: AskKind,
    /// The part, in ten-thousandths.
    pub share: u32,
    /// When callers of the others may come back.
    pub retry_after: Millis,
}

/// What a leader tells a VM that knows other shares.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ToldShareSpecs {
    /// Changes with the rest.
    pub revision: u64,
    /// By which choice of requests the shares are applied.
    pub choice: u64,
    /// The shares.
    pub shares: Vec<AskShareSpec>,
}

impl LocalScheduler {
    /// What this VM tells, as the leader, a VM that knows what `revision` told; `None` if that still holds.
    pub fn told_shares(
        &self,
        revision: u64,
    ) -> Option<ToldShareSpecs> {
        let told = self.scheduler.borrow().told_shares(revision)?;
        let names = self.names.borrow();
        let shares = told.shares.into_iter().map(|share| AskShareSpec {
            account: names.account_name(share.account).to_string(),
            kind: share.kind,
            share: share.share,
            retry_after: share.retry_after,
        });
        Some(ToldShareSpecs {
            revision: told.revision,
            choice: told.choice,
            shares: shares.collect(),
        })
    }

    /// The revision of the shares that this VM knows from its leader.
    pub fn ask_revision(&self) -> u64 {
        self.ask_filter.borrow().revision()
    }

    /// Applies what the leader has told, or, with `None`, that what it told before still holds.
    pub fn note_told_shares(
        &self,
        told: Option<&ToldShareSpecs>,
    ) {
        let mut filter = self.ask_filter.borrow_mut();
        if let Some(told) = told {
            let mut names = self.names.borrow_mut();
            let shares = told.shares.iter().map(|spec| AskShare {
                account: names.account(&spec.account),
                kind: spec.kind,
                share: spec.share,
                retry_after: spec.retry_after,
            });
            filter.replace(&ToldShares {
                revision: told.revision,
                choice: told.choice,
                shares: shares.collect(),
            });
        }
        filter.note_heard(self.clock.now());
    }

    /// Forgets what a leader has told that is lost.
    pub fn forget_told_shares(&self) {
        self.ask_filter.borrow_mut().clear();
    }

    /// Refuses a request about which the leader doesn't want to be asked, as its account is over its rate.
    ///
    /// # Errors
    ///
    /// The refusal that the leader would give.
    pub fn check_ask(
        &self,
        spec: &JobSpec,
    ) -> Result<(), Refusal> {
        let is_charged = spec.attempt == 1 && !spec.has_begun;
        let Some(account) = spec.account.as_ref().filter(|_| is_charged) else {
            return Ok(());
        };
        let account = self.names.borrow_mut().account(account);
        let kind = match spec.generation {
            None => AskKind::Call,
            Some(_) => AskKind::Generation,
        };
        let filter = self.ask_filter.borrow();
        filter.check(account, kind, CallerTag(spec.caller), self.clock.now())
    }
}
