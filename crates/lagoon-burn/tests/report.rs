//! Burn rates, budgets and alerts from scrapes with restarts, gaps and missing hosts.

use std::ops;

use lagoon_burn::{page, report, store, text, window};
use lagoonline::control::document;
use lagoonline::id;
use rstest::rstest;

const SECONDS_PER_MINUTE: u64 = 60;

/// Returns a section of the team `labels`, whose name is unrelated to the labels of metrics.
fn section(objectives: &str) -> document::Section {
    let text = format!(r#"{{"policy": {{"objectives": [{objectives}]}}}}"#);
    document::Section::parse(id::Team::from("labels"), id::Version(1), &text).unwrap()
}

fn answers_section(target: f64) -> document::Section {
    section(&format!(
        r#"{{"name": "answers", "indicator": "within_deadline", "target": {target}}}"#
    ))
}

/// Returns counters of requests for one model, which the label `model` names. Entry hosts name the
/// model of such counters in the labels `kind` and `name` instead; the report accepts both.
fn requests(done: u64, unknown: u64) -> String {
    format!(
        "# TYPE lagoon_requests counter\n\
         lagoon_requests_total{{outcome=\"done\",reason=\"none\",model=\"m\",zone=\"suva\"}} {done}\n\
         lagoon_requests_total{{outcome=\"unknown\",reason=\"upstream_failed\",model=\"m\",zone=\"nausori\"}} {unknown}\n"
    )
}

/// Returns one scrape of a host for each minute up to `minutes`. Each minute has 100 requests, of
/// which `bad` end as unknown in the minutes of `failing`.
fn store(minutes: u64, failing: ops::Range<u64>, bad: u64) -> store::Store {
    let mut store = store::Store::default();
    let (mut done, mut unknown) = (0, 0);
    for minute in 0..=minutes {
        store.add("suva-1", minute * SECONDS_PER_MINUTE, &requests(done, unknown)).unwrap();
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

/// Each case has one day of scrapes, and the report ends with the last one.
#[rstest]
#[case::quiet(0..0, 0, None)]
#[case::steady_low_loss(0..1_440, 2, Some(window::Urgency::Ticket))]
#[case::failing_for_an_hour(1_380..1_440, 20, Some(window::Urgency::Page))]
#[case::minor_failures_an_hour_ago(1_370..1_380, 5, None)]
fn alerts_fire_for_significant_ongoing_burn(
    #[case] failing: ops::Range<u64>,
    #[case] bad: u64,
    #[case] expected: Option<window::Urgency>,
) {
    let report = report::Report::new(
        &[answers_section(0.99)],
        &store(1_440, failing, bad),
        1_440 * SECONDS_PER_MINUTE,
    );
    assert_eq!(report.worst_alert(), expected);
}

/// A host restarts and its counters start from 0 again. The failures before and after the restart
/// must both be counted.
#[test]
fn failures_are_counted_across_a_restart() {
    let mut store = store::Store::default();
    for (minute, done, unknown) in [(0, 0, 0), (1, 90, 10), (2, 45, 5), (3, 135, 15)] {
        store.add("suva-1", minute * SECONDS_PER_MINUTE, &requests(done, unknown)).unwrap();
    }
    let report = report::Report::new(&[answers_section(0.9)], &store, 3 * SECONDS_PER_MINUTE);
    let objective = &report.objectives[0];
    assert_eq!(objective.events, 250.0);
    assert!((objective.good_share.unwrap() - 0.9).abs() < 1e-9);
    assert!((burn(&report, "5m") - 1.0).abs() < 1e-9);
}

/// One of two hosts no longer answers scrapes, so its traffic is unknown from then on. The report
/// must list the missing host and lower the coverage, so that the other host's numbers are not
/// taken for all traffic.
#[test]
fn a_host_without_scrapes_is_reported() {
    let mut store = store(60, 0..60, 1);
    store.add("suva-2", 0, &requests(0, 0)).unwrap();
    store.add("suva-2", SECONDS_PER_MINUTE, &requests(10, 0)).unwrap();
    let report = report::Report::new(&[answers_section(0.9)], &store, 60 * SECONDS_PER_MINUTE);
    assert_eq!(report.missing, ["suva-2: nothing since 60"]);
    let hour = report.objectives[0].burns.iter().find(|burn| burn.window == "1h").unwrap();
    // suva-1 has scrapes of all 60 minutes, suva-2 of one.
    assert!((hour.covered - 61.0 / 120.0).abs() < 1e-9, "{hour:?}");
}

#[test]
fn rejections_caused_by_the_caller_use_no_budget() {
    let mut store = store::Store::default();
    let scrape = |requests| {
        format!(
            "# TYPE lagoon_requests counter\n\
             lagoon_requests_total{{outcome=\"not-run\",reason=\"over_limit\"}} {requests}\n\
             lagoon_requests_total{{outcome=\"done\",reason=\"none\"}} {requests}\n"
        )
    };
    store.add("a", 0, &scrape(0)).unwrap();
    store.add("a", SECONDS_PER_MINUTE, &scrape(10)).unwrap();
    let report = report::Report::new(&[answers_section(0.9)], &store, SECONDS_PER_MINUTE);
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
    store.add("a", SECONDS_PER_MINUTE, &scrape(80, 100)).unwrap();
    let objective = r#"{"name": "quick", "indicator": "first_token", "class": "short",
                       "bound": 375, "target": 0.95}"#;
    let report = report::Report::new(&[section(objective)], &store, SECONDS_PER_MINUTE);
    // Half of the 20 events between 0.25 s and 0.5 s are assumed to lie below 0.375 s.
    assert!((report.objectives[0].good_share.unwrap() - 0.9).abs() < 1e-9);
}

/// The model and its zone have the same number of bad events. Offenders are sorted by that number,
/// and equal ones stay in the order model, zone, customer.
#[test]
fn the_worst_offender_comes_first() {
    let report = report::Report::new(
        &[answers_section(0.99)],
        &store(60, 0..60, 10),
        60 * SECONDS_PER_MINUTE,
    );
    let offender = &report.objectives[0].offenders[0];
    assert_eq!((offender.bad, offender.kind), (600.0, "model"));
    assert_eq!(report.objectives[0].offenders[1].name, "nausori");
}

#[test]
fn text_and_page_show_the_same_alert() {
    let report = report::Report::new(
        &[answers_section(0.99)],
        &store(1_440, 1_380..1_440, 20),
        1_440 * SECONDS_PER_MINUTE,
    );
    let (text, page) = (text::render(&report), page::render(&report));
    assert!(text.contains("PAGE: burn at or above 14.4 over 1h and 5m"), "{text}");
    assert!(page.contains("burn at or above 14.4 over both 1h and 5m"));
    assert!(page.contains("<svg"));
}

/// A team names an objective `<script>`. The page must show the name as text in the table, the
/// alerts and the legend of the plot, and the operator's browser must not run it as a script.
#[test]
fn names_are_escaped_in_html() {
    let objective = r#"{"name": "<script>", "indicator": "within_deadline", "target": 0.99}"#;
    let store = store(1_440, 1_380..1_440, 20);
    let page = page::render(&report::Report::new(
        &[section(objective)],
        &store,
        1_440 * SECONDS_PER_MINUTE,
    ));
    assert!(!page.contains("<script"), "{page}");
    assert!(page.matches("labels/&lt;script&gt;").count() >= 3, "{page}");
}

/// Two teams have the same objective, and the model of one team fails. The other team must not be
/// paged: an objective counts only the models and services of its own section.
#[test]
fn objectives_count_only_the_models_of_their_team() {
    let objective = r#"[{"name": "answers", "indicator": "within_deadline", "target": 0.99}]"#;
    let team = |name: &str, model: &str| {
        let text = format!(
            r#"{{"models": {{"{model}": {{}}}}, "policy": {{"objectives": {objective}}}}}"#
        );
        document::Section::parse(id::Team::from(name), id::Version(1), &text).unwrap()
    };
    let sections = [team("labels", "m"), team("audits", "other")];
    let report = report::Report::new(&sections, &store(60, 0..60, 50), 60 * SECONDS_PER_MINUTE);
    let shares: Vec<_> = report.objectives.iter().map(|objective| objective.good_share).collect();
    assert_eq!(shares, [Some(0.5), None]);
}
