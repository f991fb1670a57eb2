//! Data of a report: for each objective its burn rates, remaining budget, alerts and worst
//! offenders, and the gaps in the scrapes.

use std::collections;

use lagoonline::control::document;
use serde::Serialize;

use crate::indicator;
use crate::scope;
use crate::series;
use crate::store;
use crate::window;

/// Consecutive scrapes of a host that are more than this many median intervals apart have a gap
/// between them.
const GAP_INTERVALS: u64 = 3;
/// Maximum number of points of a plot. A point covers at least one median interval between scrapes.
const PLOT_POINTS: u64 = 48;
/// Maximum number of offenders listed for an objective.
const MAX_OFFENDERS: usize = 5;

/// Growth of each counter within one time span, summed over all entry hosts.
type Growth = collections::BTreeMap<series::Key, f64>;

/// A report on all objectives.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// End of the reported time, in seconds since the Unix epoch.
    pub at: u64,
    /// Seconds from the first scrape to `at`.
    pub span: u64,
    /// Results of all objectives of all teams.
    pub objectives: Vec<Objective>,
    /// Time to first token over time, for each length class of prompts.
    pub first_token: Vec<ClassLatency>,
    /// Skipped files, hosts without scrapes, and gaps between scrapes, as texts for people.
    pub missing: Vec<String>,
}

/// Results of one objective.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Objective {
    /// Team whose section defines the objective.
    pub team: String,
    /// Name of the objective.
    pub name: String,
    /// Description of the indicator and its bound, for people.
    pub indicator: String,
    /// Upper bound of a good event: milliseconds, or a factor for the slowdown of short prompts.
    /// Not used by indicators of outcomes.
    pub bound: f64,
    /// Share of events that must be good.
    pub target: f64,
    /// Number of events in the reported time.
    pub events: f64,
    /// Share of good events in the reported time. `None` without events.
    pub good_share: Option<f64>,
    /// Share of the four weeks' error budget that is left. Negative if more than the budget was
    /// used, `None` without events.
    pub budget_left: Option<f64>,
    /// Burn rate in each of [`window::WINDOWS`].
    pub burns: Vec<Burn>,
    /// Alerts that fire.
    pub alerts: Vec<Alert>,
    /// Models, zones and customers with the most bad events, worst first.
    pub offenders: Vec<Offender>,
    /// Burn rate over time, as plotted: end of a step in seconds since the Unix epoch, and burn
    /// rate within the step.
    pub course: Vec<(u64, Option<f64>)>,
}

/// Burn rate in one window.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Burn {
    /// Name of the window.
    pub window: &'static str,
    /// How many times faster than allowed the budget is used up. `None` without events.
    pub burn: Option<f64>,
    /// Share of the window that scrapes cover, averaged over hosts.
    pub covered: f64,
}

/// A firing alert.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Alert {
    /// Urgency of the alert.
    pub urgency: window::Urgency,
    /// Name of its long window.
    pub long: &'static str,
    /// Name of its short window.
    pub short: &'static str,
    /// Burn rate at or above which it fires.
    pub rate: f64,
}

/// A model, zone or customer with bad events.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Offender {
    /// Label that selects the traffic: `model`, `zone` or `customer`.
    pub kind: &'static str,
    /// Value of the label.
    pub name: String,
    /// Number of bad events.
    pub bad: f64,
    /// Share of good events within this traffic.
    pub good_share: f64,
}

/// Time to first token over time, for the prompts of one length class ([`document::Class`]).
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassLatency {
    /// Name of the length class.
    pub class: &'static str,
    /// End of a step in seconds since the Unix epoch, median, and 95th percentile, both in seconds.
    pub points: Vec<(u64, f64, f64)>,
}

impl Report {
    /// Computes the report on the objectives of `sections` from the first scrape up to `at`, in
    /// seconds since the Unix epoch.
    pub fn new(sections: &[document::Section], store: &store::Store, at: u64) -> Report {
        let first = store.hosts.values().filter_map(|scrapes| scrapes.first());
        let begin = first.map(|scrape| scrape.timestamp).min().unwrap_or(at).min(at);
        let builder = Builder::new(store, begin, at);
        let mut objectives = Vec::new();
        for section in sections {
            for definition in &section.body.policy.objectives {
                objectives.push(builder.objective(section, definition));
            }
        }
        let first_token = document::Class::ALL.map(|class| builder.class_latency(class)).to_vec();
        Report { at, span: at - begin, objectives, first_token, missing: builder.missing() }
    }

    /// Returns the highest urgency of the firing alerts.
    pub fn worst_alert(&self) -> Option<window::Urgency> {
        let alerts = self.objectives.iter().flat_map(|objective| &objective.alerts);
        alerts.map(|alert| alert.urgency).max()
    }
}

/// Builds the parts of a report from counter growth that is computed once for all objectives.
struct Builder<'a> {
    store: &'a store::Store,
    /// Time of the first scrape of any host.
    begin: u64,
    /// End of the reported time.
    at: u64,
    /// Growth within the reported time.
    reported: Growth,
    /// Growth within each of [`window::WINDOWS`], in the same order.
    windows: Vec<Growth>,
    /// Steps of the plots: end in seconds since the Unix epoch, and growth within the step.
    steps: Vec<(u64, Growth)>,
}

/// Sums the growth of all hosts between the timestamps `from` (exclusive) and `to` (inclusive).
fn sum_growth(store: &store::Store, from: u64, to: u64) -> Growth {
    let mut total = Growth::new();
    for scrapes in store.hosts.values() {
        for (key, grown) in series::growth(scrapes, from, to) {
            *total.entry(key).or_insert(0.0) += grown;
        }
    }
    total
}

/// Divides the time from `begin` to `at` into equal steps and returns the end of each step and the
/// growth within it. The rest after the last whole step is left out.
fn plot_steps(store: &store::Store, begin: u64, at: u64) -> Vec<(u64, Growth)> {
    let step = ((at - begin) / PLOT_POINTS).max(store.interval());
    let ends = (1..=PLOT_POINTS).map(|index| begin + index * step).filter(|&end| end <= at);
    ends.map(|end| (end, sum_growth(store, end - step, end))).collect()
}

impl<'a> Builder<'a> {
    fn new(store: &'a store::Store, begin: u64, at: u64) -> Self {
        let in_window = |&(_, span): &(&str, u64)| sum_growth(store, at.saturating_sub(span), at);
        Builder {
            store,
            begin,
            at,
            reported: sum_growth(store, begin, at),
            windows: window::WINDOWS.iter().map(in_window).collect(),
            steps: plot_steps(store, begin, at),
        }
    }

    /// Returns the results of one objective of `section`.
    fn objective(
        &self,
        section: &document::Section,
        definition: &document::Objective,
    ) -> Objective {
        let scope = scope::Scope::of(section);
        let in_scope = scope.filter(&self.reported);
        let count = indicator::count(definition, &in_scope, indicator::Filter::All);
        let windows: Vec<Growth> = self.windows.iter().map(|growth| scope.filter(growth)).collect();
        let named_windows = window::WINDOWS.iter().zip(&windows);
        let burns: Vec<Burn> = named_windows
            .map(|(&(name, span), growth)| self.burn(definition, name, span, growth))
            .collect();
        Objective {
            team: section.team.to_string(),
            name: definition.name.to_string(),
            indicator: describe_indicator(definition),
            bound: definition.bound,
            target: definition.target,
            events: count.total,
            good_share: count.share(),
            // The last window is that of the budget.
            budget_left: self.budget_left(definition, windows.last()),
            alerts: firing_alerts(&burns),
            offenders: worst_offenders(definition, &in_scope),
            course: self.burn_over_time(definition, &scope),
            burns,
        }
    }

    /// Returns the burn rate in one window, from the growth within it.
    fn burn(
        &self,
        definition: &document::Objective,
        window: &'static str,
        span: u64,
        growth: &Growth,
    ) -> Burn {
        let count = indicator::count(definition, growth, indicator::Filter::All);
        let covered = self.coverage(self.at.saturating_sub(span));
        Burn { window, burn: count.burn(definition.target), covered }
    }

    /// Returns the share of the time since `from` that scrapes cover, averaged over hosts.
    fn coverage(&self, from: u64) -> f64 {
        let max_interval = self.store.interval() * GAP_INTERVALS;
        let hosts = self.store.hosts.values();
        let sum: f64 =
            hosts.map(|scrapes| series::coverage(scrapes, from, self.at, max_interval)).sum();
        sum / self.store.hosts.len().max(1) as f64
    }

    /// Returns the share of the error budget that is left. The used share is the number of bad
    /// events so far, divided by the number allowed in four weeks at the observed rate of events.
    /// It equals the burn rate times the part of the four weeks that has been observed.
    fn budget_left(
        &self,
        definition: &document::Objective,
        budget_window: Option<&Growth>,
    ) -> Option<f64> {
        let from = self.at.saturating_sub(window::BUDGET_SECONDS).max(self.begin);
        let count = indicator::count(definition, budget_window?, indicator::Filter::All);
        let observed_part = (self.at - from) as f64 / window::BUDGET_SECONDS as f64;
        count.burn(definition.target).map(|burn| 1.0 - burn * observed_part)
    }

    /// Returns the end of each plot step and the burn rate within it.
    fn burn_over_time(
        &self,
        definition: &document::Objective,
        scope: &scope::Scope<'_>,
    ) -> Vec<(u64, Option<f64>)> {
        let burn = |growth| {
            let growth = scope.filter(growth);
            indicator::count(definition, &growth, indicator::Filter::All).burn(definition.target)
        };
        self.steps.iter().map(|(end, growth)| (*end, burn(growth))).collect()
    }

    /// Returns the time to first token of `class` in each plot step that has events.
    fn class_latency(&self, class: document::Class) -> ClassLatency {
        let mut points = Vec::new();
        for (end, growth) in &self.steps {
            let of_class = |key: &series::Key| key.label("class") == class.as_str();
            let buckets = indicator::buckets(growth, indicator::FIRST_TOKEN, of_class);
            let median = indicator::quantile(&buckets, 0.5);
            let p95 = indicator::quantile(&buckets, 0.95);
            if let (Some(median), Some(p95)) = (median, p95) {
                points.push((*end, median, p95));
            }
        }
        ClassLatency { class: class.as_str(), points }
    }

    /// Lists skipped files, hosts without scrapes, and gaps between scrapes.
    fn missing(&self) -> Vec<String> {
        let mut missing = self.store.skipped.clone();
        if self.store.hosts.is_empty() {
            missing.push("no entry host was scraped".to_owned());
        }
        let max_interval = self.store.interval() * GAP_INTERVALS;
        for (host, scrapes) in &self.store.hosts {
            missing.extend(gaps(host, scrapes, max_interval, self.at));
        }
        missing
    }
}

/// Describes the gaps between the scrapes of a host, and between the last one and `at`: times of
/// more than `max_interval` seconds without a scrape.
fn gaps(host: &str, scrapes: &[series::Scrape], max_interval: u64, at: u64) -> Vec<String> {
    let Some(last) = scrapes.last() else {
        return vec![format!("{host}: no scrape")];
    };
    let mut found = Vec::new();
    for pair in scrapes.windows(2) {
        let span = pair[1].timestamp - pair[0].timestamp;
        if span > max_interval {
            found.push(format!("{host}: nothing for {span} s up to {}", pair[1].timestamp));
        }
    }
    if at.saturating_sub(last.timestamp) > max_interval {
        found.push(format!("{host}: nothing since {}", last.timestamp));
    }
    found
}

/// Describes the indicator and its bound for people.
fn describe_indicator(definition: &document::Objective) -> String {
    let bound = definition.bound;
    match definition.indicator {
        document::Indicator::FirstToken(class) => {
            format!("first token of {} prompts within {bound} ms", class.as_str())
        }
        document::Indicator::BetweenTokens => format!("time between tokens within {bound} ms"),
        document::Indicator::ShortSlowdown => {
            format!("short prompts at most {bound} times slower than alone")
        }
        document::Indicator::WithinDeadline => "whole answer within its deadline".to_owned(),
        document::Indicator::KnownOutcome => "outcome known".to_owned(),
    }
}

/// Returns the alerts whose burn rate is reached in both windows. A window without events counts as
/// a burn rate of 0.
fn firing_alerts(burns: &[Burn]) -> Vec<Alert> {
    let burn_in = |name: &str| {
        let burn = burns.iter().find(|burn| burn.window == name);
        burn.and_then(|burn| burn.burn).unwrap_or(0.0)
    };
    let fires = |rule: &&window::AlertRule| {
        burn_in(rule.long) >= rule.rate && burn_in(rule.short) >= rule.rate
    };
    let to_alert = |rule: &window::AlertRule| Alert {
        urgency: rule.urgency,
        long: rule.long,
        short: rule.short,
        rate: rule.rate,
    };
    window::ALERT_RULES.iter().filter(fires).map(to_alert).collect()
}

/// Returns the models, zones and customers with the most bad events, worst first.
fn worst_offenders(definition: &document::Objective, growth: &Growth) -> Vec<Offender> {
    let mut found = Vec::new();
    for kind in ["model", "zone", "customer"] {
        let labels = growth.keys().map(|key| key.label(kind)).filter(|label| !label.is_empty());
        let names: collections::BTreeSet<&str> = labels.collect();
        for name in names {
            let filter = match kind {
                "model" => indicator::Filter::Model(name),
                "zone" => indicator::Filter::Zone(name),
                _ => indicator::Filter::Customer(name),
            };
            let count = indicator::count(definition, growth, filter);
            let bad = count.total - count.good;
            if let Some(good_share) = count.share().filter(|_| bad > 0.0) {
                found.push(Offender { kind, name: name.to_owned(), bad, good_share });
            }
        }
    }
    found.sort_by(|a, b| b.bad.total_cmp(&a.bad));
    found.truncate(MAX_OFFENDERS);
    found
}
