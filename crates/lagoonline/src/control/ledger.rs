//! Whose account each engine-second goes to.
//!
//! Every millisecond of every engine goes to exactly one account: work to the customer's team,
//! idle time to the team whose claim holds the engine, unclaimed idle time to the upstream's
//! owner, and time that nobody saw is shown as unobserved. Sums of a row equal its wall time, to
//! the millisecond: shares are apportioned by largest remainder.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::control::document;
use crate::id;
use crate::port::table;
use crate::view;

/// Length of an interval, in milliseconds.
pub const INTERVAL_MS: u64 = 60_000;

/// Work for one customer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Work {
    /// The customer.
    pub customer: id::Customer,
    /// Its team.
    pub team: id::Team,
    /// Time, in milliseconds.
    pub millis: u64,
}

/// What an engine did for some time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Activity {
    /// It worked for customers, in these shares; none known counts as its owner's work.
    Working(Vec<(id::Customer, id::Team, u64)>),
    /// It had nothing to do.
    Idle,
    /// Nobody saw.
    Unobserved,
}

/// One interval of one engine: the value of a row.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// The interval: its start by the wall clock, divided by [`INTERVAL_MS`].
    pub interval: u64,
    /// Accelerators that the time is multiplied by.
    pub accelerators: u32,
    /// The upstream's owner.
    pub owner: id::Team,
    /// The team whose claim holds the engine; empty for none.
    pub claimant: id::Team,
    /// Model that it served; empty for none.
    pub model: id::Model,
    /// Work, by customer.
    pub work: Vec<Work>,
    /// Idle time, charged to the claimant, or to the owner when there is none, in milliseconds.
    pub idle_ms: u64,
    /// Unobserved time, in milliseconds.
    pub unobserved_ms: u64,
}

impl Row {
    /// All time of the row, in milliseconds; [`INTERVAL_MS`] in every finished one.
    pub fn total_ms(&self) -> u64 {
        self.work.iter().map(|work| work.millis).sum::<u64>() + self.idle_ms + self.unobserved_ms
    }

    /// The team that idle time is charged to.
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

/// Splits `total` by `weights` without losing any: the largest remainders get what is left.
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

/// Follows one engine and closes its intervals.
#[derive(Clone, Debug)]
pub struct Meter {
    row: Row,
    filled_ms: u64,
    finished: Vec<Row>,
}

impl Meter {
    /// A meter that starts at `wall_ms`; the interval's time before that was not observed here.
    pub fn new(wall_ms: u64) -> Self {
        let row = Row { interval: wall_ms / INTERVAL_MS, ..Row::default() };
        let mut meter =
            Meter { row, filled_ms: wall_ms / INTERVAL_MS * INTERVAL_MS, finished: Vec::new() };
        meter.advance(wall_ms, &Activity::Unobserved);
        meter
    }

    /// Sets whose the engine is from now on; a row is charged as its interval ends.
    pub fn set_accounts(&mut self, accounts: &Accounts) {
        self.row.accelerators = accounts.accelerators;
        self.row.owner = accounts.owner.clone();
        self.row.claimant = accounts.claimant.clone();
        self.row.model = accounts.model.clone();
    }

    /// Time went on to `wall_ms`, with the engine doing this. A clock that went back adds nothing
    /// until it is past where it was.
    pub fn advance(&mut self, wall_ms: u64, activity: &Activity) {
        while self.filled_ms < wall_ms {
            let end = (self.row.interval + 1) * INTERVAL_MS;
            let to = wall_ms.min(end);
            self.row.add(activity, to - self.filled_ms);
            self.filled_ms = to;
            if to == end {
                self.close();
            }
        }
    }

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

    /// Takes the finished rows, to be written.
    pub fn take(&mut self) -> Vec<Row> {
        std::mem::take(&mut self.finished)
    }
}

/// Whose an engine's time is.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Accounts {
    /// Accelerators.
    pub accelerators: u32,
    /// The upstream's owner.
    pub owner: id::Team,
    /// The team whose claim holds it; empty for none.
    pub claimant: id::Team,
    /// Its first model.
    pub model: id::Model,
}

/// Whose each engine of the fleet is. Claims are given engines so that all are met whenever that
/// is possible, and the same fleet always gives the same result, on every host.
pub fn accounts(fleet: &view::Fleet) -> collections::BTreeMap<id::Upstream, Accounts> {
    let mut engines: Vec<(&view::Upstream, &[id::Model])> = Vec::new();
    for upstream in &fleet.upstreams {
        if let document::Serves::Models(models) = &upstream.entry.serves {
            engines.push((upstream, models));
        }
    }
    engines.sort_by(|a, b| a.0.name.cmp(&b.0.name));
    let holders = assign(fleet, &engines);
    let account = |(index, (upstream, models)): (usize, &(&view::Upstream, &[id::Model]))| {
        let claim = holders[index].as_ref();
        let accounts = Accounts {
            accelerators: upstream.entry.accelerators,
            owner: upstream.team.clone(),
            claimant: claim.map(|(team, _)| team.clone()).unwrap_or_default(),
            model: claim
                .map(|(_, model)| model.clone())
                .or(models.first().cloned())
                .unwrap_or_default(),
        };
        (upstream.name.clone(), accounts)
    };
    engines.iter().enumerate().map(account).collect()
}

type Holder = Option<(id::Team, id::Model)>;

/// Gives each claimed engine to a claim, moving earlier ones where that makes room (augmenting
/// paths, so that engines of several models are not taken by the wrong claim).
fn assign(fleet: &view::Fleet, engines: &[(&view::Upstream, &[id::Model])]) -> Vec<Holder> {
    let mut holders: Vec<Holder> = vec![None; engines.len()];
    for (team, claims) in &fleet.claims {
        for (model, claim) in claims {
            for _ in 0..claim.engines {
                let mut seen = vec![false; engines.len()];
                place((team.clone(), model.clone()), engines, &mut holders, &mut seen);
            }
        }
    }
    holders
}

fn place(
    slot: (id::Team, id::Model),
    engines: &[(&view::Upstream, &[id::Model])],
    holders: &mut Vec<Holder>,
    seen: &mut Vec<bool>,
) -> bool {
    for index in 0..engines.len() {
        if seen[index] || !engines[index].1.contains(&slot.1) {
            continue;
        }
        seen[index] = true;
        let is_free = match holders[index].clone() {
            None => true,
            Some(other) => place(other, engines, holders, seen),
        };
        if is_free {
            holders[index] = Some(slot);
            return true;
        }
    }
    false
}

/// Key of a row; intervals sort as numbers.
///
/// ```
/// use lagoonline::control::ledger;
/// let key = ledger::key(&"e".into(), 28_000_000);
/// assert_eq!(key, "usage/e/000028000000");
/// ```
pub fn key(upstream: &id::Upstream, interval: u64) -> String {
    format!("usage/{upstream}/{interval:012}")
}

/// Writes a row unless the interval has one already.
///
/// Failure answered: the answer to a write is lost and it is repeated, or two stewards both hold
/// themselves the observer. Symptom: an interval counts twice. Its row is only ever inserted, so
/// whichever came first stands.
///
/// # Errors
///
/// `Refused` or `Unknown`: write it again.
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

/// What usage is summed by.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Grouping {
    /// The team charged.
    Team,
    /// The customer, for work; other time by team.
    Customer,
    /// The model.
    Model,
    /// The upstream.
    Upstream,
    /// The day, counted from the Unix epoch.
    Day,
}

impl std::str::FromStr for Grouping {
    type Err = BadGrouping;

    fn from_str(text: &str) -> Result<Self, BadGrouping> {
        match text {
            "team" => Ok(Grouping::Team),
            "customer" => Ok(Grouping::Customer),
            "model" => Ok(Grouping::Model),
            "upstream" => Ok(Grouping::Upstream),
            "day" => Ok(Grouping::Day),
            _ => Err(BadGrouping),
        }
    }
}

/// The text is not a grouping.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("usage is by team, customer, model, upstream or day")]
pub struct BadGrouping;

/// Accelerator-milliseconds of one group.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Sum {
    /// Work.
    pub work_ms: u64,
    /// Idle time under a claim.
    pub claimed_idle_ms: u64,
    /// Idle time without one.
    pub unclaimed_idle_ms: u64,
    /// Time that nobody saw.
    pub unobserved_ms: u64,
}

const DAY_MS: u64 = 86_400_000;

/// Sums rows; intervals without a row between an upstream's first and last are unobserved.
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
        let times = u64::from(row.accelerators.max(1));
        let group = |team: &id::Team, customer: Option<&id::Customer>| match grouping {
            Grouping::Team => team.to_string(),
            Grouping::Customer => {
                customer.map_or_else(|| format!("{team} (team)"), ToString::to_string)
            }
            Grouping::Model => row.model.to_string(),
            Grouping::Upstream => upstream.to_string(),
            Grouping::Day => (row.interval * INTERVAL_MS / DAY_MS).to_string(),
        };
        for work in &row.work {
            let sum = sums.entry(group(&work.team, Some(&work.customer))).or_default();
            sum.work_ms += work.millis * times;
        }
        let idle = sums.entry(group(row.idle_team(), None)).or_default();
        if row.claimant.as_str().is_empty() {
            idle.unclaimed_idle_ms += row.idle_ms * times;
        } else {
            idle.claimed_idle_ms += row.idle_ms * times;
        }
        let unobserved = sums.entry(group(&row.owner, None)).or_default();
        unobserved.unobserved_ms += (row.unobserved_ms + gap * INTERVAL_MS) * times;
    }
    sums
}
