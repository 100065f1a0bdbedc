use {
    crate::{
        clock::OwnClock,
        config::ConfigKeeper,
        fleet::FleetMirror,
        rights::{WEIGHT_STORE, weight_store_limit},
    },
    jasmine_core::{
        clock::Millis,
        ids::{Role, VmId},
        membership::{
            Budget,
            EPOCH_KEY,
            EpochAction,
            EpochMachine,
            HOLDINGS_PREFIX,
            MembershipSettings,
            StoreView,
            holdings_prefix,
            released_key,
        },
        rights::Limit,
    },
    jasmine_platform::{
        store::{Compare, KeyValue, Op, Range, Store, StoreError, Txn},
        vms::VmList,
    },
    jasmine_telemetry::log::Line,
    std::{
        cell::{Cell, RefCell},
        collections::BTreeSet,
        rc::Rc,
    },
};

/// How often the platform's list of VMs is read.
const LIST_EVERY: Millis = Millis(3_000);

/// Moves the epoch of rights on when the membership changes.
///
/// Several controllers do so at once; each write compares the record that was read.
pub struct EpochKeeper {
    store: Rc<dyn Store>,
    clock: OwnClock,
    fleet: Rc<RefCell<FleetMirror>>,
    config: Rc<ConfigKeeper>,
    vms: VmList,
    machine: RefCell<EpochMachine>,
    listed: RefCell<Option<BTreeSet<VmId>>>,
    list_read: Cell<Option<Millis>>,
}

impl std::fmt::Debug for EpochKeeper {
    fn fmt(
        &self,
        f: &mut std::fmt::Formatter<'_>,
    ) -> std::fmt::Result {
        f.debug_struct("EpochKeeper")
            .field("listed", &self.listed)
            .finish_non_exhaustive()
    }
}

impl EpochKeeper {
    /// A keeper that has seen nothing yet.
    pub fn new(
        store: Rc<dyn Store>,
        clock: OwnClock,
        me: VmId,
        fleet: Rc<RefCell<FleetMirror>>,
        config: Rc<ConfigKeeper>,
        vms: VmList,
    ) -> Self {
        Self {
            store,
            clock,
            fleet,
            config,
            vms,
            machine: RefCell::new(EpochMachine::new(me, MembershipSettings::default())),
            listed: RefCell::default(),
            list_read: Cell::new(None),
        }
    }

    /// Looks at the membership and writes what has to change.
    pub async fn step(&self) {
        self.read_list().await;
        let view = self.view();
        let actions = self
            .machine
            .borrow_mut()
            .step(&view, self.clock.now());
        for action in actions {
            if let Err(e) = self.carry_out(action).await {
                Line::new("epoch_write_unsettled").with("error", e).warn();
                return;
            }
        }
    }

    async fn read_list(&self) {
        let now = self.clock.now();
        let is_due = self
            .list_read
            .get()
            .is_none_or(|read| now.since(read) >= LIST_EVERY);
        if !is_due {
            return;
        }
        self.list_read.set(Some(now));
        let listed = match self.vms.read().await {
            Ok(vms) => Some(vms.into_iter().map(|listed| listed.vm).collect()),
            Err(e) => {
                Line::new("vm_list_not_read").with("error", e).warn();
                None
            }
        };
        self.listed.replace(listed);
    }

    fn view(&self) -> StoreView {
        let fleet = self.fleet.borrow();
        StoreView {
            live: fleet.members.values().map(|member| member.live()).collect(),
            listed: self.listed.borrow().clone(),
            epoch: fleet.epoch.clone(),
            holdings: fleet.holdings.values().cloned().collect(),
            released: fleet.released.values().cloned().collect(),
            budgets: self.budgets(),
        }
    }

    fn budgets(&self) -> Vec<Budget> {
        let loads = Budget {
            account: WEIGHT_STORE,
            role: Role::Controller,
            limit: weight_store_limit(),
        };
        let config = self.config.fleet();
        let accounts = config.iter().flat_map(|fleet| {
            fleet.accounts.iter().map(|account| Budget {
                account: account.id,
                role: Role::Gateway,
                limit: Limit {
                    rate: account.rate,
                    burst: account.burst,
                },
            })
        });
        accounts.chain([loads]).collect()
    }

    async fn carry_out(
        &self,
        action: EpochAction,
    ) -> Result<(), StoreError> {
        match action {
            EpochAction::WriteEpoch { compare, record } => {
                let compare = match compare {
                    None => Compare::Absent(EPOCH_KEY.into()),
                    Some(revision) => Compare::ModRevision(EPOCH_KEY.into(), revision),
                };
                let value = serde_json::to_vec(&record).unwrap_or_default();
                let txn = Txn {
                    compare: vec![compare],
                    success: vec![Op::put(EPOCH_KEY, value.clone())],
                    failure: Vec::new(),
                };
                let reply = self.store.txn(txn).await?;
                if reply.succeeded {
                    Line::new("epoch_written")
                        .with("epoch", record.epoch)
                        .with("closing", record.closing)
                        .with("members", record.members.len())
                        .info();
                    // Known now, so that the next step doesn't wait for the watch.
                    self.fleet.borrow_mut().set_epoch(&KeyValue {
                        key: EPOCH_KEY.into(),
                        value,
                        mod_revision: reply.revision,
                        ..KeyValue::default()
                    });
                }
                Ok(())
            }
            EpochAction::DeleteHoldingsBefore(epoch) => {
                self.delete(Range::between(HOLDINGS_PREFIX, holdings_prefix(epoch)))
                    .await
            }
            EpochAction::DeleteReleased(holder) => {
                self.delete(Range::key(released_key(holder))).await
            }
        }
    }

    async fn delete(
        &self,
        range: Range,
    ) -> Result<(), StoreError> {
        let txn = Txn {
            compare: Vec::new(),
            success: vec![Op::Delete(range)],
            failure: Vec::new(),
        };
        self.store.txn(txn).await.map(drop)
    }
}
