use {
    super::epoch_write,
    crate::{
        fleet::MemberRecord,
        rights::{WEIGHT_STORE_ACCOUNT, weight_store_limit},
        shared::SharedState,
    },
    jasmine_core::{
        clock::Millis,
        ids::{Role, VmId},
        membership::{
            Budget, EPOCH_KEY, EpochAction, EpochMachine, HOLDINGS_PREFIX, MembershipSettings,
            StoreView, holdings_prefix, released_key,
        },
        rights::Limit,
    },
    jasmine_store::{
        store::{KeyValue, Op, Range, StoreError, Txn},
        vms::VmList,
    },
    jasmine_telemetry::log::Line,
    std::{
        cell::{Cell, RefCell},
        collections::BTreeSet,
    },
};

/// Interval between reads of the platform's VM list.
const VM_LIST_INTERVAL: Millis = Millis(3_000);

/// Shorter interval while a live VM is unlisted, as it can't hold rights until it is listed.
const UNLISTED_VM_INTERVAL: Millis = Millis(1_000);

/// Starts a new epoch of rights when the membership changes.
///
/// Every controller may do so; each write is conditional on the record that was read.
#[derive(Debug)]
pub struct EpochManager {
    shared: SharedState,
    vms: VmList,
    machine: RefCell<EpochMachine>,
    listed: RefCell<Option<BTreeSet<VmId>>>,
    list_read_at: Cell<Option<Millis>>,
}

impl EpochManager {
    /// Creates a manager that has not read the VM list.
    pub fn new(
        shared: SharedState,
        vms: VmList,
    ) -> Self {
        let machine = EpochMachine::new(shared.me.vm, MembershipSettings::default());
        Self {
            shared,
            vms,
            machine: RefCell::new(machine),
            listed: RefCell::default(),
            list_read_at: Cell::new(None),
        }
    }

    /// Checks the membership and writes the changes it requires.
    pub async fn step(&self) {
        self.read_list().await;
        let view = self.view();
        let actions = self
            .machine
            .borrow_mut()
            .step(&view, self.shared.clock.now());
        for action in actions {
            if let Err(e) = self.execute(&view, action).await {
                Line::new("epoch_write_unsettled").with("error", e).warn();
                return;
            }
        }
    }

    async fn read_list(&self) {
        let now = self.shared.clock.now();
        let every = if self.is_live_vm_unlisted() {
            UNLISTED_VM_INTERVAL
        } else {
            VM_LIST_INTERVAL
        };
        let is_due = self
            .list_read_at
            .get()
            .is_none_or(|read| now.since(read) >= every);
        if !is_due {
            return;
        }
        self.list_read_at.set(Some(now));
        let listed = match self.vms.read().await {
            Ok(vms) => Some(vms.into_iter().map(|listed| listed.vm).collect()),
            Err(e) => {
                Line::new("vm_list_not_read").with("error", e).warn();
                None
            }
        };
        self.listed.replace(listed);
    }

    fn is_live_vm_unlisted(&self) -> bool {
        let listed = self.listed.borrow();
        let members = &self.shared.fleet.borrow().members;
        listed
            .as_ref()
            .is_some_and(|listed| members.keys().any(|vm| !listed.contains(vm)))
    }

    fn view(&self) -> StoreView {
        let fleet = self.shared.fleet.borrow();
        StoreView {
            read_at: self.list_read_at.get().unwrap_or_default(),
            live: fleet.members.values().map(MemberRecord::live).collect(),
            listed: self.listed.borrow().clone(),
            epoch: fleet.epoch.clone(),
            holdings: fleet.holdings.values().cloned().collect(),
            released: fleet.released.values().cloned().collect(),
            budgets: self.budgets(),
        }
    }

    fn budgets(&self) -> Vec<Budget> {
        let loads = Budget {
            account: WEIGHT_STORE_ACCOUNT,
            role: Role::Controller,
            limit: weight_store_limit(),
        };
        let config = self.shared.config.fleet();
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

    async fn execute(
        &self,
        view: &StoreView,
        action: EpochAction,
    ) -> Result<(), StoreError> {
        match action {
            EpochAction::WriteEpoch { compare, record } => {
                let value = serde_json::to_vec(&record).unwrap_or_default();
                let txn = epoch_write(view, compare, &record);
                let reply = self.shared.store.txn(txn).await?;
                if reply.succeeded {
                    Line::new("epoch_written")
                        .with("epoch", record.epoch)
                        .with("closing", record.closing)
                        .with("members", record.members.len())
                        .info();
                    // Apply it now so that the next step doesn't wait for the watch.
                    self.shared.fleet.borrow_mut().set_epoch(&KeyValue {
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
        self.shared.store.txn(txn).await.map(drop)
    }
}
