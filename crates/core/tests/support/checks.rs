use {
    super::{
        Fleet,
        configuration::{ACCOUNTS, budgets},
        reference::Reference,
    },
    jasmine_core::{
        clock::Millis,
        ids::{AccountId, Holder},
        membership::Budget,
        rights::FULL_SHARE,
    },
    std::fmt::Write as _,
};

impl Fleet {
    /// Sum of all holders' rate shares and burst shares of an account.
    pub fn held(
        &self,
        account: AccountId,
    ) -> (u64, u64) {
        self.daemons()
            .flat_map(|daemon| daemon.ledger.held())
            .filter(|right| right.account == account)
            .fold((0, 0), |(rate, room), right| {
                (rate + right.rate_share, room + right.burst_share)
            })
    }

    /// Checks that the shares of each account add up to at most the whole.
    pub fn check_shares(&self) {
        for account in ACCOUNTS {
            let (rate, room) = self.held(account);
            assert!(
                rate <= FULL_SHARE,
                "account {account}: {rate} of the rate is held"
            );
            assert!(
                room <= FULL_SHARE,
                "account {account}: {room} of the burst is held"
            );
        }
    }

    /// Checks that no account exceeded its rate and burst in any window.
    pub fn check_limits(&self) {
        for account in ACCOUNTS {
            let mut changes = self
                .limit_changes
                .iter()
                .filter(|change| change.2 == account)
                .peekable();
            let mut reference: Option<Reference> = None;
            for (index, used) in self.ran.iter().enumerate() {
                while let Some(&(_, at, _, limit)) = changes.next_if(|change| change.0 <= index) {
                    reference
                        .get_or_insert(Reference::new(limit))
                        .set_limit(limit, at);
                }
                if used.account == account {
                    let within = reference.as_mut().is_some_and(|bucket| bucket.take(used));
                    assert!(within, "over the limit with {used:?}: {reference:?}");
                }
            }
        }
    }

    /// Checks that the fleet has recovered some time after the last fault.
    pub fn check_recovered(&mut self) {
        for _ in 0..20 {
            if self.store.epoch().is_some_and(|record| record.closing) {
                self.run(Millis(100));
            }
        }
        let record = self.store.epoch().expect("an epoch").clone();
        let mut alive: Vec<Holder> = self.daemons().map(|daemon| daemon.holder).collect();
        alive.sort_unstable();
        assert_eq!(record.members, alive, "the members are the live holders");
        assert!(!record.closing, "the epoch is finalised");
        for Budget { account, .. } in budgets(&self.limits) {
            let (rate, room) = self.held(account);
            let lost = FULL_SHARE - rate.min(room);
            assert!(
                lost < 1000,
                "account {account}: {lost} of the rights are lost"
            );
        }
        let before = record.epoch;
        self.run(Millis(5000));
        let after = self.store.epoch().expect("an epoch").epoch;
        let most = before.next();
        assert!(
            after <= most,
            "more than the periodic epoch change: {before} to {after}"
        );
    }

    /// Prints the epoch and each VM's rights to an account, for scripts.
    pub fn show(
        &mut self,
        account: AccountId,
    ) -> String {
        let mut out = match self.store.epoch() {
            None => "no epoch\n".to_owned(),
            Some(record) => format!(
                "epoch {}{}, {} members\n",
                record.epoch,
                if record.closing { " closing" } else { "" },
                record.members.len(),
            ),
        };
        for daemon in self.daemons() {
            let held = daemon.ledger.held();
            if let Some(right) = held.iter().find(|right| right.account == account) {
                let percent = |share| 100.0 * share as f64 / FULL_SHARE as f64;
                let _ = writeln!(
                    out,
                    "vm {}: rate {:.1} %, room {:.1} %, tokens {:.1}",
                    daemon.holder.vm,
                    percent(right.rate_share),
                    percent(right.burst_share),
                    right.tokens as f64 / 1000.0,
                );
            }
        }
        out
    }
}
