//! An entry host with its steward.

use std::net;

use lagoon_net::entry;
use lagoon_net::platform;
use lagoon_net::steward;
use lagoon_net::wire;
use lagoonline::control::document;
use lagoonline::id;

use crate::host;

pub fn start_steward(
    host: &str,
    platform: net::SocketAddr,
    peers: Vec<net::SocketAddr>,
) -> steward::Running {
    let platform = platform::Settings { address: platform, ..platform::Settings::default() };
    let settings = steward::Settings {
        host: id::Host::from(host),
        zone: id::Zone::from("suva"),
        key: wire::Key::new(b"fleet"),
        platform: Some(platform),
        peers,
        ..steward::Settings::default()
    };
    steward::start(settings).unwrap()
}

/// Stores a section in the same way as the operator's program.
pub fn store(platform: net::SocketAddr, section: &document::Section) {
    let settings = platform::Settings { address: platform, ..platform::Settings::default() };
    let limits = platform::Limits::new(settings);
    let put = document::Put {
        team: section.team.clone(),
        base: id::Version(0),
        id: "1".repeat(32),
        text: section.text.to_string(),
    };
    let system = ntex::rt::System::build().build(ntex::rt::DefaultRuntime);
    let stored = system.block_on(async move {
        let client = platform::Client::new(limits, "suva").await;
        document::store(&client, &put).await
    });
    assert_eq!(stored.unwrap(), id::Version(1));
}

// A host that never reached its steward is not ready, so a load balancer sends it no calls. It
// becomes ready once the steward reports that its sections are the newest available, and then
// serves the model that they define.
#[test]
fn is_ready_once_its_view_is_complete() {
    let standin = lagoon_standin::platform::start(Default::default()).unwrap();
    let engine = lagoon_standin::engine::start(host::quick()).unwrap();
    let section = host::section(&[engine.address()], &[], true);
    store(standin.address(), &section);
    let nobody = net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let steward = start_steward("suva-1", standin.address(), Vec::new());
    for (address, ready) in [(nobody, false), (steward.address(), true)] {
        let settings = entry::Settings {
            steward: Some(address),
            key: wire::Key::new(b"fleet"),
            ..host::settings(Vec::new())
        };
        let running = entry::start(settings).unwrap();
        let host = host::Host { running, engines: Vec::new() };
        let ask = || host.exchange(&host::request("GET", "/readyz", "", ""));
        if ready {
            host::wait_until("the host is ready", || host::status(&ask()) == "200");
            let answer = host.post("/v1/completions", "", &host::completion("tin", 3, false));
            assert_eq!(host::status(&answer), "200", "{answer}");
        } else {
            assert_eq!(host::status(&ask()), "503");
        }
        host.finish();
    }
    steward.stop();
}
