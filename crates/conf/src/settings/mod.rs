//! Settings files of the daemons: JSON, read once, checked as a whole.
//!
//! A file that can't be used gives a [`SettingsError`] that names the file, the key, the value found
//! there and what is allowed, so that whoever wrote the file can mend it without reading code.
//! Unknown keys are refused: a misspelt key would otherwise leave its default in force unnoticed.

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
mod repeat_budget;
mod settings_error;
mod stop;
mod vm_size;

pub use {
    controller_settings::ControllerSettings,
    entry_settings::EntrySettings,
    gateway_settings::GatewaySettings,
    limits::Limits,
    listen::{Advertise, ControllerListen, EntryListen, GatewayListen},
    log_settings::{LogLevel, LogSettings},
    operators_settings::{OperatorsSettings, TokenDigest},
    platform_settings::PlatformSettings,
    read::{Checked, check_settings, parse_settings, read_settings},
    repeat_budget::RepeatBudget,
    settings_error::{Problem, SettingsError},
    stop::Stop,
    vm_size::VmSize,
};
