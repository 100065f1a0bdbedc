//! Epochs of rights: what holders report, and the change from one epoch to the next.

mod epoch_keeper;
mod holdings_desk;
mod own_epoch;

pub use {epoch_keeper::EpochKeeper, holdings_desk::HoldingsDesk, own_epoch::OwnEpoch};
