//! The channels to the store that are open go silent, and the desired state changes. New channels work.

use std::env;
use std::fs;
use std::io;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{ENTRY_LIFETIME, Gateway, Record, ZONES, free_ports, route, start_runner};
use crate::http;
use crate::store::Store;

/// Gateways of the deployment, as many as the site has.
const GATEWAYS: usize = 8;
const RUNNERS: usize = 3;
/// Times that the channels go silent.
const ROUNDS: usize = 8;
/// `StableWindowMs`, and a margin for the clocks of the threads.
const STABLE: Duration = Duration::from_millis(3_050);
/// `ConfigApplyMs`.
const APPLY: Duration = Duration::from_millis(2_000);
/// Time from the silence to the ack of the new version.
const CHANGE: Duration = Duration::from_millis(100);
/// Time for which requests are sent, and pause between two of them.
const PROBING: Duration = Duration::from_millis(600);
const PAUSE: Duration = Duration::from_millis(20);
/// Time between rounds. It is no multiple of any interval of the gateways.
const BETWEEN: Duration = Duration::from_millis(3_170);

/// Plays the case; returns whether the rule held.
pub fn play(folder: &str, has_trouble: bool) -> io::Result<bool> {
    let scratch = env::temp_dir().join(format!("review-silent-{}", std::process::id()));
    fs::create_dir_all(&scratch)?;
    let result = play_in(&PathBuf::from(folder), &scratch, has_trouble);
    drop(fs::remove_dir_all(&scratch));
    result
}

fn config(version: usize, routes: &[String]) -> String {
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{{\"Name\":\"app\",\
         \"HealthPath\":\"/healthz\",\"MaxConnections\":110}}],\"Limits\":{{}},\"Tenants\":[]}}",
        routes.join(",")
    )
}

fn play_in(folder: &PathBuf, scratch: &PathBuf, has_trouble: bool) -> io::Result<bool> {
    let record = Record::new(folder)?;
    let store = Store::start(ENTRY_LIFETIME)?;
    let mut routes = vec![route("lookup", "safe")];
    store.put("op", "config", &config(1, &routes));
    let mut runners = Vec::new();
    for index in 0..RUNNERS {
        let [port] = free_ports()?;
        let name = format!("i-{index}");
        runners.push(start_runner(
            &name,
            ZONES[index % ZONES.len()],
            port,
            store.port,
            "quick",
            scratch,
        )?);
    }
    let mut gateways = Vec::new();
    for index in 0..GATEWAYS {
        let (zone, number) = (ZONES[index % ZONES.len()], index / ZONES.len() + 1);
        gateways.push(Gateway::start(scratch, zone, number, store.port)?);
    }
    if !gateways.iter().all(Gateway::wait_ready) {
        return Err(io::Error::other("a gateway does not become ready"));
    }
    thread::sleep(Duration::from_secs(4));
    let (mut stale, mut served) = (0, 0);
    for round in 2..ROUNDS + 2 {
        let silent_at = Instant::now();
        if has_trouble {
            record.add("all open channels to the store go silent");
            store.silence();
        }
        thread::sleep(CHANGE);
        let name = format!("new{round}");
        routes.push(route(&name, "safe"));
        store.put("op", "config", &config(round, &routes));
        let acked_at = Instant::now();
        record.add(&format!("the store acknowledges version {round}, which adds route {name}"));
        thread::sleep(STABLE.saturating_sub(silent_at.elapsed()));
        let probes = gateways.iter().map(|gateway| {
            let (record, host, front) = (record.clone(), gateway.name.clone(), gateway.front);
            let name = name.clone();
            thread::spawn(move || probe(&record, &host, front, &name, silent_at, acked_at))
        });
        for probe in probes.collect::<Vec<_>>() {
            let (old, new) = probe.join().unwrap_or_default();
            stale += old;
            served += new;
        }
        thread::sleep(BETWEEN);
    }
    record.add(&format!(
        "{served} requests served by the new version, {stale} refused by an older one"
    ));
    if served == 0 {
        return Err(io::Error::other("the deployment does not serve"));
    }
    Ok(stale == 0)
}

/// Sends requests on the new route for a while. Returns how many were refused as only an older version
/// does, and how many were served.
fn probe(
    record: &Record,
    host: &str,
    front: u16,
    route: &str,
    silent_at: Instant,
    acked_at: Instant,
) -> (usize, usize) {
    let (mut stale, mut served) = (0, 0);
    let until = Instant::now() + PROBING;
    for number in 0.. {
        let sent_at = Instant::now();
        if sent_at > until {
            break;
        }
        let id = format!("{route}-{host}-{number}");
        let request = format!(
            "GET /{route}/x HTTP/1.1\r\nHost: a.example\r\nLagoonline-Request-Id: {id}\r\n\
             Lagoonline-Request-Deadline: 5000\r\nConnection: close\r\n\r\n"
        );
        let (silent, acked) = (sent_at.duration_since(silent_at), sent_at.duration_since(acked_at));
        let status = match http::head(front, request.as_bytes()) {
            Ok(Some(answer)) => answer.word(1).to_owned(),
            _ => "no answer".to_owned(),
        };
        let is_stale = status == "404" && silent >= STABLE && acked > APPLY;
        stale += usize::from(is_stale);
        served += usize::from(status == "200");
        if is_stale || number == 0 {
            record.add(&format!(
                "{id}: sent {} ms after the silence began and {} ms after the ack, answered {status}",
                silent.as_millis(),
                acked.as_millis()
            ));
        }
        thread::sleep(PAUSE);
    }
    (stale, served)
}
