//! JSON settings files of the daemons, read and validated at startup.
//!
//! For an invalid setting the [`SettingsError`] names the file, the key, the value and what is allowed.
//! Unknown keys are refused, because a misspelt key would silently leave its default in force.

mod byte_settings;
mod cold_upstream_settings;
mod controller_settings;
mod entry_settings;
mod gateway_settings;
mod limits;
mod listen;
mod log_settings;
mod operators_settings;
mod platform_settings;
mod range;
mod read;
mod retry_budget_settings;
mod settings_error;
mod stop_settings;
mod vm_resources;

pub use {
    byte_settings::ByteSettings,
    cold_upstream_settings::ColdUpstreamSettings,
    controller_settings::ControllerSettings,
    entry_settings::EntrySettings,
    gateway_settings::GatewaySettings,
    limits::Limits,
    listen::{Advertise, ControllerListen, EntryListen, GatewayListen},
    log_settings::{LogLevel, LogSettings},
    operators_settings::{OperatorsSettings, TokenDigest},
    platform_settings::PlatformSettings,
    read::{Validate, check_settings, parse_settings, read_settings},
    retry_budget_settings::RetryBudgetSettings,
    settings_error::{InvalidSetting, SettingsError},
    stop_settings::StopSettings,
    vm_resources::VmResources,
};
