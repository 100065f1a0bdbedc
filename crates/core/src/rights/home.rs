use {
    crate::ids::{AccountId, Holder},
    xxhash_rust::xxh3::xxh3_64,
};

/// Rank of a holder among the home holders of an account, lowest first (rendezvous hashing).
///
/// Grants go to the holders with the lowest ranks, and these are asked first. All holders compute
/// the same order, and a membership change moves few accounts.
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
