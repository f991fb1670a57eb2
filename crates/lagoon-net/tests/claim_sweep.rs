//! Removal of expired idempotency keys by the steward, with the stand-in platform.

use std::thread;
use std::time;

use lagoon_net::platform;
use lagoon_net::steward;
use lagoon_standin::platform as standin;
use lagoonline::clock::Span;
use lagoonline::id;
use lagoonline::lifecycle::claim;

const TIMEOUT: time::Duration = time::Duration::from_secs(20);

fn record(written_ms: u64) -> String {
    let state = claim::State::Unknown;
    let (token, body, holder) = ("1".repeat(32), "b".to_owned(), "suva-1/1".to_owned());
    let record = claim::Record { token, body, holder, written_ms, state };
    serde_json::to_string(&record).expect("JSON")
}

/// The steward deletes the claim of a key from two days ago, which is past its retention, and
/// nothing else: a claim from now and rows of other kinds stay.
#[test]
fn expired_keys_are_removed_and_others_kept() {
    let platform = standin::start(standin::Settings::default()).expect("a platform");
    let now = time::SystemTime::now().duration_since(time::UNIX_EPOCH).expect("after 1970");
    let now = u64::try_from(now.as_millis()).expect("in range");
    let row = |key: &str| claim::row_key(&id::Customer::from("crew"), key);
    platform.node().put(&row("old"), &record(now - 48 * 3_600_000));
    platform.node().put(&row("recent"), &record(now));
    platform.node().put("section/tin", "{}");
    let quick = Span::from_millis(5);
    // One round over all shards takes about two seconds, and needs this rate of reads.
    let (address, reads_per_second) = (platform.address(), 1_000.0);
    let steward = steward::start(steward::Settings {
        host: id::Host::from("suva-1"),
        platform: Some(platform::Settings {
            address,
            reads_per_second,
            ..platform::Settings::default()
        }),
        claims: claim::SweepSettings { interval: quick, ..claim::SweepSettings::default() },
        ..steward::Settings::default()
    });
    let steward = steward.expect("a steward");
    let began = time::Instant::now();
    while platform.node().rows(&row("old")).len() == 1 {
        assert!(began.elapsed() < TIMEOUT, "the old key was not removed");
        thread::sleep(quick);
    }
    steward.stop();
    assert_eq!(platform.node().rows("claim/").len(), 1);
    assert_eq!(platform.node().rows("section/tin").len(), 1);
}
