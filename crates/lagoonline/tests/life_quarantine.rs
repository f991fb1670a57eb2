//! Requests that crash upstreams must be refused, and no others.

use lagoonline::clock::{Moment, Span};
use lagoonline::id::Upstream;
use lagoonline::lifecycle::fingerprint::Fingerprint;
use lagoonline::lifecycle::quarantine::{
    Progress, Prompt, Quarantine, Settings, Status, Suspect, Weight,
};
use rstest::rstest;

/// Time between two crashes, longer than other hosts need to report.
const CRASH_INTERVAL: Span = Span::from_millis(400);

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
        self.crash_with(requests, Weight::Started);
    }

    fn crash_with(&mut self, requests: &[&str], weight: Weight) {
        self.crashes += 1;
        let upstream = Upstream::from(format!("e{}", self.crashes));
        let requests = requests.iter().map(|name| Suspect {
            fingerprint: request(name),
            weight,
            prompt: Prompt::default(),
        });
        self.quarantine.record_crash(&upstream, &requests.collect::<Vec<_>>(), self.now);
    }

    fn advance(&mut self, span: Span) {
        self.now = self.now + span;
        self.quarantine.expire(self.now);
    }

    /// Crashes upstreams one after the other, evaluating each crash once all reports are in.
    fn crash_separately(&mut self, crashes: &[&[&str]]) {
        for requests in crashes {
            self.crash(requests);
            self.advance(CRASH_INTERVAL);
            self.quarantine.evaluate(self.now);
        }
    }

    fn is_quarantined(&self, name: &str) -> bool {
        matches!(self.quarantine.status(&request(name), self.now), Status::Quarantined(_))
    }
}

/// A request must be refused after three crashes, and not earlier.
#[rstest]
#[case(2, false)]
#[case(3, true)]
fn three_crashes_are_proof(#[case] crashes: usize, #[case] is_quarantined: bool) {
    let mut world = World::new();
    for _ in 0..crashes {
        world.crash_separately(&[&["lethal"]]);
    }
    assert_eq!(world.is_quarantined("lethal"), is_quarantined);
}

/// A request that was only queued on the engines that crashed needs twice as many crashes.
#[rstest]
fn a_queued_request_needs_twice_as_many_crashes() {
    let mut world = World::new();
    for crash in 1..=6 {
        world.crash_with(&["queued"], Weight::MaybeQueued);
        world.advance(CRASH_INTERVAL);
        world.quarantine.evaluate(world.now);
        assert_eq!(world.is_quarantined("queued"), crash == 6, "after {crash} crashes");
    }
}

/// Requests that had been running well when their engine crashed must not be suspected.
#[rstest]
#[case::queued(Progress::Waiting, Some(Weight::MaybeQueued))]
#[case::whole_answer(Progress::Unknown, Some(Weight::Started))]
#[case::slow_engine(Progress::Answering { span: Span::from_secs(2), events: 0 }, Some(Weight::Begun))]
#[case::first_events(Progress::Answering { span: Span::from_millis(120), events: 2 }, Some(Weight::Started))]
#[case::under_way(Progress::Answering { span: Span::from_millis(600), events: 10 }, None)]
fn only_requests_that_had_just_started_are_suspected(
    #[case] progress: Progress,
    #[case] weight: Option<Weight>,
) {
    assert_eq!(Quarantine::default().weight(progress), weight);
}

/// A request must not be sent while other hosts may still report what else was in flight.
#[rstest]
fn a_request_at_three_crashes_waits_for_the_decision() {
    let mut world = World::new();
    world.crash_separately(&[&["lethal"], &["lethal"]]);
    world.crash(&["lethal"]);
    let settle = Settings::default().settle_time;
    let status = world.quarantine.status(&request("lethal"), world.now);
    assert_eq!(status, Status::Pending(settle));
    assert!(world.quarantine.evaluate(world.now).is_empty());
}

/// Requests that repeatedly run beside a lethal one must not be refused.
#[rstest]
fn a_request_beside_a_lethal_one_is_not_refused() {
    let mut world = World::new();
    world.crash_separately(&[
        &["lethal", "beside"],
        &["lethal", "beside"],
        &["lethal", "beside"],
        &["lethal"],
        &["lethal", "beside"],
        &["beside", "lethal"],
    ]);
    assert!(world.is_quarantined("lethal") && !world.is_quarantined("beside"));
}

/// Neither of two requests may be refused for crashes that both were involved in.
#[rstest]
fn of_two_suspects_at_the_same_crashes_neither_is_refused() {
    let mut world = World::new();
    let both: &[&str] = &["one", "other"];
    world.crash_separately(&[both, both, both]);
    assert!(!world.is_quarantined("one") && !world.is_quarantined("other"));
    world.crash_separately(&[&["one"]]);
    assert!(world.is_quarantined("one") && !world.is_quarantined("other"));
}

/// A request with many copies must not be refused because a rack with several upstreams failed.
#[rstest]
fn a_rack_that_goes_down_is_one_crash() {
    let mut world = World::new();
    for _ in 0..2 {
        for _ in 0..8 {
            world.crash(&["popular"]);
        }
        world.advance(CRASH_INTERVAL);
        world.quarantine.evaluate(world.now);
    }
    assert!(!world.is_quarantined("popular"));
}

/// A popular request that runs on most upstreams must not be refused while others answer it.
#[rstest]
fn a_request_that_is_answered_is_no_suspect() {
    let mut world = World::new();
    for _ in 0..10 {
        world.crash_separately(&[&["popular", "lethal"]]);
        let (is_news, _) = world.quarantine.record_answer(&request("popular"), world.now);
        assert_eq!(is_news, world.crashes == 1, "told once, at crash {}", world.crashes);
    }
    assert!(world.is_quarantined("lethal") && !world.is_quarantined("popular"));
}

/// A complete answer must end a quarantine that was imposed by mistake, also on other hosts.
#[rstest]
fn an_answer_ends_a_quarantine() {
    let mut world = World::new();
    world.crash_separately(&[&["lucky"], &["lucky"], &["lucky"]]);
    assert!(world.is_quarantined("lucky"));
    let (_, released) = world.quarantine.record_answer(&request("lucky"), world.now);
    let mut other = World::new();
    other.quarantine.merge(released.unwrap(), other.now);
    assert!(!world.is_quarantined("lucky") && !other.is_quarantined("lucky"));
}

/// A request must not need three crashes again after each quarantine.
#[rstest]
fn after_a_quarantine_one_crash_is_enough_for_a_longer_one() {
    let mut world = World::new();
    let base_duration = Settings::default().base_duration;
    world.crash_separately(&[&["lethal"], &["lethal"], &["lethal"]]);
    world.advance(base_duration);
    assert!(!world.is_quarantined("lethal"));
    world.crash_separately(&[&["lethal", "beside"]]);
    assert!(world.is_quarantined("lethal"));
    world.advance(base_duration);
    assert!(world.is_quarantined("lethal") && !world.is_quarantined("beside"));
}

/// An older record of another host must not undo a release.
#[rstest]
fn the_later_record_wins_in_any_order() {
    let mut world = World::new();
    world.crash_separately(&[&["lethal"], &["lethal"], &["lethal"]]);
    let quarantined = world.quarantine.records(world.now).next().unwrap().clone();
    let released = world.quarantine.release(&request("lethal"), world.now).unwrap();
    let mut other = World::new();
    assert!(other.quarantine.merge(released, other.now));
    assert!(!other.quarantine.merge(quarantined, other.now));
    assert!(!other.is_quarantined("lethal"));
    assert_eq!(
        other.quarantine.checksum(other.now),
        world.quarantine.checksum(world.now),
        "hosts with the same records have the same checksum"
    );
}

/// Reports by several hosts about one crash must not count as several crashes.
#[rstest]
fn a_crash_that_several_hosts_report_counts_once() {
    let mut world = World::new();
    for _ in 0..4 {
        let fingerprint = request("unlucky");
        let prompt = Prompt::default();
        let unlucky = Suspect { fingerprint, weight: Weight::Started, prompt };
        world.quarantine.record_crash(&Upstream::from("e1"), &[unlucky], world.now);
        world.now = world.now + Span::from_millis(150);
    }
    world.advance(CRASH_INTERVAL);
    assert!(world.quarantine.evaluate(world.now).is_empty());
}

/// Memory must stay bounded when a caller crashes engines with ever new requests.
#[rstest]
fn a_flood_of_lethal_requests_is_bounded() {
    let settings = Settings { max_entries: 100, max_crashes: 50, ..Settings::default() };
    let mut world = World { quarantine: Quarantine::new(settings), ..World::new() };
    world.crash_separately(&[&["first"], &["first"]]);
    for number in 0..400 {
        world.crash(&[&format!("a{number}"), &format!("b{number}"), &format!("c{number}")]);
        world.advance(Span::from_millis(1));
        assert!(world.quarantine.suspect_count() <= 100);
    }
    for number in 0..300 {
        let name = format!("lethal {number}");
        world.crash_separately(&[&[&name], &[&name], &[&name]]);
    }
    world.advance(CRASH_INTERVAL);
    assert_eq!(world.quarantine.records(world.now).count(), 100);
}

/// Requests must not be fingerprinted while no request of their length is suspected.
#[rstest]
fn a_request_of_another_length_is_not_fingerprinted() {
    let mut world = World::new();
    assert!(!world.quarantine.has_length(6));
    world.crash(&["lethal"]);
    assert!(world.quarantine.has_length(6) && !world.quarantine.has_length(7));
}
