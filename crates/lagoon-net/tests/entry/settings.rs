//! Parsing of the `queue` object in the settings file.

use std::time;

use lagoon_net::entry;
use lagoonline::id;
use lagoonline::load;

fn parse(queue: &str) -> Result<load::Settings, String> {
    let text =
        format!(r#"{{"listen": "127.0.0.1:0", "host": "a", "zone": "suva", "queue": {queue}}}"#);
    let parsed = entry::Settings::parse(&text);
    parsed.map(|(settings, _)| settings.scheduling).map_err(|faults| faults.to_string())
}

#[test]
fn every_field_of_the_queue_is_read() {
    let settings = parse(
        r#"{"hosts_in_zone": 3, "requests": 10, "bytes": 2000, "policy": "two-choices",
            "choice": "two", "ahead_ms": 80, "long_tokens": 9000,
            "weights": {"first_token": {"huge": 4}, "short_slowdown": 2.5},
            "longest_wait_ms": {"short": 1500},
            "remote_zones": {"nausori": {"delay_ms": 4, "cost_ms": 20}},
            "remote_default": {"delay_ms": 70}}"#,
    );
    let default = load::Settings::default();
    let mut longest_wait = default.longest_wait;
    longest_wait[0] = time::Duration::from_millis(1_500);
    let weights = load::Weights { first_token: [1.0, 1.0, 1.0, 4.0], short_slowdown: 2.5 };
    let expected = load::Settings {
        zone: id::Zone::from("suva"),
        hosts_in_zone: 3,
        queue_requests: 10,
        queue_bytes: 2_000,
        policy: load::Policy::TwoChoices,
        choice: load::Choice::Two,
        weights: Some(weights),
        longest_wait,
        ahead: time::Duration::from_millis(80),
        long_tokens: 9_000,
        remote_zones: vec![(id::Zone::from("nausori"), time::Duration::from_millis(24))],
        remote_default: time::Duration::from_millis(70),
        ..default
    };
    assert_eq!(settings, Ok(expected));
}

#[test]
fn all_faults_of_the_queue_are_told_at_once() {
    let faults = parse(
        r#"{"policy": "best", "weights": {"first_token": {"tiny": 1}, "short_slowdown": -1},
            "longest_wait_ms": {"short": 0}, "remote_zones": {"suva": {"delay": 4}}, "x": 1}"#,
    );
    let expected = "/queue/longest_wait_ms/short: 0 is not within 1 to 86400000\n\
        /queue/policy: must be one of full, round-robin, least-outstanding, two-choices, \
        first-come\n\
        /queue/remote_zones/suva: is this host's own zone\n\
        /queue/remote_zones/suva/delay: unknown field\n\
        /queue/weights/first_token/tiny: unknown field\n\
        /queue/weights/short_slowdown: -1 is not within 0 to 1000000\n\
        /queue/x: unknown field";
    assert_eq!(faults, Err(expected.to_owned()));
}
