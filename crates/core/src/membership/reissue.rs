use {
    super::{Budget, EpochRecord, HolderGrants, HoldingsRecord},
    crate::{
        ids::{AccountId, Holder},
        rights::{Right, SHARE_WHOLE, home_rank},
    },
    std::collections::BTreeMap,
};

/// Grants of one epoch, gathered by holder.
#[derive(Debug, Default)]
pub struct Grants {
    by_holder: BTreeMap<Holder, Vec<Right>>,
}

impl Grants {
    /// Starts from what a record grants already.
    pub fn of(record: &EpochRecord) -> Self {
        let by_holder = record
            .grants
            .iter()
            .map(|grants| (grants.holder, grants.rights.clone()))
            .collect();
        Self { by_holder }
    }

    /// Divides a right evenly among a few members.
    pub fn divide(
        &mut self,
        right: &Right,
        members: &[Holder],
        grantees: usize,
    ) {
        let chosen = choose(right.account, members, grantees);
        let n = chosen.len() as u64;
        for holder in chosen {
            let part = Right {
                account: right.account,
                rate_share: right.rate_share / n,
                room_share: right.room_share / n,
                tokens: right.tokens / n,
            };
            if !part.is_none() {
                self.by_holder.entry(holder).or_default().push(part);
            }
        }
    }

    /// The grants as the record has them.
    pub fn into_records(self) -> Vec<HolderGrants> {
        self.by_holder
            .into_iter()
            .map(|(holder, rights)| HolderGrants { holder, rights })
            .collect()
    }
}

/// The whole of a budget that nobody has ever held: with a full burst.
pub fn whole(budget: &Budget) -> Right {
    Right {
        account: budget.account,
        rate_share: SHARE_WHOLE,
        room_share: SHARE_WHOLE,
        tokens: budget.limit.burst_milli(),
    }
}

/// What the reports leave of the whole.
///
/// Its tokens are only those that stopped holders gave back: a dead holder may have used all of its
/// own just before. Who gets them cuts them down to its room.
pub fn missing(
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
            room.saturating_add(right.room_share),
        )
    });
    Right {
        account,
        rate_share: SHARE_WHOLE.saturating_sub(rate),
        room_share: SHARE_WHOLE.saturating_sub(room),
        tokens: freed,
    }
}

/// The account's first homes among the members; the same ones at every controller.
fn choose(
    account: AccountId,
    members: &[Holder],
    grantees: usize,
) -> Vec<Holder> {
    let mut ranked: Vec<(u64, Holder)> = members
        .iter()
        .map(|&holder| (home_rank(account, holder), holder))
        .collect();
    ranked.sort_unstable();
    ranked.truncate(grantees.max(1));
    ranked.into_iter().map(|(_, holder)| holder).collect()
}
