//! Plots as SVG.

use plotters::prelude::*;

use crate::page;
use crate::report;

/// Width and height of a plot, in pixels.
const SIZE: (u32, u32) = (760, 260);
/// Colours that stay apart also for those who see few of them (Okabe and Ito's set).
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

/// Names of the lines, each in its colour, as HTML: within the plot a legend hides lines.
fn legend(lines: &[Line]) -> String {
    let entry = |(index, line): (usize, &Line)| {
        let RGBColor(red, green, blue) = colour(index);
        let name = page::escape(&line.name);
        format!("<span style=\"color:rgb({red},{green},{blue})\">&#9473; {name}</span> ")
    };
    lines.iter().enumerate().map(entry).collect()
}

/// One line of a plot.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// What the legend calls it.
    pub name: String,
    /// Seconds before the end of the report as negative numbers, and values.
    pub points: Vec<(f64, f64)>,
}

/// Plots `lines` over time with a logarithmic value axis, as a legend in HTML and an SVG; `None`
/// when there is nothing.
///
/// ```
/// use lagoon_burn::plot;
/// let line = plot::Line { name: "short".into(), points: vec![(-60.0, 0.1), (0.0, 0.2)] };
/// assert!(plot::draw(&[line], "seconds", None).unwrap().contains("<svg"));
/// assert!(plot::draw(&[], "seconds", None).is_none());
/// ```
pub fn draw(lines: &[Line], unit: &str, mark: Option<f64>) -> Option<String> {
    let points = || lines.iter().flat_map(|line| line.points.iter());
    let values = || points().map(|point| point.1).filter(|value| *value > 0.0).chain(mark);
    let lowest = values().min_by(f64::total_cmp)? * 0.8;
    let highest = values().max_by(f64::total_cmp)? * 1.25;
    let begin = points().map(|point| point.0).min_by(f64::total_cmp)?;
    let mut svg = String::new();
    draw_on(&mut svg, lines, unit, mark, (begin, lowest, highest)).ok()?;
    Some(format!("<p>{}</p>{svg}", legend(lines)))
}

type Failure<'a> = DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>;

fn draw_on<'a>(
    svg: &'a mut String,
    lines: &[Line],
    unit: &str,
    mark: Option<f64>,
    (begin, lowest, highest): (f64, f64, f64),
) -> Result<(), Failure<'a>> {
    let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(8)
        .x_label_area_size(34)
        .y_label_area_size(62)
        .build_cartesian_2d(begin..0.0, (lowest..highest).log_scale())?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .x_desc("before the end of the report")
        .y_desc(unit)
        .x_label_formatter(&|second| ago(second.abs()))
        .y_label_formatter(&|value| plain(*value))
        .draw()?;
    for (index, line) in lines.iter().enumerate() {
        let points = line.points.iter().filter(|point| point.1 > 0.0).copied();
        chart.draw_series(LineSeries::new(points, colour(index).stroke_width(2)))?;
    }
    if let Some(mark) = mark {
        let ends = [(begin, mark), (0.0, mark)];
        chart.draw_series(LineSeries::new(ends, BLACK.mix(0.5).stroke_width(1)))?;
    }
    area.present()
}

fn ago(seconds: f64) -> String {
    match seconds {
        s if s < 120.0 => format!("{s:.0} s"),
        s if s < 7_200.0 => format!("{:.0} min", s / 60.0),
        s if s < 172_800.0 => format!("{:.1} h", s / 3_600.0),
        s => format!("{:.1} d", s / 86_400.0),
    }
}

fn plain(value: f64) -> String {
    if value >= 10.0 { format!("{value:.0}") } else { format!("{value:.2}") }
}

fn before_end(at: u64, second: u64) -> f64 {
    second as f64 - at as f64
}

/// Burn of each objective over time; the mark is the burn that uses up exactly the budget.
pub fn burns(report: &report::Report) -> Option<String> {
    let line = |objective: &report::Objective| Line {
        name: format!("{}/{}", objective.team, objective.name),
        points: objective
            .course
            .iter()
            .filter_map(|&(second, burn)| Some((before_end(report.at, second), burn?)))
            .collect(),
    };
    let lines: Vec<Line> = report.objectives.iter().map(line).collect();
    draw(&lines, "burn", Some(1.0))
}

/// 95th percentile of the time to first token of each length class over time.
pub fn first_tokens(report: &report::Report) -> Option<String> {
    let line = |class: &report::ClassLine| Line {
        name: class.class.to_owned(),
        points: class
            .points
            .iter()
            .map(|&(second, _, high)| (before_end(report.at, second), high))
            .collect(),
    };
    let lines: Vec<Line> = report.first_token.iter().map(line).collect();
    draw(&lines, "seconds, p95", None)
}
