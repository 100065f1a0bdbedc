use {
    super::Fleet,
    jasmine_core::{
        ids::{AccountId, Role, VmId},
        membership::Budget,
        rights::Limit,
    },
};

/// The initial account, the account added by the second revision, and the weight store.
pub const ACCOUNTS: [AccountId; 3] = [AccountId(1), AccountId(2), AccountId(9)];

impl Fleet {
    /// Applies the latest configuration to a VM.
    pub fn configure(
        &mut self,
        vm: VmId,
    ) {
        let newest = self.limits.len() - 1;
        let now = self.now;
        if let Some(at) = self.awake(vm) {
            at.revision = newest;
        }
        let Some(at) = self.vms.get_mut(&vm).filter(|vm| !vm.frozen) else {
            return;
        };
        for budget in budgets(&self.limits) {
            for daemon in at
                .daemons
                .iter_mut()
                .filter(|d| d.holder.role == budget.role)
            {
                daemon.ledger.set_limit(budget.account, budget.limit, now);
            }
        }
        self.note_limits();
    }

    /// Records the largest limit of each account on any VM.
    fn note_limits(&mut self) {
        for account in ACCOUNTS {
            let limits = self
                .vms
                .values()
                .flat_map(|vm| budgets(&self.limits[..=vm.revision]));
            let largest = limits
                .filter(|budget| budget.account == account)
                .map(|budget| budget.limit)
                .reduce(|a, b| Limit {
                    rate: a.rate.max(b.rate),
                    burst: a.burst.max(b.burst),
                });
            if let Some(limit) = largest {
                self.limit_changes
                    .push((self.ran.len(), self.now, account, limit));
            }
        }
    }
}

/// The budgets of the last of these revisions; the second revision adds the second account.
pub fn budgets(limits: &[Limit]) -> Vec<Budget> {
    let gateways = |account, limit| Budget {
        account,
        role: Role::Gateway,
        limit,
    };
    let mut budgets = vec![
        gateways(ACCOUNTS[0], limits[limits.len() - 1]),
        Budget {
            account: ACCOUNTS[2],
            role: Role::Controller,
            limit: Limit { rate: 2, burst: 8 },
        },
    ];
    if limits.len() > 1 {
        budgets.push(gateways(
            ACCOUNTS[1],
            Limit {
                rate: 50,
                burst: 100,
            },
        ));
    }
    budgets
}
