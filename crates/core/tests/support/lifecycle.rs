use {
    super::{
        Fleet,
        daemon::Daemon,
        fleet::{MAX_LIST_LAG, Vm},
    },
    jasmine_core::{
        clock::Millis,
        ids::{Holder, Role, VmId},
        membership::{EpochMachine, MembershipSettings, ReleasedRecord, StoreView},
    },
    std::collections::VecDeque,
};

impl Fleet {
    pub(super) fn start(
        &mut self,
        vm: VmId,
    ) {
        if self.vms.contains_key(&vm) {
            return;
        }
        let run = self.last_run.entry(vm).or_default();
        *run = run.next();
        let incarnation = *run;
        let daemon = |role| {
            Daemon::new(
                Holder {
                    vm,
                    role,
                    incarnation,
                },
                self.settings,
            )
        };
        let settings = MembershipSettings {
            list_lag: MAX_LIST_LAG,
            max_epoch_interval: Millis::from_secs(30),
            ..MembershipSettings::default()
        };
        let started = Vm {
            frozen: false,
            revision: 0,
            daemons: [daemon(Role::Gateway), daemon(Role::Controller)],
            machine: EpochMachine::new(vm, settings),
            view: StoreView::default(),
            to_write: VecDeque::new(),
        };
        self.vms.insert(vm, started);
        self.configure(vm);
    }

    pub(super) fn stop(
        &mut self,
        vm: VmId,
    ) {
        let Some(mut left) = self.vms.remove(&vm) else {
            return;
        };
        for daemon in &mut left.daemons {
            let rights = daemon.ledger.release_all(self.now);
            let holder = daemon.holder;
            if self.store.up && !left.frozen {
                self.store.release(ReleasedRecord { holder, rights });
            }
        }
        if self.store.up {
            self.store.revoke(vm);
        }
    }

    pub(super) fn set_frozen(
        &mut self,
        vm: VmId,
        frozen: bool,
    ) {
        if let Some(vm) = self.vms.get_mut(&vm) {
            vm.frozen = frozen;
        }
    }

    pub(super) fn update_list(&mut self) {
        self.store.listed = self.vms.keys().copied().collect();
        self.unlisted.clear();
    }

    pub(super) fn omit_from_list(
        &mut self,
        vm: VmId,
    ) {
        let until = self.now + Millis(12_000);
        let live = self.store.read(self.now).live;
        if live.iter().any(|live| live.vm == vm) {
            self.store.listed.remove(&vm);
            self.unlisted.insert(vm, until);
        }
    }
}
