use {
    super::{
        InvalidSetting,
        range::{check_float_ranges, check_range},
    },
    serde::{Deserialize, Serialize},
};

/// The minimum CPU share of a VM, in cores, to be preferred for the work done for all VMs.
const MIN_PROCESSOR_CORES: f64 = 0.2;
/// The minimum bandwidth of a VM, in megabits per second, to be preferred for the work done for all VMs.
const MIN_NETWORK_MBPS: f64 = 50.0;

/// Resources of a VM, used to choose the VMs that work for all others.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VmResources {
    /// CPU share, in cores.
    pub processor: f64,
    /// Network bandwidth, in megabits per second.
    pub network_mbps: f64,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Files, with connections, that the daemon may open; the limit of its process holds as well.
    pub files: u64,
}

impl Default for VmResources {
    /// One core, one gigabit per second, 256 MB and 65,536 files.
    fn default() -> Self {
        Self {
            processor: 1.0,
            network_mbps: 1_000.0,
            memory_mb: 256,
            files: 65_536,
        }
    }
}

impl VmResources {
    /// Checks that all values are in range.
    pub(super) fn validate(self) -> Result<(), InvalidSetting> {
        check_float_ranges(&[
            ("size.processor", self.processor, 0.001, 1_024.0),
            ("size.network_mbps", self.network_mbps, 0.001, 1e6),
        ])?;
        check_range("size.memory_mb", self.memory_mb, &(16..=16_777_216))?;
        check_range("size.files", self.files, &(256..=100_000_000))
    }

    /// Whether the VM should work for all others only if no other VM can.
    pub fn is_weak(self) -> bool {
        self.processor < MIN_PROCESSOR_CORES || self.network_mbps < MIN_NETWORK_MBPS
    }
}
