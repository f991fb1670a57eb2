//! Control address for the fault switches and records of all stand-ins in a process.

mod common;

use std::net;

use common::{get, post, refuses, run};
use lagoon_standin::{engine, fleet, service};
use serde_json::json;

/// Returns an address with a port that was free just now. The control address must be known before
/// the fleet starts.
fn free_address() -> net::SocketAddr {
    net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

// An engine and a replica that are down refuse connections. The control address must still reach
// their record, and the switch that restores them.
#[test]
fn control_address_serves_stand_ins_that_are_down() {
    run(async {
        let control = free_address();
        let fleet = fleet::start(fleet::Settings {
            control: Some(control),
            engines: vec![engine::Settings { name: "e".to_owned(), ..Default::default() }],
            services: vec![service::Settings { name: "s".to_owned(), ..Default::default() }],
            ..fleet::Settings::default()
        })
        .unwrap();
        let (engine, service) = (fleet.engines[0].address(), fleet.services[0].address());
        for (name, address) in [("e", engine), ("s", service)] {
            let faults = format!("/{name}/faults");
            assert_eq!(post(control, &faults, json!({"down": true})).await.0, 200);
            assert!(refuses(address));
            assert_eq!(get(control, &format!("/{name}/record")).await.0, 200);
            assert_eq!(post(control, &faults, json!({"down": false})).await.0, 200);
            assert_eq!(get(address, "/record").await.0, 200);
        }
        assert_eq!(get(control, "/x/record").await.0, 404);
        assert_eq!(post(control, "/e/orders", json!({})).await.0, 404);
    });
}
