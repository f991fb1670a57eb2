//! Conversion between `YYYY-MM-DD` dates in UTC and days since the Unix epoch.

/// Parses `YYYY-MM-DD` to days since the Unix epoch. `None` if the text is not three numbers
/// separated by `-`, the year is not within 1970 to 9999, or the day does not exist. A number may
/// have any count of digits and a leading `+`.
pub(crate) fn parse(text: &str) -> Option<u64> {
    let mut parts = text.splitn(3, '-').map(str::parse::<u64>);
    let (year, month, day) = (parts.next()?.ok()?, parts.next()?.ok()?, parts.next()?.ok()?);
    if !(1970..=9999).contains(&year) || !(1..=12).contains(&month) || !(1..=31).contains(&day) {
        return None;
    }
    let days = days_to_month(year, month) + day - 1;
    // A day that its month does not have, such as 30 February, is formatted as a day of the next
    // month.
    (format(days) == format!("{year:04}-{month:02}-{day:02}")).then_some(days)
}

/// Formats days since the Unix epoch as `YYYY-MM-DD`.
pub(crate) fn format(days: u64) -> String {
    // No year is longer than 366 days, so this estimate is never too high.
    let mut year = 1970 + days / 366;
    while days_to_month(year + 1, 1) <= days {
        year += 1;
    }
    let month = (1..=12).rev().find(|month| days_to_month(year, *month) <= days).unwrap_or(1);
    format!("{year:04}-{month:02}-{:02}", days - days_to_month(year, month) + 1)
}

/// Returns the days from the Unix epoch to the first day of a month.
fn days_to_month(year: u64, month: u64) -> u64 {
    const DAYS_BEFORE_MONTH: [u64; 12] = [0, 31, 59, 90, 120, 151, 181, 212, 243, 273, 304, 334];
    let leap_years_up_to = |years: u64| years / 4 - years / 100 + years / 400;
    let is_leap = leap_years_up_to(year) > leap_years_up_to(year - 1);
    let leap_day = u64::from(is_leap && month > 2);
    (year - 1970) * 365 + leap_years_up_to(year - 1) - leap_years_up_to(1969)
        + DAYS_BEFORE_MONTH[month as usize - 1]
        + leap_day
}
