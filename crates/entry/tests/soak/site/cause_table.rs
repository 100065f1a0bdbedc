use std::{collections::BTreeMap, fmt};

/// Most violations that are reported of a cause.
const MAX_REPORTED: usize = 3;

/// Requests without an answer, by cause.
#[derive(Debug, Default)]
pub struct CauseTable {
    excused: BTreeMap<String, usize>,
    unexplained: BTreeMap<String, Vec<String>>,
}

impl CauseTable {
    pub fn excuse(
        &mut self,
        cause: &str,
    ) {
        *self.excused.entry(cause.to_owned()).or_default() += 1;
    }

    /// Adds a request without an excuse, as described.
    pub fn accuse(
        &mut self,
        cause: String,
        description: String,
    ) {
        self.unexplained.entry(cause).or_default().push(description);
    }

    pub fn reported(self) -> Vec<String> {
        let of_causes = self.unexplained.into_iter();
        of_causes
            .flat_map(|(cause, of)| {
                let reported = of.into_iter().take(MAX_REPORTED);
                reported.map(move |one| format!("{cause}: {one}"))
            })
            .collect()
    }
}

impl fmt::Display for CauseTable {
    fn fmt(
        &self,
        f: &mut fmt::Formatter<'_>,
    ) -> fmt::Result {
        for (cause, count) in &self.excused {
            writeln!(f, "{count:5}  excused: {cause}")?;
        }
        for (cause, of) in &self.unexplained {
            writeln!(f, "{:5}  UNEXPLAINED: {cause}", of.len())?;
        }
        Ok(())
    }
}
