//! Epochs of rights: reports of holders and the transition from one epoch to the next.

mod epoch_keeper;
mod epoch_write;
mod holdings_desk;
mod own_epoch;

pub use {
    epoch_keeper::EpochKeeper, epoch_write::epoch_write, holdings_desk::HoldingsDesk,
    own_epoch::OwnEpoch,
};
