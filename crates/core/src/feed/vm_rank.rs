use xxhash_rust::xxh3::xxh3_64;

/// A VM's position in the order shared by all VMs; the lowest serves the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VmRank {
    /// Whether it has little CPU or network bandwidth; weak VMs rank last.
    is_weak: bool,
    hash: u64,
}

impl VmRank {
    /// The rank of the VM called `name`.
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
