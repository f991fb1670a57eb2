//! Requests that crash upstreams must be refused, and no others.

use lagoonline::clock::{Moment, Span};
use lagoonline::id::Upstream;
use lagoonline::lifecycle::fingerprint::Fingerprint;
use lagoonline::lifecycle::quarantine::{Progress, Quarantine, Settings, Status, Suspect, Weight};
use rstest::rstest;

/// Time between two crashes, longer than other hosts need to report.
const APART: Span = Span::from_millis(400);

fn request(name: &str) -> Fingerprint {
    Fingerprint::new("acme", "/talk/a", name.as_bytes())
}

/// A quarantine and its current time.
struct World {
    quarantine: Quarantine,
    now: Moment,
    crashes: usize,
}

impl World {
    fn new() -> World {
        World { quarantine: Quarantine::default(), now: Moment::START, crashes: 0 }
    }

    /// Crashes the next upstream while it has just started `requests`.
    fn crash(&mut self, requests: &[&str]) {
        self.crash_with(requests, Weight::Begun);
    }

    fn crash_with(&mut self, requests: &[&str], weight: Weight) {
        self.crashes += 1;
        let upstream = Upstream::from(format!("e{}", self.crashes));
        let requests = requests.iter().map(|name| Suspect { fingerprint: request(name), weight });
        self.quarantine.record_crash(&upstream, &requests.collect::<Vec<_>>(), self.now);
    }

    fn pass(&mut self, span: Span) {
        self.now = self.now + span;
        self.quarantine.expire(self.now);
    }

    /// Crashes upstreams one after the other, evaluating each crash once all reports are in.
    fn crashes_apart(&mut self, crashes: &[&[&str]]) {
        for requests in crashes {
            self.crash(requests);
            self.pass(APART);
            self.quarantine.evaluate(self.now);
        }
    }

    fn is_held(&self, name: &str) -> bool {
        matches!(self.quarantine.status(&request(name), self.now), Status::Quarantined(_))
    }
}

/// A request must be refused after three crashes, and not earlier.
#[rstest]
#[case(2, false)]
#[case(3, true)]
fn three_crashes_are_proof(#[case] crashes: usize, #[case] held: bool) {
    let mut world = World::new();
    for _ in 0..crashes {
        world.crashes_apart(&[&["lethal"]]);
    }
    assert_eq!(world.is_held("lethal"), held);
}

/// A request that was only queued on the engines that crashed needs twice as many crashes.
#[rstest]
fn waiting_at_crashes_is_half_the_proof() {
    let mut world = World::new();
    for crash in 1..=6 {
        world.crash_with(&["queued"], Weight::Waiting);
        world.pass(APART);
        world.quarantine.evaluate(world.now);
        assert_eq!(world.is_held("queued"), crash == 6, "after {crash} crashes");
    }
}

/// Requests that had been running well when their engine crashed must not be suspected.
#[rstest]
#[case::queued(Progress::Waiting, Some(Weight::Waiting))]
#[case::booking(Progress::Unknown, Some(Weight::Begun))]
#[case::slow_engine(Progress::Begun { span: Span::from_secs(2), events: 0 }, Some(Weight::Begun))]
#[case::first_events(Progress::Begun { span: Span::from_millis(120), events: 2 }, Some(Weight::Begun))]
#[case::under_way(Progress::Begun { span: Span::from_millis(600), events: 10 }, None)]
fn only_what_had_just_begun_is_suspected(
    #[case] progress: Progress,
    #[case] weight: Option<Weight>,
) {
    assert_eq!(Quarantine::default().weight(progress), weight);
}

/// A request must not be sent while other hosts may still report what else was in flight.
#[rstest]
fn a_request_at_three_crashes_waits_for_the_decision() {
    let mut world = World::new();
    world.crashes_apart(&[&["lethal"], &["lethal"]]);
    world.crash(&["lethal"]);
    let settle = Settings::default().settle_time;
    let standing = world.quarantine.status(&request("lethal"), world.now);
    assert_eq!(standing, Status::Pending(settle));
    assert!(world.quarantine.evaluate(world.now).is_empty());
}

/// Requests that repeatedly run beside a lethal one must not be refused.
#[rstest]
fn a_request_beside_a_lethal_one_is_not_refused() {
    let mut world = World::new();
    world.crashes_apart(&[
        &["lethal", "beside"],
        &["lethal", "beside"],
        &["lethal", "beside"],
        &["lethal"],
        &["lethal", "beside"],
        &["beside", "lethal"],
    ]);
    assert!(world.is_held("lethal") && !world.is_held("beside"));
}

/// Neither of two requests may be refused for crashes that both were involved in.
#[rstest]
fn of_two_suspects_at_the_same_crashes_neither_is_refused() {
    let mut world = World::new();
    let both: &[&str] = &["one", "other"];
    world.crashes_apart(&[both, both, both]);
    assert!(!world.is_held("one") && !world.is_held("other"));
    world.crashes_apart(&[&["one"]]);
    assert!(world.is_held("one") && !world.is_held("other"));
}

/// A request with many copies must not be refused because a rack with several upstreams failed.
#[rstest]
fn a_rack_that_goes_down_is_one_crash() {
    let mut world = World::new();
    for _ in 0..2 {
        for _ in 0..8 {
            world.crash(&["popular"]);
        }
        world.pass(APART);
        world.quarantine.evaluate(world.now);
    }
    assert!(!world.is_held("popular"));
}

/// A popular request that runs on most upstreams must not be refused while others answer it.
#[rstest]
fn a_request_that_is_answered_is_no_suspect() {
    let mut world = World::new();
    for _ in 0..10 {
        world.crashes_apart(&[&["popular", "lethal"]]);
        let (news, _) = world.quarantine.record_answer(&request("popular"), world.now);
        assert_eq!(news, world.crashes == 1, "told once, at crash {}", world.crashes);
    }
    assert!(world.is_held("lethal") && !world.is_held("popular"));
}

/// A complete answer must end a quarantine that was imposed by mistake, also on other hosts.
#[rstest]
fn an_answer_ends_a_quarantine() {
    let mut world = World::new();
    world.crashes_apart(&[&["lucky"], &["lucky"], &["lucky"]]);
    assert!(world.is_held("lucky"));
    let (_, released) = world.quarantine.record_answer(&request("lucky"), world.now);
    let mut other = World::new();
    other.quarantine.merge(released.unwrap(), other.now);
    assert!(!world.is_held("lucky") && !other.is_held("lucky"));
}

/// A request must not need three crashes again after each quarantine.
#[rstest]
fn after_a_quarantine_one_crash_is_enough_for_a_longer_one() {
    let mut world = World::new();
    let hold = Settings::default().base_duration;
    world.crashes_apart(&[&["lethal"], &["lethal"], &["lethal"]]);
    world.pass(hold);
    assert!(!world.is_held("lethal"));
    world.crashes_apart(&[&["lethal", "beside"]]);
    assert!(world.is_held("lethal"));
    world.pass(hold);
    assert!(world.is_held("lethal") && !world.is_held("beside"));
}

/// An older record of another host must not undo a release.
#[rstest]
fn the_later_verdict_holds_in_any_order() {
    let mut world = World::new();
    world.crashes_apart(&[&["lethal"], &["lethal"], &["lethal"]]);
    let held = *world.quarantine.records(world.now).next().unwrap();
    let released = world.quarantine.release(&request("lethal"), world.now).unwrap();
    let mut other = World::new();
    assert!(other.quarantine.merge(released, other.now));
    assert!(!other.quarantine.merge(held, other.now));
    assert!(!other.is_held("lethal"));
    assert_eq!(
        other.quarantine.checksum(other.now),
        world.quarantine.checksum(world.now),
        "hosts that know the same verdicts agree"
    );
}

/// Reports by several hosts about one crash must not count as several crashes.
#[rstest]
fn a_crash_that_several_hosts_report_counts_once() {
    let mut world = World::new();
    for _ in 0..4 {
        let unlucky = Suspect { fingerprint: request("unlucky"), weight: Weight::Begun };
        world.quarantine.record_crash(&Upstream::from("e1"), &[unlucky], world.now);
        world.now = world.now + Span::from_millis(150);
    }
    world.pass(APART);
    assert!(world.quarantine.evaluate(world.now).is_empty());
}

/// Memory must stay bounded when a caller crashes engines with ever new requests.
#[rstest]
fn a_flood_of_lethal_requests_is_bounded() {
    let settings = Settings { max_entries: 100, max_crashes: 50, ..Settings::default() };
    let mut world = World { quarantine: Quarantine::new(settings), ..World::new() };
    world.crashes_apart(&[&["first"], &["first"]]);
    for number in 0..400 {
        world.crash(&[&format!("a{number}"), &format!("b{number}"), &format!("c{number}")]);
        world.pass(Span::from_millis(1));
        assert!(world.quarantine.suspects() <= 100);
    }
    for number in 0..300 {
        let name = format!("lethal {number}");
        world.crashes_apart(&[&[&name], &[&name], &[&name]]);
    }
    world.pass(APART);
    assert_eq!(world.quarantine.records(world.now).count(), 100);
}

/// Requests must not be fingerprinted while no request of their length is suspected.
#[rstest]
fn a_request_of_another_length_is_not_looked_at() {
    let mut world = World::new();
    assert!(!world.quarantine.has_length(6));
    world.crash(&["lethal"]);
    assert!(world.quarantine.has_length(6) && !world.quarantine.has_length(7));
}
