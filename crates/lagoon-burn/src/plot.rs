//! Plots as SVG.

use plotters::prelude::*;

use crate::page;
use crate::report;

/// Width and height of a plot, in pixels.
const SIZE_PIXELS: (u32, u32) = (760, 260);
/// Colours that people with colour blindness can tell apart (the palette of Okabe and Ito).
const COLOURS: [RGBColor; 6] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(86, 180, 233),
    RGBColor(230, 159, 0),
];

fn colour(index: usize) -> RGBColor {
    COLOURS[index % COLOURS.len()]
}

/// Returns the names of the lines as HTML, each in its colour. The legend is outside the plot
/// because inside it would cover lines.
fn legend(lines: &[Line]) -> String {
    let entry = |(index, line): (usize, &Line)| {
        let RGBColor(red, green, blue) = colour(index);
        let name = page::escape_html(&line.name);
        format!("<span style=\"color:rgb({red},{green},{blue})\">&#9473; {name}</span> ")
    };
    lines.iter().enumerate().map(entry).collect()
}

/// A line of a plot.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Name in the legend.
    pub name: String,
    /// Pairs of time and value. Times are in seconds relative to the end of the report, so 0 or
    /// negative.
    pub points: Vec<(f64, f64)>,
}

/// Draws `lines` over time with a logarithmic value axis and an optional horizontal `reference`
/// line. `axis_title` is that of the value axis. Returns a legend in HTML followed by an SVG, or
/// `None` if there is nothing to draw or drawing fails.
///
/// ```
/// use lagoon_burn::plot;
/// let line = plot::Line { name: "short".into(), points: vec![(-60.0, 0.1), (0.0, 0.2)] };
/// assert!(plot::draw(&[line], "seconds", None).unwrap().contains("<svg"));
/// assert!(plot::draw(&[], "seconds", None).is_none());
/// ```
pub fn draw(lines: &[Line], axis_title: &str, reference: Option<f64>) -> Option<String> {
    let points = || lines.iter().flat_map(|line| line.points.iter());
    let values = || points().map(|point| point.1).filter(|value| *value > 0.0).chain(reference);
    // The factors leave a margin below the lowest and above the highest value.
    let min = values().min_by(f64::total_cmp)? * 0.8;
    let max = values().max_by(f64::total_cmp)? * 1.25;
    let begin = points().map(|point| point.0).min_by(f64::total_cmp)?;
    let mut svg = String::new();
    draw_chart(&mut svg, lines, axis_title, reference, (begin, min, max)).ok()?;
    Some(format!("<p>{}</p>{svg}", legend(lines)))
}

/// Error of the SVG backend.
type DrawError<'a> = DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>;

/// Draws axes, lines and the reference line. The tuple holds the start of the time axis and the
/// range of the value axis.
fn draw_chart<'a>(
    svg: &'a mut String,
    lines: &[Line],
    axis_title: &str,
    reference: Option<f64>,
    (begin, min, max): (f64, f64, f64),
) -> Result<(), DrawError<'a>> {
    let area = SVGBackend::with_string(svg, SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(8)
        .x_label_area_size(34)
        .y_label_area_size(62)
        .build_cartesian_2d(begin..0.0, (min..max).log_scale())?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .x_desc("before the end of the report")
        .y_desc(axis_title)
        .x_label_formatter(&|offset| format_age(offset.abs()))
        .y_label_formatter(&|value| format_value(*value))
        .draw()?;
    for (index, line) in lines.iter().enumerate() {
        // A logarithmic axis cannot show 0.
        let points = line.points.iter().filter(|point| point.1 > 0.0).copied();
        chart.draw_series(LineSeries::new(points, colour(index).stroke_width(2)))?;
    }
    if let Some(reference) = reference {
        let ends = [(begin, reference), (0.0, reference)];
        chart.draw_series(LineSeries::new(ends, BLACK.mix(0.5).stroke_width(1)))?;
    }
    area.present()
}

/// Formats a duration: in minutes from 2 minutes on, in hours from 2 hours on, in days from 2 days
/// on, and in seconds below that.
fn format_age(seconds: f64) -> String {
    match seconds {
        s if s < 120.0 => format!("{s:.0} s"),
        s if s < 7_200.0 => format!("{:.0} min", s / 60.0),
        s if s < 172_800.0 => format!("{:.1} h", s / 3_600.0),
        s => format!("{:.1} d", s / 86_400.0),
    }
}

fn format_value(value: f64) -> String {
    if value >= 10.0 { format!("{value:.0}") } else { format!("{value:.2}") }
}

/// Returns `timestamp` relative to the end of the report, in seconds.
fn offset_from_end(at: u64, timestamp: u64) -> f64 {
    timestamp as f64 - at as f64
}

/// Draws the burn rate of each objective over time, with a reference line at 1, which uses up
/// exactly the budget.
pub fn draw_burns(report: &report::Report) -> Option<String> {
    let line = |objective: &report::Objective| Line {
        name: format!("{}/{}", objective.team, objective.name),
        points: objective
            .course
            .iter()
            .filter_map(|&(timestamp, burn)| Some((offset_from_end(report.at, timestamp), burn?)))
            .collect(),
    };
    let lines: Vec<Line> = report.objectives.iter().map(line).collect();
    draw(&lines, "burn", Some(1.0))
}

/// Draws the 95th percentile of the time to first token of each length class over time.
pub fn draw_first_tokens(report: &report::Report) -> Option<String> {
    let line = |latency: &report::ClassLatency| Line {
        name: latency.class.to_owned(),
        points: latency
            .points
            .iter()
            .map(|&(timestamp, _, p95)| (offset_from_end(report.at, timestamp), p95))
            .collect(),
    };
    let lines: Vec<Line> = report.first_token.iter().map(line).collect();
    draw(&lines, "seconds, p95", None)
}
