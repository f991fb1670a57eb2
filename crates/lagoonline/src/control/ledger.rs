//! Usage accounting: attributes the time of every engine to teams and customers.
//!
//! Every millisecond of every engine is attributed exactly once: work to the customer's team, idle
//! time to the team whose claim the engine is assigned to, and unclaimed idle time to the owner of
//! the upstream. Time in which no steward observed the engine is reported as unobserved. The parts
//! of a row add up to its wall time to the millisecond, because shares are apportioned by the
//! largest remainder method.
//!
//! The *observer* of an engine is the steward that is responsible for reading its load and
//! recording its activity in a [`Meter`].

use std::collections;

use serde::{Deserialize, Serialize};

use crate::control::document;
use crate::id;
use crate::port::table;
use crate::view;

/// Length of an accounting interval, in milliseconds.
pub const INTERVAL_MS: u64 = 60_000;

/// Time that an engine worked for one customer within an interval.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Work {
    /// Customer that the engine worked for; empty if unknown.
    pub customer: id::Customer,
    /// Team of the customer.
    pub team: id::Team,
    /// Working time, in milliseconds.
    pub millis: u64,
}

/// Activity of an engine during a period.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Activity {
    /// Working for customers. Each entry has a customer, its team, and a weight in proportion to
    /// which the time is split, such as the customer's recent tokens. If all weights are 0 or no
    /// customer is known, the time is attributed to the owner of the engine.
    Working(Vec<(id::Customer, id::Team, u64)>),
    /// No work.
    Idle,
    /// Not observed by any steward.
    Unobserved,
}

/// Usage of one engine in one interval, stored as the value of a row.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Interval number: its start in wall clock milliseconds divided by [`INTERVAL_MS`].
    pub interval: u64,
    /// Number of accelerators; reports multiply the times by it.
    pub accelerators: u32,
    /// Team that owns the upstream.
    pub owner: id::Team,
    /// Team whose claim the engine is assigned to; empty if there is none.
    pub claimant: id::Team,
    /// Model that the time is attributed to; empty if there is none.
    pub model: id::Model,
    /// Working time by customer.
    pub work: Vec<Work>,
    /// Idle time in milliseconds, charged to the claimant or, if there is none, to the owner.
    pub idle_ms: u64,
    /// Unobserved time in milliseconds.
    pub unobserved_ms: u64,
}

impl Row {
    /// Returns the total time in milliseconds; [`INTERVAL_MS`] for every finished row.
    pub fn total_ms(&self) -> u64 {
        self.work.iter().map(|work| work.millis).sum::<u64>() + self.idle_ms + self.unobserved_ms
    }

    /// Returns the team that idle time is charged to.
    pub fn idle_team(&self) -> &id::Team {
        if self.claimant.as_str().is_empty() { &self.owner } else { &self.claimant }
    }

    fn add(&mut self, activity: &Activity, millis: u64) {
        match activity {
            Activity::Idle => self.idle_ms += millis,
            Activity::Unobserved => self.unobserved_ms += millis,
            Activity::Working(shares) => self.add_work(shares, millis),
        }
    }

    fn add_work(&mut self, shares: &[(id::Customer, id::Team, u64)], millis: u64) {
        if shares.iter().all(|(_, _, weight)| *weight == 0) {
            let owner = self.owner.clone();
            return self.add_share(&id::Customer::default(), &owner, millis);
        }
        let weights: Vec<u64> = shares.iter().map(|(_, _, weight)| *weight).collect();
        for ((customer, team, _), millis) in shares.iter().zip(apportion(millis, &weights)) {
            self.add_share(customer, team, millis);
        }
    }

    fn add_share(&mut self, customer: &id::Customer, team: &id::Team, millis: u64) {
        let known =
            self.work.iter_mut().find(|work| work.customer == *customer && work.team == *team);
        match known {
            Some(work) => work.millis += millis,
            None if millis == 0 => {}
            None => {
                self.work.push(Work { customer: customer.clone(), team: team.clone(), millis });
            }
        }
    }
}

/// Splits `total` in proportion to `weights`, by the largest remainder method: the parts add up to
/// `total` exactly, unless all weights are 0.
///
/// ```
/// use lagoonline::control::ledger;
/// assert_eq!(ledger::apportion(10, &[1, 1, 1]), [4, 3, 3]);
/// assert_eq!(ledger::apportion(5, &[0, 1]), [0, 5]);
/// ```
pub fn apportion(total: u64, weights: &[u64]) -> Vec<u64> {
    let sum: u128 = weights.iter().map(|weight| u128::from(*weight)).sum();
    if sum == 0 {
        return vec![0; weights.len()];
    }
    let product = |weight: &u64| u128::from(total) * u128::from(*weight);
    let whole = |weight: &u64| u64::try_from(product(weight) / sum).unwrap_or(total);
    let mut parts: Vec<u64> = weights.iter().map(whole).collect();
    let mut order: Vec<usize> = (0..weights.len()).collect();
    order.sort_by_key(|index| (std::cmp::Reverse(product(&weights[*index]) % sum), *index));
    let left = total - parts.iter().sum::<u64>();
    for index in order.into_iter().take(usize::try_from(left).unwrap_or(usize::MAX)) {
        parts[index] += 1;
    }
    parts
}

/// Accumulates the activity of one engine into rows.
#[derive(Clone, Debug)]
pub struct Meter {
    /// Row of the current interval.
    row: Row,
    /// Wall clock time up to which activity has been recorded.
    recorded_until_ms: u64,
    finished: Vec<Row>,
}

impl Meter {
    /// Creates a meter that starts at `wall_ms`; the part of the interval before that is recorded
    /// as unobserved.
    pub fn new(wall_ms: u64) -> Self {
        let row = Row { interval: wall_ms / INTERVAL_MS, ..Row::default() };
        let mut meter = Meter {
            row,
            recorded_until_ms: wall_ms / INTERVAL_MS * INTERVAL_MS,
            finished: Vec::new(),
        };
        meter.advance(wall_ms, &Activity::Unobserved);
        meter
    }

    /// Sets the attribution of the engine. It applies to the whole current interval, since a row is
    /// attributed as of the end of its interval.
    pub fn set_attribution(&mut self, attribution: &Attribution) {
        self.row.accelerators = attribution.accelerators;
        self.row.owner = attribution.owner.clone();
        self.row.claimant = attribution.claimant.clone();
        self.row.model = attribution.model.clone();
    }

    /// Records that the engine was in `activity` up to `wall_ms`. When the wall clock is set back,
    /// nothing is recorded until it passes the time recorded last.
    pub fn advance(&mut self, wall_ms: u64, activity: &Activity) {
        while self.recorded_until_ms < wall_ms {
            let end = (self.row.interval + 1) * INTERVAL_MS;
            let to = wall_ms.min(end);
            self.row.add(activity, to - self.recorded_until_ms);
            self.recorded_until_ms = to;
            if to == end {
                self.close();
            }
        }
    }

    /// Finishes the current row and starts the one of the next interval.
    fn close(&mut self) {
        let next = Row {
            interval: self.row.interval + 1,
            work: Vec::new(),
            idle_ms: 0,
            unobserved_ms: 0,
            ..self.row.clone()
        };
        self.finished.push(std::mem::replace(&mut self.row, next));
    }

    /// Removes and returns the finished rows, to be written to the table.
    pub fn take_finished(&mut self) -> Vec<Row> {
        std::mem::take(&mut self.finished)
    }
}

/// Teams and model that the time of an engine is attributed to, and the number of accelerators that
/// it counts for.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Attribution {
    /// Number of accelerators of the engine.
    pub accelerators: u32,
    /// Team that owns the upstream.
    pub owner: id::Team,
    /// Team whose claim the engine is assigned to; empty if there is none.
    pub claimant: id::Team,
    /// Claimed model or, without a claim, the first model that the engine serves.
    pub model: id::Model,
}

/// Returns the attribution of each engine of the fleet. Engines are assigned to claims such that
/// all claims are met whenever that is possible. The result depends only on the fleet, so every
/// host computes the same one.
pub fn attributions(fleet: &view::Fleet) -> collections::BTreeMap<id::Upstream, Attribution> {
    let mut engines: Vec<(&view::Upstream, &[id::Model])> = Vec::new();
    for upstream in &fleet.upstreams {
        if let document::Serves::Models(models) = &upstream.entry.serves {
            engines.push((upstream, models));
        }
    }
    engines.sort_by(|a, b| a.0.name.cmp(&b.0.name));
    let assignments = assign(fleet, &engines);
    let attribute = |(index, (upstream, models)): (usize, &(&view::Upstream, &[id::Model]))| {
        let claim = assignments[index].as_ref();
        let attribution = Attribution {
            accelerators: upstream.entry.accelerators,
            owner: upstream.team.clone(),
            claimant: claim.map(|(team, _)| team.clone()).unwrap_or_default(),
            model: claim
                .map(|(_, model)| model.clone())
                .or(models.first().cloned())
                .unwrap_or_default(),
        };
        (upstream.name.clone(), attribution)
    };
    engines.iter().enumerate().map(attribute).collect()
}

/// Team and model of the claim that an engine is assigned to, if any.
type Assignment = Option<(id::Team, id::Model)>;

/// Assigns engines to claims by bipartite matching with augmenting paths: an earlier assignment is
/// moved to another engine if that makes room, so that an engine that serves several models is not
/// occupied by the wrong claim.
fn assign(fleet: &view::Fleet, engines: &[(&view::Upstream, &[id::Model])]) -> Vec<Assignment> {
    let mut assignments: Vec<Assignment> = vec![None; engines.len()];
    for (team, claims) in &fleet.claims {
        for (model, claim) in claims {
            for _ in 0..claim.engines {
                let mut seen = vec![false; engines.len()];
                assign_engine((team.clone(), model.clone()), engines, &mut assignments, &mut seen);
            }
        }
    }
    assignments
}

/// Finds an engine for one unit of a claim, given by its team and model, and moves earlier
/// assignments to other engines if necessary. `seen` marks the engines already tried in this search.
/// Returns false if no assignment exists.
fn assign_engine(
    claimed: (id::Team, id::Model),
    engines: &[(&view::Upstream, &[id::Model])],
    assignments: &mut Vec<Assignment>,
    seen: &mut Vec<bool>,
) -> bool {
    for index in 0..engines.len() {
        if seen[index] || !engines[index].1.contains(&claimed.1) {
            continue;
        }
        seen[index] = true;
        let is_available = match assignments[index].clone() {
            None => true,
            Some(other) => assign_engine(other, engines, assignments, seen),
        };
        if is_available {
            assignments[index] = Some(claimed);
            return true;
        }
    }
    false
}

/// Returns the key of a row; the interval is zero-padded so that keys sort numerically.
///
/// ```
/// use lagoonline::control::ledger;
/// let key = ledger::key(&"e".into(), 28_000_000);
/// assert_eq!(key, "usage/e/000028000000");
/// ```
pub fn key(upstream: &id::Upstream, interval: u64) -> String {
    format!("usage/{upstream}/{interval:012}")
}

/// Writes a row unless the interval already has one.
///
/// A row is only ever inserted and the first one is kept. Otherwise an interval could be counted
/// twice, when a write is retried after its answer was lost or when two stewards both consider
/// themselves the observer of the engine (see the [module](self)).
///
/// # Errors
///
/// [`table::Error::Refused`] or [`table::Error::Unknown`]; the write can be retried in both cases.
pub async fn write<T>(table: &T, upstream: &id::Upstream, row: &Row) -> Result<(), table::Error>
where
    T: table::Table,
{
    let key = key(upstream, row.interval);
    let value = serde_json::to_string(row).unwrap_or_default();
    let checks = vec![table::Check { key: key.clone(), version: 0 }];
    let changes = vec![table::Change::Put { key, value }];
    match table.commit(table::Transaction { checks, changes }).await {
        Ok(_) | Err(table::Error::Conflict { .. }) => Ok(()),
        Err(error) => Err(error),
    }
}

/// Dimension by which usage is aggregated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Grouping {
    /// By the team that is charged.
    Team,
    /// Working time by customer, other time by team.
    Customer,
    /// By model.
    Model,
    /// By upstream.
    Upstream,
    /// By day since the Unix epoch.
    Day,
}

impl std::str::FromStr for Grouping {
    type Err = ParseGroupingError;

    fn from_str(text: &str) -> Result<Self, ParseGroupingError> {
        match text {
            "team" => Ok(Grouping::Team),
            "customer" => Ok(Grouping::Customer),
            "model" => Ok(Grouping::Model),
            "upstream" => Ok(Grouping::Upstream),
            "day" => Ok(Grouping::Day),
            _ => Err(ParseGroupingError),
        }
    }
}

/// Error for a text that does not name a [`Grouping`].
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("usage is by team, customer, model, upstream or day")]
pub struct ParseGroupingError;

/// Usage of one group, in accelerator-milliseconds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Sum {
    /// Working time.
    pub work_ms: u64,
    /// Idle time of claimed engines.
    pub claimed_idle_ms: u64,
    /// Idle time of unclaimed engines.
    pub unclaimed_idle_ms: u64,
    /// Unobserved time.
    pub unobserved_ms: u64,
}

const DAY_MS: u64 = 86_400_000;

/// Aggregates rows. Missing intervals between the first and the last row of an upstream count as
/// unobserved.
pub fn sum<'a, I>(rows: I, grouping: Grouping) -> collections::BTreeMap<String, Sum>
where
    I: IntoIterator<Item = (&'a id::Upstream, &'a Row)>,
{
    let mut sums = collections::BTreeMap::<String, Sum>::new();
    let mut last = collections::BTreeMap::<&id::Upstream, u64>::new();
    let mut ordered: Vec<_> = rows.into_iter().collect();
    ordered.sort_by_key(|(upstream, row)| (*upstream, row.interval));
    for (upstream, row) in ordered {
        let gap = last.insert(upstream, row.interval).map_or(0, |last| row.interval - last - 1);
        // Rows without an attribution have 0 accelerators, which count as one.
        let accelerators = u64::from(row.accelerators.max(1));
        let group = |team: &id::Team, customer: Option<&id::Customer>| match grouping {
            Grouping::Team => team.to_string(),
            // Time that is not spent on a customer is listed under the team that is charged.
            Grouping::Customer => {
                customer.map_or_else(|| format!("{team} (team)"), ToString::to_string)
            }
            Grouping::Model => row.model.to_string(),
            Grouping::Upstream => upstream.to_string(),
            Grouping::Day => (row.interval * INTERVAL_MS / DAY_MS).to_string(),
        };
        for work in &row.work {
            let sum = sums.entry(group(&work.team, Some(&work.customer))).or_default();
            sum.work_ms += work.millis * accelerators;
        }
        let idle = sums.entry(group(row.idle_team(), None)).or_default();
        if row.claimant.as_str().is_empty() {
            idle.unclaimed_idle_ms += row.idle_ms * accelerators;
        } else {
            idle.claimed_idle_ms += row.idle_ms * accelerators;
        }
        let unobserved = sums.entry(group(&row.owner, None)).or_default();
        unobserved.unobserved_ms += (row.unobserved_ms + gap * INTERVAL_MS) * accelerators;
    }
    sums
}
