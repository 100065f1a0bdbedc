use {
    opentelemetry::metrics::{Meter, MeterProvider},
    opentelemetry_sdk::{error::OTelSdkError, metrics::SdkMeterProvider},
    prometheus::{Encoder, Registry, TextEncoder},
};

/// Why metrics can't be set up or exported.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error, derive_more::From)]
pub enum MetricsError {
    /// The exporter could not be set up.
    #[display("failed to set up metrics: {_0}")]
    Setup(OTelSdkError),
    /// The metrics could not be encoded.
    #[display("failed to encode the metrics page: {_0}")]
    Page(prometheus::Error),
}

/// The metrics of one daemon.
#[derive(Clone, Debug)]
pub struct Metrics {
    provider: SdkMeterProvider,
    registry: Registry,
}

impl Metrics {
    /// Creates an empty registry with its exporter.
    ///
    /// # Errors
    ///
    /// [`MetricsError::Setup`] if the exporter can't be registered.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { provider, registry })
    }

    /// The meter that creates instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter("jasminespan")
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// [`MetricsError::Page`] if a metric can't be encoded.
    pub fn page(&self) -> Result<String, MetricsError> {
        let mut buf = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buf)?;
        Ok(String::from_utf8_lossy(&buf).into_owned())
    }
}
