use {
    super::Problem,
    serde::{Deserialize, Serialize},
};

/// How often requests of one service may be sent to a further upstream, over all VMs.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RepeatBudget {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats besides, in one window.
    pub slack: f64,
    /// The window, in seconds.
    pub window_s: f64,
}

impl Default for RepeatBudget {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            slack: 10.0,
            window_s: 10.0,
        }
    }
}

impl RepeatBudget {
    /// Refuses values out of range.
    pub(super) fn check(&self) -> Result<(), Problem> {
        let rows = [
            ("repeats.ratio", self.ratio, 0.0, 10.0),
            ("repeats.slack", self.slack, 0.0, 1e6),
            ("repeats.window_s", self.window_s, 0.1, 3_600.0),
        ];
        match rows
            .into_iter()
            .find(|(_, value, least, most)| !(least..=most).contains(&value))
        {
            None => Ok(()),
            Some((key, value, least, most)) => Err(Problem {
                key: key.to_owned(),
                value: value.to_string(),
                allowed: format!("between {least} and {most}"),
            }),
        }
    }
}
