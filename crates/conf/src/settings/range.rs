use {super::Problem, std::ops::RangeInclusive};

/// Refuses a number outside of `allowed`.
pub(super) fn within(
    key: &str,
    value: u64,
    allowed: &RangeInclusive<u64>,
) -> Result<(), Problem> {
    if allowed.contains(&value) {
        return Ok(());
    }
    Err(Problem {
        key: key.to_owned(),
        value: value.to_string(),
        allowed: format!("{} to {}", allowed.start(), allowed.end()),
    })
}

/// Refuses the first of these numbers that is outside of its range.
pub(super) fn all_between(rows: &[(&str, f64, f64, f64)]) -> Result<(), Problem> {
    let outside = rows
        .iter()
        .find(|(_, value, least, most)| !(least..=most).contains(&value));
    match outside {
        None => Ok(()),
        Some((key, value, least, most)) => Err(Problem {
            key: (*key).to_owned(),
            value: value.to_string(),
            allowed: format!("between {least} and {most}"),
        }),
    }
}

/// Refuses a base URL that has no `http://` scheme or ends in a slash.
pub(super) fn base_url(
    key: &str,
    value: &str,
) -> Result<(), Problem> {
    let host = value.strip_prefix("http://").unwrap_or_default();
    if !host.is_empty() && !host.ends_with('/') && !host.contains(char::is_whitespace) {
        return Ok(());
    }
    Err(Problem {
        key: key.to_owned(),
        value: format!("{value:?}"),
        allowed: "an address such as \"http://10.0.0.1:2379\", without a slash at the end"
            .to_owned(),
    })
}
