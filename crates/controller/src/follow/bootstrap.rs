use {
    super::{ConfigFollower, FleetFollower},
    crate::config::ConfigState,
    jasmine_core::{clock::Millis, ids::VmId},
    jasmine_store::vms::{ListedVm, VmList},
    rand::seq::IndexedRandom,
    std::{
        net::{IpAddr, SocketAddr},
        rc::Rc,
    },
    tokio::time::sleep,
};

/// Delay before each round of polling, which gives the store time to reply.
const ROUND_DELAY: Millis = Millis(1_000);

/// Most VMs polled in one round.
const MAX_PEERS_POLLED: usize = 4;

/// Loads the configuration from peers on a VM that starts during a store outage.
///
/// VMs keep no state on disk; without this a new VM would reject every request until the store is
/// available again.
#[derive(Debug)]
pub struct Bootstrap {
    /// This VM.
    pub me: VmId,
    /// Peer port used for listed VMs whose address has no port.
    pub port: u16,
    /// The platform's list of VMs.
    pub vms: VmList,
    /// The configuration to load.
    pub state: Rc<ConfigState>,
    /// Polls peers for the configuration.
    pub config: Rc<ConfigFollower>,
    /// Polls peers for the fleet.
    pub fleet: Rc<FleetFollower>,
}

impl Bootstrap {
    /// Polls listed VMs until a configuration is loaded, from them or from the store.
    pub async fn run(&self) {
        loop {
            sleep(ROUND_DELAY.to_std()).await;
            if self.state.is_loaded() {
                return;
            }
            let listed = self.vms.read().await.unwrap_or_default();
            let others: Vec<_> = listed.into_iter().filter(|vm| vm.vm != self.me).collect();
            for other in others.choose_multiple(&mut rand::rng(), MAX_PEERS_POLLED) {
                let Some(address) = self.address(other) else {
                    continue;
                };
                if self.config.poll(address, Millis::ZERO).await {
                    self.fleet.poll_address(address, 0, Millis::ZERO).await;
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
