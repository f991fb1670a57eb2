//! The local copy of a table of a store that is restored from older copies: answers come late, versions
//! are given out again, and hosts read the store or each other.

use std::collections;

use lagoonline::routing::{Delta, Mirror, Revision, Row};
use proptest::prelude::*;
use rstest::rstest;

type Values = collections::BTreeMap<String, Vec<u8>>;

/// A store of one table, with its whole history.
#[derive(Clone, Debug, Default)]
struct Store {
    era: u64,
    /// One change for each version.
    changes: Vec<(String, Option<Vec<u8>>)>,
    /// Versions up to which the history of changes is forgotten.
    forgotten: usize,
}

impl Store {
    fn revision(&self) -> Revision {
        Revision { era: self.era, version: self.changes.len() as u64 }
    }

    fn values(&self) -> Values {
        let mut values = Values::new();
        for (key, value) in &self.changes {
            match value {
                Some(value) => drop(values.insert(key.clone(), value.clone())),
                None => drop(values.remove(key)),
            }
        }
        values
    }

    /// Returns the rows whose last change came after `version`.
    fn rows_after(&self, version: usize) -> Vec<Row> {
        let mut last = collections::BTreeMap::new();
        for (index, (key, value)) in self.changes.iter().enumerate().skip(version) {
            let revision = Revision { era: self.era, version: index as u64 + 1 };
            last.insert(key, Row { key: key.clone(), value: value.clone(), revision });
        }
        last.into_values().collect()
    }

    /// Answers a host that has read up to `known`, without a look at its era.
    fn answer(&self, known: Option<Revision>) -> Option<Delta> {
        let revision = self.revision();
        let Some(known) = known else {
            let rows = self.rows_after(0).into_iter().filter(|row| row.value.is_some()).collect();
            return Some(Delta { rows, since: None, revision });
        };
        let version = usize::try_from(known.version).unwrap();
        let has_history = (self.forgotten..=self.changes.len()).contains(&version);
        has_history.then(|| Delta { rows: self.rows_after(version), since: Some(known), revision })
    }
}

/// A host with its copy of the table, and the latest era that it has seen.
#[derive(Debug)]
struct Host {
    mirror: Mirror,
    era: u64,
}

impl Host {
    fn new() -> Host {
        Host { mirror: Mirror::new(|_, known, value| known == value), era: 0 }
    }

    /// Returns the revision after which it asks for changes; `None` if it asks for all rows.
    fn known(&self) -> Option<Revision> {
        self.mirror.revision().filter(|revision| revision.era == self.era)
    }

    fn take(&mut self, answer: Option<Delta>) {
        let Some(delta) = answer else { return self.mirror.mark_incomplete() };
        if delta.revision.era >= self.era {
            self.era = delta.revision.era;
            self.mirror.apply(delta);
        }
    }

    fn values(&self) -> Values {
        let rows = self.mirror.rows();
        rows.map(|row| (row.key.clone(), row.value.clone().unwrap())).collect()
    }
}

const HOSTS: usize = 3;

/// One step of a schedule.
#[derive(Clone, Debug)]
enum Step {
    Write(u8, Option<u8>),
    Forget,
    /// Restores the store as it was this share of its history ago, in 1/16.
    Restore(usize),
    /// A host starts anew.
    Start(usize),
    /// The store answers a host; the answer arrives after this many further steps.
    Read(usize, usize),
    /// A host answers another one that asks it.
    Relay(usize, usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    let host = 0..HOSTS;
    prop_oneof![
        6 => (0..4_u8, proptest::option::weighted(0.8, 0..3_u8))
            .prop_map(|(key, value)| Step::Write(key, value)),
        1 => Just(Step::Forget),
        2 => (0..=16_usize).prop_map(Step::Restore),
        1 => host.clone().prop_map(Step::Start),
        8 => (host.clone(), 0..6_usize).prop_map(|(host, late)| Step::Read(host, late)),
        6 => (host.clone(), host, 0..6_usize)
            .prop_map(|(from, to, late)| Step::Relay(from, to, late)),
    ]
}

/// Plays a schedule, and checks after each step that a complete copy is the store as of its revision.
fn play(steps: &[Step]) -> Result<(), TestCaseError> {
    let mut store = Store { era: 1, ..Store::default() };
    let mut hosts: Vec<_> = (0..HOSTS).map(|_| Host::new()).collect();
    let mut history = collections::HashMap::new();
    let mut late: Vec<(usize, usize, Option<Delta>)> = Vec::new();
    history.insert(store.revision(), store.values());
    for (now, step) in steps.iter().enumerate() {
        match *step {
            Step::Write(key, value) => {
                let value = value.map(|value| vec![value]);
                store.changes.push((key.to_string(), value));
            }
            Step::Forget => store.forgotten = store.changes.len(),
            Step::Restore(share) => {
                store.changes.truncate(store.changes.len() * share / 16);
                store.forgotten = store.forgotten.min(store.changes.len());
                store.era += 1;
            }
            Step::Start(host) => {
                hosts[host] = Host::new();
                late.retain(|(_, to, _)| *to != host);
            }
            Step::Read(host, delay) => {
                late.push((now + delay, host, store.answer(hosts[host].known())));
            }
            Step::Relay(from, to, delay) => {
                let known = hosts[to].mirror.revision();
                if let Some(delta) = hosts[from].mirror.changes_since(known) {
                    late.push((now + delay, to, Some(delta)));
                }
            }
        }
        history.insert(store.revision(), store.values());
        let (due, left): (Vec<_>, Vec<_>) = late.into_iter().partition(|(at, ..)| *at <= now);
        late = left;
        for (_, host, answer) in due {
            hosts[host].take(answer);
        }
        for host in &hosts {
            if let Some(revision) = host.mirror.revision() {
                prop_assert_eq!(&host.values(), &history[&revision], "as of {}", revision);
            }
        }
    }
    for host in &mut hosts {
        // A change of the era or a lost history costs one more answer.
        for _ in 0..2 {
            host.take(store.answer(host.known()));
        }
        prop_assert_eq!(host.values(), store.values());
    }
    Ok(())
}

/// Number of schedules; `LAGOON_FUZZ_CASES` overrides it.
fn cases() -> u32 {
    std::env::var("LAGOON_FUZZ_CASES").map_or(2_000, |cases| cases.parse().unwrap_or(2_000))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: cases(),
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(71),
        ..ProptestConfig::default()
    })]

    /// Whatever is lost, late or told by other hosts, a copy never mixes two histories of the store, and
    /// ends as the store's rows.
    #[test]
    fn a_copy_is_the_store_as_of_its_revision(steps in prop::collection::vec(step(), 1..80)) {
        play(&steps)?;
    }
}

fn row(era: u64, version: u64, value: &str) -> Row {
    let revision = Revision { era, version };
    Row { key: "k".to_owned(), value: Some(value.into()), revision }
}

/// Returns all rows as of a revision.
fn all(era: u64, version: u64, rows: Vec<Row>) -> Delta {
    Delta { rows, since: None, revision: Revision { era, version } }
}

/// A row that was last written before the copy was made is read again with the same version. It must be
/// reported once more, since what is known of it besides may have been undone in the lost part.
#[rstest]
fn the_first_rows_of_an_era_are_all_reported() {
    let mut mirror = Mirror::new(|_, known, value| known == value);
    mirror.apply(all(1, 9, vec![row(1, 2, "a")]));
    let first = all(2, 5, vec![row(2, 2, "a")]);
    assert_eq!(mirror.apply(first.clone()), Some(vec![row(2, 2, "a")]));
    assert_eq!(mirror.apply(first), Some(vec![]));
}

/// Versions have passed the one that a host asks for, so that the store answers with changes. They are
/// of another history, and the host must read all rows.
#[rstest]
fn changes_of_a_later_era_are_not_added_to_an_earlier_one() {
    let mut mirror = Mirror::new(|_, known, value| known == value);
    mirror.apply(all(1, 9, vec![row(1, 9, "a")]));
    let since = mirror.revision();
    assert_eq!(mirror.apply(Delta { since, ..all(2, 12, vec![]) }), None);
    assert_eq!(mirror.revision(), None);
}

/// A row is removed and written again with the same value between two reads of the host that reads for
/// others, which sees no change by it. A host that has read the removal must get the row.
#[rstest]
fn a_row_that_was_removed_meanwhile_is_handed_on() {
    let mut reader = Mirror::new(|_, known, value| known == value);
    reader.apply(all(1, 4, vec![row(1, 4, "a")]));
    let since = reader.revision();
    let again = Delta { since, ..all(1, 6, vec![row(1, 6, "a")]) };
    assert_eq!(reader.apply(again), Some(vec![]));
    let mut other = Mirror::new(|_, known, value| known == value);
    other.apply(all(1, 5, vec![]));
    let told = reader.changes_since(other.revision()).unwrap();
    assert_eq!(other.apply(told), Some(vec![row(1, 6, "a")]));
}

/// The history of a host is gone, and before it has read the table again another host hands on older rows.
/// They must not be taken for those of its own revision.
#[rstest]
fn older_rows_do_not_complete_a_copy() {
    let mut mirror = Mirror::new(|_, known, value| known == value);
    mirror.apply(all(1, 5, vec![]));
    mirror.mark_incomplete();
    assert_eq!(mirror.apply(all(1, 4, vec![row(1, 4, "a")])), None);
    assert_eq!((mirror.revision(), mirror.rows().count()), (None, 0));
}

/// A row that is handed on late was removed before the copy was read, which therefore has no trace of it.
#[rstest]
fn a_row_from_before_the_history_of_a_copy_is_ignored() {
    let mut mirror = Mirror::new(|_, known, value| known == value);
    mirror.apply(all(1, 2, vec![]));
    let since = mirror.revision();
    mirror.mark_incomplete();
    mirror.apply(all(1, 5, vec![]));
    let late = Delta { since, ..all(1, 4, vec![row(1, 4, "a")]) };
    assert_eq!(mirror.apply(late), Some(vec![]));
}

/// A row is added and removed between two reads of the whole table. A host that has read it in between
/// must not be told that nothing changed.
#[rstest]
fn a_list_of_all_rows_is_no_history() {
    let mut reader = Mirror::new(|_, known, value| known == value);
    reader.apply(all(1, 2, vec![]));
    reader.apply(all(1, 4, vec![]));
    let mut other = Mirror::new(|_, known, value| known == value);
    other.apply(all(1, 3, vec![row(1, 3, "a")]));
    other.apply(reader.changes_since(other.revision()).unwrap());
    assert_eq!(other.rows().count(), 0);
}

/// A host that asks another one is told of a new era even if no row changed by it.
#[rstest]
fn a_host_of_an_earlier_era_is_told_of_the_later_one() {
    let mut reader = Mirror::new(|_, known, value| known == value);
    reader.apply(all(1, 9, vec![row(1, 2, "a")]));
    let known = reader.revision().unwrap();
    assert!(!reader.is_ahead_of(known));
    reader.apply(all(2, 5, vec![row(2, 2, "a")]));
    assert!(reader.is_ahead_of(known));
    let told = reader.changes_since(Some(known)).unwrap();
    assert_eq!(told.since, None);
}
