//! From whom a VM learns of changes in the store.
//!
//! Each call to the store has its price and its service a rate, both of which grow more slowly than the fleet. Followed
//! by every VM, the store was asked some hundred times a second by eighty of them, most of it for the same changes. So
//! one VM of each data centre follows the store, and the others follow that VM. Nobody assigns it: all VMs of
//! a data centre agree on an order of themselves, and each follows the first in it that serves.
//!
//! What can go wrong is that the VM that is followed loses the store, and with it all others their changes, though
//! they reach the store themselves. It notices by the age of the store's last answer and says so, and whoever
//! followed it asks the next one or the store.

mod recent_changes;
mod source_choice;
mod vm_rank;

pub use {
    recent_changes::{Change, MAX_MINOR, RecentChanges, Since},
    source_choice::{Source, SourceChoice, SourceFailure},
    vm_rank::VmRank,
};
