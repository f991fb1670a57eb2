//! Simulates zones of hosts that send each other heartbeats and that die, are cut off and recover,
//! to check which host schedules and polls. Each host knows only what it received.

use std::collections;

use lagoonline::clock::{Moment, Span};
use lagoonline::id;
use lagoonline::routing;
use rstest::rstest;

/// Start time of the simulation.
const START: Moment = Moment::from_millis(10);
/// Time between two heartbeats.
const HEARTBEAT: Span = Span::from_millis(300);
const STEP: Span = Span::from_millis(100);
/// Time between two load reports of an engine.
const POLL_PERIOD: Span = Span::from_secs(1);
/// An engine must be polled at least this often, whichever hosts fail.
const MAX_POLL_GAP: Span = Span::from_secs(2);

/// A simulated host.
struct Host {
    name: id::Host,
    zone: id::Zone,
    roster: routing::Roster,
    schedule: routing::PollSchedule,
    is_running: bool,
}

struct Fleet {
    hosts: Vec<Host>,
    zones: Vec<id::Zone>,
    /// Zones that are cut off from all others.
    cut: collections::BTreeSet<id::Zone>,
    now: Moment,
    /// When each zone's engines were polled, and by which host.
    polled: collections::BTreeMap<id::Zone, Vec<(Moment, id::Host)>>,
    /// Number of heartbeats and answers sent.
    sent: usize,
}

fn host_info(zone: &id::Zone, rank: usize) -> routing::HostInfo {
    routing::HostInfo { zone: zone.clone(), cores: if rank < 3 { 0.5 } else { 0.12 } }
}

impl Fleet {
    /// Creates `count` hosts in `zones` zones, all of which know each other.
    fn new(count: usize, zones: usize) -> Fleet {
        let zones: Vec<_> = (0..zones).map(|zone| id::Zone::from(format!("z{zone}"))).collect();
        let named: Vec<_> = (0..count)
            .map(|index| {
                let zone = &zones[index % zones.len()];
                let name = id::Host::from(format!("{zone}-{index:03}"));
                (name, host_info(zone, index / zones.len()))
            })
            .collect();
        let hosts = named.iter().map(|(name, own)| {
            let settings = routing::RosterSettings::default();
            let mut roster = routing::Roster::new(settings, name.clone(), own.clone(), START);
            for (other, info) in &named {
                roster.upsert(other.clone(), info.clone(), START);
            }
            let (name, zone) = (name.clone(), own.zone.clone());
            Host { name, zone, roster, schedule: Default::default(), is_running: true }
        });
        let hosts = hosts.collect();
        let now = START;
        Fleet { hosts, zones, cut: Default::default(), now, polled: Default::default(), sent: 0 }
    }

    fn index(&self, name: &id::Host) -> usize {
        self.hosts.iter().position(|host| host.name == *name).unwrap()
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.hosts[from], &self.hosts[to]);
        let apart = from.zone != to.zone;
        to.is_running && !(apart && (self.cut.contains(&from.zone) || self.cut.contains(&to.zone)))
    }

    /// Advances the simulation by `span`.
    fn run(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + STEP;
            let steps = self.now.as_millis() / STEP.as_millis() as u64;
            let is_heartbeat_due =
                steps.is_multiple_of((HEARTBEAT.as_millis() / STEP.as_millis()) as u64);
            for index in 0..self.hosts.len() {
                if self.hosts[index].is_running {
                    if is_heartbeat_due {
                        self.send_heartbeats(index);
                    }
                    self.poll(index);
                }
            }
        }
    }

    fn send_heartbeats(&mut self, index: usize) {
        let now = self.now;
        let name = self.hosts[index].name.clone();
        for other in self.hosts[index].roster.heartbeat_targets(now) {
            let to = self.index(&other);
            self.hosts[index].roster.record_heartbeat_sent(&other, now);
            self.sent += 1;
            if self.reaches(index, to) {
                self.hosts[to].roster.record_contact(&name, now);
                self.hosts[index].roster.record_contact(&other, now);
                self.sent += 1;
            }
        }
        let has_scheduler = self.hosts[index].roster.own_zone_has_scheduler();
        if has_scheduler && !self.hosts[index].roster.is_leader(now) {
            return;
        }
        for other in self.hosts[index].roster.remote_peers(now) {
            let to = self.index(&other);
            self.sent += 1;
            if self.reaches(index, to) {
                self.hosts[to].roster.record_contact(&name, now);
            }
        }
    }

    fn poll(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        for zone in host.schedule.due(&host.roster, &self.zones, POLL_PERIOD, self.now) {
            self.polled.entry(zone).or_default().push((self.now, host.name.clone()));
        }
    }

    /// Checks how often each zone's engines were polled between `from` and now. The engines of a
    /// zone that is cut off are polled from within it.
    fn check_polls(&self, from: Moment) {
        for zone in &self.zones {
            let polled: Vec<_> = self.polled[zone].iter().map(|(at, _)| *at).collect();
            let polled: Vec<_> = polled.into_iter().filter(|at| *at >= from).collect();
            let mut before = from;
            for at in polled.iter().copied().chain([self.now]) {
                let gap = at.since(before);
                assert!(gap <= MAX_POLL_GAP, "{zone} not polled for {gap:?} before {at:?}");
                before = at;
            }
            let span = self.now.since(from).as_secs_f64();
            let most = (span * 2.0).ceil() as usize;
            assert!(polled.len() <= most, "{zone} polled {} times in {span} s", polled.len());
        }
    }

    fn set_running<Which>(&mut self, is_running: bool, which: Which)
    where
        Which: Fn(usize, &Host) -> bool,
    {
        for index in 0..self.hosts.len() {
            if which(index, &self.hosts[index]) {
                self.hosts[index].is_running = is_running;
            }
        }
    }
}

/// With 3, 40 and 200 hosts and no failures, each zone's engines must be polled once per second by
/// a single host, and the number of heartbeats and answers per host must stay below a bound that
/// does not grow with the fleet.
#[rstest]
#[case(3, 3)]
#[case(40, 5)]
#[case(200, 5)]
fn one_host_polls_each_zone(#[case] hosts: usize, #[case] zones: usize) {
    let mut fleet = Fleet::new(hosts, zones);
    fleet.run(Span::from_secs(20));
    fleet.check_polls(START);
    for (zone, polled) in &fleet.polled {
        let by: collections::BTreeSet<_> = polled.iter().map(|(_, host)| host).collect();
        assert_eq!(by.len(), 1, "{zone} polled by {by:?}");
        assert!((19..=21).contains(&polled.len()), "{zone} polled {} times", polled.len());
    }
    let each = fleet.sent as f64 / hosts as f64 / 20.0;
    assert!(each <= 30.0, "{each} messages per second and host");
}

/// The polling host of each zone is killed, then the three largest hosts of each zone, then every
/// other host; later they return. Each zone's engines must be polled all the time, so that an
/// engine that becomes slow is detected.
#[rstest]
#[case(3, 1)]
#[case(40, 5)]
#[case(200, 5)]
fn engines_are_polled_whichever_hosts_fail(#[case] hosts: usize, #[case] zones: usize) {
    type Selector = fn(usize, usize) -> bool;
    let killed: [Selector; 3] =
        [|index, zones| index < zones, |index, zones| index < 3 * zones, |index, _| index % 2 == 0];
    for (case, is_killed) in killed.into_iter().enumerate() {
        if hosts == 3 && case == 1 {
            // No host would be left.
            continue;
        }
        let mut fleet = Fleet::new(hosts, zones);
        fleet.run(Span::from_secs(5));
        let from = fleet.now;
        fleet.set_running(false, |index, _| is_killed(index, zones));
        fleet.run(Span::from_secs(6));
        fleet.check_polls(from);
        fleet.set_running(true, |_, _| true);
        fleet.run(Span::from_secs(6));
        fleet.check_polls(from);
    }
}

/// All hosts of a zone lose power while its engines still serve callers of other zones. The first
/// other zone must poll them until the hosts of their own zone are back.
#[rstest]
fn engines_of_a_zone_without_hosts_are_polled_from_another() {
    let mut fleet = Fleet::new(40, 5);
    fleet.run(Span::from_secs(5));
    let dead = fleet.zones[0].clone();
    fleet.set_running(false, |_, host| host.zone == dead);
    let from = fleet.now + Span::from_secs(3);
    fleet.run(Span::from_secs(9));
    fleet.check_polls(from);
    let by: collections::BTreeSet<_> =
        fleet.polled[&dead].iter().filter(|(at, _)| *at >= from).map(|(_, host)| host).collect();
    assert_eq!(by.into_iter().map(id::Host::as_str).collect::<Vec<_>>(), ["z1-001"]);
    fleet.set_running(true, |_, _| true);
    fleet.run(Span::from_secs(3));
    let back = fleet.now;
    fleet.run(Span::from_secs(5));
    fleet.check_polls(back);
    let others = fleet.polled[&dead]
        .iter()
        .filter(|(at, host)| *at > back && !host.as_str().starts_with(dead.as_str()));
    assert_eq!(others.count(), 0);
}

/// A zone is cut off and returns. Its own first host must keep polling its engines about once a
/// second; afterwards they are polled as before. Meanwhile one host of the other zones, which
/// receive nothing from its hosts, also polls these engines, in vain; its polls are not counted.
#[rstest]
fn a_cut_off_zone_polls_its_own_engines() {
    let mut fleet = Fleet::new(195, 5);
    fleet.run(Span::from_secs(5));
    let cut = fleet.zones[2].clone();
    fleet.cut.insert(cut.clone());
    let from = fleet.now;
    fleet.run(Span::from_secs(8));
    let within = fleet.polled[&cut]
        .iter()
        .filter(|(at, host)| *at > from && host.as_str().starts_with(cut.as_str()));
    assert!((7..=9).contains(&within.count()));
    fleet.cut.clear();
    fleet.run(Span::from_secs(3));
    let back = fleet.now;
    fleet.run(Span::from_secs(5));
    fleet.check_polls(back);
}

fn roster(own: usize, hosts: usize) -> routing::Roster {
    let zone = id::Zone::from("z");
    let name = |index: usize| id::Host::from(format!("h{index:02}"));
    let settings = routing::RosterSettings::default();
    let mut roster = routing::Roster::new(settings, name(own), host_info(&zone, own), START);
    for index in 0..hosts {
        roster.upsert(name(index), host_info(&zone, index), START);
    }
    roster
}

/// The scheduler does not answer a question. The next question goes to the second host at once,
/// then to the third, and then this host schedules by itself, so that no request waits for a dead
/// host twice. After a second the first host is asked again, unless it does not answer heartbeats
/// either.
#[rstest]
fn an_unresponsive_scheduler_is_skipped() {
    let mut roster = roster(9, 20);
    let mut now = START;
    let first = |roster: &routing::Roster, now| roster.scheduler(now).map(|host| host.to_string());
    for name in ["h00", "h01", "h02"] {
        let host = roster.scheduler(now).unwrap();
        assert_eq!(host.as_str(), name);
        roster.skip(&host, now);
    }
    assert_eq!(first(&roster, now), None);
    roster.record_heartbeat_sent(&id::Host::from("h00"), now);
    now = now + Span::from_millis(1_001);
    assert_eq!(first(&roster, now).as_deref(), Some("h01"));
    roster.record_contact(&id::Host::from("h00"), now);
    assert_eq!(first(&roster, now).as_deref(), Some("h00"));
}

/// In a zone of few hosts each schedules its own requests and tells all others what is in flight;
/// the leader of a large zone asks no other.
#[rstest]
#[case(9, 5)]
#[case(0, 20)]
fn a_host_decides_by_itself(#[case] own: usize, #[case] hosts: usize) {
    let own = own.min(hosts - 1);
    let roster = roster(own, hosts);
    assert_eq!(roster.scheduler(START), None);
    let near = roster.zone_peers(START).len();
    assert_eq!(near, if hosts < 6 { hosts - 1 } else { 2 });
}

/// In other zones, the hosts that may schedule must be told what is in flight: all hosts of a small
/// zone, the first three of a large one, and any host heard from, which took over after a failure.
#[rstest]
fn hosts_that_may_schedule_are_told() {
    let zone = id::Zone::from("z");
    let settings = routing::RosterSettings::default();
    let mut roster =
        routing::Roster::new(settings, id::Host::from("own"), host_info(&zone, 0), START);
    for index in 0..20 {
        let other = host_info(&id::Zone::from("large"), index);
        roster.upsert(id::Host::from(format!("l{index:02}")), other, START);
        if index < 4 {
            let other = host_info(&id::Zone::from("small"), index);
            roster.upsert(id::Host::from(format!("s{index:02}")), other, START);
        }
    }
    let now = START;
    let far = |roster: &routing::Roster| -> Vec<String> {
        roster.remote_peers(now).iter().map(ToString::to_string).collect()
    };
    let small = ["s00", "s01", "s02", "s03"];
    assert_eq!(far(&roster).len(), 12 + small.len(), "no host was heard from");
    roster.record_contact(&id::Host::from("l01"), now);
    assert_eq!(far(&roster), [&["l00", "l01", "l02"], &small[..]].concat());
    roster.record_contact(&id::Host::from("l07"), now);
    assert!(far(&roster).contains(&"l07".to_owned()));
}

/// During a platform outage, three hosts of a zone of forty call the platform often, so that its
/// recovery is noticed at once, while all forty together make no more than twenty calls per second.
#[rstest]
fn few_hosts_call_an_unavailable_platform() {
    let now = START;
    let pauses: Vec<_> = (0..40).map(|own| roster(own, 40).max_retry_pause(now)).collect();
    let often = pauses.iter().filter(|pause| **pause <= Span::from_secs(1)).count();
    assert_eq!(often, 3);
    let calls: f64 = pauses.iter().map(|pause| 1.0 / pause.as_secs_f64()).sum();
    assert!(calls <= 20.0, "{calls} calls a second");
    assert!(
        roster(4, 5).max_retry_pause(now) <= Span::from_millis(400),
        "a host of a small zone pauses for too long"
    );
}

/// Rows of replaced hosts must not be kept, read and ranked forever.
#[rstest]
fn the_first_host_of_a_zone_removes_silent_hosts() {
    const EXPIRY: Span = Span::from_secs(600);
    let name = |index: usize| id::Host::from(format!("h{index:02}"));
    let mut first = roster(0, 5);
    let (early, late) = (START + Span::from_secs(599), START + Span::from_secs(601));
    assert!(first.expired(EXPIRY, early).is_empty());
    first.record_contact(&name(1), early);
    assert_eq!(first.expired(EXPIRY, late), [name(2), name(3), name(4)]);
    assert!(
        roster(4, 5).expired(EXPIRY, late).is_empty(),
        "removed by a host that is not the first"
    );
}

/// A host that does not hear from some zones must leave them their share of a limit that holds for
/// all; otherwise each side of a partition uses the whole of it.
#[rstest]
#[case::each_host_places(6)]
#[case::one_host_of_each_zone_places(24)]
fn a_cut_off_zone_uses_its_share_of_a_limit(#[case] hosts: usize) {
    let mut fleet = Fleet::new(hosts, 3);
    fleet.run(Span::from_secs(5));
    let share = |fleet: &Fleet, index: usize| fleet.hosts[index].roster.limit_share(fleet.now);
    assert_eq!([share(&fleet, 0), share(&fleet, 1)], [1.0, 1.0]);
    fleet.cut.insert(fleet.zones[0].clone());
    fleet.run(Span::from_secs(2));
    assert_eq!([share(&fleet, 0), share(&fleet, 1)], [1.0 / 3.0, 2.0 / 3.0]);
    fleet.cut.clear();
    fleet.run(Span::from_secs(2));
    assert_eq!([share(&fleet, 0), share(&fleet, 1)], [1.0, 1.0]);
}

/// A host for which another one places requests is told nothing of what the others use, so it may
/// count only on the share of one host when it has to place a request itself.
#[rstest]
fn a_host_that_is_told_nothing_has_the_share_of_one_host() {
    let mut fleet = Fleet::new(24, 3);
    fleet.run(Span::from_secs(5));
    assert_eq!(fleet.hosts[23].roster.limit_share(fleet.now), 1.0 / 24.0);
}
