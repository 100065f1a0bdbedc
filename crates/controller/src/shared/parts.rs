use {
    crate::{clock::OwnClock, config::ConfigKeeper, fleet::FleetMirror, peers::PeerLinks},
    jasmine_core::ids::Holder,
    jasmine_platform::store::Store,
    std::{cell::RefCell, rc::Rc},
};

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
    /// The fleet as the store tells it.
    pub fleet: Rc<RefCell<FleetMirror>>,
    /// The configuration in force.
    pub config: Rc<ConfigKeeper>,
    /// Links to other controllers.
    pub links: Rc<PeerLinks>,
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
