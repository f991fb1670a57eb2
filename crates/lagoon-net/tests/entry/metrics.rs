//! Compares docs/METRICS.md with the metrics that a host exposes.

use std::collections;

use crate::host;

#[test]
fn the_page_lists_what_is_exposed() {
    let engine = lagoon_standin::engine::Settings { decode_ms: 500.0, ..host::quick() };
    let host = host::Host::start(vec![engine]);
    let answer = host.post("/v1/completions", "", &host::completion("a", 10, true));
    assert_eq!(host::status(&answer), "200", "{answer}");
    let exposed: collections::BTreeSet<(String, String)> = host
        .metrics()
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE "))
        .filter_map(|line| line.split_once(' '))
        .map(|(name, kind)| (name.to_owned(), kind.to_owned()))
        .collect();
    let page = include_str!("../../../../docs/METRICS.md");
    let listed: collections::BTreeSet<(String, String)> = page
        .lines()
        .filter_map(|line| line.strip_prefix("| `lagoon_"))
        .map(|line| {
            let mut cells = line.split('|').map(str::trim);
            let name = format!("lagoon_{}", cells.next().unwrap().trim_matches('`'));
            (name, cells.next().unwrap().to_owned())
        })
        .collect();
    assert!(!listed.is_empty());
    assert_eq!(listed, exposed);
    host.finish();
}

/// Customers appear only in the counter of their requests; no histogram has a customer label.
#[test]
fn histograms_have_no_customers() {
    let host = host::Host::start(vec![host::quick()]);
    host.post("/v1/completions", "", &host::completion("a", 3, true));
    let metrics = host.metrics();
    let lines: Vec<_> = metrics.lines().filter(|line| line.contains("customer=")).collect();
    assert!(!lines.is_empty());
    assert!(lines.iter().all(|line| line.starts_with("lagoon_customer_requests_total{")));
    host.finish();
}
