//! Tests of hosts that lose their own paths to upstreams, while callers, the platform and other
//! hosts still reach them and other hosts still reach the upstreams.

#[path = "../../../platform/tests/standin/mod.rs"]
#[allow(dead_code, reason = "each test program uses a part of it")]
mod standin;

#[allow(dead_code, reason = "each test program uses a part of it")]
mod host;

use std::thread;
use std::time;

use rstest::rstest;

use host::{Host, HostSettings, all_events, desired};
use standin::path::Mode;
use standin::{Behavior, Entrance, Standin};

/// Time after the beginning of a cut after which a host is held to serve as the others do.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(1);
/// First tries at each host.
const TRIES: usize = 12;

/// Hosts of one zone before two engines and two replicas.
struct Fleet {
    standin: Standin,
    /// Paths of `cut`.
    entrance: Entrance,
    /// The host whose paths can be cut.
    cut: Host,
    /// A host that keeps its paths.
    other: Host,
}

impl Fleet {
    fn start() -> Fleet {
        Fleet::start_with(HostSettings::default())
    }

    /// Starts the hosts with `settings`, except for name, store and the bound on revoked keys.
    fn start_with(settings: HostSettings<'_>) -> Fleet {
        let standin = Standin::start();
        standin.put("op", "config", &desired(1, &["k1"], 10_000));
        for name in ["e1", "e2"] {
            standin.upstream(name, "llm", 16);
        }
        for name in ["r1", "r2"] {
            standin.upstream(name, "app", 6);
        }
        let entrance = standin.entrance_with_paths();
        let settings = HostSettings { revoke_ms: 5_000, ..settings };
        let other = Host::join(&standin, HostSettings { name: "h2", ..settings });
        let cut = Host::join(
            &standin,
            HostSettings { name: "h1", store: Some(entrance.address), ..settings },
        );
        let fleet = Fleet { standin, entrance, cut, other };
        assert_eq!(served(&fleet.cut), TRIES, "before the cut");
        fleet
    }
}

/// Returns the value of a metric of `host`; 0 if it has no value yet.
fn metric(host: &Host, name: &str) -> f64 {
    let text = host::send_request(host.ready, "GET /metrics HTTP/1.1\r\nhost: h\r\n\r\n").1;
    let mut lines = text.lines().filter_map(|line| line.split_once(' '));
    let found = lines.find(|(key, _)| *key == format!("lagoon_gateway_{name}"));
    found.map_or(0.0, |(_, value)| value.parse().unwrap())
}

/// Returns how many of [`TRIES`] first tries at `host` are served: streams, lookups and bookings.
fn served(host: &Host) -> usize {
    let is_served = |number: usize| match number % 3 {
        0 => host.talk() == (200, all_events()),
        1 => host.call("GET", &format!("/look/{number}"), "k1", "").0 == 200,
        _ => {
            let path = format!("/book/{number}");
            host.call("POST", &path, "k1", "content-length: 0\r\n").0 == 200
        }
    };
    (0..TRIES).filter(|number| is_served(*number)).count()
}

/// A host that alone loses its paths to all upstreams refused every caller that came to it, while
/// the other hosts served theirs.
#[rstest]
#[case::silent(Mode::Silent)]
#[case::reset(Mode::Reset)]
#[case::refusing(Mode::Refusing)]
fn callers_of_a_host_without_paths_are_served_as_elsewhere(#[case] cut: Mode) {
    let fleet = Fleet::start();
    fleet.entrance.set_paths(cut);
    thread::sleep(SETTLE_TIME);
    let (here, elsewhere) = (served(&fleet.cut), served(&fleet.other));
    assert_eq!((here, elsewhere), (TRIES, TRIES), "served first tries here and elsewhere");
}

/// A host whose paths were reset, and whose new connections were refused, took each upstream that it
/// had used for crashed and blamed the requests that had been on their way there.
#[rstest]
fn a_host_without_paths_takes_no_upstream_for_crashed() {
    let fleet = Fleet::start();
    for name in ["e1", "e2"] {
        fleet.standin.behavior(name, Behavior::SlowEvents);
    }
    thread::scope(|scope| {
        let callers: Vec<_> = (0..4).map(|_| scope.spawn(|| fleet.cut.talk())).collect();
        fleet.cut.until("sent to both engines", || {
            let received = fleet.standin.received_requests();
            let slow = received.iter().skip(TRIES).filter(|request| request.path == "/talk/a");
            slow.count() == callers.len()
        });
        fleet.entrance.set_paths(Mode::Reset);
    });
    thread::sleep(SETTLE_TIME);
    assert_eq!(metric(&fleet.cut, "upstream_crashes_total"), 0.0);
}

/// A host that lost its paths told the others of its zone that the upstreams were unreachable. They
/// gave up on sound upstreams that were merely busy, and sent their requests once more.
#[rstest]
fn a_host_without_paths_tells_nobody_that_upstreams_are_unreachable(
    #[values(Mode::Open, Mode::Silent, Mode::Refusing)] mode: Mode,
) {
    let fleet = Fleet::start_with(HostSettings { relay_hosts: 2, ..HostSettings::default() });
    for name in ["e1", "e2"] {
        fleet.standin.behavior(name, Behavior::BusyBeforeHead);
    }
    fleet.entrance.set_paths(mode);
    thread::scope(|scope| {
        let elsewhere: Vec<_> = (0..4).map(|_| scope.spawn(|| fleet.other.talk())).collect();
        for _ in 0..TRIES {
            fleet.cut.call("GET", "/look/1", "k1", "");
            fleet.cut.call("POST", "/talk/a", "k1", "lagoonline-token-count: 5000,400\r\n");
        }
        for caller in elsewhere {
            assert_eq!(caller.join().unwrap(), (200, all_events()));
        }
    });
    assert_eq!(metric(&fleet.other, "repeats_total"), 0.0, "requests sent once more");
}

/// The streams of a host that lost its paths fell silent. It told the zone that their upstreams did
/// not respond, and other hosts gave up on them.
#[rstest]
fn a_stream_cut_by_a_lost_path_makes_nobody_give_up_on_its_upstream() {
    let fleet = Fleet::start_with(HostSettings { relay_hosts: 2, ..HostSettings::default() });
    for name in ["e1", "e2"] {
        fleet.standin.behavior(name, Behavior::SlowEvents);
    }
    thread::scope(|scope| {
        let streams: Vec<_> = (0..4).map(|_| scope.spawn(|| fleet.cut.talk())).collect();
        fleet.cut.until("sent to both engines", || {
            let received = fleet.standin.received_requests();
            let slow = received.iter().skip(TRIES).filter(|request| request.path == "/talk/a");
            slow.count() == streams.len()
        });
        fleet.entrance.set_paths(Mode::Silent);
        for name in ["e1", "e2"] {
            fleet.standin.behavior(name, Behavior::BusyBeforeHead);
        }
        let elsewhere = |_| {
            scope.spawn(|| (0..4).for_each(|_| assert_eq!(fleet.other.talk(), (200, all_events()))))
        };
        let callers: Vec<_> = (0..4).map(elsewhere).collect();
        callers.into_iter().for_each(|caller| caller.join().unwrap());
        for stream in streams {
            assert_eq!(stream.join().unwrap(), (200, all_events()));
        }
    });
    assert_eq!(metric(&fleet.other, "repeats_total"), 0.0, "requests sent once more");
}

/// A sound upstream that was silent for a second, at any step of its answer, lost the answer.
#[rstest]
fn a_sound_upstream_may_be_silent_for_a_second(#[values("/talk/", "/tell/")] route: &str) {
    for step in [0, 1, 2, 6, standin::EVENTS] {
        let fleet = Fleet::start();
        for name in ["e1", "e2"] {
            fleet.standin.behavior(name, Behavior::SilentBefore(step));
        }
        let tokens = "lagoonline-token-count: 5000,400\r\n";
        let answer = fleet.other.call("POST", route, "k1", tokens);
        assert_eq!(answer, (200, all_events()), "silent before event {step}");
    }
}
