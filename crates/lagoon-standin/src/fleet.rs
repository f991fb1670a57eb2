//! Stand-ins of a whole fleet in one process, configured by one settings file.

use std::io;
use std::net;
use std::sync;

use lagoonline::check;

use crate::control;
use crate::engine;
use crate::platform;
use crate::server;
use crate::service;
use crate::transport;

/// Settings of all stand-ins of a fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Control address for fault switches and records, which serves also while a stand-in is down.
    pub control: Option<net::SocketAddr>,
    /// The platform; `None` to start none.
    pub platform: Option<platform::Settings>,
    /// Model engines.
    pub engines: Vec<engine::Settings>,
    /// Replicas of plain services.
    pub services: Vec<service::Settings>,
}

impl Settings {
    /// Parses a settings text:
    /// `{"control": "IP:PORT", "platform": {...}, "engines": [...], "services": [...]}`.
    ///
    /// # Errors
    ///
    /// Returns all mistakes in the text, with their JSON pointers.
    ///
    /// ```
    /// use lagoon_standin::fleet::Settings;
    /// let text = r#"{"engines": [{"address": "127.0.0.1:0"}], "services": []}"#;
    /// assert_eq!(Settings::parse(text).unwrap().engines.len(), 1);
    /// let mistakes = Settings::parse(r#"{"engines": [{"slots": 0}], "x": 1}"#).unwrap_err();
    /// assert_eq!(mistakes.0.len(), 3);
    /// ```
    pub fn parse(text: &str) -> Result<Self, check::Faults> {
        check::parse(text, |reader| Settings {
            control: reader.parsed("control", "IP:PORT"),
            platform: reader.child("platform", platform::Settings::read),
            engines: reader.list("engines", engine::Settings::read),
            services: reader.list("services", service::Settings::read),
        })
    }
}

/// Returns each node with the name under which the control address serves it.
fn nodes_by_name(nodes: &[(net::TcpListener, server::Node)]) -> Vec<(String, server::Node)> {
    let name = |node: &server::Node| match node {
        server::Node::Engine(engine) => engine.settings.name.clone(),
        server::Node::Service(service) => service.settings.name.clone(),
        // The control address is created from these names, so it is not among the nodes yet.
        server::Node::Platform(_) | server::Node::Control(_) => "platform".to_owned(),
    };
    nodes.iter().map(|(_, node)| (name(node), node.clone())).collect()
}

/// A running fleet of stand-ins.
#[derive(Debug)]
pub struct Fleet {
    /// The platform; `None` when the settings have none.
    pub platform: Option<server::Running<platform::Platform>>,
    /// Model engines, in the order of the settings.
    pub engines: Vec<server::Running<engine::Engine>>,
    /// Replicas of plain services, in the order of the settings.
    pub services: Vec<server::Running<service::Service>>,
}

/// Starts all stand-ins on one shared set of threads.
///
/// # Errors
///
/// Returns an error if there is nothing to start, an address cannot be bound, or a thread cannot be
/// started.
///
/// ```
/// use lagoon_standin::{engine, fleet, service};
/// let settings = fleet::Settings {
///     engines: vec![engine::Settings::default(); 2],
///     services: vec![service::Settings::default()],
///     ..fleet::Settings::default()
/// };
/// let fleet = fleet::start(settings).unwrap();
/// assert_eq!((fleet.engines.len(), fleet.services.len()), (2, 1));
/// ```
pub fn start(settings: Settings) -> io::Result<Fleet> {
    let platform = settings.platform.map(platform::bind).transpose()?;
    let engines: io::Result<Vec<_>> = settings.engines.into_iter().map(engine::bind).collect();
    let services: io::Result<Vec<_>> = settings.services.into_iter().map(service::bind).collect();
    let (engines, services) = (engines?, services?);
    let mut nodes = Vec::with_capacity(engines.len() + services.len() + 1);
    let platform = platform.map(|(listening_node, address, platform)| {
        nodes.push(listening_node);
        (address, platform)
    });
    let mut bound_engines = Vec::with_capacity(engines.len());
    for (listening_node, address, engine) in engines {
        nodes.push(listening_node);
        bound_engines.push((address, engine));
    }
    let mut bound_services = Vec::with_capacity(services.len());
    for (listening_node, address, service) in services {
        nodes.push(listening_node);
        bound_services.push((address, service));
    }
    if let Some(address) = settings.control {
        let control =
            server::Node::Control(sync::Arc::new(control::Control::new(nodes_by_name(&nodes))));
        nodes.push((transport::bind(address)?, control));
    }
    if nodes.is_empty() {
        return Err(io::Error::other("the settings name no stand-in"));
    }
    let server = sync::Arc::new(server::serve(nodes)?);
    Ok(Fleet {
        platform: platform
            .map(|(address, platform)| server::Running::new(address, platform, server.clone())),
        engines: bound_engines
            .into_iter()
            .map(|(address, engine)| server::Running::new(address, engine, server.clone()))
            .collect(),
        services: bound_services
            .into_iter()
            .map(|(address, service)| server::Running::new(address, service, server.clone()))
            .collect(),
    })
}
