//! Windows over which burn is looked at, and the alerts on pairs of them.

use serde::Serialize;

/// Seconds of an hour.
const HOUR: u64 = 3_600;
/// Seconds of a day.
pub const DAY: u64 = 24 * HOUR;

/// Time over which an error budget is meant to last, in seconds: four weeks.
pub const BUDGET_SPAN: u64 = 28 * DAY;

/// Windows for which a report gives the burn: name and seconds.
pub const WINDOWS: [(&str, u64); 6] = [
    ("5m", 300),
    ("30m", 1_800),
    ("1h", HOUR),
    ("6h", 6 * HOUR),
    ("3d", 3 * DAY),
    ("28d", BUDGET_SPAN),
];

/// How urgent an alert is.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// Look at it on a working day.
    Ticket,
    /// Wake somebody.
    Page,
}

/// An alert fires when burn is at or above `rate` over both windows: the long one shows that it
/// matters, the short one that it still goes on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Alert {
    /// How urgent it is.
    pub urgency: Urgency,
    /// Long window.
    pub long: &'static str,
    /// Short window, a twelfth of the long one.
    pub short: &'static str,
    /// Burn: 1 uses up exactly the budget in its span.
    pub rate: f64,
}

/// The alerts. A burn of 14.4 over an hour uses 2% of four weeks' budget, 6 over six hours 5%,
/// 1 over three days 10%: below that a person's sleep is worth more.
pub const ALERTS: [Alert; 3] = [
    Alert { urgency: Urgency::Page, long: "1h", short: "5m", rate: 14.4 },
    Alert { urgency: Urgency::Page, long: "6h", short: "30m", rate: 6.0 },
    Alert { urgency: Urgency::Ticket, long: "3d", short: "6h", rate: 1.0 },
];
