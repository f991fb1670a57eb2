//! Burn, budget and alerts from scrapes with restarts, gaps and missing hosts.

use std::ops;

use lagoon_burn::{page, report, store, text, window};
use lagoonline::control::document;
use lagoonline::id;
use rstest::rstest;

const STEP: u64 = 60;

fn section(objectives: &str) -> document::Section {
    let text = format!(r#"{{"policy": {{"objectives": [{objectives}]}}}}"#);
    document::Section::parse(id::Team::from("labels"), id::Version(1), &text).unwrap()
}

fn answers(target: f64) -> document::Section {
    section(&format!(
        r#"{{"name": "answers", "indicator": "within_deadline", "target": {target}}}"#
    ))
}

fn requests(done: u64, unknown: u64) -> String {
    format!(
        "# TYPE lagoon_requests counter\n\
         lagoon_requests_total{{outcome=\"done\",reason=\"none\",model=\"m\",zone=\"suva\"}} {done}\n\
         lagoon_requests_total{{outcome=\"unknown\",reason=\"upstream_failed\",model=\"m\",zone=\"nausori\"}} {unknown}\n"
    )
}

/// Scrapes of one host each minute for `minutes`; `bad` in a hundred requests fail in `failing`.
fn store(minutes: u64, failing: ops::Range<u64>, bad: u64) -> store::Store {
    let mut store = store::Store::default();
    let (mut done, mut unknown) = (0, 0);
    for minute in 0..=minutes {
        store.add("suva-1", minute * STEP, &requests(done, unknown)).unwrap();
        let failed = if failing.contains(&minute) { bad } else { 0 };
        done += 100 - failed;
        unknown += failed;
    }
    store
}

fn burn(report: &report::Report, window: &str) -> f64 {
    let burns = &report.objectives[0].burns;
    burns.iter().find(|burn| burn.window == window).unwrap().burn.unwrap()
}

#[rstest]
#[case::quiet(0..0, 0, None)]
#[case::slow_leak(0..1_440, 2, Some(window::Urgency::Ticket))]
#[case::an_hour_of_failures(1_380..1_440, 20, Some(window::Urgency::Page))]
#[case::over_for_an_hour(1_370..1_380, 5, None)]
fn alerts_fire_for_what_matters_and_goes_on(
    #[case] failing: ops::Range<u64>,
    #[case] bad: u64,
    #[case] expected: Option<window::Urgency>,
) {
    let report = report::Report::new(&[answers(0.99)], &store(1_440, failing, bad), 1_440 * STEP);
    assert_eq!(report.worst_alert(), expected);
}

/// A host is restarted in the middle of an hour and counts from 0 again. The operator must still
/// see all failures of that hour: those before the restart and those after it.
#[test]
fn a_restart_loses_no_failures() {
    let mut store = store::Store::default();
    for (minute, done, unknown) in [(0, 0, 0), (1, 90, 10), (2, 45, 5), (3, 135, 15)] {
        store.add("suva-1", minute * STEP, &requests(done, unknown)).unwrap();
    }
    let report = report::Report::new(&[answers(0.9)], &store, 3 * STEP);
    let objective = &report.objectives[0];
    assert_eq!(objective.events, 250.0);
    assert!((objective.good_share.unwrap() - 0.9).abs() < 1e-9);
    assert!((burn(&report, "5m") - 1.0).abs() < 1e-9);
}

/// One of two hosts stops answering scrapes. Its share of the traffic is not known from then on:
/// the report says so instead of showing the other host's figures as the whole.
#[test]
fn a_missing_host_is_named() {
    let mut store = store(60, 0..60, 1);
    store.add("suva-2", 0, &requests(0, 0)).unwrap();
    store.add("suva-2", STEP, &requests(10, 0)).unwrap();
    let report = report::Report::new(&[answers(0.9)], &store, 60 * STEP);
    assert_eq!(report.missing, ["suva-2: nothing since 60"]);
    let hour = report.objectives[0].burns.iter().find(|burn| burn.window == "1h").unwrap();
    assert!((hour.covered - 61.0 / 120.0).abs() < 1e-9, "{hour:?}");
}

#[test]
fn refusals_that_the_caller_caused_use_no_budget() {
    let mut store = store::Store::default();
    let scrape = |refused| {
        format!(
            "# TYPE lagoon_requests counter\n\
             lagoon_requests_total{{outcome=\"not-run\",reason=\"over_limit\"}} {refused}\n\
             lagoon_requests_total{{outcome=\"done\",reason=\"none\"}} {refused}\n"
        )
    };
    store.add("a", 0, &scrape(0)).unwrap();
    store.add("a", STEP, &scrape(10)).unwrap();
    let report = report::Report::new(&[answers(0.9)], &store, STEP);
    assert_eq!((report.objectives[0].events, report.objectives[0].good_share), (10.0, Some(1.0)));
}

#[test]
fn first_tokens_are_counted_by_class_and_bound() {
    let mut store = store::Store::default();
    let scrape = |fast, all| {
        format!(
            "# TYPE lagoon_first_token_seconds histogram\n\
             lagoon_first_token_seconds_bucket{{class=\"short\",le=\"0.25\"}} {fast}\n\
             lagoon_first_token_seconds_bucket{{class=\"short\",le=\"0.5\"}} {all}\n\
             lagoon_first_token_seconds_bucket{{class=\"short\",le=\"+Inf\"}} {all}\n\
             lagoon_first_token_seconds_bucket{{class=\"huge\",le=\"+Inf\"}} 7\n"
        )
    };
    store.add("a", 0, &scrape(0, 0)).unwrap();
    store.add("a", STEP, &scrape(80, 100)).unwrap();
    let promised = r#"{"name": "quick", "indicator": "first_token", "class": "short",
                       "bound": 375, "target": 0.95}"#;
    let report = report::Report::new(&[section(promised)], &store, STEP);
    // Of the 20 between 0.25 s and 0.5 s, half are taken to lie below 0.375 s.
    assert!((report.objectives[0].good_share.unwrap() - 0.9).abs() < 1e-9);
}

#[test]
fn the_worst_part_of_the_traffic_comes_first() {
    let report = report::Report::new(&[answers(0.99)], &store(60, 0..60, 10), 60 * STEP);
    let offender = &report.objectives[0].offenders[0];
    assert_eq!((offender.bad, offender.kind), (600.0, "model"));
    assert_eq!(report.objectives[0].offenders[1].name, "nausori");
}

#[test]
fn text_and_page_say_the_same() {
    let report =
        report::Report::new(&[answers(0.99)], &store(1_440, 1_380..1_440, 20), 1_440 * STEP);
    let (text, page) = (text::write(&report), page::write(&report));
    assert!(text.contains("PAGE: burn at or above 14.4 over 1h and 5m"), "{text}");
    assert!(page.contains("burn at or above 14.4 over both 1h and 5m"));
    assert!(page.contains("<svg"));
}

/// A team names an objective `<script>`. An operator who opens the page must see the name, and no
/// script may run: the name stands in the table, the alerts, and the legend of the plot.
#[test]
fn a_name_is_shown_and_not_run() {
    let promised = r#"{"name": "<script>", "indicator": "within_deadline", "target": 0.99}"#;
    let store = store(1_440, 1_380..1_440, 20);
    let page = page::write(&report::Report::new(&[section(promised)], &store, 1_440 * STEP));
    assert!(!page.contains("<script"), "{page}");
    assert!(page.matches("labels/&lt;script&gt;").count() >= 3, "{page}");
}

/// Two teams promise whole answers, and only one team's model fails. The other team is not paged
/// for it: each objective counts the models and services of its own section.
#[test]
fn a_team_answers_for_its_own_models() {
    let promised = r#"[{"name": "answers", "indicator": "within_deadline", "target": 0.99}]"#;
    let team = |name: &str, model: &str| {
        let text =
            format!(r#"{{"models": {{"{model}": {{}}}}, "policy": {{"objectives": {promised}}}}}"#);
        document::Section::parse(id::Team::from(name), id::Version(1), &text).unwrap()
    };
    let sections = [team("labels", "m"), team("audits", "other")];
    let report = report::Report::new(&sections, &store(60, 0..60, 50), 60 * STEP);
    let shares: Vec<_> = report.objectives.iter().map(|objective| objective.good_share).collect();
    assert_eq!(shares, [Some(0.5), None]);
}
