//! The registry of upstreams: statements that come late, twice or out of order, and entries that vanish
//! around an outage of the platform.

use std::net;

use lagoonline::clock::Moment;
use lagoonline::id;
use lagoonline::routing::{self, DepartureCause, Effect, Older};
use proptest::prelude::*;
use rstest::rstest;

/// Zone of the host whose registry is tested.
const OWN_ZONE: &str = "z";

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

/// A revision of an era without restores.
fn revision(version: u64) -> routing::Revision {
    routing::Revision { era: 1, version }
}

fn registry() -> routing::Registry {
    routing::Registry::new(routing::RegistrySettings::default(), id::Zone::from(OWN_ZONE))
}

/// An entry of the upstream `u`.
#[derive(Clone, Copy, Debug)]
struct Entry {
    leaving: bool,
    life: u64,
    sequence: u64,
    zone: &'static str,
}

const READY: Entry = Entry { leaving: false, life: 1, sequence: 0, zone: OWN_ZONE };
const LEAVING: Entry = Entry { leaving: true, ..READY };

impl Entry {
    fn at_version(self, version: u64) -> routing::Change {
        let registration = routing::Registration {
            upstream: id::Upstream::from("u"),
            service: id::Service::from("s"),
            address: net::SocketAddr::from(([127, 0, 0, 1], 80)),
            zone: id::Zone::from(self.zone),
            slots: 4,
            leaving: self.leaving,
            started_ms: self.life,
            cold: None,
        };
        routing::Change::Put(routing::Listing {
            registration,
            sequence: self.sequence,
            revision: revision(version),
        })
    }
}

fn removed(version: u64) -> routing::Change {
    routing::Change::Removed { upstream: id::Upstream::from("u"), revision: revision(version) }
}

fn departure(life: u64, cause: DepartureCause) -> routing::Departure {
    routing::Departure { upstream: id::Upstream::from("u"), started_ms: life, cause }
}

/// Whether `u` gets new requests.
fn is_used(registry: &routing::Registry) -> bool {
    registry.entries().any(|entry| !entry.leaving)
}

/// Registrations expired during an outage of the platform. Its first answer lacks a live upstream,
/// which registers again soon after; if it were dropped at once, callers would have no upstream.
#[rstest]
fn a_registration_that_expired_in_an_outage_is_kept_for_a_while() {
    let mut registry = registry();
    registry.apply(READY.at_version(1), at(0));
    registry.record_recovery(at(8_900), at(9_000));
    assert_eq!(registry.apply(removed(2), at(9_010)), Effect::Kept(at(10_900)));
    assert!(registry.expire(at(10_800)).is_empty());
    assert!(is_used(&registry));
    assert_eq!(registry.expire(at(10_900)).len(), 1);
    assert!(!is_used(&registry));
}

/// A kept upstream says itself, or through another host, that it leaves. Its row is gone already, so that
/// nothing would ever take its entry from the list.
#[rstest]
fn a_kept_upstream_that_announces_its_departure_is_listed_no_longer() {
    let mut registry = registry();
    registry.apply(READY.at_version(1), at(0));
    registry.record_recovery(at(8_900), at(9_000));
    registry.apply(removed(2), at(9_010));
    let announced = departure(1, DepartureCause::Announced);
    let effect = registry.learn(&announced, at(9_020));
    assert_eq!(effect, Effect::Departed { departure: announced, witnessed: true });
    assert_eq!((registry.entries().count(), registry.kept()), (0, 0));
    let again = registry.apply(READY.at_version(3), at(9_500));
    assert_eq!((again, is_used(&registry)), (Effect::Ignored(Older::AfterAnnouncement), false));
}

/// The platform recovered three seconds ago. A registration that vanishes now did not expire in the
/// outage: its upstream left without notice, and if it were kept, requests would be sent to it for
/// longer than the bound on leaving upstreams allows.
#[rstest]
fn a_registration_that_vanishes_after_the_recovery_is_dropped_at_once() {
    let mut registry = registry();
    registry.apply(READY.at_version(1), at(0));
    registry.record_recovery(at(8_900), at(9_000));
    registry.apply(removed(2), at(12_000));
    assert!(!is_used(&registry));
}

/// An upstream that announced that it is leaving must not be kept after an outage.
#[rstest]
fn a_leaving_registration_is_not_kept() {
    let mut registry = registry();
    registry.apply(LEAVING.at_version(1), at(0));
    registry.record_recovery(at(5), at(10));
    assert_eq!(registry.apply(removed(2), at(20)), Effect::Forgotten);
    assert_eq!(registry.entries().count(), 0);
}

/// A connection timeout and a pause lie between the end of an outage and the moment at which a host
/// notices it. Counted from that moment, a vanished upstream got requests until the host had been
/// in touch with the platform for longer than the bound allows.
#[rstest]
#[case::notices_at_once(10_000)]
#[case::notices_after_a_connection_timeout(11_400)]
#[case::notices_very_late(13_500)]
fn a_host_that_notices_late_keeps_a_vanished_upstream_no_longer(#[case] answered: u64) {
    let (mut registry, settings) = (registry(), routing::RegistrySettings::default());
    registry.apply(READY.at_version(1), at(0));
    registry.record_recovery(at(10_000), at(answered));
    registry.apply(removed(2), at(answered + 50));
    registry.expire(at(10_000) + settings.grace_after_failure);
    assert!(!is_used(&registry));
    registry.apply(READY.at_version(3), at(answered + 3_000));
    assert!(is_used(&registry));
}

/// A host of the upstream's zone that the platform served all the while read the removal: the entry
/// did not expire in an outage of that zone, so another host does not keep it after its own.
#[rstest]
#[case::before_this_host_is_back(false)]
#[case::while_it_is_kept(true)]
fn a_removal_that_a_host_of_the_zone_witnessed_ends_the_use(#[case] is_kept: bool) {
    let mut registry = registry();
    registry.apply(READY.at_version(1), at(0));
    if is_kept {
        registry.record_recovery(at(8_900), at(9_000));
        registry.apply(removed(7), at(9_010));
    }
    let departure = departure(1, DepartureCause::Removed { revision: revision(7) });
    let effect = registry.learn(&departure, at(9_020));
    assert_eq!(effect, Effect::Departed { departure, witnessed: true });
    assert!(!is_used(&registry));
}

/// What a host has noticed of an outage when it reads that an entry was removed at 10 s.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outage {
    None,
    /// Its calls for the list failed, and the time for which it keeps entries is over.
    Recovered,
    /// A call for another table failed.
    CallFailed,
    /// A call for another table failed long ago.
    CallFailedLongAgo,
}

/// A zone was cut off, or the platform was out of reach, and the entries of live upstreams expired.
/// A host of another zone, or one that may have had the outage too, cannot tell these from upstreams
/// that left, and must not tell others to drop them.
#[rstest]
#[case::another_zone("other", Outage::None, false)]
#[case::own_zone(OWN_ZONE, Outage::None, true)]
#[case::after_an_outage(OWN_ZONE, Outage::Recovered, false)]
#[case::after_a_failed_call(OWN_ZONE, Outage::CallFailed, false)]
#[case::long_after_a_failed_call(OWN_ZONE, Outage::CallFailedLongAgo, true)]
fn only_a_host_of_the_zone_without_outage_witnesses_a_removal(
    #[case] zone: &'static str,
    #[case] outage: Outage,
    #[case] expected: bool,
) {
    let mut registry = registry();
    registry.apply(Entry { zone, ..READY }.at_version(1), at(0));
    match outage {
        Outage::None => {}
        Outage::Recovered => registry.record_recovery(at(4_000), at(8_500)),
        Outage::CallFailed => registry.record_failure(at(9_000)),
        Outage::CallFailedLongAgo => registry.record_failure(at(3_000)),
    }
    let effect = registry.apply(removed(2), at(10_000));
    assert!(matches!(effect, Effect::Departed { witnessed, .. } if witnessed == expected));
    assert_eq!(registry.departures().count(), usize::from(expected));
}

/// An entry that was spoiled by another writer tells nothing of its upstream.
#[rstest]
fn a_spoiled_entry_is_no_departure_for_others() {
    let mut registry = registry();
    registry.apply(READY.at_version(1), at(0));
    let upstream = id::Upstream::from("u");
    let effect =
        registry.apply(routing::Change::Invalid { upstream, revision: revision(2) }, at(10));
    assert!(matches!(effect, Effect::Departed { witnessed: false, .. }));
    registry.apply(READY.at_version(3), at(20));
    assert!(is_used(&registry));
}

/// A late write brought the entry from before the announcement back, and the upstream got requests
/// until it ended.
#[rstest]
#[case::with_a_lower_sequence(3)]
#[case::with_no_sequence(0)]
#[case::with_a_higher_sequence(9)]
fn an_announced_departure_is_final_within_its_lifetime(#[case] sequence: u64) {
    let mut registry = registry();
    registry.apply(Entry { sequence: 4, ..READY }.at_version(1), at(0));
    registry.apply(Entry { sequence: 5, ..LEAVING }.at_version(2), at(10));
    let effect = registry.apply(Entry { sequence, ..READY }.at_version(3), at(20));
    assert!(matches!(effect, Effect::Ignored(_)));
    registry.apply(removed(4), at(30));
    registry.apply(READY.at_version(5), at(40));
    registry.expire(at(50_000));
    assert!(!is_used(&registry));
    registry.apply(Entry { life: 2, ..READY }.at_version(6), at(50_010));
    assert!(is_used(&registry));
}

/// The upstream left without notice, and a write that it made before was carried out after that.
#[rstest]
fn an_entry_with_an_earlier_report_does_not_undo_a_removal() {
    let mut registry = registry();
    registry.apply(Entry { sequence: 8, ..READY }.at_version(1), at(0));
    registry.apply(removed(2), at(10));
    let effect = registry.apply(Entry { sequence: 7, ..READY }.at_version(3), at(20));
    assert_eq!(effect, Effect::Ignored(Older::EarlierReport));
    assert!(!is_used(&registry));
}

/// Two ways deliver changes of the list in opposite orders: an entry and its removal.
#[rstest]
#[case::listed_before(true)]
#[case::not_listed_before(false)]
fn an_entry_that_comes_after_its_removal_is_not_followed(#[case] listed: bool) {
    let mut registry = registry();
    if listed {
        registry.apply(READY.at_version(1), at(0));
    }
    registry.apply(removed(3), at(10));
    let effect = registry.apply(READY.at_version(2), at(20));
    assert_eq!(effect, Effect::Ignored(Older::BeforeRemoval));
    assert!(!is_used(&registry));
}

/// Other hosts' statements may be older than the entry: the upstream has registered again since, or has
/// started again under its name. A live upstream must not be avoided for them.
#[rstest]
#[case::removed_before_the_entry(7, DepartureCause::Removed { revision: revision(4) })]
#[case::an_earlier_lifetime_was_removed(6, DepartureCause::Removed { revision: revision(9) })]
#[case::an_earlier_lifetime_announced(6, DepartureCause::Announced)]
fn an_older_departure_does_not_end_the_use(#[case] life: u64, #[case] cause: DepartureCause) {
    let mut registry = registry();
    registry.apply(Entry { life: 7, ..READY }.at_version(5), at(0));
    let effect = registry.learn(&departure(life, cause), at(10));
    assert!(matches!(effect, Effect::Ignored(_)), "{effect:?}");
    assert!(is_used(&registry));
}

/// An entry that names no lifetime is not one of a lifetime before all others: it announces the
/// departure of the upstream as known, and as ready it does not take that back.
#[rstest]
fn an_entry_without_a_lifetime_is_about_the_known_one() {
    let mut registry = registry();
    registry.apply(READY.at_version(1), at(0));
    registry.apply(Entry { life: 0, ..LEAVING }.at_version(2), at(10));
    assert!(!is_used(&registry));
    registry.apply(Entry { life: 0, ..READY }.at_version(3), at(20));
    assert!(!is_used(&registry));
    registry.apply(Entry { life: 2, ..READY }.at_version(4), at(30));
    assert!(is_used(&registry));
}

/// The entry of a later lifetime and its removal come after another host has reported the removal,
/// while this host still lists the lifetime before, as leaving.
#[rstest]
fn a_removal_of_a_later_lifetime_counts_while_an_earlier_one_is_leaving() {
    let mut registry = registry();
    registry.apply(LEAVING.at_version(2), at(0));
    registry.learn(&departure(2, DepartureCause::Removed { revision: revision(5) }), at(10));
    let effect = registry.apply(Entry { life: 2, ..READY }.at_version(4), at(20));
    assert_eq!(effect, Effect::Ignored(Older::BeforeRemoval));
    assert!(!is_used(&registry));
}

/// A host that has just started is told of a departure before it reads a list that lags.
#[rstest]
#[case::announced(DepartureCause::Announced)]
#[case::removed(DepartureCause::Removed { revision: revision(7) })]
fn a_departure_that_is_known_before_the_entry_counts(#[case] cause: DepartureCause) {
    let mut registry = registry();
    registry.learn(&departure(1, cause), at(0));
    registry.expire(at(100));
    registry.apply(READY.at_version(5), at(200));
    assert!(!is_used(&registry));
}

/// An upstream restarted with its clock set back registers with an earlier start time. It cannot be
/// told from a late write at first, and must not be avoided for good.
#[rstest]
fn an_earlier_lifetime_is_followed_once_it_cannot_be_a_late_write() {
    let mut registry = registry();
    registry.apply(Entry { life: 9_000, ..LEAVING }.at_version(1), at(0));
    registry.apply(removed(2), at(100));
    let effect = registry.apply(Entry { life: 4_000, ..READY }.at_version(3), at(200));
    assert_eq!(effect, Effect::Ignored(Older::EarlierLifetime));
    registry.expire(at(15_000));
    assert!(!is_used(&registry));
    registry.expire(at(15_300));
    assert!(is_used(&registry));
}

/// An upstream that goes on to register, once a second, under an entry of another writer with a later
/// start time was shut out for good: each entry of its own began the time anew after which it counts.
#[rstest]
fn an_earlier_lifetime_that_registers_again_and_again_is_followed() {
    let mut registry = registry();
    registry.apply(Entry { life: 9_000_000, ..LEAVING }.at_version(1), at(0));
    for second in 1..20 {
        registry.apply(Entry { life: 4_000, ..READY }.at_version(1 + second), at(second * 1_000));
        registry.expire(at(second * 1_000 + 500));
        assert_eq!(is_used(&registry), second >= 16, "{second}");
    }
}

/// As above, for an entry of another writer in the same lifetime with a later report.
#[rstest]
fn an_earlier_report_that_comes_again_and_again_is_followed() {
    let mut registry = registry();
    registry.apply(Entry { sequence: 9_000_000, ..READY }.at_version(1), at(0));
    for second in 1..20 {
        let entry = Entry { sequence: second, ..READY }.at_version(1 + second);
        let effect = registry.apply(entry, at(second * 1_000));
        assert_eq!(effect == Effect::Listed, second > 16, "{second}");
        registry.expire(at(second * 1_000 + 500));
    }
}

/// Departures of upstreams that are gone must not use memory for good.
#[rstest]
fn departures_are_forgotten_in_the_end() {
    let mut registry = registry();
    registry.apply(LEAVING.at_version(1), at(0));
    registry.apply(removed(2), at(100));
    registry.expire(at(60_000));
    assert_eq!(registry.departures().count(), 1);
    registry.expire(at(60_200));
    assert_eq!(registry.departures().count(), 0);
}

#[rstest]
fn the_oldest_departures_are_forgotten_when_there_are_too_many() {
    let settings =
        routing::RegistrySettings { max_departures: 10, ..routing::RegistrySettings::default() };
    let mut registry = routing::Registry::new(settings, id::Zone::from(OWN_ZONE));
    for number in 0..100 {
        let upstream = id::Upstream::from(format!("u{number}"));
        let cause = DepartureCause::Removed { revision: revision(number + 1) };
        let departure = routing::Departure { upstream, started_ms: 1, cause };
        registry.learn(&departure, at(number));
    }
    registry.expire(at(200));
    let left: Vec<_> = registry.departures().map(|known| known.upstream.to_string()).collect();
    assert_eq!(left.len(), 10);
    assert!(left.contains(&"u99".to_owned()));
}

/// The first list after a restore ends with this revision; the versions go back.
const RESTORED: routing::Revision = routing::Revision { era: 2, version: 4 };

/// Returns a change as it is read after the restore.
fn restored(change: routing::Change) -> routing::Change {
    let restored = |revision: routing::Revision| routing::Revision { era: 2, ..revision };
    match change {
        routing::Change::Put(listing) => {
            let revision = restored(listing.revision);
            routing::Change::Put(routing::Listing { revision, ..listing })
        }
        routing::Change::Removed { upstream, revision } => {
            routing::Change::Removed { upstream, revision: restored(revision) }
        }
        routing::Change::Invalid { upstream, revision } => {
            routing::Change::Invalid { upstream, revision: restored(revision) }
        }
    }
}

/// Lets a registry read a list after a restore at 10 s: the entry, or its absence.
fn read_restored(registry: &mut routing::Registry, change: routing::Change) -> Effect {
    registry.record_recovery(at(10_000), at(10_000));
    registry.begin_era(RESTORED, at(10_000));
    registry.apply(restored(change), at(10_000))
}

/// An upstream left without notice, and the copy from which the platform was restored lists it. It must
/// get nothing until the platform has had time to drop it, and must not be avoided for good.
#[rstest]
#[case::read_here(false, false)]
#[case::read_here_and_dropped(false, true)]
#[case::told_by_another_host(true, false)]
#[case::told_by_another_host_and_dropped(true, true)]
fn a_copy_undoes_a_lost_removal_only_after_a_while(#[case] told: bool, #[case] dropped: bool) {
    let mut registry = registry();
    let lost = departure(1, DepartureCause::Removed { revision: revision(7) });
    registry.apply(Entry { sequence: 9, ..READY }.at_version(2), at(0));
    if !told {
        registry.apply(removed(7), at(5_000));
    }
    let effect = read_restored(&mut registry, Entry { sequence: 8, ..READY }.at_version(2));
    if told {
        let effect = registry.learn(&lost, at(10_100));
        assert_eq!(effect, Effect::Departed { departure: lost, witnessed: true });
    } else {
        assert_eq!(effect, Effect::Ignored(Older::BeforeRestore));
    }
    registry.expire(at(15_900));
    assert!(!is_used(&registry));
    if dropped {
        registry.apply(restored(removed(5)), at(15_950));
    }
    registry.expire(at(16_200));
    assert_eq!(is_used(&registry), !dropped);
}

/// An entry is certainly newer than a lost removal if it was written after the restore, if the copy has
/// a later version of it, or if it is of a later lifetime. Such an upstream is used at once.
#[rstest]
#[case::written_after_the_restore(READY, 5)]
#[case::of_a_later_lifetime(Entry { life: 2, ..READY }, 2)]
fn an_entry_that_is_newer_than_a_lost_removal_is_used(#[case] entry: Entry, #[case] version: u64) {
    let mut registry = registry();
    registry.apply(READY.at_version(1), at(0));
    registry.apply(removed(7), at(5_000));
    registry.begin_era(RESTORED, at(10_000));
    registry.apply(restored(entry.at_version(version)), at(10_100));
    assert!(is_used(&registry));
}

/// A restore loses an entry, and its upstream registers again within two seconds. Callers must be served
/// until then, and an upstream that does not come back must not be used for longer.
#[rstest]
#[case::registers_again(true)]
#[case::is_gone(false)]
fn an_entry_that_a_restore_lost_is_kept_for_a_while(#[case] returns: bool) {
    let mut registry = registry();
    registry.apply(READY.at_version(7), at(0));
    let gone = routing::Change::Removed { upstream: id::Upstream::from("u"), revision: RESTORED };
    let effect = read_restored(&mut registry, gone);
    assert!(matches!(effect, Effect::Kept(_)), "{effect:?}");
    assert!(is_used(&registry));
    if returns {
        registry.apply(restored(READY.at_version(5)), at(11_500));
    }
    registry.expire(at(12_000));
    assert_eq!(is_used(&registry), returns);
}

/// The copy says `ready` of an upstream that has announced its departure. The announcement stands.
#[rstest]
fn a_copy_does_not_take_an_announcement_back() {
    let mut registry = registry();
    registry.apply(READY.at_version(2), at(0));
    registry.apply(LEAVING.at_version(7), at(5_000));
    read_restored(&mut registry, READY.at_version(2));
    registry.expire(at(60_000));
    assert!(!is_used(&registry));
}

/// A removal from before the restore is told late, after the upstream has registered again.
#[rstest]
fn a_lost_removal_that_is_told_late_does_not_end_the_use() {
    let mut registry = registry();
    read_restored(&mut registry, READY.at_version(2));
    registry.apply(restored(Entry { sequence: 3, ..READY }.at_version(5)), at(11_000));
    let lost = departure(1, DepartureCause::Removed { revision: revision(7) });
    assert_eq!(registry.learn(&lost, at(11_100)), Effect::Ignored(Older::BeforeEntry));
    assert!(is_used(&registry));
}

/// One thing that is said of the upstream.
#[derive(Clone, Copy, Debug)]
enum Statement {
    Put(Entry, u64),
    Removed(u64),
    Learned(u64, DepartureCause),
}

/// Lives of an upstream as the platform records them: each registers, may vanish and register
/// again, may announce its departure, and is removed.
fn history(lives: Vec<(bool, bool)>) -> Vec<Statement> {
    let (mut statements, mut version) = (Vec::new(), 0);
    let mut next = || {
        version += 1;
        version
    };
    for (life, (vanishes, announces)) in (1..).zip(lives) {
        let ready = Entry { life, sequence: 1, ..READY };
        statements.push(Statement::Put(ready, next()));
        if vanishes {
            statements.push(Statement::Removed(next()));
            statements.push(Statement::Put(Entry { sequence: 2, ..ready }, next()));
        }
        if announces {
            statements.push(Statement::Put(Entry { leaving: true, sequence: 3, ..ready }, next()));
            statements.push(Statement::Learned(life, DepartureCause::Announced));
        }
        let version = next();
        statements.push(Statement::Removed(version));
        statements.push(Statement::Learned(
            life,
            DepartureCause::Removed { revision: revision(version) },
        ));
    }
    statements
}

proptest! {
    /// Statements about an upstream arrive in any order, twice or not at all. No lifetime is used after
    /// its departure was announced, and no entry after a removal of the same or a later version.
    #[test]
    fn no_older_word_undoes_a_departure(
        lives in prop::collection::vec((any::<bool>(), any::<bool>()), 1..4),
        order in prop::collection::vec(any::<prop::sample::Index>(), 1..40),
    ) {
        let statements = history(lives);
        let mut registry = registry();
        let (mut announced, mut removed_version, mut listed_version) = (0, 0, 0);
        for (millis, index) in (0..).zip(order) {
            let statement = *index.get(&statements);
            match statement {
                Statement::Put(entry, version) => {
                    registry.apply(entry.at_version(version), at(millis));
                    announced = if entry.leaving { announced.max(entry.life) } else { announced };
                    listed_version = listed_version.max(version);
                }
                Statement::Removed(version) => {
                    registry.apply(removed(version), at(millis));
                    removed_version = removed_version.max(version);
                }
                Statement::Learned(life, cause) => {
                    registry.learn(&departure(life, cause), at(millis));
                    match cause {
                        DepartureCause::Announced => announced = announced.max(life),
                        DepartureCause::Removed { revision } => {
                            removed_version = removed_version.max(revision.version);
                        }
                    }
                }
            }
            for entry in registry.entries().filter(|entry| !entry.leaving) {
                prop_assert!(entry.started_ms > announced, "{statement:?} undid the announcement");
                prop_assert!(listed_version > removed_version, "{statement:?} undid the removal");
            }
        }
    }

    /// Two ways deliver the same changes of the list, each in its own order. In the end the registry
    /// shows what the platform's last version says.
    #[test]
    fn the_last_version_counts_whatever_the_order(
        lives in prop::collection::vec((any::<bool>(), any::<bool>()), 1..4),
        cut in any::<prop::sample::Index>(),
        order in Just((0..40_usize).collect::<Vec<_>>()).prop_shuffle(),
    ) {
        let all = history(lives);
        let changes: Vec<_> = all.iter().filter(|statement| !matches!(statement, Statement::Learned(..))).collect();
        let known = &changes[..=cut.index(changes.len())];
        let mut registry = registry();
        let order = order.into_iter().filter(|index| *index < known.len());
        for (millis, index) in (0..).zip(order) {
            match *known[index] {
                Statement::Put(entry, version) => registry.apply(entry.at_version(version), at(millis)),
                Statement::Removed(version) => registry.apply(removed(version), at(millis)),
                Statement::Learned(..) => Effect::Unchanged,
            };
        }
        let expected = matches!(known.last(), Some(Statement::Put(entry, _)) if !entry.leaving);
        prop_assert_eq!(is_used(&registry), expected);
    }
}
