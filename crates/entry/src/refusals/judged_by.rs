use {
    super::Rule,
    crate::store::ConfigOrigin,
    jasmine_core::{clock::Millis, error::Refusal},
    jasmine_telemetry::log::Line,
};

/// What a VM judges requests by: its configuration, and how old its view of the store is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JudgedBy {
    /// The version of the configuration; 0 without one.
    pub version: u64,
    /// Where the configuration came from.
    pub origin: Option<ConfigOrigin>,
    /// How long ago the configuration was taken.
    pub config_age: Option<Millis>,
    /// How long ago the store held no other configuration.
    pub known_age: Option<Millis>,
    /// How long ago the store held no other changes than those applied.
    pub view_age: Option<Millis>,
    /// The allowed propagation time of a change.
    pub allowed_age: Millis,
}

impl JudgedBy {
    /// The age of what is known of the configuration, in metrics: within the allowed propagation time of a change, beyond it, or unknown.
    pub fn age_class(&self) -> &'static str {
        match self.known_age {
            None => "none",
            Some(age) if age <= self.allowed_age => "current",
            Some(_) => "old",
        }
    }

    /// Adds where the configuration came from and how old it and the view are.
    #[must_use]
    pub fn add_to(
        &self,
        line: Line,
    ) -> Line {
        let line = match &self.origin {
            Some(origin) => line
                .with("config_source", &origin.source)
                .with("config_revision", origin.revision),
            None => line.with("config_source", "-").with("config_revision", 0),
        };
        line.with("config_age_ms", age_text(self.config_age))
            .with("config_known_age_ms", age_text(self.known_age))
            .with("view_age_ms", age_text(self.view_age))
    }

    /// Logs a request that this VM refuses itself.
    pub fn log_refused(
        &self,
        id: Option<&str>,
        refusal: Refusal,
        rule: &Rule,
    ) {
        let line = Line::new("request_refused")
            .with("id", id.unwrap_or("-"))
            .with("kind", refusal.kind)
            .with("config", self.version);
        self.add_to(rule.add_to(line)).info();
    }
}

/// An age in the log; `-` if it isn't known.
fn age_text(age: Option<Millis>) -> String {
    age.map_or_else(|| "-".to_owned(), |age| age.to_string())
}
