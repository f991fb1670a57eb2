//! Concurrent operators, teams and hosts, checked for a linear history of each section.

mod fake_table;

use std::cell;
use std::collections;
use std::future;
use std::pin;
use std::rc;
use std::sync;

use fake_table::{FakeTable, Fault};
use lagoonline::control::document;
use lagoonline::control::replication;
use lagoonline::id;
use lagoonline::port::table;
use proptest::prelude::*;
use proptest::test_runner;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const OPERATORS: usize = 3;
const HOSTS: usize = 3;
const TEAMS: [&str; 2] = ["a", "b"];

/// Returns a text that is unique to the put. Every third one, of either team, defines the model
/// `shared`.
fn text(number: u64) -> String {
    let shared = if number.is_multiple_of(3) { r#""shared": {}, "# } else { "" };
    format!(r#"{{"models": {{{shared}"m{number}": {{}}}}}}"#)
}

#[derive(Clone, Debug)]
enum Transition {
    /// An operator starts a put that is edited from the latest version or the one before.
    StartPut { operator: usize, team: usize, stale: bool },
    /// The put of an operator is polled once.
    PollPut { operator: usize },
    /// An operator retries its last put unless that was definitively refused.
    RetryPut { operator: usize },
    /// The next commit fails with this fault.
    Fail(Fault),
    /// Delayed commits take effect.
    ApplyDelayed,
    /// An outage of the table starts or ends.
    Outage(bool),
    /// A host reads all sections from the table.
    Fetch { host: usize },
    /// A host sends another one the sections that it lacks.
    Sync { from: usize, to: usize },
    /// A host sends all its sections; the message stays in flight.
    Send { from: usize },
    /// The oldest message in flight is delivered.
    Deliver { to: usize },
    /// A host is replaced by one without any sections, which then fetches the latest versions from
    /// the table and its peers.
    Replace { host: usize },
}

/// Empty reference state: the system is checked by its invariants only.
#[derive(Clone, Debug, Default)]
struct Reference;

impl ReferenceStateMachine for Reference {
    type State = Reference;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Reference> {
        Just(Reference).boxed()
    }

    fn transitions(_: &Reference) -> BoxedStrategy<Transition> {
        let (operator, host) = (0..OPERATORS, 0..HOSTS);
        prop_oneof![
            4 => (operator.clone(), 0..TEAMS.len(), prop::bool::weighted(0.2))
                .prop_map(|(operator, team, stale)| Transition::StartPut { operator, team, stale }),
            24 => operator.clone().prop_map(|operator| Transition::PollPut { operator }),
            2 => operator.prop_map(|operator| Transition::RetryPut { operator }),
            2 => prop_oneof![Just(Fault::LoseAnswer), Just(Fault::Delay), Just(Fault::Refuse)]
                .prop_map(Transition::Fail),
            2 => Just(Transition::ApplyDelayed),
            1 => any::<bool>().prop_map(Transition::Outage),
            3 => host.clone().prop_map(|host| Transition::Fetch { host }),
            3 => (host.clone(), host.clone()).prop_map(|(from, to)| Transition::Sync { from, to }),
            2 => host.clone().prop_map(|from| Transition::Send { from }),
            2 => host.clone().prop_map(|to| Transition::Deliver { to }),
            1 => host.prop_map(|host| Transition::Replace { host }),
        ]
        .boxed()
    }

    fn apply(state: Reference, _: &Transition) -> Reference {
        state
    }
}

type Result = std::result::Result<id::Version, document::StoreError>;

struct Operator {
    put: document::Put,
    running: Option<pin::Pin<Box<dyn future::Future<Output = Result>>>>,
}

#[derive(Default)]
struct System {
    table: FakeTable,
    unavailable: bool,
    operators: collections::BTreeMap<usize, Operator>,
    hosts: Vec<replication::Replica>,
    /// Messages in flight.
    in_flight: collections::VecDeque<Vec<sync::Arc<document::Section>>>,
    /// Puts that were reported as stored, with the reported version.
    stored: collections::BTreeMap<String, (id::Team, id::Version)>,
    /// Puts whose outcome was reported as unknown. A later error of the table does not tell whether
    /// the earlier attempt took effect.
    unknown: collections::BTreeSet<String>,
    /// Puts that were reported as not stored.
    refused: collections::BTreeSet<String>,
    /// Section texts by history key, as first seen in the history.
    history: rc::Rc<cell::RefCell<collections::BTreeMap<String, String>>>,
    /// Highest version of each section that was ever in force on any host. Only recorded: no check
    /// reads it.
    highest: replication::Versions,
    puts: u64,
}

impl System {
    fn start_put(&mut self, operator: usize, team: usize, stale: bool) {
        let team = id::Team::from(TEAMS[team]);
        let newest = self.table.rows(&document::section_key(&team));
        let newest = newest.first().map_or(0, |row| row.version);
        let base = id::Version(if stale { newest.saturating_sub(1) } else { newest });
        self.puts += 1;
        let (id, text) = (format!("put-{}", self.puts), text(self.puts));
        self.run_put(operator, document::Put { team, base, id, text });
    }

    fn run_put(&mut self, operator: usize, put: document::Put) {
        let (table, owned_put) = (self.table.clone(), put.clone());
        let running: pin::Pin<Box<dyn future::Future<Output = Result>>> =
            Box::pin(async move { document::store(&table, &owned_put).await });
        self.operators.insert(operator, Operator { put, running: Some(running) });
    }

    fn poll_put(&mut self, operator: usize) {
        let Some(operator_state) = self.operators.get_mut(&operator) else { return };
        let Some(running) = &mut operator_state.running else { return };
        let Some(result) = fake_table::poll_once(running.as_mut()) else { return };
        operator_state.running = None;
        let put = operator_state.put.clone();
        match result {
            Ok(version) => {
                let known = self.stored.insert(put.id, (put.team.clone(), version));
                assert!(known.is_none_or(|known| known == (put.team, version)));
            }
            Err(document::StoreError::Table(table::Error::Unknown { .. })) => {
                self.unknown.insert(put.id);
            }
            Err(document::StoreError::Table(_)) if self.may_be_stored(&put.id) => {}
            Err(_) => {
                self.refused.insert(put.id);
            }
        }
    }

    /// Returns whether an earlier attempt of a put was reported as stored or as unknown.
    fn may_be_stored(&self, put: &str) -> bool {
        self.unknown.contains(put) || self.stored.contains_key(put)
    }

    fn retry_put(&mut self, operator: usize) {
        let Some(operator_state) = self.operators.get(&operator) else { return };
        if operator_state.running.is_none() && !self.refused.contains(&operator_state.put.id) {
            let put = operator_state.put.clone();
            self.run_put(operator, put);
        }
    }

    fn fetch(&mut self, host: usize) {
        if self.unavailable {
            return;
        }
        for row in self.table.rows("section/") {
            let team = id::Team::from(row.key.trim_start_matches("section/"));
            let stored: document::Stored = serde_json::from_str(&row.value).unwrap();
            let version = id::Version(row.version);
            let section = document::Section::parse(team, version, &stored.text).unwrap();
            self.hosts[host].apply(section);
        }
    }

    fn sync(&mut self, from: usize, to: usize) {
        let sections = self.hosts[from].newer_than(&self.hosts[to].versions());
        for section in sections {
            self.hosts[to].apply((*section).clone());
        }
    }

    /// The history has no gaps, is never rewritten, and has each put at most once, as it was
    /// reported to its operator.
    fn check_history(&self) {
        let mut next = collections::BTreeMap::<String, u64>::new();
        let mut puts = collections::BTreeMap::<String, String>::new();
        for row in self.table.rows("history/") {
            assert_eq!(row.version, 1, "{} was overwritten", row.key);
            let (team, version) = row.key["history/".len()..].split_once('/').unwrap();
            let expected = next.entry(team.to_owned()).or_insert(1);
            assert_eq!(version.parse::<u64>().unwrap(), *expected, "a gap in the history");
            *expected += 1;
            let stored: document::Stored = serde_json::from_str(&row.value).unwrap();
            let duplicate = puts.insert(stored.put.clone(), row.key.clone());
            assert_eq!(duplicate, None, "{} is stored twice", stored.put);
            assert!(!self.refused.contains(&stored.put), "{} was reported as refused", stored.put);
            let mut history = self.history.borrow_mut();
            let first = history.entry(row.key.clone()).or_insert_with(|| stored.text.clone());
            assert_eq!(*first, stored.text, "history changed");
        }
        for (put, (team, version)) in &self.stored {
            let key = document::history_key(team, *version);
            assert_eq!(puts.get(put), Some(&key), "{put} was reported as stored");
        }
    }

    /// The latest sections are valid together: no name has two owners.
    fn check_consistency(&self) {
        let mut sections = Vec::new();
        for row in self.table.rows("section/") {
            let team = id::Team::from(row.key.trim_start_matches("section/"));
            let stored: document::Stored = serde_json::from_str(&row.value).unwrap();
            let version = id::Version(row.version);
            sections.push(document::Section::parse(team, version, &stored.text).unwrap());
        }
        for section in &sections {
            document::check_document(&sections, section).unwrap();
        }
    }

    /// Every section on a host has the text that the history shows for its version.
    fn check_hosts(&self) {
        let history = self.history.borrow();
        for host in &self.hosts {
            for section in host.sections() {
                let key = document::history_key(&section.team, section.version);
                assert_eq!(history.get(&key).map(String::as_str), Some(&*section.text));
            }
        }
    }
}

impl StateMachineTest for System {
    type SystemUnderTest = System;
    type Reference = Reference;

    fn init_test(_: &Reference) -> System {
        System { hosts: vec![replication::Replica::default(); HOSTS], ..System::default() }
    }

    fn apply(mut system: System, _: &Reference, transition: Transition) -> System {
        let before: Vec<_> = system.hosts.iter().map(replication::Replica::versions).collect();
        let mut replaced = None;
        match transition {
            Transition::StartPut { operator, team, stale } => {
                system.start_put(operator, team, stale)
            }
            Transition::PollPut { operator } => system.poll_put(operator),
            Transition::RetryPut { operator } => system.retry_put(operator),
            Transition::Fail(fault) => system.table.fail_next(fault),
            Transition::ApplyDelayed => system.table.apply_delayed(),
            Transition::Outage(unavailable) => {
                system.unavailable = unavailable;
                system.table.set_unavailable(unavailable);
            }
            Transition::Fetch { host } => system.fetch(host),
            Transition::Sync { from, to } => system.sync(from, to),
            Transition::Send { from } => {
                let sections = system.hosts[from].sections().cloned().collect();
                system.in_flight.push_back(sections);
            }
            Transition::Deliver { to } => {
                for section in system.in_flight.pop_front().into_iter().flatten() {
                    system.hosts[to].apply((*section).clone());
                }
            }
            Transition::Replace { host } => {
                system.hosts[host] = replication::Replica::default();
                replaced = Some(host);
                (0..HOSTS).for_each(|from| system.sync(from, host));
                system.fetch(host);
            }
        }
        for (host, before) in before.iter().enumerate() {
            let is_replaced = replaced == Some(host);
            assert!(
                is_replaced || system.hosts[host].covers(before),
                "versions of host {host} decreased"
            );
        }
        for versions in system.hosts.iter().map(replication::Replica::versions) {
            for (team, version) in versions {
                let highest = system.highest.entry(team).or_default();
                *highest = version.max(*highest);
            }
        }
        system
    }

    fn check_invariants(system: &System, _: &Reference) {
        system.check_history();
        system.check_consistency();
        system.check_hosts();
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    })]

    // Three operators put sections of two teams while answers are lost, writes are delayed and the
    // table is unavailable. Each section must have one linear history without gaps, with each put
    // at most once and as reported to its operator. Versions on a host must never decrease.
    #[test]
    fn each_section_has_a_linear_history(sequential 50..200 => System);
}
