use crate::ids::{Epoch, Holder, Role};

/// Key of the epoch record in the platform's store.
pub const EPOCH_KEY: &str = "/jasmine/epoch";

/// Prefix of the keys of all reports of holdings.
pub const HOLDINGS_PREFIX: &str = "/jasmine/holdings/";

/// Prefix of the keys of the final releases of stopped holders.
pub const RELEASED_PREFIX: &str = "/jasmine/released/";

/// Prefix of the keys of the reports for one epoch; keys sort by epoch.
pub fn holdings_prefix(epoch: Epoch) -> String {
    format!("{HOLDINGS_PREFIX}{:020}/", epoch.0)
}

/// Key of one holder's report for one epoch; created once and never overwritten.
pub fn holdings_key(
    epoch: Epoch,
    holder: Holder,
) -> String {
    format!("{}{}", holdings_prefix(epoch), holder_part(holder))
}

/// Key of the final release of a stopped holder.
pub fn released_key(holder: Holder) -> String {
    format!("{RELEASED_PREFIX}{}", holder_part(holder))
}

fn holder_part(holder: Holder) -> String {
    let role = match holder.role {
        Role::Gateway => "gateway",
        Role::Controller => "controller",
    };
    format!("{role}-{}-{}", holder.vm, holder.incarnation)
}
