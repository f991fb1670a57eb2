//! Upstreams that leave, as two entry hosts learn it through their stewards.

use std::sync::atomic;
use std::thread;
use std::time;

use lagoon_net::entry;
use lagoon_net::steward;
use lagoon_net::wire;
use lagoon_standin::engine;
use lagoon_standin::platform;
use lagoon_standin::server;
use lagoonline::id;
use rstest::rstest;

use crate::host;
use crate::link;

const HOSTS: [&str; 2] = ["suva-1", "suva-2"];
/// Time after which no call may be sent to the leaving engine: twice the 2 s that the hosts may
/// take. By then the calls that were already on their way have arrived.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(4);
/// Pause between two calls, long enough to stay below the customer's default rate limit.
const CALL_PAUSE: time::Duration = time::Duration::from_millis(40);
/// Time after [`SETTLE_TIME`] during which no new call may arrive, while the list is stale.
const WATCH_TIME: time::Duration = time::Duration::from_secs(3);

/// How the hosts learn that the engine is leaving.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Source {
    /// From the platform's list of hosts.
    List,
    /// From the engine's refusal, at each host.
    Refusal,
    /// From the engine's refusal at the other host.
    Peer,
}

/// Two entry hosts with a steward each, two engines and the platform.
struct Site {
    platform: server::Running<platform::Platform>,
    engines: Vec<server::Running<engine::Engine>>,
    stewards: Vec<steward::Running>,
    hosts: Vec<host::Host>,
}

impl Site {
    fn start() -> Site {
        let faults = platform::Faults { hosts_lag_ms: 0, ..Default::default() };
        let settings = platform::Settings { faults, ..Default::default() };
        let platform = platform::start(settings).unwrap();
        let engines = engine::start_all(vec![host::quick(), host::quick()]).unwrap();
        let addresses: Vec<_> = engines.iter().map(server::Running::address).collect();
        link::store(platform.address(), &host::section(&addresses, &[], true));
        let mut site = Site { platform, engines, stewards: Vec::new(), hosts: Vec::new() };
        HOSTS.iter().for_each(|name| site.add(name));
        for host in &site.hosts {
            let ready = || host.exchange(&host::request("GET", "/readyz", "", ""));
            host::wait_until("the host is ready", || host::status(&ready()) == "200");
        }
        site
    }

    fn add(&mut self, name: &str) {
        let peers = self.stewards.iter().map(steward::Running::address).collect();
        let steward = link::start_steward(name, self.platform.address(), peers);
        let running = entry::start(entry::Settings {
            host: id::Host::from(name),
            steward: Some(steward.address()),
            key: wire::Key::new(b"fleet"),
            ..host::settings(Vec::new())
        });
        self.stewards.push(steward);
        self.hosts.push(host::Host { running: running.unwrap(), engines: Vec::new() });
    }

    /// Returns the number of calls sent to the first engine: those it accepted and those it refused
    /// as leaving.
    fn sent(&self) -> usize {
        let refused: usize = self.hosts.iter().map(refused_calls).sum();
        self.engines[0].node().record().attempts.len() + refused
    }

    /// Sets the state of the first engine in the platform's list.
    fn set_listed_state(&self, state: &str) {
        let incarnation = self.engines[0].node().record().incarnation;
        let (name, zone, state) = ("engine-0".into(), "suva".into(), state.into());
        let line = platform::HostEntry { name, zone, incarnation, state };
        self.platform.node().set_hosts(vec![line]);
    }
}

/// Returns the number of a host's calls that were refused as leaving.
fn refused_calls(host: &host::Host) -> usize {
    let metrics = host.metrics();
    let name = "lagoon_attempts_total{cause=\"leaving\"} ";
    let line = metrics.lines().find_map(|line| line.strip_prefix(name));
    line.map_or(0, |count| count.trim().parse().unwrap())
}

fn call(host: &host::Host) {
    let answer = host.post("/v1/completions", "", &host::completion("tin", 2, false));
    assert_eq!(host::status(&answer), "200", "{answer}");
    thread::sleep(CALL_PAUSE);
}

/// Stops the calling threads when dropped, also when an assertion fails: threads that keep calling
/// would keep the scope open, and the failure would never be reported.
struct Stop<'a>(&'a atomic::AtomicBool);

impl Drop for Stop<'_> {
    fn drop(&mut self) {
        self.0.store(true, atomic::Ordering::Relaxed);
    }
}

/// Both hosts are called continuously, and every call must succeed. One engine starts to leave. The
/// hosts learn it from the platform's list, from a refusal by the engine, or from the other host.
/// Soon no call is sent to it, also while a stale list reports it as live and while the platform is
/// down. Once the engine is back with a new incarnation it gets calls again.
#[rstest]
#[case(Source::List, false)]
#[case(Source::Refusal, false)]
#[case(Source::Refusal, true)]
#[case(Source::Peer, false)]
#[case(Source::Peer, true)]
fn a_leaving_engine_gets_nothing_new(#[case] source: Source, #[case] platform_down: bool) {
    let site = Site::start();
    site.set_listed_state("live");
    let leaving = site.engines[0].node().clone();
    let (stop, second_may_call) = (atomic::AtomicBool::new(false), atomic::AtomicBool::new(true));
    let is_on = |flag: &atomic::AtomicBool| flag.load(atomic::Ordering::Relaxed);
    thread::scope(|scope| {
        let _stop = Stop(&stop);
        let callers = site.hosts.iter().enumerate().map(|(index, host)| {
            let (stop, second_may_call) = (&stop, &second_may_call);
            scope.spawn(move || {
                while !is_on(stop) {
                    let calls = index == 0 || is_on(second_may_call);
                    if calls { call(host) } else { thread::sleep(time::Duration::from_millis(5)) }
                }
            })
        });
        let callers: Vec<_> = callers.collect();
        host::wait_until("the engine works", || leaving.record().attempts.len() > 20);
        let down = platform::Faults { down: platform_down, ..site.platform.node().faults() };
        site.platform.node().set_faults(down);
        second_may_call.store(source != Source::Peer, atomic::Ordering::Relaxed);
        thread::sleep(time::Duration::from_millis(200));

        let (began, mut last, mut sent) = (time::Instant::now(), time::Duration::ZERO, 0);
        match source {
            Source::List => site.set_listed_state("leaving"),
            Source::Refusal | Source::Peer => leaving.leave(),
        }
        while began.elapsed() < SETTLE_TIME {
            // The second host does not call during the first half, so it can learn of the leaving
            // only from the first host.
            second_may_call.fetch_or(began.elapsed() > SETTLE_TIME / 2, atomic::Ordering::Relaxed);
            let now = site.sent();
            if now != sent {
                (sent, last) = (now, began.elapsed());
            }
        }
        if source == Source::List {
            site.set_listed_state("live");
        }
        thread::sleep(WATCH_TIME);
        assert_eq!(site.sent(), sent, "the leaving engine got new calls");
        let by_host: Vec<_> = site.hosts.iter().map(refused_calls).collect();
        println!(
            "{source:?}, platform down {platform_down}: last call after {last:?}, {by_host:?}"
        );
        assert!(source != Source::Peer || by_host[1] == 0, "the second host was not informed");

        let faults = leaving.faults();
        leaving.set_faults(engine::Faults { down: true, ..faults.clone() });
        leaving.set_faults(faults);
        host::wait_until("the new incarnation gets calls", || site.sent() > sent);
        stop.store(true, atomic::Ordering::Relaxed);
        callers.into_iter().for_each(|caller| caller.join().unwrap());
    });
    site.hosts.into_iter().for_each(host::Host::finish);
}
