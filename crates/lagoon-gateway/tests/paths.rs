//! Tests of hosts that lose their own paths to upstreams, while callers, the platform and other
//! hosts still reach them and other hosts still reach the upstreams.

#[path = "../../../platform/tests/standin/mod.rs"]
#[allow(dead_code, reason = "each test program uses a part of it")]
mod standin;

#[allow(dead_code, reason = "each test program uses a part of it")]
mod host;

mod carrier;

use std::io::{Read, Write};
use std::net;
use std::thread;
use std::time;

use rstest::rstest;

use host::{Host, HostSettings, all_events, caller, desired, send_request, start_upstreams};
use standin::path::Mode;
use standin::raw;
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
    _third: Option<Host>,
}

impl Fleet {
    fn start() -> Fleet {
        Fleet::start_with(HostSettings::default())
    }

    /// Starts the hosts, and cuts the paths of one of them.
    fn start_cut(cut: Mode) -> Fleet {
        // Keys stay valid while the platform turns the host away.
        let fleet =
            Fleet::start_with(HostSettings { revoke_ms: 60_000, ..HostSettings::default() });
        fleet.entrance.set_paths(cut);
        assert_eq!(served(&fleet.cut), TRIES, "in the cut");
        fleet
    }

    /// Starts the hosts, and cuts the paths of all of them.
    fn start_without_any_paths() -> Fleet {
        let fleet = Fleet::start();
        let all = fleet.standin.entrance_with_paths();
        let settings = HostSettings { revoke_ms: 5_000, ..HostSettings::default() };
        let settings = HostSettings { name: "h3", store: Some(all.address), ..settings };
        let third = Host::join(&fleet.standin, settings);
        fleet.other.running.as_ref().unwrap().handle().drain();
        fleet.standin.remove("lagoon-hosts", "h2");
        fleet.entrance.set_paths(Mode::Silent);
        all.set_paths(Mode::Silent);
        // Both hosts find out that they, and the other one, are cut off.
        thread::scope(|scope| {
            for host in [&fleet.cut, &third] {
                scope.spawn(|| (0..4).for_each(|_| drop(host.call("GET", "/look/1", "k1", ""))));
            }
        });
        Fleet { _third: Some(third), ..fleet }
    }

    /// Starts the hosts with `settings`, except for name, store and the bound on revoked keys.
    fn start_with(settings: HostSettings<'_>) -> Fleet {
        Fleet::start_with_upstreams(settings, |standin, name, service, slots| {
            standin.upstream(name, service, slots);
        })
    }

    fn start_with_upstreams(
        settings: HostSettings<'_>,
        upstream: fn(&Standin, &str, &str, u32),
    ) -> Fleet {
        let standin = start_upstreams(upstream);
        let entrance = standin.entrance_with_paths();
        let settings = HostSettings { revoke_ms: settings.revoke_ms.max(5_000), ..settings };
        let other = Host::join(&standin, HostSettings { name: "h2", ..settings });
        let cut = Host::join(
            &standin,
            HostSettings { name: "h1", store: Some(entrance.address), ..settings },
        );
        let fleet = Fleet { standin, entrance, cut, other, _third: None };
        assert_eq!(fleet.cut.talk().0, 200, "before the cut");
        fleet
    }

    /// Returns how many requests upstreams ran whose path begins with `path`.
    fn ran(&self, path: &str) -> usize {
        let received = self.standin.received_requests();
        received.iter().filter(|request| request.ran && request.path.starts_with(path)).count()
    }

    /// Returns how many requests `upstream` received.
    fn received_by(&self, upstream: &str) -> usize {
        let received = self.standin.received_requests();
        received.iter().filter(|request| request.upstream == upstream).count()
    }

    /// Waits until `count` more prompts than `before` have arrived at engines.
    fn wait_for_prompts(&self, before: usize, count: usize) {
        self.cut.until("sent to the engines", || self.ran("/talk/") >= before + count);
    }
}

/// A short prompt on a route whose streams may be resumed.
const PROMPT: &str = "POST /talk/a HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: q9\r\n\
                      authorization: Token k1\r\nlagoonline-token-count: 5000,400\r\n\
                      content-length: 0\r\n\r\n";

/// Returns the value of a metric of `host`; 0 if it has no value yet.
fn metric(host: &Host, name: &str) -> f64 {
    let text = send_request(host.ready, "GET /metrics HTTP/1.1\r\nhost: h\r\n\r\n").1;
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
    let before = fleet.ran("/talk/");
    thread::scope(|scope| {
        let callers: Vec<_> = (0..4).map(|_| scope.spawn(|| fleet.cut.talk())).collect();
        fleet.wait_for_prompts(before, callers.len());
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
    let before = fleet.ran("/talk/");
    thread::scope(|scope| {
        let streams: Vec<_> = (0..4).map(|_| scope.spawn(|| fleet.cut.talk())).collect();
        fleet.wait_for_prompts(before, streams.len());
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

/// A host that had lost one path stopped for good when another host asked it for that connection.
#[rstest]
fn a_host_that_lost_a_path_answers_a_host_that_asks_for_it() {
    let fleet = Fleet::start();
    let paths = fleet.standin.entrance_with_paths();
    let settings = HostSettings { revoke_ms: 5_000, ..HostSettings::default() };
    let settings = HostSettings { name: "h3", store: Some(paths.address), ..settings };
    let third = Host::join(&fleet.standin, settings);
    fleet.standin.behavior("e2", Behavior::Refuse);
    paths.set_path("e1", Mode::Refusing);
    assert_eq!(third.talk(), (200, all_events()));
    fleet.entrance.set_path("e1", Mode::Refusing);
    for _ in 0..20 {
        assert_eq!(fleet.cut.talk(), (200, all_events()));
    }
    assert_eq!(third.talk(), (200, all_events()));
}

/// Where no host reaches an upstream, callers waited 0.7 to 1.4 s for a refusal that was certain.
#[rstest]
fn callers_are_refused_at_once_while_no_host_has_a_path() {
    let fleet = Fleet::start_without_any_paths();
    let answers: Vec<_> = (0..20)
        .map(|number| {
            let began = time::Instant::now();
            let path = format!("/book/{number}");
            let (status, body) = fleet.cut.call("POST", &path, "k1", "content-length: 0\r\n");
            assert_eq!(status, 503, "{body}");
            thread::sleep(time::Duration::from_millis(30));
            began.elapsed()
        })
        .collect();
    // Some requests look whether a path is back; the others need not wait for them.
    let slow = answers.iter().filter(|span| **span > time::Duration::from_millis(200)).count();
    assert!(slow <= 5, "{slow} of 20 waited: {answers:?}");
    assert_eq!(fleet.ran("/book/"), 0, "refused requests that ran");
}

/// A request that went through another host ran on although its caller had left.
#[rstest]
fn a_caller_that_leaves_frees_the_upstream_behind_another_host() {
    let fleet = Fleet::start_cut(Mode::Silent);
    for name in ["e1", "e2"] {
        fleet.standin.behavior(name, Behavior::SlowEvents);
    }
    let mut caller = net::TcpStream::connect(fleet.cut.callers).unwrap();
    caller.write_all(PROMPT.as_bytes()).unwrap();
    let mut buffer = [0; 1024];
    assert!(caller.read(&mut buffer).unwrap() > 0);
    drop(caller);
    let left = time::Instant::now();
    fleet.cut.until("stopped at the upstream", || fleet.standin.stopped() == 1);
    assert!(left.elapsed() < time::Duration::from_millis(500), "{:?}", left.elapsed());
    fleet.other.until("carries nothing", || metric(&fleet.other, "tunnels_carried") == 0.0);
}

/// A host that had lost the platform too would have sent requests through another host to an
/// upstream that this one knew to have left.
#[rstest]
fn an_upstream_that_left_gets_nothing_through_a_host_that_knows() {
    let fleet = Fleet::start_cut(Mode::Silent);
    fleet.entrance.set_closed(true);
    fleet.standin.remove("servers", "r1");
    thread::sleep(time::Duration::from_millis(300));
    let before = fleet.received_by("r1");
    for number in 0..10 {
        fleet.cut.call("GET", &format!("/look/{number}"), "k1", "");
    }
    assert_eq!(fleet.received_by("r1"), before);
}

/// A host that had lost the platform too would have served a revoked key through another host that
/// knew better.
#[rstest]
fn a_revoked_key_is_refused_by_a_host_in_between_that_knows() {
    let fleet = Fleet::start_cut(Mode::Silent);
    fleet.entrance.set_closed(true);
    fleet.standin.put("op", "config", &desired(2, &["k2"], 10_000));
    fleet.other.until("using the new version", || {
        metric(&fleet.other, "desired_version") == 2.0
            && metric(&fleet.cut, "desired_version") == 1.0
    });
    let before = fleet.ran("/look/revoked");
    let (status, body) = fleet.cut.call("GET", "/look/revoked", "k1", "");
    assert_eq!(status, 503, "{body}");
    assert_eq!(fleet.ran("/look/revoked"), before);
}

/// A host that shut down cut the streams that it carried for another.
#[rstest]
fn a_host_in_between_that_drains_cuts_nothing() {
    let fleet = Fleet::start_cut(Mode::Refusing);
    for name in ["e1", "e2"] {
        fleet.standin.behavior(name, Behavior::SlowEvents);
    }
    let answer = thread::scope(|scope| {
        let stream = scope.spawn(|| fleet.cut.talk());
        fleet.other.until("carrying", || metric(&fleet.other, "tunnels_carried") > 0.0);
        fleet.other.running.as_ref().unwrap().handle().drain();
        stream.join().unwrap()
    });
    assert_eq!(answer, (200, all_events()));
    assert_eq!(metric(&fleet.cut, "repeats_total"), 0.0, "requests sent once more");
}

/// A large prompt has to arrive whole through another host, however it is split on the way.
#[rstest]
fn a_large_body_arrives_whole_through_another_host() {
    let fleet = Fleet::start_cut(Mode::Refusing);
    let body: String =
        (0..3_000_000_u32).map(|number| char::from(b'a' + (number % 23) as u8)).collect();
    let head = format!(
        "POST /talk/large HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: q8\r\n\
         authorization: Token k1\r\nlagoonline-token-count: 5000,400\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    assert_eq!(send_request(fleet.cut.callers, &head), (200, all_events()));
    let received = fleet.standin.received_requests();
    let found = received.iter().filter(|request| request.path == "/talk/large");
    let bodies: Vec<_> = found.map(|request| request.body == body.as_bytes()).collect();
    assert_eq!(bodies, [true], "runs of the request, with its whole body");
}

/// An answer without an end mark that broke on its way to the host in between must not look like one
/// that ended: it has to go on elsewhere.
#[rstest]
#[case::ended(raw::End::Close, standin::EVENTS, caller::End::Marked)]
#[case::reset(raw::End::Reset, standin::EVENTS, caller::End::Marked)]
fn an_answer_through_another_host_ends_as_it_came(
    #[case] end: raw::End,
    #[case] events: u64,
    #[case] expected: caller::End,
) {
    let fleet = Fleet::start_with_upstreams(HostSettings::default(), Standin::raw_upstream);
    fleet.entrance.set_paths(Mode::Refusing);
    assert_eq!(fleet.cut.talk(), (200, all_events()));
    let cut = Some(raw::events_after(0, "\n").len() - raw::events_after(4, "\n").len());
    let broken = raw::Script { framing: raw::Framing::Unframed, cut, end, ..raw::WHOLE };
    let rest = raw::Script { framing: raw::Framing::Unframed, ..raw::WHOLE };
    fleet.standin.script(&[broken, rest]);
    let answer = caller::call(fleet.cut.callers, PROMPT);
    let body = raw::events_after(0, "\n");
    let body = &body[..body.len() - raw::events_after(events, "\n").len()];
    assert_eq!((answer.body.as_str(), answer.end), (body, expected));
}

/// A host in between that died while it carried a request made the answer look whole, or the request
/// run twice.
#[rstest]
fn a_host_in_between_that_dies_neither_ends_nor_repeats_a_request() {
    let standin = Standin::start();
    standin.put("op", "config", &desired(1, &["k1"], 10_000));
    standin.raw_upstream("e1", "llm", 16);
    standin.raw_upstream("r1", "app", 6);
    carrier::start(&standin, 220);
    let entrance = standin.entrance_with_paths();
    let settings = HostSettings { store: Some(entrance.address), ..HostSettings::default() };
    let host = Host::join(&standin, settings);
    entrance.set_paths(Mode::Refusing);
    let unframed = raw::Script { framing: raw::Framing::Unframed, ..raw::WHOLE };
    standin.script(&[unframed; 8]);
    let stream = caller::call(host.callers, &PROMPT.replace("/talk/", "/tell/"));
    let whole = raw::events_after(0, "\n");
    assert!(stream.body.len() < whole.len() && whole.starts_with(&stream.body), "{stream:?}");
    let text: &'static str = Box::leak("booked ".repeat(60).into_boxed_str());
    let booked =
        raw::Script { framing: raw::Framing::Length, body: raw::Body::Text(text), ..raw::WHOLE };
    standin.script(&[booked; 8]);
    let before = host.ran_count();
    let (status, body) = host.call("POST", "/book/1", "k1", "content-length: 0\r\n");
    // Whether it ran is unknown, and so it is not sent again.
    assert_eq!(status, 502, "{body}");
    assert_eq!(host.ran_count(), before + 1, "runs of a booking");
}

/// After its paths were back a host went on through others.
#[rstest]
#[case::silent(Mode::Silent)]
#[case::refusing(Mode::Refusing)]
fn a_host_uses_its_own_paths_once_they_are_back(#[case] cut: Mode) {
    let fleet = Fleet::start_cut(cut);
    fleet.entrance.set_paths(Mode::Open);
    thread::sleep(SETTLE_TIME);
    assert_eq!(served(&fleet.cut), TRIES);
    let through = metric(&fleet.cut, "paths_total{path=\"through\"}");
    assert_eq!(served(&fleet.cut), TRIES);
    assert_eq!(metric(&fleet.cut, "paths_total{path=\"through\"}"), through);
    // An upstream that got no request meanwhile is not counted forever.
    fleet.cut.until("without lost paths", || metric(&fleet.cut, "paths_lost") == 0.0);
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

/// A stream was given up for a second of silence and then cut, since no other upstream took it: the
/// silent one was sound and would have gone on.
#[rstest]
fn a_silent_stream_that_nobody_else_takes_is_not_cut() {
    let fleet = Fleet::start();
    fleet.standin.behavior("e1", Behavior::SilentBefore(4));
    fleet.standin.behavior("e2", Behavior::Refuse);
    assert_eq!(fleet.other.talk(), (200, all_events()));
}

/// A prompt was given up for a second of silence before its answer, and then failed, since no other
/// upstream took it: the silent one was sound and would have answered.
#[rstest]
fn a_prompt_that_nobody_else_takes_is_not_given_up() {
    let fleet = Fleet::start();
    fleet.standin.behavior("e1", Behavior::SilentBefore(0));
    fleet.standin.behavior("e2", Behavior::Refuse);
    assert_eq!(fleet.other.talk(), (200, all_events()));
}
