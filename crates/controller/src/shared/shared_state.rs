use {
    crate::{
        clock::MonotonicClock, config::ConfigState, fleet::FleetMirror, follow::WatcherSet,
        peers::PeerLinks,
    },
    jasmine_core::ids::Holder,
    jasmine_store::{etcd::StoreConnectivity, store::Store},
    std::{cell::RefCell, rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// Interval at which a watcher checks whether it still has to watch.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// State and handles shared by the components of the controller.
#[derive(Clone)]
pub struct SharedState {
    /// Identity of this daemon, with the incarnation of this run.
    pub me: Holder,
    /// Data centre of this VM.
    pub data_centre: Rc<str>,
    /// Monotonic clock of this process.
    pub clock: MonotonicClock,
    /// Client of the platform's key-value service.
    pub store: Rc<dyn Store>,
    /// Connectivity of the key-value service.
    pub connectivity: StoreConnectivity,
    /// Local copy of the fleet records in the store.
    pub fleet: Rc<RefCell<FleetMirror>>,
    /// Current configuration.
    pub config: Rc<ConfigState>,
    /// Connections to other controllers.
    pub links: Rc<PeerLinks>,
}

impl SharedState {
    /// Selects the controllers that watch the store in this data centre.
    pub fn watchers(&self) -> WatcherSet {
        WatcherSet::select(&self.data_centre, self.fleet.borrow().members.values())
    }

    /// Completes once two consecutive checks find that this VM is not a watcher.
    pub async fn stopped_watching(&self) {
        loop {
            sleep(WATCHER_CHECK_INTERVAL).await;
            if !self.watchers().is_watcher(self.me.vm) {
                sleep(WATCHER_CHECK_INTERVAL).await;
                if !self.watchers().is_watcher(self.me.vm) {
                    return;
                }
            }
        }
    }
}

impl std::fmt::Debug for SharedState {
    fn fmt(
        &self,
        f: &mut std::fmt::Formatter<'_>,
    ) -> std::fmt::Result {
        f.debug_struct("SharedParts")
            .field("me", &self.me)
            .field("data_centre", &self.data_centre)
            .finish_non_exhaustive()
    }
}
