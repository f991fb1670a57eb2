//! Days as people write them, in UTC.

/// Days from the Unix epoch of `YYYY-MM-DD`; `None` for another text or a day that is none.
pub(crate) fn parse(text: &str) -> Option<u64> {
    let mut parts = text.splitn(3, '-').map(str::parse::<u64>);
    let (year, month, day) = (parts.next()?.ok()?, parts.next()?.ok()?, parts.next()?.ok()?);
    if !(1970..=9999).contains(&year) || !(1..=12).contains(&month) || !(1..=31).contains(&day) {
        return None;
    }
    let days = days_before(year, month) + day - 1;
    (print(days) == format!("{year:04}-{month:02}-{day:02}")).then_some(days)
}

/// The day that is so many days from the Unix epoch.
pub(crate) fn print(days: u64) -> String {
    // No year is longer than 366 days, so the guess is never too high.
    let mut year = 1970 + days / 366;
    while days_before(year + 1, 1) <= days {
        year += 1;
    }
    let month = (1..=12).rev().find(|month| days_before(year, *month) <= days).unwrap_or(1);
    format!("{year:04}-{month:02}-{:02}", days - days_before(year, month) + 1)
}

/// Days from the Unix epoch to the first of a month.
fn days_before(year: u64, month: u64) -> u64 {
    const BEFORE_MONTH: [u64; 12] = [0, 31, 59, 90, 120, 151, 181, 212, 243, 273, 304, 334];
    let leaps = |years: u64| years / 4 - years / 100 + years / 400;
    let is_leap = leaps(year) > leaps(year - 1);
    let leap_day = u64::from(is_leap && month > 2);
    (year - 1970) * 365 + leaps(year - 1) - leaps(1969)
        + BEFORE_MONTH[month as usize - 1]
        + leap_day
}
