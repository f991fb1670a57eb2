//! Entry hosts before stand-in engines, called by HTTP: every call gets an end, memory comes back.

use lagoon_load::http;
use lagoonline::load;
use rstest::rstest;

// Few calls of one second, under the full policy and under a baseline. Each ends once, whole or
// refused, and the engines hold nothing afterwards.
#[rstest]
#[case::full(load::Policy::Full)]
#[case::baseline(load::Policy::LeastOutstanding)]
fn every_call_ends(#[case] policy: load::Policy) {
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
