//! Measures memory use and processing time of the document on one host for a number of customers.
//!
//! The customers, 26,000 by default, are split over [`TEAMS`] sections of equal size. The `fleet`
//! in the output is the [`view::Fleet`], into which a host merges all sections.
//!
//! `cargo run --release -p lagoonline --example fleet_size -- 26000`

use std::fs;
use std::time;

use lagoonline::control::delta_log;
use lagoonline::control::document;
use lagoonline::id;
use lagoonline::view;

const TEAMS: usize = 20;

/// Returns the resident memory of this process in KB; 0 if it cannot be read.
fn resident_kb() -> u64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Returns the text of a section in which only the customer in the middle has `weight`.
fn text(team: usize, customers: usize, weight: u32) -> String {
    let line = |index: usize| {
        let weight = if index == customers / 2 { weight } else { 1 };
        // Unique per customer, as keys have to be.
        let key = format!("{:064x}", team * 1_000_000 + index + 1);
        format!(
            r#""customer-{team}-{index}": {{"keys": ["{key}"], "models": ["m"], "weight": {weight}, "requests_per_second": 20.5, "tokens_per_second": 40000, "max_deadline_ms": 600000}}"#
        )
    };
    let lines: Vec<_> = (0..customers).map(line).collect();
    format!(r#"{{"customers": {{{}}}}}"#, lines.join(", "))
}

/// Runs `work` and returns its result with the elapsed time in milliseconds.
fn timed<T, Work>(work: Work) -> (T, f64)
where
    Work: FnOnce() -> T,
{
    let start = time::Instant::now();
    let result = work();
    (result, start.elapsed().as_secs_f64() * 1e3)
}

fn main() {
    let argument = std::env::args().nth(1);
    let customers: usize = argument.and_then(|argument| argument.parse().ok()).unwrap_or(26_000);
    let parse = |team: usize, version, weight| {
        let text = text(team, customers / TEAMS, weight);
        let team = id::Team::from(format!("team-{team}"));
        document::Section::parse(team, id::Version(version), &text)
            .expect("generated section is valid")
    };
    let start_kb = resident_kb();
    let sections: Vec<_> = (0..TEAMS).map(|team| parse(team, 1, 1)).collect();
    let sections_kb = resident_kb() - start_kb;
    let (fleet, merge_ms) = timed(|| view::Fleet::merge(&sections));
    let fleet_kb = resident_kb() - start_kb - sections_kb;
    let (edited, parse_ms) = timed(|| parse(0, 2, 2));
    let mut log = delta_log::DeltaLog::default();
    let ((), record_ms) = timed(|| log.record(&sections[0], &edited));
    let deltas = log.since(id::Version(1), &edited);
    let bytes: usize = deltas.iter().map(document::Delta::size).sum();
    let (rebuilt, apply_ms) = timed(|| delta_log::apply(Some(&sections[0]), &deltas));
    assert_eq!(rebuilt.as_deref(), Some(&*edited.text));
    println!(
        "{} customers, section of {} bytes: sections {sections_kb} KB, fleet {fleet_kb} KB, \
         merge {merge_ms:.1} ms, parse a section {parse_ms:.1} ms, make a delta {record_ms:.1} ms, \
         apply it {apply_ms:.1} ms, delta of {bytes} bytes",
        fleet.customers.len(),
        edited.text.len(),
    );
}
