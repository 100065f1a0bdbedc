use {
    crate::ids::{AccountId, Holder},
    xxhash_rust::xxh3::xxh3_64,
};

/// The place of a holder among the homes of an account, the lowest first (rendezvous hashing).
///
/// Grants go to the first few, and whoever needs rights asks them first; so all agree on where to
/// look without telling each other, and a change of membership moves few homes.
pub fn home_rank(
    account: AccountId,
    holder: Holder,
) -> u64 {
    let mut buf = [0; 16];
    buf[..4].copy_from_slice(&account.0.to_le_bytes());
    buf[4..8].copy_from_slice(&holder.vm.0.to_le_bytes());
    buf[8..].copy_from_slice(&holder.incarnation.0.to_le_bytes());
    xxh3_64(&buf)
}
