use {
    crate::{
        clock::OwnClock, config::ConfigKeeper, fleet::FleetMirror, follow::Duty, peers::PeerLinks,
    },
    jasmine_core::ids::Holder,
    jasmine_store::{etcd::StoreConnectivity, store::Store},
    std::{cell::RefCell, rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// How often a watcher looks whether it is still one.
const DUTY_CHECK: Duration = Duration::from_secs(1);

/// Handles to what nearly every part of the controller needs.
#[derive(Clone)]
pub struct SharedParts {
    /// This run of this daemon.
    pub me: Holder,
    /// The name of the data centre that it stands in.
    pub data_centre: Rc<str>,
    /// This process's clock.
    pub clock: OwnClock,
    /// The platform's key-value service.
    pub store: Rc<dyn Store>,
    /// Whether the service answers.
    pub connectivity: StoreConnectivity,
    /// The fleet as the store tells it.
    pub fleet: Rc<RefCell<FleetMirror>>,
    /// The configuration in force.
    pub config: Rc<ConfigKeeper>,
    /// Links to other controllers.
    pub links: Rc<PeerLinks>,
}

impl SharedParts {
    /// Who watches the store in this data centre, as far as is known here.
    pub fn duty(&self) -> Duty {
        Duty::among(&self.data_centre, self.fleet.borrow().members.values())
    }

    /// Ends once this VM need not watch, and not just for a moment.
    pub async fn off_duty(&self) {
        loop {
            sleep(DUTY_CHECK).await;
            if !self.duty().is_watcher(self.me.vm) {
                sleep(DUTY_CHECK).await;
                if !self.duty().is_watcher(self.me.vm) {
                    return;
                }
            }
        }
    }
}

impl std::fmt::Debug for SharedParts {
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
