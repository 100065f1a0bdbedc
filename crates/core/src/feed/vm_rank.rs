use xxhash_rust::xxh3::xxh3_64;

/// A VM's place in the order that all VMs agree on; the lowest serves the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VmRank {
    /// VMs with little processor or a narrow network come last.
    is_weak: bool,
    hash: u64,
}

impl VmRank {
    /// The rank of the VM of this name.
    pub fn new(
        name: &str,
        is_weak: bool,
    ) -> Self {
        Self {
            is_weak,
            hash: xxh3_64(name.as_bytes()),
        }
    }
}
