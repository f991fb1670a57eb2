//! The one address for switches and records of all stand-ins of a process.

mod common;

use std::net;

use common::{get, post, refuses, run};
use lagoon_standin::{engine, fleet, service};
use serde_json::json;

/// A port that was free a moment ago: the control address must be known before the start.
fn free_address() -> net::SocketAddr {
    net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

// An engine and a replica die and come back by their switches alone, which are reached at the
// control address while their own ports refuse connections.
#[test]
fn a_dead_stand_in_is_reached_at_the_control_address() {
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
