const SECS_PER_DAY: u64 = 86_400;

/// Formats Unix time in milliseconds as UTC, such as `2026-12-02 23:59:59`.
pub fn utc(unix_ms: u64) -> String {
    let secs = unix_ms / 1000;
    let (year, month, day) = date(secs / SECS_PER_DAY);
    let rest = secs % SECS_PER_DAY;
    let (hour, minute, second) = (rest / 3600, rest / 60 % 60, rest % 60);
    format!("{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02}")
}

/// Converts days since 1970-01-01 to a Gregorian year, month and day.
///
/// Counts years from March, so that the leap day is the last day of the year.
const fn date(days: u64) -> (u64, u64, u64) {
    let days = days + 719_468;
    let era = days / 146_097;
    let of_era = days % 146_097;
    let year_of_era = (of_era - of_era / 1_460 + of_era / 36_524 - of_era / 146_096) / 365;
    let of_year = of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let from_march = (5 * of_year + 2) / 153;
    let day = of_year - (153 * from_march + 2) / 5 + 1;
    let month = if from_march < 10 {
        from_march + 3
    } else {
        from_march - 9
    };
    let year = year_of_era + era * 400;
    (if month <= 2 { year + 1 } else { year }, month, day)
}
