use {
    jasmine_conf::settings::SettingsError,
    jasmine_telemetry::{log::LogError, metrics::MetricsError},
    std::{io, net::SocketAddr},
};

/// Error that prevents the daemon from starting.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error, derive_more::From)]
pub enum StartError {
    /// The settings file is missing or invalid.
    Settings(SettingsError),
    /// Logging setup failed.
    Log(LogError),
    /// Metrics setup failed.
    Metrics(MetricsError),
    /// A listener could not be bound.
    #[display("can't listen on {address}: {source}")]
    #[from(ignore)]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the bind call.
        source: io::Error,
    },
    /// Another I/O error.
    Io(io::Error),
}
