use {
    super::{InvalidSetting, range::check_range},
    serde::{Deserialize, Serialize},
};

/// The most that a VM holds by default, in megabytes.
///
/// A daemon is to stay below 128 MB, with what it holds for the store and for control.
const MAX_DEFAULT_VM_MB: u64 = 64;

/// The budgets for bytes of requests and answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ByteSettings {
    /// What the VM holds, in megabytes; half of its memory if unset, at most [`MAX_DEFAULT_VM_MB`].
    pub vm_mb: Option<u64>,
    /// What one upstream holds of requests of all VMs, in kilobytes; 0 for no limit.
    pub upstream_kb: u64,
    /// What the VM holds of one exchange, in kilobytes.
    pub exchange_kb: u64,
}

impl Default for ByteSettings {
    fn default() -> Self {
        Self {
            vm_mb: None,
            upstream_kb: 0,
            exchange_kb: 16_384,
        }
    }
}

impl ByteSettings {
    /// Checks that all values are in range.
    pub(super) fn validate(self) -> Result<(), InvalidSetting> {
        if let Some(vm_mb) = self.vm_mb {
            check_range("bytes.vm_mb", vm_mb, &(1..=16_777_216))?;
        }
        check_range("bytes.upstream_kb", self.upstream_kb, &(0..=4_294_967_295))?;
        check_range("bytes.exchange_kb", self.exchange_kb, &(64..=16_384))
    }

    /// Bytes that a VM with so much memory holds.
    pub fn vm_bytes(
        self,
        memory_mb: u64,
    ) -> u64 {
        let default = (memory_mb / 2).min(MAX_DEFAULT_VM_MB);
        self.vm_mb.unwrap_or(default) << 20
    }

    /// Bytes of requests that one upstream holds; 0 for no limit.
    pub const fn upstream_bytes(self) -> u64 {
        self.upstream_kb << 10
    }

    /// Bytes that the VM holds of one exchange.
    pub const fn exchange_bytes(self) -> u64 {
        self.exchange_kb << 10
    }
}
