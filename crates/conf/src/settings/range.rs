use {super::InvalidSetting, std::ops::RangeInclusive};

/// Checks that a number is in the `allowed` range.
pub(super) fn check_range(
    key: &str,
    value: u64,
    allowed: &RangeInclusive<u64>,
) -> Result<(), InvalidSetting> {
    if allowed.contains(&value) {
        return Ok(());
    }
    Err(InvalidSetting {
        key: key.to_owned(),
        value: value.to_string(),
        allowed: format!("{} to {}", allowed.start(), allowed.end()),
    })
}

/// Checks rows of key, value, minimum and maximum; returns the first violation.
pub(super) fn check_float_ranges(rows: &[(&str, f64, f64, f64)]) -> Result<(), InvalidSetting> {
    let outside = rows
        .iter()
        .find(|(_, value, min, max)| !(min..=max).contains(&value));
    match outside {
        None => Ok(()),
        Some((key, value, min, max)) => Err(InvalidSetting {
            key: (*key).to_owned(),
            value: value.to_string(),
            allowed: format!("between {min} and {max}"),
        }),
    }
}

/// Checks that a base URL has the `http://` scheme and a host, and does not end in a slash.
pub(super) fn check_base_url(
    key: &str,
    value: &str,
) -> Result<(), InvalidSetting> {
    let host = value.strip_prefix("http://").unwrap_or_default();
    if !host.is_empty() && !host.ends_with('/') && !host.contains(char::is_whitespace) {
        return Ok(());
    }
    Err(InvalidSetting {
        key: key.to_owned(),
        value: format!("{value:?}"),
        allowed: "an address such as \"http://10.0.0.1:2379\", without a slash at the end"
            .to_owned(),
    })
}
