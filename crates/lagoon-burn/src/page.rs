//! The report as one self-contained HTML page.

use std::fmt::Write;

use crate::plot;
use crate::report;
use crate::text;

/// Style sheet of the HTML page. The classes `page` and `ticket` style the urgency of an alert:
/// the class is the label of the urgency in lower case.
const STYLE: &str = "body{font:15px/1.45 system-ui,sans-serif;max-width:800px;margin:24px auto;\
color:#222;padding:0 12px}h1{font-size:22px;margin-bottom:0}h2{font-size:17px;margin:28px 0 4px}\
table{border-collapse:collapse;width:100%}td,th{text-align:right;padding:4px 8px;\
border-bottom:1px solid #ddd;font-variant-numeric:tabular-nums}td:first-child,th:first-child\
{text-align:left}.bar{background:#eee;height:10px;width:120px;display:inline-block}\
.bar i{display:block;height:10px;background:#009e73}.bar i.low{background:#d55e00}\
.page{background:#d55e00;color:#fff;padding:1px 7px;border-radius:3px}\
.ticket{background:#e69f00;padding:1px 7px;border-radius:3px}.note{color:#666}\
svg{max-width:100%;height:auto}";

/// Formats the report as an HTML page.
///
/// ```
/// use lagoon_burn::{page, report, store};
/// let report = report::Report::new(&[], &store::Store::default(), 0);
/// assert!(page::render(&report).starts_with("<!doctype html>"));
/// ```
pub fn render(report: &report::Report) -> String {
    let mut out = String::new();
    let _ = write!(
        out,
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">\
         <meta name=\"viewport\" content=\"width=device-width\"><title>Service-level burn</title>\
         <style>{STYLE}</style><h1>Service-level burn</h1><p class=\"note\">{} of scrapes, \
         up to {}</p>",
        format_hours(report.span),
        format_date(report.at),
    );
    write_alerts(&mut out, report);
    write_table(&mut out, report);
    let plots = [
        ("Burn over time (the line at 1 uses up exactly the budget)", plot::draw_burns(report)),
        ("Time to first token by prompt length", plot::draw_first_tokens(report)),
    ];
    for (title, svg) in plots {
        let _ = write!(out, "<h2>{title}</h2>");
        out.push_str(svg.as_deref().unwrap_or("<p class=\"note\">No events.</p>"));
    }
    write_offenders(&mut out, report);
    write_missing(&mut out, report);
    out.push_str("</html>\n");
    out
}

fn format_hours(seconds: u64) -> String {
    format!("{:.1} h", seconds as f64 / 3_600.0)
}

fn format_date(timestamp: u64) -> String {
    let date = i64::try_from(timestamp).ok().and_then(|s| chrono::DateTime::from_timestamp(s, 0));
    date.map_or_else(|| timestamp.to_string(), |date| date.format("%Y-%m-%d %H:%M UTC").to_string())
}

/// Escapes a text for HTML. Teams choose the names of objectives, so names may contain markup.
pub(crate) fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

fn write_alerts(out: &mut String, report: &report::Report) {
    let mut any = false;
    for objective in &report.objectives {
        for alert in &objective.alerts {
            any = true;
            let label = text::urgency_label(alert.urgency);
            let _ = write!(
                out,
                "<p><span class=\"{}\">{label}</span> <b>{}/{}</b>: burn at or above {} over both \
                 {} and {}</p>",
                label.to_lowercase(),
                escape_html(&objective.team),
                escape_html(&objective.name),
                alert.rate,
                alert.long,
                alert.short,
            );
        }
    }
    if !any {
        out.push_str("<p>No alert fires.</p>");
    }
}

fn write_table(out: &mut String, report: &report::Report) {
    out.push_str("<h2>Objectives</h2><table><tr><th>objective<th>good<th>promised<th>budget left");
    // The long windows of the alerts.
    for window in ["1h", "6h", "3d"] {
        let _ = write!(out, "<th>burn {window}");
    }
    for objective in &report.objectives {
        let left = objective.budget_left;
        let width = left.unwrap_or(0.0).clamp(0.0, 1.0) * 100.0;
        // The bar changes colour when less than a quarter of the budget is left.
        let low = if width < 25.0 { " class=\"low\"" } else { "" };
        let _ = write!(
            out,
            "<tr><td><b>{}/{}</b><br><span class=\"note\">{}; {:.0} events</span><td>{}<td>{}\
             <td><span class=\"bar\"><i{low} style=\"width:{width:.0}%\"></i></span><br>{}",
            escape_html(&objective.team),
            escape_html(&objective.name),
            escape_html(&objective.indicator),
            objective.events,
            text::format_percent(objective.good_share),
            text::format_percent(Some(objective.target)),
            text::format_percent(left),
        );
        for window in ["1h", "6h", "3d"] {
            let burn = objective.burns.iter().find(|burn| burn.window == window);
            let _ = write!(out, "<td>{}", text::format_burn(burn.and_then(|burn| burn.burn)));
        }
    }
    out.push_str("</table>");
}

fn write_offenders(out: &mut String, report: &report::Report) {
    out.push_str("<h2>Where it went wrong most</h2>");
    if report.objectives.iter().all(|objective| objective.offenders.is_empty()) {
        out.push_str("<p>Nowhere.</p>");
        return;
    }
    out.push_str("<table><tr><th>objective<th>part<th>bad<th>good share");
    for objective in &report.objectives {
        for (index, offender) in objective.offenders.iter().enumerate() {
            // Only the first row of an objective shows its name.
            let name =
                format!("<b>{}/{}</b>", escape_html(&objective.team), escape_html(&objective.name));
            let _ = write!(
                out,
                "<tr><td>{}<td>{} {}<td>{:.0}<td>{}",
                if index == 0 { name.as_str() } else { "" },
                offender.kind,
                escape_html(&offender.name),
                offender.bad,
                text::format_percent(Some(offender.good_share)),
            );
        }
    }
    out.push_str("</table>");
}

fn write_missing(out: &mut String, report: &report::Report) {
    out.push_str("<h2>What is missing</h2>");
    if report.missing.is_empty() {
        out.push_str("<p>Every entry host was scraped all the time.</p>");
        return;
    }
    out.push_str("<ul>");
    for missing in &report.missing {
        let _ = write!(out, "<li>{}", escape_html(missing));
    }
    out.push_str("</ul>");
}
