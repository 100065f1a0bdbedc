//! Following what changes: by watches of the store on a few VMs, by their word on the others.

mod bootstrap;
mod config_follower;
mod duty;
mod fleet_follower;
mod store_watch;

pub use {
    bootstrap::Bootstrap,
    config_follower::ConfigFollower,
    duty::{Duty, WATCHERS},
    fleet_follower::FleetFollower,
    store_watch::{REPLACED_AFTER, StoreWatch, WatchEnd},
};
