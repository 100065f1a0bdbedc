//! What the log of a VM says about its requests and its configurations.

use std::{
    collections::HashMap,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

const MS_PER_DAY: u64 = 24 * 60 * 60 * 1_000;

/// The log of a VM, over all its processes.
#[derive(Debug, Default)]
pub struct VmLog {
    /// The lines of each request.
    requests: HashMap<String, Vec<String>>,
    configs_taken: Vec<(u64, Instant)>,
    pub panics: Vec<String>,
}

impl VmLog {
    pub fn read(text: &str) -> Self {
        let mut log = Self::default();
        let now = (Instant::now(), SystemTime::now());
        for line in text.lines() {
            if let Some(id) = field(line, "id") {
                let lines = log.requests.entry(id.to_owned()).or_default();
                lines.push(line.to_owned());
            }
            match field(line, "event") {
                Some("config_taken") => {
                    let version = field(line, "version").and_then(|version| version.parse().ok());
                    let at = time(line, now);
                    log.configs_taken.extend(version.zip(at));
                }
                Some("answer_incomplete") if field(line, "reason") == Some("panicked") => {
                    log.panics.push(line.to_owned());
                }
                _ => {}
            }
        }
        log
    }

    /// The lines about a request.
    pub fn of(
        &self,
        id: &str,
    ) -> &[String] {
        self.requests.get(id).map_or(&[], Vec::as_slice)
    }

    /// The versions of the configuration that were taken, and when.
    pub fn configs_taken(&self) -> impl Iterator<Item = (u64, Instant)> {
        self.configs_taken.iter().copied()
    }
}

/// The value of a key in a line.
pub fn field<'a>(
    line: &'a str,
    key: &str,
) -> Option<&'a str> {
    let mut words = line.split(' ');
    words.find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
}

/// When a line of this day was written.
fn time(
    line: &str,
    (now, now_utc): (Instant, SystemTime),
) -> Option<Instant> {
    let (_, of_day) = field(line, "time")?.split_once('T')?;
    let mut parts = of_day.trim_end_matches('Z').split([':', '.']);
    let mut next = || parts.next()?.parse::<u64>().ok();
    let (hours, minutes, secs, ms) = (next()?, next()?, next()?, next()?);
    let written_ms = ((hours * 60 + minutes) * 60 + secs) * 1_000 + ms;
    let now_ms = now_utc.duration_since(UNIX_EPOCH).ok()?.as_millis() as u64 % MS_PER_DAY;
    let age_ms = (now_ms + MS_PER_DAY - written_ms) % MS_PER_DAY;
    now.checked_sub(Duration::from_millis(age_ms))
}
