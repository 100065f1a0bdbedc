use {
    super::{
        Budget, EpochAction, EpochRecord, HoldingsRecord, MembershipSettings, ReleasedRecord,
        StoreView, Versioned,
        reissue::{Grants, full_right, missing_right},
        vm_watch::VmWatch,
    },
    crate::{
        clock::Millis,
        ids::{AccountId, Holder, Role, VmId},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Opens and finalises epochs; each controller runs one on what it reads from the store.
///
/// Every write of the epoch record compares the revision that was read, so controllers can run it
/// concurrently, and a write without a reply is resolved by the next read. Its only state is how long
/// conditions have held, so a restart only adds that wait.
#[derive(Clone, Debug)]
pub struct EpochMachine {
    me: VmId,
    settings: MembershipSettings,
    vms: VmWatch,
    /// The last seen revision of the epoch record and when it was first seen.
    record_since: Option<(u64, Millis)>,
    /// When a change became due.
    due_since: Option<Millis>,
}

impl EpochMachine {
    /// Creates a machine for the controller on the VM `me`.
    pub fn new(
        me: VmId,
        settings: MembershipSettings,
    ) -> Self {
        Self {
            me,
            settings,
            vms: VmWatch::default(),
            record_since: None,
            due_since: None,
        }
    }

    /// Returns the writes that follow from what was read.
    ///
    /// Call it again after each write, successful or not, with a new read.
    pub fn step(
        &mut self,
        view: &StoreView,
        now: Millis,
    ) -> Vec<EpochAction> {
        let Some(current) = &view.epoch else {
            return self.open_first_epoch(view, now);
        };
        let record = &current.value;
        let vms: BTreeSet<VmId> = record.members.iter().map(|member| member.vm).collect();
        self.vms.update(&vms, view);
        let record_age = self.record_age(current.mod_revision, now);
        let dead: BTreeSet<Holder> = record
            .members
            .iter()
            .copied()
            .filter(|&member| self.is_dead(member, view))
            .collect();
        let finalised = finalise(record, view, &dead, self.settings.max_grantees);
        let due = !dead.is_empty()
            || record_age >= self.settings.max_epoch_interval
            || joining(record, view).next().is_some()
            || new_budgets(record, view).any(|budget| has_member_with(record, budget.role));
        if finalised.is_none() && !due {
            self.due_since = None;
            return clean_up(record, view);
        }
        if !self.is_my_turn(view, now) {
            return Vec::new();
        }
        match finalised {
            Some(next) => vec![
                write(current, next),
                EpochAction::DeleteHoldingsBefore(record.epoch),
            ],
            None if record_age >= self.settings.min_epoch_interval => {
                vec![write(current, self.next_epoch(record, view, &dead))]
            }
            None => Vec::new(),
        }
    }

    /// Writes the first record after a delay, so that VMs that start together share the rights.
    fn open_first_epoch(
        &mut self,
        view: &StoreView,
        now: Millis,
    ) -> Vec<EpochAction> {
        let record = self.next_epoch(&EpochRecord::default(), view, &BTreeSet::new());
        let due_since = *self.due_since.get_or_insert(now);
        if record.members.is_empty() || now.since(due_since) < self.settings.min_epoch_interval {
            return Vec::new();
        }
        vec![EpochAction::WriteEpoch {
            compare: None,
            record,
        }]
    }

    fn next_epoch(
        &self,
        record: &EpochRecord,
        view: &StoreView,
        dead: &BTreeSet<Holder>,
    ) -> EpochRecord {
        let mut members: Vec<Holder> = record
            .members
            .iter()
            .copied()
            .filter(|member| !dead.contains(member))
            .chain(joining(record, view))
            .collect();
        members.sort_unstable();
        members.dedup();
        let mut next = EpochRecord {
            epoch: record.epoch.next(),
            members,
            closing: true,
            grants: Vec::new(),
            issued: record.issued.clone(),
            freed: freed(record, view, dead),
        };
        let mut grants = Grants::default();
        for budget in new_budgets(record, view) {
            let holders = members_with(&next.members, budget.role);
            if holders.is_empty() {
                continue;
            }
            grants.grant_divided(&full_right(budget), &holders, self.settings.max_grantees);
            next.issued.insert(budget.account, budget.role);
        }
        next.grants = grants.into_records();
        next
    }

    fn is_dead(
        &self,
        member: Holder,
        view: &StoreView,
    ) -> bool {
        let released = |last: &ReleasedRecord| last.holder == member;
        let replaced = view.live.iter().any(|live| {
            live.vm == member.vm
                && live
                    .incarnation(member.role)
                    .is_some_and(|newer| newer > member.incarnation)
        });
        replaced
            || view.released.iter().any(released)
            || self
                .vms
                .is_gone(member.vm, self.settings.list_lag, view.read_at)
    }

    fn record_age(
        &mut self,
        mod_revision: u64,
        now: Millis,
    ) -> Millis {
        let since = match self.record_since {
            Some((seen, since)) if seen == mod_revision => since,
            _ => now,
        };
        self.record_since = Some((mod_revision, since));
        now.since(since)
    }

    /// Whether this controller makes a due change now.
    ///
    /// Controllers wait longer by their position among the live VMs, so that they rarely write the same
    /// change concurrently.
    fn is_my_turn(
        &mut self,
        view: &StoreView,
        now: Millis,
    ) -> bool {
        let due_since = *self.due_since.get_or_insert(now);
        let position = view.live.iter().filter(|live| live.vm < self.me).count() as u64;
        now.since(due_since).0 >= position.saturating_mul(self.settings.stagger_delay.0)
    }
}

fn write(
    current: &Versioned<EpochRecord>,
    record: EpochRecord,
) -> EpochAction {
    EpochAction::WriteEpoch {
        compare: Some(current.mod_revision),
        record,
    }
}

/// The finalised record with missing rights granted; `None` until every member has reported.
fn finalise(
    record: &EpochRecord,
    view: &StoreView,
    dead: &BTreeSet<Holder>,
    max_grantees: usize,
) -> Option<EpochRecord> {
    let reported: BTreeSet<Holder> = reports(record, view).map(|report| report.holder).collect();
    let all_reported = record
        .members
        .iter()
        .all(|member| reported.contains(member));
    if !record.closing || !all_reported {
        return None;
    }
    let mut next = record.clone();
    next.closing = false;
    let granted: BTreeSet<AccountId> = record
        .grants
        .iter()
        .flat_map(|grants| &grants.rights)
        .map(|right| right.account)
        .collect();
    let reports: Vec<HoldingsRecord> = reports(record, view).cloned().collect();
    let mut grants = Grants::from_record(record);
    for (&account, &role) in &record.issued {
        let holders: Vec<Holder> = members_with(&record.members, role)
            .into_iter()
            .filter(|holder| !dead.contains(holder))
            .collect();
        if granted.contains(&account) || holders.is_empty() {
            continue;
        }
        let freed = record.freed.get(&account).copied().unwrap_or(0);
        grants.grant_divided(
            &missing_right(account, &reports, freed),
            &holders,
            max_grantees,
        );
    }
    next.grants = grants.into_records();
    next.freed = BTreeMap::new();
    Some(next)
}

fn reports<'a>(
    record: &'a EpochRecord,
    view: &'a StoreView,
) -> impl Iterator<Item = &'a HoldingsRecord> {
    view.holdings
        .iter()
        .filter(|report| report.epoch == record.epoch && record.is_member(report.holder))
}

/// Live daemons that are not members yet, except runs that a later one has replaced.
///
/// Their VM must be on the platform's list. The list lags: a new VM that joined before it was listed
/// and was paused past its lease could not be told apart from a deleted one.
fn joining<'a>(
    record: &'a EpochRecord,
    view: &'a StoreView,
) -> impl Iterator<Item = Holder> + 'a {
    view.live
        .iter()
        .flat_map(|live| {
            [Role::Gateway, Role::Controller]
                .into_iter()
                .filter_map(|role| {
                    live.incarnation(role).map(|incarnation| Holder {
                        vm: live.vm,
                        role,
                        incarnation,
                    })
                })
        })
        .filter(|holder| {
            record.members.iter().all(|member| {
                member.vm != holder.vm
                    || member.role != holder.role
                    || member.incarnation < holder.incarnation
            })
        })
        .filter(|holder| {
            view.listed
                .as_ref()
                .is_some_and(|listed| listed.contains(&holder.vm))
        })
        .filter(|holder| view.released.iter().all(|last| last.holder != *holder))
}

/// Budgets that have never been granted.
fn new_budgets<'a>(
    record: &'a EpochRecord,
    view: &'a StoreView,
) -> impl Iterator<Item = &'a Budget> {
    view.budgets
        .iter()
        .filter(|budget| !record.issued.contains_key(&budget.account))
}

fn has_member_with(
    record: &EpochRecord,
    role: Role,
) -> bool {
    record.members.iter().any(|member| member.role == role)
}

fn members_with(
    members: &[Holder],
    role: Role,
) -> Vec<Holder> {
    members
        .iter()
        .copied()
        .filter(|member| member.role == role)
        .collect()
}

/// Tokens released by holders that leave with this change, plus those not granted again before.
fn freed(
    record: &EpochRecord,
    view: &StoreView,
    dead: &BTreeSet<Holder>,
) -> BTreeMap<AccountId, u64> {
    let mut freed = record.freed.clone();
    let leaving = view
        .released
        .iter()
        .filter(|last| dead.contains(&last.holder));
    for right in leaving.flat_map(|last| &last.rights) {
        let tokens = freed.entry(right.account).or_default();
        *tokens = tokens.saturating_add(right.tokens);
    }
    freed
}

/// Deletes final releases that are no longer needed.
///
/// The release of a daemon that still appears live is kept; without it the daemon would join again.
fn clean_up(
    record: &EpochRecord,
    view: &StoreView,
) -> Vec<EpochAction> {
    let looks_alive = |holder: Holder| {
        view.live.iter().any(|live| {
            live.vm == holder.vm && live.incarnation(holder.role) == Some(holder.incarnation)
        })
    };
    view.released
        .iter()
        .map(|last| last.holder)
        .filter(|&holder| !record.is_member(holder) && !looks_alive(holder))
        .map(EpochAction::DeleteReleased)
        .collect()
}
