//! Who does what at many hosts: a model of zones of hosts that send each other heartbeats, with
//! hosts that die, freeze, are cut off and come back. Each host has only what it heard.

use std::collections;

use lagoonline::clock::{Moment, Span};
use lagoonline::id;
use lagoonline::routing;
use rstest::rstest;

/// When the model begins.
const START: Moment = Moment::from_millis(10);
/// Time between two heartbeats, and between two steps of the model.
const BEAT: Span = Span::from_millis(300);
const STEP: Span = Span::from_millis(100);
/// Time between two reports of an engine.
const PERIOD: Span = Span::from_secs(1);
/// An engine is to be asked at least this often, whatever dies.
const LONGEST_GAP: Span = Span::from_secs(2);

/// One host of the model.
struct Host {
    name: id::Host,
    zone: id::Zone,
    roster: routing::Roster,
    rounds: routing::Rounds,
    runs: bool,
}

struct Fleet {
    hosts: Vec<Host>,
    zones: Vec<id::Zone>,
    /// Zones that reach no other.
    cut: collections::BTreeSet<id::Zone>,
    now: Moment,
    /// When the engines of each zone were asked, and by which host.
    asked: collections::BTreeMap<id::Zone, Vec<(Moment, id::Host)>>,
    /// Heartbeats and their answers that were sent.
    sent: usize,
}

fn standing(zone: &id::Zone, rank: usize) -> routing::Standing {
    routing::Standing { zone: zone.clone(), cores: if rank < 3 { 0.5 } else { 0.12 } }
}

impl Fleet {
    /// `count` hosts in `zones` zones that all know of each other.
    fn new(count: usize, zones: usize) -> Fleet {
        let zones: Vec<_> = (0..zones).map(|zone| id::Zone::from(format!("z{zone}"))).collect();
        let named: Vec<_> = (0..count)
            .map(|index| {
                let zone = &zones[index % zones.len()];
                let name = id::Host::from(format!("{zone}-{index:03}"));
                (name, standing(zone, index / zones.len()))
            })
            .collect();
        let hosts = named.iter().map(|(name, own)| {
            let settings = routing::RosterSettings::default();
            let mut roster = routing::Roster::new(settings, name.clone(), own.clone(), START);
            for (other, standing) in &named {
                roster.set(other.clone(), standing.clone(), START);
            }
            let (name, zone) = (name.clone(), own.zone.clone());
            Host { name, zone, roster, rounds: Default::default(), runs: true }
        });
        let hosts = hosts.collect();
        let now = START;
        Fleet { hosts, zones, cut: Default::default(), now, asked: Default::default(), sent: 0 }
    }

    fn index(&self, name: &id::Host) -> usize {
        self.hosts.iter().position(|host| host.name == *name).unwrap()
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.hosts[from], &self.hosts[to]);
        let apart = from.zone != to.zone;
        to.runs && !(apart && (self.cut.contains(&from.zone) || self.cut.contains(&to.zone)))
    }

    /// Lets the fleet run for `span`.
    fn run(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + STEP;
            let beats = self.now.as_millis() / STEP.as_millis() as u64;
            let beats = beats.is_multiple_of((BEAT.as_millis() / STEP.as_millis()) as u64);
            for index in 0..self.hosts.len() {
                if self.hosts[index].runs {
                    if beats {
                        self.beat(index);
                    }
                    self.ask(index);
                }
            }
        }
    }

    fn beat(&mut self, index: usize) {
        let now = self.now;
        let name = self.hosts[index].name.clone();
        for other in self.hosts[index].roster.watched(now) {
            let to = self.index(&other);
            self.hosts[index].roster.asked(&other, now);
            self.sent += 1;
            if self.reaches(index, to) {
                self.hosts[to].roster.heard(&name, now);
                self.hosts[index].roster.heard(&other, now);
                self.sent += 1;
            }
        }
        let shared = self.hosts[index].roster.is_own_shared();
        if shared && !self.hosts[index].roster.leads(now) {
            return;
        }
        for other in self.hosts[index].roster.far(now) {
            let to = self.index(&other);
            self.sent += 1;
            if self.reaches(index, to) {
                self.hosts[to].roster.heard(&name, now);
            }
        }
    }

    fn ask(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        for zone in host.rounds.due(&host.roster, &self.zones, PERIOD, self.now) {
            self.asked.entry(zone).or_default().push((self.now, host.name.clone()));
        }
    }

    /// Checks how often the engines of each zone were asked between `from` and now. Those of a zone
    /// that is cut off are asked from within.
    fn check(&self, from: Moment) {
        for zone in &self.zones {
            let asked: Vec<_> = self.asked[zone].iter().map(|(at, _)| *at).collect();
            let asked: Vec<_> = asked.into_iter().filter(|at| *at >= from).collect();
            let mut before = from;
            for at in asked.iter().copied().chain([self.now]) {
                let gap = at.since(before);
                assert!(gap <= LONGEST_GAP, "{zone} not asked for {gap:?} before {at:?}");
                before = at;
            }
            let span = self.now.since(from).as_secs_f64();
            let most = (span * 2.0).ceil() as usize;
            assert!(asked.len() <= most, "{zone} asked {} times in {span} s", asked.len());
        }
    }

    fn set_runs<Which>(&mut self, runs: bool, which: Which)
    where
        Which: Fn(usize, &Host) -> bool,
    {
        for index in 0..self.hosts.len() {
            if which(index, &self.hosts[index]) {
                self.hosts[index].runs = runs;
            }
        }
    }
}

/// Three, forty and two hundred hosts in their zones; nothing happens. Each zone's engines are asked
/// once a second by one host, and what a host sends to be known does not grow with the fleet.
#[rstest]
#[case(3, 3)]
#[case(40, 5)]
#[case(200, 5)]
fn one_host_asks_for_a_zone(#[case] hosts: usize, #[case] zones: usize) {
    let mut fleet = Fleet::new(hosts, zones);
    fleet.run(Span::from_secs(20));
    fleet.check(START);
    for (zone, asked) in &fleet.asked {
        let by: collections::BTreeSet<_> = asked.iter().map(|(_, host)| host).collect();
        assert_eq!(by.len(), 1, "{zone} asked by {by:?}");
        assert!((19..=21).contains(&asked.len()), "{zone} asked {} times", asked.len());
    }
    let each = fleet.sent as f64 / hosts as f64 / 20.0;
    assert!(each <= 30.0, "{each} heartbeats a second and host");
}

/// The hosts that ask are killed, one in a zone, then the three largest of each, then every other
/// host, and come back. The engines of each zone are asked all the while: an engine that turns slow
/// meanwhile is known of.
#[rstest]
#[case(3, 1)]
#[case(40, 5)]
#[case(200, 5)]
fn engines_are_asked_whatever_dies(#[case] hosts: usize, #[case] zones: usize) {
    type Dies = fn(usize, usize) -> bool;
    let killed: [Dies; 3] =
        [|index, zones| index < zones, |index, zones| index < 3 * zones, |index, _| index % 2 == 0];
    for (case, dies) in killed.into_iter().enumerate() {
        if hosts == 3 && case == 1 {
            // Nobody would be left.
            continue;
        }
        let mut fleet = Fleet::new(hosts, zones);
        fleet.run(Span::from_secs(5));
        let from = fleet.now;
        fleet.set_runs(false, |index, _| dies(index, zones));
        fleet.run(Span::from_secs(6));
        fleet.check(from);
        fleet.set_runs(true, |_, _| true);
        fleet.run(Span::from_secs(6));
        fleet.check(from);
    }
}

/// All hosts of a zone lose power. Its engines still serve callers of other zones, so the first
/// other zone asks them; when the hosts are back, their own zone does again.
#[rstest]
fn engines_of_a_zone_without_hosts_are_asked_from_another() {
    let mut fleet = Fleet::new(40, 5);
    fleet.run(Span::from_secs(5));
    let dead = fleet.zones[0].clone();
    fleet.set_runs(false, |_, host| host.zone == dead);
    let from = fleet.now + Span::from_secs(3);
    fleet.run(Span::from_secs(9));
    fleet.check(from);
    let by: collections::BTreeSet<_> =
        fleet.asked[&dead].iter().filter(|(at, _)| *at >= from).map(|(_, host)| host).collect();
    assert_eq!(by.into_iter().map(id::Host::as_str).collect::<Vec<_>>(), ["z1-001"]);
    fleet.set_runs(true, |_, _| true);
    fleet.run(Span::from_secs(3));
    let back = fleet.now;
    fleet.run(Span::from_secs(5));
    fleet.check(back);
    let others = fleet.asked[&dead]
        .iter()
        .filter(|(at, host)| *at > back && !host.as_str().starts_with(dead.as_str()));
    assert_eq!(others.count(), 0);
}

/// A zone is cut off and returns. Its own first host goes on asking its engines; the others find the
/// engines unheard of and ask them in vain, by one host.
#[rstest]
fn a_cut_off_zone_asks_its_own_engines() {
    let mut fleet = Fleet::new(195, 5);
    fleet.run(Span::from_secs(5));
    let cut = fleet.zones[2].clone();
    fleet.cut.insert(cut.clone());
    let from = fleet.now;
    fleet.run(Span::from_secs(8));
    let within = fleet.asked[&cut]
        .iter()
        .filter(|(at, host)| *at > from && host.as_str().starts_with(cut.as_str()));
    assert!((7..=9).contains(&within.count()));
    fleet.cut.clear();
    fleet.run(Span::from_secs(3));
    let back = fleet.now;
    fleet.run(Span::from_secs(5));
    fleet.check(back);
}

fn roster(own: usize, hosts: usize) -> routing::Roster {
    let zone = id::Zone::from("z");
    let name = |index: usize| id::Host::from(format!("h{index:02}"));
    let settings = routing::RosterSettings::default();
    let mut roster = routing::Roster::new(settings, name(own), standing(&zone, own), START);
    for index in 0..hosts {
        roster.set(name(index), standing(&zone, index), START);
    }
    roster
}

/// The host that schedules leaves a question unanswered. The next question goes to the second at
/// once, then to the third, then this host decides by itself: no request waits for the dead twice.
/// After a second the first one is asked again, unless its heartbeats are unanswered too.
#[rstest]
fn a_silent_scheduler_is_passed_over() {
    let mut roster = roster(9, 20);
    let mut now = START;
    let first = |roster: &routing::Roster, now| roster.scheduler(now).map(|host| host.to_string());
    for name in ["h00", "h01", "h02"] {
        let host = roster.scheduler(now).unwrap();
        assert_eq!(host.as_str(), name);
        roster.passed(&host, now);
    }
    assert_eq!(first(&roster, now), None);
    roster.asked(&id::Host::from("h00"), now);
    now = now + Span::from_millis(1_001);
    assert_eq!(first(&roster, now).as_deref(), Some("h01"));
    roster.heard(&id::Host::from("h00"), now);
    assert_eq!(first(&roster, now).as_deref(), Some("h00"));
}

/// In a zone of few hosts each decides by itself and tells all others; one that is itself the first
/// of a large zone asks nobody.
#[rstest]
#[case(9, 5)]
#[case(0, 20)]
fn a_host_decides_by_itself(#[case] own: usize, #[case] hosts: usize) {
    let own = own.min(hosts - 1);
    let roster = roster(own, hosts);
    assert_eq!(roster.scheduler(START), None);
    let near = roster.near(START).len();
    assert_eq!(near, if hosts < 6 { hosts - 1 } else { 2 });
}

/// Of another zone's hosts those are told that may schedule there: all of a small zone, the first
/// three of a large one, and any that speaks, which took over after the loss of those.
#[rstest]
fn hosts_that_may_schedule_are_told() {
    let zone = id::Zone::from("z");
    let settings = routing::RosterSettings::default();
    let mut roster =
        routing::Roster::new(settings, id::Host::from("own"), standing(&zone, 0), START);
    for index in 0..20 {
        let other = standing(&id::Zone::from("large"), index);
        roster.set(id::Host::from(format!("l{index:02}")), other, START);
        if index < 4 {
            let other = standing(&id::Zone::from("small"), index);
            roster.set(id::Host::from(format!("s{index:02}")), other, START);
        }
    }
    let now = START;
    let far = |roster: &routing::Roster| -> Vec<String> {
        roster.far(now).iter().map(ToString::to_string).collect()
    };
    let small = ["s00", "s01", "s02", "s03"];
    assert_eq!(far(&roster).len(), 12 + small.len(), "nobody is heard of");
    roster.heard(&id::Host::from("l01"), now);
    assert_eq!(far(&roster), [&["l00", "l01", "l02"], &small[..]].concat());
    roster.heard(&id::Host::from("l07"), now);
    assert!(far(&roster).contains(&"l07".to_owned()));
}

/// The platform is out. Of a zone of forty hosts three call it often, so that it is known at once
/// when it is back; all forty together call it no more than twenty times a second.
#[rstest]
fn few_hosts_call_a_platform_that_is_out() {
    let now = START;
    let pauses: Vec<_> = (0..40).map(|own| roster(own, 40).longest_pause(now)).collect();
    let often = pauses.iter().filter(|pause| **pause <= Span::from_secs(1)).count();
    assert_eq!(often, 3);
    let calls: f64 = pauses.iter().map(|pause| 1.0 / pause.as_secs_f64()).sum();
    assert!(calls <= 20.0, "{calls} calls a second");
    assert!(roster(4, 5).longest_pause(now) <= Span::from_millis(400), "of a small zone");
}

/// Guards against rows of replaced hosts that are kept, read and ranked for ever.
#[rstest]
fn silent_hosts_are_forgotten_by_the_first_of_their_zone() {
    const GONE: Span = Span::from_secs(600);
    let name = |index: usize| id::Host::from(format!("h{index:02}"));
    let mut first = roster(0, 5);
    let (early, late) = (START + Span::from_secs(599), START + Span::from_secs(601));
    assert!(first.gone(GONE, early).is_empty());
    first.heard(&name(1), early);
    assert_eq!(first.gone(GONE, late), [name(2), name(3), name(4)]);
    assert!(roster(4, 5).gone(GONE, late).is_empty(), "forgotten by a host that is not the first");
}
