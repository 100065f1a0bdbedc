//! Tracks changes in the store: a few VMs watch it, the others poll these.

mod bootstrap;
mod config_follower;
mod fleet_follower;
mod store_watch;
mod watcher_set;

pub use {
    bootstrap::Bootstrap,
    config_follower::ConfigFollower,
    fleet_follower::FleetFollower,
    store_watch::{StoreWatch, WATCH_LIFETIME, WatchEnd},
    watcher_set::{WATCHERS_PER_DATA_CENTRE, WatcherSet},
};
