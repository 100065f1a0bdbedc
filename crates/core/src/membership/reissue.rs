use {
    super::{Budget, EpochRecord, HolderGrants, HoldingsRecord},
    crate::{
        ids::{AccountId, Holder},
        rights::{FULL_SHARE, Right, home_rank},
    },
    std::collections::BTreeMap,
};

/// Grants of one epoch, grouped by holder.
#[derive(Debug, Default)]
pub struct Grants {
    by_holder: BTreeMap<Holder, Vec<Right>>,
}

impl Grants {
    /// Starts from the grants of a record.
    pub fn from_record(record: &EpochRecord) -> Self {
        let by_holder = record
            .grants
            .iter()
            .map(|grants| (grants.holder, grants.rights.clone()))
            .collect();
        Self { by_holder }
    }

    /// Divides a right evenly among up to `max_grantees` members.
    pub fn grant_divided(
        &mut self,
        right: &Right,
        members: &[Holder],
        max_grantees: usize,
    ) {
        let chosen = choose_grantees(right.account, members, max_grantees);
        let n = chosen.len() as u64;
        for holder in chosen {
            let part = Right {
                account: right.account,
                rate_share: right.rate_share / n,
                burst_share: right.burst_share / n,
                tokens: right.tokens / n,
            };
            if !part.is_none() {
                self.by_holder.entry(holder).or_default().push(part);
            }
        }
    }

    /// Converts the grants to their form in the record.
    pub fn into_records(self) -> Vec<HolderGrants> {
        self.by_holder
            .into_iter()
            .map(|(holder, rights)| HolderGrants { holder, rights })
            .collect()
    }
}

/// All rights of a budget that was never granted, with a full burst.
pub fn full_right(budget: &Budget) -> Right {
    Right {
        account: budget.account,
        rate_share: FULL_SHARE,
        burst_share: FULL_SHARE,
        tokens: budget.limit.burst_millitokens(),
    }
}

/// The rights of an account that no holder reported.
///
/// Its tokens are only those that stopped holders released, since a dead holder may have used its
/// own. The receiver caps them at its burst capacity.
pub fn missing_right(
    account: AccountId,
    reports: &[HoldingsRecord],
    freed: u64,
) -> Right {
    let held = reports
        .iter()
        .flat_map(|report| &report.rights)
        .filter(|right| right.account == account);
    let (rate, room) = held.fold((0_u64, 0_u64), |(rate, room), right| {
        (
            rate.saturating_add(right.rate_share),
            room.saturating_add(right.burst_share),
        )
    });
    Right {
        account,
        rate_share: FULL_SHARE.saturating_sub(rate),
        burst_share: FULL_SHARE.saturating_sub(room),
        tokens: freed,
    }
}

/// The members ranked first for the account; every controller chooses the same ones.
fn choose_grantees(
    account: AccountId,
    members: &[Holder],
    max_grantees: usize,
) -> Vec<Holder> {
    let mut ranked: Vec<(u64, Holder)> = members
        .iter()
        .map(|&holder| (home_rank(account, holder), holder))
        .collect();
    ranked.sort_unstable();
    ranked.truncate(max_grantees.max(1));
    ranked.into_iter().map(|(_, holder)| holder).collect()
}
