//! Output and exit codes of `lagoonctl` against one steward and the platform stand-in, whose table
//! holds the stored sections and usage records.

use std::env;
use std::fs;
use std::net;
use std::path;
use std::process;

use lagoon_net::platform as platform_client;
use lagoon_net::steward;
use lagoon_net::wire;
use lagoon_standin::platform;
use lagoon_standin::server;
use rstest::rstest;
use sha2::Digest;

struct Fleet {
    platform: server::Running<platform::Platform>,
    steward: steward::Running,
    folder: path::PathBuf,
}

impl Fleet {
    fn start(name: &str) -> Fleet {
        let platform = platform::start(platform::Settings::default()).unwrap();
        let settings =
            platform_client::Settings { address: platform.address(), ..Default::default() };
        let steward = steward::start(steward::Settings {
            key: wire::Key::new(b"fleet"),
            platform: Some(settings),
            operator_keys: vec![sha2::Sha256::digest("operators").into()],
            ..steward::Settings::default()
        });
        let folder = env::temp_dir().join(format!("lagoonctl-{}-{name}", process::id()));
        fs::create_dir_all(&folder).unwrap();
        Fleet { platform, steward: steward.unwrap(), folder }
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    }

    fn run(&self, operator_key: &str, args: &[&str]) -> (Option<i32>, String) {
        let settings = settings(self.steward.address(), operator_key);
        let settings = self.file("settings.json", &settings);
        run(&[&["--settings", &settings], args].concat())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Settings of the program. `key` is the secret of operators, which the steward knows by its hash.
fn settings(steward: net::SocketAddr, key: &str) -> String {
    format!(
        r#"{{"stewards": ["{steward}"], "fleet_key": "fleet", "key": "{key}", "timeout_ms": 3000,
            "patience_ms": 3000}}"#
    )
}

/// Runs the program. Returns its exit code and what it wrote to standard output and standard error.
fn run(args: &[&str]) -> (Option<i32>, String) {
    let output = process::Command::new(env!("CARGO_BIN_EXE_lagoonctl")).args(args).output();
    let output = output.unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(text).unwrap())
}

#[rstest]
#[case::no_command(&[])]
#[case::unknown_command(&["sections"])]
#[case::no_settings(&["--settings", "/nonexistent.json", "status"])]
fn bad_usage_exits_with_2(#[case] args: &[&str]) {
    assert_eq!(run(args).0, Some(2));
}

#[test]
fn errors_in_settings_name_the_file_and_the_field() {
    let path = env::temp_dir().join(format!("lagoonctl-{}-bad.json", process::id()));
    fs::write(&path, r#"{"stewards": ["nowhere"], "fleet": "f"}"#).unwrap();
    let (code, text) = run(&["--settings", path.to_str().unwrap(), "status"]);
    fs::remove_file(&path).unwrap();
    assert_eq!(code, Some(2), "{text}");
    assert!(text.contains("bad.json: /fleet: unknown field"), "{text}");
}

#[test]
fn sections_are_stored_read_and_refused() {
    // An invalid section of the team `labels` is refused with the JSON path of the fault. A valid
    // one is stored, but since no `lagoon-entry` runs, it is in force nowhere: the wait ends with
    // exit code 1. A second put from the same version is refused and prints what changed.
    let fleet = Fleet::start("sections");
    let bad = fleet.file("bad.json", r#"{"model": {}}"#);
    let (code, text) = fleet.run("operators", &["section", "put", "labels", &bad, "--from", "0"]);
    assert_eq!(code, Some(1), "{text}");
    assert!(text.contains("/model"), "{text}");
    let good = fleet.file("good.json", r#"{"models": {"m": {}}}"#);
    let put = ["section", "put", "labels", &good, "--from", "0", "--wait-ms", "100"];
    let (code, text) = fleet.run("operators", &put);
    assert_eq!(code, Some(1), "{text}");
    assert!(text.contains("stored as version 1") && text.contains("not accepted yet"), "{text}");
    let (code, text) = fleet.run("operators", &["section", "get", "labels"]);
    assert_eq!((code, text.as_str()), (Some(0), "{\"models\": {\"m\": {}}}\nversion 1\n"));
    let (code, text) = fleet.run("operators", &put);
    assert_eq!(code, Some(1), "{text}");
    assert!(text.contains("raced") && text.contains("+ /models"), "{text}");
    let (code, text) = fleet.run("somebody", &["section", "get", "labels"]);
    assert_eq!(code, Some(1), "{text}");
    assert!(text.contains("denied"), "{text}");
    // Only the first of the two puts stored a version.
    assert_eq!(fleet.platform.node().rows("history/labels/").len(), 1);
}

#[test]
fn status_lists_hosts_and_requires_the_operator_key() {
    let fleet = Fleet::start("status");
    let (code, text) = fleet.run("operators", &["--json", "status"]);
    assert_eq!(code, Some(0), "{text}");
    let value: serde_json::Value = serde_json::from_str(&text).unwrap();
    // `zone` is the default name of a zone.
    assert_eq!(value["zones"][0]["zone"], "zone", "{text}");
    assert_eq!(value["zones"][0]["hosts"][0]["steward"], "live", "{text}");
    let (code, text) = fleet.run("somebody", &["status"]);
    assert_eq!(code, Some(1), "{text}");
    // No steward is reachable: every attempt fails, and the program must give up after its
    // total timeout (`patience_ms`) instead of retrying forever.
    let settings = settings("127.0.0.1:1".parse().unwrap(), "operators");
    let settings = fleet.file("silent.json", &settings);
    assert_eq!(run(&["--settings", &settings, "status"]).0, Some(1));
}

/// Stores the usage record of one interval of an upstream. Intervals are numbered in minutes since
/// the Unix epoch. `owner` is the team that owns the upstream, `claimant` the team whose claim its
/// engine is assigned to.
fn store_interval(fleet: &Fleet, upstream: &str, interval: u64, work_ms: u64) {
    let row = serde_json::json!({
        "interval": interval, "owner": "owners", "model": "m", "accelerators": 2,
        "claimant": "claimants", "idle_ms": 60_000 - work_ms, "unobserved_ms": 0,
        "work": [{ "customer": "clerk", "team": "callers", "millis": work_ms }],
    });
    let row_key = format!("usage/{upstream}/{interval:012}");
    fleet.platform.node().put(&row_key, &row.to_string());
}

#[test]
fn usage_covers_only_the_requested_days() {
    // Two engines have an interval on each of 1, 2 and 3 March 2024. A query for the 2nd, or for
    // the 2nd and 3rd, sums those days only. Days that do not exist, unknown groupings and days in
    // the wrong order are bad usage.
    let fleet = Fleet::start("usage");
    // 1 March 2024 is day 19 783 since the Unix epoch. A day has 1 440 intervals of one minute.
    let first_interval = 19_783 * 1_440;
    for (index, upstream) in ["e1", "e2"].into_iter().enumerate() {
        for day in 0..3 {
            store_interval(
                &fleet,
                upstream,
                first_interval + day * 1_440 + 5,
                10_000 * (index as u64 + 1),
            );
        }
    }
    let json = |args: &[&str]| -> serde_json::Value {
        let (code, text) = fleet.run("operators", &[&["--json", "usage"], args].concat());
        assert_eq!(code, Some(0), "{text}");
        serde_json::from_str(&text).unwrap()
    };
    // Times of an interval are multiplied by the 2 accelerators of its engine.
    let one = json(&["--by", "upstream", "--from", "2024-03-02"]);
    assert_eq!(one["rows"], 2);
    assert_eq!(one["accelerator_ms"]["e1"]["work_ms"], 20_000);
    assert_eq!(one["accelerator_ms"]["e2"]["work_ms"], 40_000);
    let two = json(&["--by", "customer", "--from", "2024-03-02", "--to", "2024-03-03"]);
    assert_eq!(two["rows"], 4);
    assert_eq!(two["accelerator_ms"]["clerk"]["work_ms"], 120_000);
    let by_day = ["usage", "--by", "day", "--from", "2024-03-01", "--to", "2024-03-03"];
    let (code, text) = fleet.run("operators", &by_day);
    assert_eq!(code, Some(0), "{text}");
    for date in ["2024-03-01", "2024-03-02", "2024-03-03"] {
        assert!(text.contains(date), "{text}");
    }
    for args in [["--from", "2024-02-30"], ["--by", "moon"], ["--to", "1999-01-01"]] {
        let (code, text) = fleet.run("operators", &[&["usage"], &args[..]].concat());
        assert_eq!(code, Some(2), "{text}");
    }
}
