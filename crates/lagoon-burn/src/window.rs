//! Windows over which burn rates are computed, and the multi-window alerts on them.

use serde::Serialize;

/// One hour, in seconds.
const HOUR_SECONDS: u64 = 3_600;
/// One day, in seconds.
pub const DAY_SECONDS: u64 = 24 * HOUR_SECONDS;

/// Time that an error budget covers, in seconds: four weeks.
pub const BUDGET_SECONDS: u64 = 28 * DAY_SECONDS;

/// Windows for which a report gives the burn rate: name and length in seconds. The last one must be
/// that of the budget, since the report computes the remaining budget from it.
pub const WINDOWS: [(&str, u64); 6] = [
    ("5m", 300),
    ("30m", 1_800),
    ("1h", HOUR_SECONDS),
    ("6h", 6 * HOUR_SECONDS),
    ("3d", 3 * DAY_SECONDS),
    ("28d", BUDGET_SECONDS),
];

/// How urgent an alert is.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// To be handled on a working day.
    Ticket,
    /// Pages the person on call.
    Page,
}

/// Rule of an alert. The alert fires when the burn rate is at or above `rate` over both windows.
/// The long window shows that the loss is significant, the short one that it is still going on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AlertRule {
    /// Urgency of the alert.
    pub urgency: Urgency,
    /// Name of the long window.
    pub long: &'static str,
    /// Name of the short window, a twelfth of the long one.
    pub short: &'static str,
    /// Burn rate at or above which the alert fires. A burn rate of 1 uses up exactly the whole
    /// budget within [`BUDGET_SECONDS`].
    pub rate: f64,
}

/// Rules of all alerts. A burn rate of 14.4 over one hour uses about 2% of the four weeks' budget,
/// 6 over six hours about 5%, 1 over three days about 10% (these are the exact shares of a 30-day
/// budget). A smaller loss does not justify waking or interrupting a person.
pub const ALERT_RULES: [AlertRule; 3] = [
    AlertRule { urgency: Urgency::Page, long: "1h", short: "5m", rate: 14.4 },
    AlertRule { urgency: Urgency::Page, long: "6h", short: "30m", rate: 6.0 },
    AlertRule { urgency: Urgency::Ticket, long: "3d", short: "6h", rate: 1.0 },
];
