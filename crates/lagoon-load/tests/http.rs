//! Calls over HTTP to entry hosts with stand-in engines: every call ends and all memory is freed.

use lagoon_load::http;
use lagoonline::load;
use rstest::rstest;

// Guards against calls that never end or are counted twice, and against KV memory leaks, under the
// full policy and under a baseline. Every call of a run with one second of arrivals must end once,
// answered or refused.
#[rstest]
#[case::full(load::Policy::Full)]
#[case::baseline(load::Policy::LeastOutstanding)]
fn every_call_ends_once_and_frees_its_memory(#[case] policy: load::Policy) {
    let all = http::scenarios();
    let mixed = *all.iter().find(|scenario| scenario.name == "saturation-0.8").unwrap();
    let scenario = lagoon_load::bench::scenario::Scenario { engines: 2, hosts: 2, ..mixed };
    let load = load::Settings { policy, ..load::Settings::default() };
    let settings = http::Settings { scenario, load, seed: 3, seconds: 1.0 };
    let arrivals = lagoon_load::bench::arrival::draw(&scenario, 3, 1.0).len() as u64;
    let tally = http::run(&settings).unwrap();
    assert!(arrivals > 10);
    assert_eq!(tally.offered.iter().sum::<u64>(), arrivals);
    assert_eq!(tally.kv_held, 0);
    let ended = tally.good.iter().chain(&tally.refusals).sum::<u64>() + tally.late;
    assert_eq!(ended, arrivals);
    assert!(tally.good.iter().sum::<u64>() > 0);
}
