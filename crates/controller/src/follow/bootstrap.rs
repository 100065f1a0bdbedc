use {
    super::{ConfigFollower, FleetFollower},
    crate::config::ConfigKeeper,
    jasmine_core::{clock::Millis, ids::VmId},
    jasmine_store::vms::{ListedVm, VmList},
    rand::seq::IndexedRandom,
    std::{
        net::{IpAddr, SocketAddr},
        rc::Rc,
    },
    tokio::time::sleep,
};

/// How long the store gets before others are asked.
const PAUSE: Millis = Millis(1_000);

/// VMs asked in one round.
const ASKED: usize = 4;

/// Gives a VM that starts while the store is out the configuration of the others.
///
/// Nothing is kept on the VM, and its balancer sends it callers soon. Without this it would refuse
/// every one of them until the store is back, and a replacement of all VMs in an outage would stop
/// the service.
#[derive(Debug)]
pub struct Bootstrap {
    /// This VM.
    pub me: VmId,
    /// The port at which controllers of this fleet listen, where the list names only IP numbers.
    pub port: u16,
    /// The platform's list of VMs.
    pub vms: VmList,
    /// What is to be filled.
    pub keeper: Rc<ConfigKeeper>,
    /// Asks for the configuration.
    pub config: Rc<ConfigFollower>,
    /// Asks for the fleet.
    pub fleet: Rc<FleetFollower>,
}

impl Bootstrap {
    /// Asks listed VMs until a configuration is in force here, from them or from the store.
    pub async fn run(&self) {
        loop {
            sleep(PAUSE.to_std()).await;
            if self.keeper.is_loaded() {
                return;
            }
            let listed = self.vms.read().await.unwrap_or_default();
            let others: Vec<_> = listed.into_iter().filter(|vm| vm.vm != self.me).collect();
            for other in others.choose_multiple(&mut rand::rng(), ASKED) {
                let Some(address) = self.address(other) else {
                    continue;
                };
                if self.config.ask(address, Millis::ZERO).await {
                    self.fleet.ask_address(address, 0, Millis::ZERO).await;
                    return;
                }
            }
        }
    }

    fn address(
        &self,
        listed: &ListedVm,
    ) -> Option<SocketAddr> {
        let text = listed.address.as_str();
        text.parse::<SocketAddr>()
            .ok()
            .or_else(|| Some(SocketAddr::new(text.parse::<IpAddr>().ok()?, self.port)))
    }
}
