//! The report as plain text.

use std::fmt::Write;

use crate::report;
use crate::window;

/// Formats a share as a percentage, or as a dash if there is none.
pub(crate) fn format_percent(share: Option<f64>) -> String {
    share.map_or_else(|| "-".to_owned(), |share| format!("{:.2}%", share * 100.0))
}

/// Formats a burn rate, or a dash if there is none.
pub(crate) fn format_burn(burn: Option<f64>) -> String {
    burn.map_or_else(|| "-".to_owned(), |burn| format!("{burn:.1}"))
}

/// Returns the label that the report prints for an urgency.
pub(crate) fn urgency_label(urgency: window::Urgency) -> &'static str {
    match urgency {
        window::Urgency::Page => "PAGE",
        window::Urgency::Ticket => "ticket",
    }
}

/// Formats the report for a terminal, with one block for each objective.
///
/// ```
/// use lagoon_burn::{report, store, text};
/// let report = report::Report::new(&[], &store::Store::default(), 0);
/// assert!(text::render(&report).contains("no entry host was scraped"));
/// ```
pub fn render(report: &report::Report) -> String {
    let mut out = String::new();
    let _ = writeln!(out, "service-level burn at {} over {} s", report.at, report.span);
    for objective in &report.objectives {
        write_objective(&mut out, objective);
    }
    for missing in &report.missing {
        let _ = writeln!(out, "missing: {missing}");
    }
    out
}

fn write_objective(out: &mut String, objective: &report::Objective) {
    let (team, name) = (&objective.team, &objective.name);
    let _ = writeln!(out, "\n{team}/{name}: {}", objective.indicator);
    let _ = writeln!(
        out,
        "  good {} of {:.0} (promised {}), budget left {}",
        format_percent(objective.good_share),
        objective.events,
        format_percent(Some(objective.target)),
        format_percent(objective.budget_left),
    );
    let burns =
        objective.burns.iter().map(|burn| format!("{} {}", burn.window, format_burn(burn.burn)));
    let _ = writeln!(out, "  burn {}", burns.collect::<Vec<_>>().join(", "));
    for alert in &objective.alerts {
        let label = urgency_label(alert.urgency);
        let (long, short, rate) = (alert.long, alert.short, alert.rate);
        let _ = writeln!(out, "  {label}: burn at or above {rate} over {long} and {short}");
    }
    for offender in &objective.offenders {
        let share = format_percent(Some(offender.good_share));
        let (kind, name, bad) = (offender.kind, &offender.name, offender.bad);
        let _ = writeln!(out, "  {kind} {name}: {bad:.0} bad, good {share}");
    }
}
