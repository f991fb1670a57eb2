//! Replication of sections by deltas, compared with the exact text of each version.

use lagoonline::control::delta_log;
use lagoonline::control::document;
use lagoonline::control::replication;
use lagoonline::id;
use proptest::prelude::*;
use proptest::test_runner;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const HOSTS: usize = 4;
const TEAM: &str = "a";

#[derive(Clone, Debug)]
enum Transition {
    /// An operator stores the next version with another weight of one customer, sometimes also with
    /// different whitespace.
    Edit { customer: usize, weight: u32, extra_space: bool },
    /// An operator stores the next version with the order of the customers rotated.
    Rotate { by: u32 },
    /// A host reads the latest version from the table.
    Fetch { host: usize },
    /// A host sends its version to another one: as deltas from the version that the other has now,
    /// which stay in flight, or at once as the whole text if there are no deltas for that.
    Offer { from: usize, to: usize },
    /// The oldest or the newest offer in flight is delivered. It stays in flight, so it can be
    /// delivered again.
    Deliver { newest: bool },
    /// The newest offer in flight loses a step or gets additional text.
    Corrupt { drops_step: bool },
    /// A host is replaced by one without any sections.
    Replace { host: usize },
}

/// Empty reference state: the system is checked by its invariants only.
#[derive(Clone, Debug, Default)]
struct Reference;

impl ReferenceStateMachine for Reference {
    type State = Reference;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self::State> {
        Just(Reference).boxed()
    }

    fn transitions(_: &Self::State) -> BoxedStrategy<Self::Transition> {
        let host = || 0..HOSTS;
        let edit = (0..30_usize, 1..9_u32, any::<bool>());
        prop_oneof![
            4 => edit.prop_map(|(customer, weight, extra_space)| {
                Transition::Edit { customer, weight, extra_space }
            }),
            1 => any::<u32>().prop_map(|by| Transition::Rotate { by }),
            2 => host().prop_map(|host| Transition::Fetch { host }),
            6 => (host(), host()).prop_map(|(from, to)| Transition::Offer { from, to }),
            6 => any::<bool>().prop_map(|newest| Transition::Deliver { newest }),
            1 => any::<bool>().prop_map(|drops_step| Transition::Corrupt { drops_step }),
            1 => host().prop_map(|host| Transition::Replace { host }),
        ]
        .boxed()
    }

    fn apply(state: Self::State, _: &Self::Transition) -> Self::State {
        state
    }
}

/// Returns the entry of one customer in the section's text.
fn entry(customer: usize, weight: u32) -> String {
    format!(r#""c{customer}": {{"weight": {weight}, "tokens_per_second": 1000}}"#)
}

fn text(entries: &[String]) -> String {
    format!(r#"{{"customers": {{{}}}}}"#, entries.join(", "))
}

#[derive(Clone, Default)]
struct Host {
    replica: replication::Replica,
    log: delta_log::DeltaLog,
}

struct Offer {
    to: usize,
    version: id::Version,
    deltas: Vec<document::Delta>,
}

struct System {
    entries: Vec<String>,
    /// Texts of all versions, starting with version 1.
    history: Vec<String>,
    hosts: Vec<Host>,
    offers: Vec<Offer>,
}

fn team() -> id::Team {
    id::Team::from(TEAM)
}

impl Host {
    fn section(&self) -> Option<&document::Section> {
        self.replica.section(&team()).map(std::sync::Arc::as_ref)
    }

    /// Applies a received section and records its delta, as a steward does.
    fn accept(&mut self, version: id::Version, text: &str) {
        let Ok(section) = document::Section::parse(team(), version, text) else { return };
        let old = self.section().cloned();
        if self.replica.apply(section)
            && let (Some(old), Some(new)) = (old, self.section().cloned())
        {
            self.log.record(&old, &new);
        }
    }
}

impl System {
    fn store(&mut self) {
        self.history.push(text(&self.entries));
    }

    fn newest(&self) -> id::Version {
        id::Version(self.history.len() as u64)
    }

    fn offer(&mut self, from: usize, to: usize) {
        let Some(section) = self.hosts[from].section().cloned() else { return };
        let known = self.hosts[to].replica.version(&team());
        let deltas = self.hosts[from].log.since(known, &section);
        if deltas.is_empty() {
            self.hosts[to].accept(section.version, &section.text);
            return;
        }
        self.offers.push(Offer { to, version: section.version, deltas });
    }

    fn deliver(&mut self, newest: bool) {
        let offer = if newest { self.offers.last() } else { self.offers.first() };
        let Some(offer) = offer else { return };
        let host = &mut self.hosts[offer.to];
        if let Some(text) = delta_log::apply(host.section(), &offer.deltas) {
            host.accept(offer.version, &text);
        }
    }

    fn corrupt(&mut self, drops_step: bool) {
        let delta = self.offers.last_mut().and_then(|offer| offer.deltas.last_mut());
        let Some(delta) = delta else { return };
        if drops_step {
            delta.steps.pop();
        } else {
            delta.steps.push(document::Step::Insert(" ".to_owned()));
        }
    }
}

impl StateMachineTest for System {
    type Reference = Reference;
    type SystemUnderTest = System;

    fn init_test(_: &Reference) -> System {
        let entries = (0..30).map(|customer| entry(customer, 1)).collect();
        let hosts = vec![Host::default(); HOSTS];
        let mut system = System { entries, history: Vec::new(), hosts, offers: Vec::new() };
        system.store();
        system
    }

    fn apply(mut system: System, _: &Reference, transition: Transition) -> System {
        match transition {
            Transition::Edit { customer, weight, extra_space } => {
                let spaces = if extra_space { "  " } else { "" };
                system.entries[customer] = format!("{}{spaces}", entry(customer, weight));
                system.store();
            }
            Transition::Rotate { by } => {
                let count = system.entries.len();
                system.entries.rotate_left(by as usize % count);
                system.store();
            }
            Transition::Fetch { host } => {
                let newest = system.newest();
                let text = system.history[newest.0 as usize - 1].clone();
                system.hosts[host].accept(newest, &text);
            }
            Transition::Offer { from, to } => system.offer(from, to),
            Transition::Deliver { newest } => system.deliver(newest),
            Transition::Corrupt { drops_step } => system.corrupt(drops_step),
            Transition::Replace { host } => system.hosts[host] = Host::default(),
        }
        system
    }

    fn check_invariants(system: &System, _: &Reference) {
        for host in &system.hosts {
            let Some(section) = host.section() else { continue };
            assert_eq!(*section.text, system.history[section.version.0 as usize - 1]);
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(20_261_203),
        ..ProptestConfig::default()
    })]

    // Hosts receive deltas late, twice, out of order and corrupt, and based on versions that they
    // may no longer have. Every section that a host accepts must have the exact text of its
    // version.
    #[test]
    fn replicated_sections_have_exact_texts(sequential 50..200 => System);
}

#[test]
fn the_delta_of_scattered_changes_is_small() {
    // Three changes in different places of a section with 1,300 customers must not make the delta
    // cover the unchanged text between them.
    let entries: Vec<_> = (0..1_300).map(|customer| entry(customer, 1)).collect();
    let old = text(&entries);
    let mut entries = entries;
    entries[5] = entry(5, 7);
    entries[1_200] = entry(1_200, 7);
    entries.insert(600, entry(9_999, 3));
    let new = text(&entries);
    let version = |version, text| document::VersionedText { version: id::Version(version), text };
    let delta = document::Delta::new(version(1, &old), version(2, &new));
    assert_eq!(delta.apply(&old).as_deref(), Some(&*new));
    // Three changed entries of about 50 bytes each, and the copies between them.
    assert!(delta.size() < 400, "{} bytes of {}", delta.size(), new.len());
}
