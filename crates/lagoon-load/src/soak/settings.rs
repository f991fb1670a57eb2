//! Settings of a soak, one JSON file, and the fleet that they refer to.

use std::collections;
use std::fs;
use std::io;
use std::net;
use std::path;

use lagoon_net::entry;
use lagoon_standin::fleet;
use lagoonline::check;
use lagoonline::control::document;
use lagoonline::id;

/// Settings of a soak.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Folder with the fleet's settings, laid out as under `examples/`.
    pub fleet: path::PathBuf,
    /// File that logs the kills and pauses of entry hosts; see [`super::notes`].
    pub notes: path::PathBuf,
    /// API keys of the customers.
    pub keys: Vec<String>,
    /// Model of the model calls.
    pub model: String,
    /// Name of the plain service, one that is not a model, of the service calls. These must not run
    /// twice.
    pub service: String,
    /// Duration of the arrivals, in seconds.
    pub seconds: f64,
    /// Model calls per second.
    pub rate: f64,
    /// Service calls per second; half of them carry an idempotency key.
    pub bookings: f64,
    /// Seed of the arrivals.
    pub seed: u64,
}

impl Settings {
    /// Reads the settings of a soak; invalid ones are reported through `reader`.
    ///
    /// ```
    /// use lagoon_load::soak::Settings;
    /// use lagoonline::check;
    /// let text = r#"{"fleet": "examples/lakeshore", "notes": "notes.txt", "keys": ["clerks-key"],
    ///     "model": "assessment", "service": "register", "rate": 210}"#;
    /// let settings = check::parse(text, Settings::read).unwrap();
    /// assert_eq!((settings.rate, settings.seconds), (210.0, 300.0));
    /// let faults = check::parse(r#"{"rate": -1}"#, Settings::read).unwrap_err();
    /// assert_eq!(faults.0.len(), 6);
    /// ```
    pub fn read(reader: &check::Reader<'_>) -> Settings {
        let keys = reader.texts("keys");
        if keys.is_empty() {
            reader.fault("keys", "must name a key");
        }
        Settings {
            fleet: reader.required("fleet").into(),
            notes: reader.required("notes").into(),
            keys,
            model: reader.required("model"),
            service: reader.required("service"),
            seconds: reader.float("seconds", 300.0, 1.0..=540.0),
            rate: reader.float("rate", 210.0, 0.0..=1_000.0),
            bookings: reader.float("bookings", 140.0, 0.0..=1_000.0),
            seed: reader.number("seed", 1, 0..=u64::MAX),
        }
    }
}

/// A stand-in upstream: its name at the control address, and its zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Upstream {
    pub(super) name: String,
    pub(super) zone: String,
}

/// Addresses and zones of a fleet, as given by its settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Fleet {
    pub(super) hosts: Vec<net::SocketAddr>,
    pub(super) zones: Vec<String>,
    /// Control address of the stand-ins, which serves their fault switches and records.
    pub(super) control: net::SocketAddr,
    pub(super) engines: Vec<Upstream>,
    pub(super) services: Vec<Upstream>,
}

impl Fleet {
    /// Reads the fleet's settings from its folder.
    ///
    /// # Errors
    ///
    /// A file cannot be read or is invalid, or the stand-ins have no control address.
    pub(super) fn read(folder: &path::Path) -> io::Result<Fleet> {
        let text = fs::read_to_string(folder.join("standin.json"))?;
        let stand_ins = fleet::Settings::parse(&text).map_err(io::Error::other)?;
        let control = stand_ins.control.ok_or_else(|| io::Error::other("no control address"))?;
        let mut hosts = Vec::new();
        let mut zones = collections::BTreeSet::new();
        for host in sorted_paths(&folder.join("hosts"))? {
            let settings = entry::Settings::load(&host.join("entry.json"));
            let settings = settings.map_err(io::Error::other)?;
            hosts.push(settings.listen);
            zones.insert(settings.zone.to_string());
        }
        let zone_of = zones_of_upstreams(folder)?;
        let upstream = |name: &str, address| Upstream {
            name: name.to_owned(),
            zone: zone_of.get(&address).cloned().unwrap_or_default(),
        };
        let engines = stand_ins.engines.iter().map(|engine| upstream(&engine.name, engine.address));
        let services =
            stand_ins.services.iter().map(|service| upstream(&service.name, service.address));
        Ok(Fleet {
            hosts,
            zones: zones.into_iter().collect(),
            control,
            engines: engines.collect(),
            services: services.collect(),
        })
    }
}

/// Returns the paths in a folder in order of name.
fn sorted_paths(folder: &path::Path) -> io::Result<Vec<path::PathBuf>> {
    let paths: io::Result<Vec<_>> = fs::read_dir(folder)?.map(|entry| Ok(entry?.path())).collect();
    let mut paths = paths?;
    paths.sort();
    Ok(paths)
}

/// Returns the zone of each upstream, read from the teams' sections.
fn zones_of_upstreams(
    folder: &path::Path,
) -> io::Result<collections::HashMap<net::SocketAddr, String>> {
    let mut zones = collections::HashMap::new();
    for file in sorted_paths(folder)? {
        let name = file.file_name().and_then(|name| name.to_str()).unwrap_or_default();
        let Some(team) = name.strip_prefix("section-").and_then(|name| name.strip_suffix(".json"))
        else {
            continue;
        };
        let text = fs::read_to_string(&file)?;
        let section = document::Section::parse(id::Team::from(team), id::Version(1), &text);
        let section = section.map_err(io::Error::other)?;
        let upstreams = section.body.upstreams.values();
        zones.extend(upstreams.map(|upstream| (upstream.address, upstream.zone.to_string())));
    }
    Ok(zones)
}
