//! Bar chart of one named result by scenario and policy.

use std::path;

use plotters::prelude::*;

use super::report;

/// Draws a bar chart of the medians of `figure`, a name in [`report::Tally::figures`], to an SVG
/// file, with a group of bars per scenario and a bar per policy.
///
/// # Errors
///
/// The file cannot be drawn or written.
pub fn draw_bars(
    file: &path::Path,
    figure: &str,
    rows: &[report::Row],
) -> Result<(), Box<dyn std::error::Error>> {
    let mut scenarios: Vec<&str> = rows.iter().map(|row| row.scenario.as_str()).collect();
    scenarios.dedup();
    let mut policies: Vec<&str> = rows.iter().map(|row| row.policy.as_str()).collect();
    policies.sort_unstable();
    policies.dedup();
    // The axis is logarithmic and starts at 1; smaller values are drawn as 1.
    let value = |row: &report::Row| row.median.get(figure).copied().unwrap_or(0.0).max(1.0);
    let highest = rows.iter().map(value).fold(10.0, f64::max);
    let root = SVGBackend::new(file, (1_200, 500)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(figure, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..scenarios.len() as f64, (1.0..highest * 1.2).log_scale())?;
    let label = |x: &f64| scenarios.get(*x as usize).map_or(String::new(), |&name| name.to_owned());
    chart.configure_mesh().x_labels(scenarios.len()).x_label_formatter(&label).draw()?;
    for (index, policy) in policies.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let width = 0.8 / policies.len() as f64;
        let policy_rows = rows.iter().filter(|row| row.policy == *policy);
        let bar = |row: &report::Row| {
            let scenario_index =
                scenarios.iter().position(|name| *name == row.scenario).unwrap_or(0);
            let left = scenario_index as f64 + 0.1 + index as f64 * width;
            Rectangle::new([(left, 1.0), (left + width, value(row))], colour.filled())
        };
        let series = chart.draw_series(policy_rows.map(bar))?.label(*policy);
        series.legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], colour.filled()));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
