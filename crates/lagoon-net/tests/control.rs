//! Stewards, their links and operators over loopback, with the stand-in platform.

use std::collections;
use std::net;
use std::sync;
use std::thread;
use std::time;

use lagoon_net::link;
use lagoon_net::operator;
use lagoon_net::platform as platform_client;
use lagoon_net::steward;
use lagoon_net::wire;
use lagoon_standin::engine;
use lagoon_standin::platform;
use lagoon_standin::server;
use lagoonline::control::replication;
use lagoonline::id;
use sha2::Digest;

/// Timeout of every wait, far longer than any step takes, so that no test fails on a slow machine.
const TIMEOUT: time::Duration = time::Duration::from_secs(30);

const OPERATOR_KEY: &str = "operators";

/// Versions of the complete documents that an entry process received, newest last.
type SeenVersions = sync::Arc<sync::Mutex<Vec<replication::Versions>>>;

/// Upstreams whose load an entry process received.
type ReceivedLoads = sync::Arc<sync::Mutex<collections::BTreeSet<String>>>;

/// An entry process reduced to its link: it reports received sections as in force at once.
struct Entry {
    seen: SeenVersions,
    loads: ReceivedLoads,
    stop: Option<tokio::sync::oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

struct Sink {
    handle: link::Handle,
    seen: SeenVersions,
    loads: ReceivedLoads,
}

impl link::Sink for Sink {
    fn apply(&mut self, update: link::Update) {
        if let link::Update::Loads(loads) = &update {
            let names = loads.iter().map(|load| load.upstream.clone());
            self.loads.lock().unwrap().extend(names);
        }
        if let link::Update::Fleet { fleet, complete } = update {
            let in_force = fleet.versions.clone();
            if complete {
                self.seen.lock().unwrap().push(in_force.clone());
            }
            self.handle.report(link::State { ready: complete, in_force, ..Default::default() });
        }
    }
}

impl Entry {
    fn start(steward: net::SocketAddr, host: &str, zone: &str) -> Entry {
        let settings = link::Settings {
            steward,
            host: id::Host::from(host),
            zone: id::Zone::from(zone),
            incarnation: id::Incarnation(1),
            key: wire::Key::new(b"fleet"),
            ..link::Settings::default()
        };
        let seen = SeenVersions::default();
        let (stop, stopped) = tokio::sync::oneshot::channel();
        let loads = ReceivedLoads::default();
        let (thread_seen, thread_loads) = (seen.clone(), loads.clone());
        let thread = thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let (handle, task) = link::open(settings);
            let sink = Sink { handle, seen: thread_seen, loads: thread_loads };
            runtime.unwrap().block_on(async {
                tokio::select! {
                    () = task.run(sink) => {}
                    _ = stopped => {}
                }
            });
        });
        Entry { seen, loads, stop: Some(stop), thread: Some(thread) }
    }

    /// Returns the versions in force; `None` until the entry process is ready.
    fn last(&self) -> Option<replication::Versions> {
        self.seen.lock().unwrap().last().cloned()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct Host {
    steward: steward::Running,
    entry: Entry,
}

struct Fleet {
    platform: server::Running<platform::Platform>,
    hosts: collections::BTreeMap<String, Host>,
}

impl Fleet {
    fn start(hosts_per_zone: usize) -> Fleet {
        let platform = platform::start(platform::Settings::default()).unwrap();
        let mut fleet = Fleet { platform, hosts: collections::BTreeMap::new() };
        for zone in ["suva", "nausori", "lautoka"] {
            for index in 0..hosts_per_zone {
                fleet.add(zone, &format!("{zone}-{index}"));
            }
        }
        fleet
    }

    fn add(&mut self, zone: &str, host: &str) {
        let peers = self.hosts.values().map(|host| host.steward.address()).collect();
        let platform = platform_client::Settings {
            address: self.platform.address(),
            reads_per_second: 100.0,
            writes_per_second: 50.0,
            timeout: time::Duration::from_millis(500),
            ..platform_client::Settings::default()
        };
        let settings = steward::Settings {
            host: id::Host::from(host),
            zone: id::Zone::from(zone),
            key: wire::Key::new(b"fleet"),
            platform: Some(platform),
            peers,
            operator_keys: vec![sha2::Sha256::digest(OPERATOR_KEY).into()],
            ..steward::Settings::default()
        };
        let steward = steward::start(settings).unwrap();
        let entry = Entry::start(steward.address(), host, zone);
        self.hosts.insert(host.to_owned(), Host { steward, entry });
    }

    fn client(&self) -> operator::Client {
        let stewards = self.hosts.values().map(|host| host.steward.address()).collect();
        operator::Client::new(operator::Settings {
            stewards,
            fleet_key: wire::Key::new(b"fleet"),
            key: OPERATOR_KEY.to_owned(),
            total_timeout: TIMEOUT,
            ..operator::Settings::default()
        })
    }

    fn put(&self, version: u64, text: &str) -> Result<u64, operator::Error> {
        let request = operator::Request {
            verb: Some(wire::Verb::SectionPut),
            team: "labels".to_owned(),
            version,
            text: text.to_owned(),
        };
        let value = block_on(self.client().call(&request))?;
        Ok(value["version"].as_u64().unwrap())
    }

    fn wait_accepted(&self, version: u64) -> operator::SectionStatus {
        block_on(self.client().wait_accepted("labels", version, TIMEOUT)).unwrap()
    }

    fn set_faults<F>(&self, change: F)
    where
        F: FnOnce(&mut platform::Faults),
    {
        let mut faults = self.platform.node().faults();
        change(&mut faults);
        self.platform.node().set_faults(faults);
    }

    /// Asserts that `version` is in force at every entry process, and that none ever reverted to a
    /// lower one.
    fn assert_in_force(&self, version: u64) {
        for (name, host) in &self.hosts {
            let last = host.entry.last().unwrap_or_default();
            assert_eq!(last.get("labels"), Some(&id::Version(version)), "{name}");
            let seen = host.entry.seen.lock().unwrap();
            assert!(seen.is_sorted_by_key(|versions| versions.get("labels").copied()), "{name}");
        }
    }

    fn wait_ready(&self) {
        wait(|| self.hosts.values().all(|host| host.entry.last().is_some()));
    }
}

fn block_on<F>(future: F) -> F::Output
where
    F: Future,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.unwrap().block_on(future)
}

fn wait<F>(condition: F)
where
    F: Fn() -> bool,
{
    let began = time::Instant::now();
    while !condition() {
        assert!(began.elapsed() < TIMEOUT, "condition not met in time");
        thread::sleep(time::Duration::from_millis(20));
    }
}

#[test]
fn an_accepted_section_is_in_force_in_every_zone() {
    // Once a section is reported as accepted, it is in force at all nine entry hosts of three
    // zones. A second version is based on the first. A third put, based on the first again, is
    // refused with the changes made since.
    let fleet = Fleet::start(3);
    fleet.wait_ready();
    assert_eq!(fleet.put(0, r#"{"models": {"m": {}}}"#).unwrap(), 1);
    let status = fleet.wait_accepted(1);
    assert!(status.accepted, "{status:?}");
    fleet.assert_in_force(1);
    assert_eq!(fleet.put(1, r#"{"models": {"m": {"max_tokens": 9}}}"#).unwrap(), 2);
    assert!(fleet.wait_accepted(2).accepted);
    fleet.assert_in_force(2);
    let operator::Error::Refused { code, details, .. } = fleet.put(1, "{}").unwrap_err() else {
        panic!("not refused");
    };
    assert_eq!(code, "raced");
    assert_eq!(details["changes"][0], "+ /models/m/max_tokens: 9");
}

#[test]
fn a_put_whose_responses_are_lost_is_stored_once() {
    // The platform executes writes and loses their responses. The steward reads the put back and
    // reports that it is stored; the history has one row.
    let fleet = Fleet::start(1);
    fleet.wait_ready();
    fleet.set_faults(|faults| faults.lose_answer = true);
    assert_eq!(fleet.put(0, "{}").unwrap(), 1);
    fleet.set_faults(|faults| faults.lose_answer = false);
    assert!(fleet.wait_accepted(1).accepted);
    assert_eq!(fleet.platform.node().rows("history/labels/").len(), 1);
}

#[test]
fn a_zone_without_the_platform_gets_sections_from_other_zones() {
    // Zone suva is cut off from the platform only. A section stored through another zone is relayed
    // to it by the gateways.
    let fleet = Fleet::start(2);
    fleet.wait_ready();
    fleet.set_faults(|faults| faults.cut = vec!["suva".to_owned()]);
    assert_eq!(fleet.put(0, "{}").unwrap(), 1);
    let status = fleet.wait_accepted(1);
    assert!(status.accepted, "{status:?}");
    fleet.assert_in_force(1);
}

#[test]
fn replacing_a_zone_during_an_outage_reverts_nothing() {
    // After a section is accepted the platform goes down and every host of zone suva is replaced.
    // The new hosts have neither stored state nor the platform. They wait for peers in other zones,
    // and become ready with the accepted version, never with an older one.
    let mut fleet = Fleet::start(2);
    fleet.wait_ready();
    assert_eq!(fleet.put(0, r#"{"models": {"m": {}}}"#).unwrap(), 1);
    assert!(fleet.wait_accepted(1).accepted);
    fleet.set_faults(|faults| faults.down = true);
    for index in 0..2 {
        fleet.hosts.remove(&format!("suva-{index}"));
    }
    for index in 2..4 {
        fleet.add("suva", &format!("suva-{index}"));
    }
    fleet.wait_ready();
    fleet.assert_in_force(1);
}

#[test]
fn a_host_without_platform_and_peers_is_not_ready() {
    // The platform is down and the host has no peers. It cannot know whether a document exists, so
    // it stays unready instead of serving without one. It becomes ready when the platform is back.
    let platform = platform::start(platform::Settings::default()).unwrap();
    let mut fleet = Fleet { platform, hosts: collections::BTreeMap::new() };
    fleet.set_faults(|faults| faults.down = true);
    fleet.add("suva", "suva-0");
    thread::sleep(time::Duration::from_secs(2));
    assert_eq!(fleet.hosts["suva-0"].entry.last(), None);
    fleet.set_faults(|faults| faults.down = false);
    fleet.wait_ready();
}

fn engine(name: &str, model: &str) -> server::Running<engine::Engine> {
    engine::start(engine::Settings {
        name: name.to_owned(),
        model: model.to_owned(),
        ..engine::Settings::default()
    })
    .unwrap()
}

fn section_of(engines: &[(&str, &str, net::SocketAddr)]) -> String {
    let upstream = |(name, zone, address): &(&str, &str, net::SocketAddr)| {
        let value = serde_json::json!({ "zone": zone, "address": address, "models": ["m"] });
        ((*name).to_owned(), value)
    };
    let upstreams: serde_json::Map<_, _> = engines.iter().map(upstream).collect();
    serde_json::json!({ "models": { "m": {} }, "upstreams": upstreams }).to_string()
}

#[test]
fn engines_are_observed_for_their_zone_and_load_the_desired_model() {
    // Two engines of one zone serve a model other than the document's. One steward of the zone
    // polls each engine's load, and both entry processes of the zone receive it. The reconciling
    // steward acquires the lease and makes both engines load the desired model. When one steward
    // is stopped, the other one polls both engines within seconds.
    let mut fleet = Fleet::start(2);
    fleet.wait_ready();
    let engines = [engine("e1", "x"), engine("e2", "x")];
    let lines = [("e1", "suva", engines[0].address()), ("e2", "suva", engines[1].address())];
    fleet.put(0, &section_of(&lines)).unwrap();
    let request = operator::Request { verb: Some(wire::Verb::Orders), ..Default::default() };
    let has_model = || {
        let value = block_on(fleet.client().call(&request)).unwrap();
        let lines = value["engines"].as_array().cloned().unwrap_or_default();
        lines.iter().filter(|line| line["actual"]["model"] == "m").count() == 2
    };
    wait(has_model);
    let has_loads = |host: &str| {
        let loads = fleet.hosts[host].entry.loads.lock().unwrap();
        loads.contains("e1") && loads.contains("e2")
    };
    wait(|| has_loads("suva-0") && has_loads("suva-1"));
    fleet.hosts.remove("suva-0");
    let entry = &fleet.hosts["suva-1"].entry;
    // Long enough for the stopped steward to be declared dead.
    thread::sleep(time::Duration::from_secs(4));
    entry.loads.lock().unwrap().clear();
    wait(|| entry.loads.lock().unwrap().len() == 2);
}

#[test]
fn a_dead_entry_process_does_not_block_acceptance() {
    // The entry process of one host ends while its steward keeps running. After ten seconds the
    // steward reports it as down, and a section that was put meanwhile is accepted without that
    // host. An entry process that starts later becomes ready with that section.
    let mut fleet = Fleet::start(2);
    fleet.wait_ready();
    let Host { steward, entry } = fleet.hosts.remove("suva-1").unwrap();
    drop(entry);
    assert_eq!(fleet.put(0, "{}").unwrap(), 1);
    let status = fleet.wait_accepted(1);
    assert!(status.accepted, "{status:?}");
    let entry = Entry::start(steward.address(), "suva-1", "suva");
    fleet.hosts.insert("suva-1".to_owned(), Host { steward, entry });
    fleet.wait_ready();
    fleet.assert_in_force(1);
}

#[test]
fn of_concurrent_puts_one_wins_and_the_others_get_its_change() {
    // Four operators put a section based on the same version at once, through different stewards.
    // One stores version 2; the others are refused with the winner's change. The history has only
    // the winner's row.
    let fleet = Fleet::start(1);
    fleet.wait_ready();
    assert_eq!(fleet.put(0, r#"{"models": {"m": {}}}"#).unwrap(), 1);
    let text = |tokens: usize| format!(r#"{{"models": {{"m": {{"max_tokens": {tokens}}}}}}}"#);
    let outcomes: Vec<_> = thread::scope(|scope| {
        let fleet = &fleet;
        let put = |tokens: usize| {
            let text = text(tokens);
            scope.spawn(move || fleet.put(1, &text))
        };
        let puts: Vec<_> = (1..5).map(put).collect();
        puts.into_iter().map(|put| put.join().unwrap()).collect()
    });
    let (won, lost): (Vec<_>, Vec<_>) = outcomes.into_iter().partition(Result::is_ok);
    assert_eq!(won.len(), 1);
    assert_eq!(*won[0].as_ref().unwrap(), 2);
    for outcome in lost {
        let operator::Error::Refused { code, details, .. } = outcome.unwrap_err() else {
            panic!("not refused");
        };
        assert_eq!(code, "raced");
        let change = details["changes"][0].as_str().unwrap().to_owned();
        assert!(change.starts_with("+ /models/m/max_tokens: "), "{change}");
    }
    assert_eq!(fleet.platform.node().rows("history/labels/").len(), 2);
}

#[test]
fn a_put_during_a_platform_outage_is_stored_afterwards() {
    // An operator puts a section while the platform is down for 3 s. The put is retried until the
    // platform is back, stored once, and in force in every zone.
    let fleet = Fleet::start(1);
    fleet.wait_ready();
    fleet.set_faults(|faults| faults.down = true);
    thread::scope(|scope| {
        let put = scope.spawn(|| fleet.put(0, "{}"));
        thread::sleep(time::Duration::from_secs(3));
        fleet.set_faults(|faults| faults.down = false);
        assert_eq!(put.join().unwrap().unwrap(), 1);
    });
    assert!(fleet.wait_accepted(1).accepted);
    fleet.assert_in_force(1);
    assert_eq!(fleet.platform.node().rows("history/labels/").len(), 1);
}
