//! Epochs of rights: reports of holders and the transition from one epoch to the next.

mod epoch_follower;
mod epoch_manager;
mod epoch_write;
mod holdings_writer;

pub use {
    epoch_follower::EpochFollower, epoch_manager::EpochManager, epoch_write::epoch_write,
    holdings_writer::HoldingsWriter,
};
