use {
    opentelemetry::metrics::{Meter, MeterProvider},
    opentelemetry_sdk::{error::OTelSdkError, metrics::SdkMeterProvider},
    prometheus::{Encoder, Registry, TextEncoder},
};

/// Why metrics can't be gathered.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error, derive_more::From)]
pub enum MetricsError {
    /// The exporter could not be set up.
    #[display("metrics can't be set up: {_0}")]
    Setup(OTelSdkError),
    /// The page could not be written.
    #[display("the metrics page can't be written: {_0}")]
    Page(prometheus::Error),
}

/// The metrics of one daemon.
#[derive(Clone, Debug)]
pub struct Metrics {
    provider: SdkMeterProvider,
    registry: Registry,
}

impl Metrics {
    /// Sets up an empty set of metrics.
    ///
    /// # Errors
    ///
    /// [`MetricsError::Setup`] when the exporter can't be registered.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { provider, registry })
    }

    /// What instruments are made from.
    pub fn meter(&self) -> Meter {
        self.provider.meter("jasminespan")
    }

    /// The page that Prometheus reads, in its text format.
    ///
    /// # Errors
    ///
    /// [`MetricsError::Page`] when a metric can't be written as text.
    pub fn page(&self) -> Result<String, MetricsError> {
        let mut buf = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buf)?;
        Ok(String::from_utf8_lossy(&buf).into_owned())
    }
}
