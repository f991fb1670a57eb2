//! The report as data: objectives, burn by window, budget left, alerts, worst offenders, gaps.

use std::collections;

use lagoonline::control::document;
use serde::Serialize;

use crate::indicator;
use crate::scope;
use crate::series;
use crate::store;
use crate::window;

/// Scrapes further apart than this many usual intervals leave a gap.
const GAP_INTERVALS: u64 = 3;
/// Points of a plot over the span that was scraped.
const PLOT_POINTS: u64 = 48;
/// Worst offenders listed for each objective.
const OFFENDERS: usize = 5;

/// Growth of each counter over one span of time, summed over all entry hosts.
type Growth = collections::BTreeMap<series::Key, f64>;

/// The whole report.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// End of the time reported on, in seconds since the Unix epoch.
    pub at: u64,
    /// Seconds from the first scrape to `at`.
    pub span: u64,
    /// One for each objective of each team.
    pub objectives: Vec<Objective>,
    /// Time to first token of each length class over time.
    pub first_token: Vec<ClassLine>,
    /// What the report does not know.
    pub missing: Vec<String>,
}

/// How one objective stands.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Objective {
    /// The team whose section promises it.
    pub team: String,
    /// Its name.
    pub name: String,
    /// What is measured, in words.
    pub indicator: String,
    /// Bound of a good event: milliseconds, or a multiple for the slowdown.
    pub bound: f64,
    /// Share of good events promised.
    pub target: f64,
    /// Events over the whole span.
    pub events: f64,
    /// Share of good events over the whole span.
    pub good_share: Option<f64>,
    /// Share of the four weeks' error budget that is left, below 0 when overdrawn.
    pub budget_left: Option<f64>,
    /// Burn in each window.
    pub burns: Vec<Burn>,
    /// Alerts that fire.
    pub alerts: Vec<Alert>,
    /// Parts of the traffic with most bad events, worst first.
    pub offenders: Vec<Offender>,
    /// Burn over time: seconds since the Unix epoch, and burn in the step that ends there.
    pub course: Vec<(u64, Option<f64>)>,
}

/// Burn in one window.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Burn {
    /// Name of the window.
    pub window: &'static str,
    /// Times faster than allowed that the budget is used; absent without events.
    pub burn: Option<f64>,
    /// Share of the window that the scrapes cover, averaged over hosts.
    pub covered: f64,
}

/// An alert that fires.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Alert {
    /// How urgent it is.
    pub urgency: window::Urgency,
    /// Its long window.
    pub long: &'static str,
    /// Its short window.
    pub short: &'static str,
    /// Burn at which it fires.
    pub rate: f64,
}

/// A part of the traffic that used up budget.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Offender {
    /// `model`, `zone` or `customer`.
    pub kind: &'static str,
    /// Which.
    pub name: String,
    /// Bad events.
    pub bad: f64,
    /// Its share of good events.
    pub good_share: f64,
}

/// Time to first token of one length class over time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassLine {
    /// The class.
    pub class: &'static str,
    /// Seconds since the Unix epoch, median and 95th percentile in seconds.
    pub points: Vec<(u64, f64, f64)>,
}

impl Report {
    /// Reports on the time up to `at`, in seconds since the Unix epoch.
    pub fn new(sections: &[document::Section], store: &store::Store, at: u64) -> Report {
        let first = store.hosts.values().filter_map(|scrapes| scrapes.first());
        let begin = first.map(|scrape| scrape.second).min().unwrap_or(at).min(at);
        let source = Source::new(store, begin, at);
        let mut objectives = Vec::new();
        for section in sections {
            for promised in &section.body.policy.objectives {
                objectives.push(source.objective(section, promised));
            }
        }
        let first_token = document::Class::ALL.map(|class| source.class_line(class)).to_vec();
        Report { at, span: at - begin, objectives, first_token, missing: source.missing() }
    }

    /// The most urgent alert that fires.
    pub fn worst_alert(&self) -> Option<window::Urgency> {
        let alerts = self.objectives.iter().flat_map(|objective| &objective.alerts);
        alerts.map(|alert| alert.urgency).max()
    }
}

/// What the scrapes hold, summed once for all objectives.
struct Source<'a> {
    store: &'a store::Store,
    begin: u64,
    at: u64,
    whole: Growth,
    /// Growth in each of [`window::WINDOWS`].
    windows: Vec<Growth>,
    /// End of each step of the plots, and growth in it.
    steps: Vec<(u64, Growth)>,
}

fn sum(store: &store::Store, from: u64, to: u64) -> Growth {
    let mut sum = Growth::new();
    for scrapes in store.hosts.values() {
        for (key, grown) in series::growth(scrapes, from, to) {
            *sum.entry(key).or_insert(0.0) += grown;
        }
    }
    sum
}

fn steps(store: &store::Store, begin: u64, at: u64) -> Vec<(u64, Growth)> {
    let step = ((at - begin) / PLOT_POINTS).max(store.interval());
    let ends = (1..=PLOT_POINTS).map(|index| begin + index * step).filter(|&end| end <= at);
    ends.map(|end| (end, sum(store, end - step, end))).collect()
}

impl<'a> Source<'a> {
    fn new(store: &'a store::Store, begin: u64, at: u64) -> Self {
        let in_window = |&(_, span): &(&str, u64)| sum(store, at.saturating_sub(span), at);
        Source {
            store,
            begin,
            at,
            whole: sum(store, begin, at),
            windows: window::WINDOWS.iter().map(in_window).collect(),
            steps: steps(store, begin, at),
        }
    }

    fn objective(&self, section: &document::Section, promised: &document::Objective) -> Objective {
        let scope = scope::Scope::of(section);
        let whole = scope.cut(&self.whole);
        let count = indicator::count(promised, &whole, indicator::Part::All);
        let windows: Vec<Growth> = self.windows.iter().map(|window| scope.cut(window)).collect();
        let named = window::WINDOWS.iter().zip(&windows);
        let burns: Vec<Burn> =
            named.map(|(&(name, span), growth)| self.burn(promised, name, span, growth)).collect();
        Objective {
            team: section.team.to_string(),
            name: promised.name.to_string(),
            indicator: words(promised),
            bound: promised.bound,
            target: promised.target,
            events: count.all,
            good_share: count.share(),
            budget_left: self.budget_left(promised, windows.last()),
            alerts: alerts(&burns),
            offenders: offenders(promised, &whole),
            course: self.course(promised, &scope),
            burns,
        }
    }

    fn burn(
        &self,
        promised: &document::Objective,
        window: &'static str,
        span: u64,
        growth: &Growth,
    ) -> Burn {
        let count = indicator::count(promised, growth, indicator::Part::All);
        let covered = self.coverage(self.at.saturating_sub(span));
        Burn { window, burn: count.burn(promised.target), covered }
    }

    fn coverage(&self, from: u64) -> f64 {
        let gap = self.store.interval() * GAP_INTERVALS;
        let hosts = self.store.hosts.values();
        let sum: f64 = hosts.map(|scrapes| series::coverage(scrapes, from, self.at, gap)).sum();
        sum / self.store.hosts.len().max(1) as f64
    }

    /// Bad events so far, against those allowed in four weeks at the rate of events seen.
    fn budget_left(
        &self,
        promised: &document::Objective,
        budget_window: Option<&Growth>,
    ) -> Option<f64> {
        let from = self.at.saturating_sub(window::BUDGET_SPAN).max(self.begin);
        let count = indicator::count(promised, budget_window?, indicator::Part::All);
        let share_of_span = (self.at - from) as f64 / window::BUDGET_SPAN as f64;
        count.burn(promised.target).map(|burn| 1.0 - burn * share_of_span)
    }

    fn course(
        &self,
        promised: &document::Objective,
        scope: &scope::Scope<'_>,
    ) -> Vec<(u64, Option<f64>)> {
        let burn = |growth| {
            let growth = scope.cut(growth);
            indicator::count(promised, &growth, indicator::Part::All).burn(promised.target)
        };
        self.steps.iter().map(|(end, growth)| (*end, burn(growth))).collect()
    }

    fn class_line(&self, class: document::Class) -> ClassLine {
        let mut points = Vec::new();
        for (end, growth) in &self.steps {
            let of_class = |key: &series::Key| key.label("class") == class.as_str();
            let buckets = indicator::buckets(growth, indicator::FIRST_TOKEN, of_class);
            let median = indicator::quantile(&buckets, 0.5);
            let high = indicator::quantile(&buckets, 0.95);
            if let (Some(median), Some(high)) = (median, high) {
                points.push((*end, median, high));
            }
        }
        ClassLine { class: class.as_str(), points }
    }

    fn missing(&self) -> Vec<String> {
        let mut missing = self.store.skipped.clone();
        if self.store.hosts.is_empty() {
            missing.push("no entry host was scraped".to_owned());
        }
        let gap = self.store.interval() * GAP_INTERVALS;
        for (host, scrapes) in &self.store.hosts {
            missing.extend(gaps(host, scrapes, gap, self.at));
        }
        missing
    }
}

fn gaps(host: &str, scrapes: &[series::Scrape], gap: u64, at: u64) -> Vec<String> {
    let Some(last) = scrapes.last() else {
        return vec![format!("{host}: no scrape")];
    };
    let mut found = Vec::new();
    for pair in scrapes.windows(2) {
        let span = pair[1].second - pair[0].second;
        if span > gap {
            found.push(format!("{host}: nothing for {span} s up to {}", pair[1].second));
        }
    }
    if at.saturating_sub(last.second) > gap {
        found.push(format!("{host}: nothing since {}", last.second));
    }
    found
}

fn words(promised: &document::Objective) -> String {
    let bound = promised.bound;
    match promised.indicator {
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

fn alerts(burns: &[Burn]) -> Vec<Alert> {
    let burn_in = |name: &str| {
        let burn = burns.iter().find(|burn| burn.window == name);
        burn.and_then(|burn| burn.burn).unwrap_or(0.0)
    };
    let fires = |alert: &&window::Alert| {
        burn_in(alert.long) >= alert.rate && burn_in(alert.short) >= alert.rate
    };
    let to_alert = |alert: &window::Alert| Alert {
        urgency: alert.urgency,
        long: alert.long,
        short: alert.short,
        rate: alert.rate,
    };
    window::ALERTS.iter().filter(fires).map(to_alert).collect()
}

fn offenders(promised: &document::Objective, growth: &Growth) -> Vec<Offender> {
    let mut found = Vec::new();
    for kind in ["model", "zone", "customer"] {
        let labels = growth.keys().map(|key| key.label(kind)).filter(|label| !label.is_empty());
        let names: collections::BTreeSet<&str> = labels.collect();
        for name in names {
            let part = match kind {
                "model" => indicator::Part::Model(name),
                "zone" => indicator::Part::Zone(name),
                _ => indicator::Part::Customer(name),
            };
            let count = indicator::count(promised, growth, part);
            let bad = count.all - count.good;
            if let Some(good_share) = count.share().filter(|_| bad > 0.0) {
                found.push(Offender { kind, name: name.to_owned(), bad, good_share });
            }
        }
    }
    found.sort_by(|a, b| b.bad.total_cmp(&a.bad));
    found.truncate(OFFENDERS);
    found
}
