use {
    jasmine_conf::settings::SettingsError,
    jasmine_telemetry::{log::LogError, metrics::MetricsError},
    std::{io, net::SocketAddr},
};

/// Why the daemon could not start.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error, derive_more::From)]
pub enum StartError {
    /// The settings file is not in order.
    Settings(SettingsError),
    /// Logging could not be set up.
    Log(LogError),
    /// Metrics could not be set up.
    Metrics(MetricsError),
    /// An address could not be listened at.
    #[display("can't listen at {address}: {source}")]
    #[from(ignore)]
    Listen {
        /// The address of the settings.
        address: SocketAddr,
        /// Why not.
        source: io::Error,
    },
    /// The system refused something else.
    Io(io::Error),
}
