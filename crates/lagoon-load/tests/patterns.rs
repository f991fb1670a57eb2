//! Load patterns that the scheduler must handle, simulated in virtual time and judged by what
//! callers get.

use lagoon_load::bench::{arrival, report, scenario, simulation};
use lagoonline::load;
use rstest::rstest;

/// Duration of the arrivals, in seconds.
const SECONDS: f64 = 90.0;

fn simulate(name: &str, settings: &load::Settings) -> report::Tally {
    let all = scenario::all();
    let scenario = all.iter().find(|scenario| scenario.name == name).unwrap();
    let arrivals = arrival::draw(scenario, 7, SECONDS);
    let offered = arrivals.len() as u64;
    let tally = simulation::Simulation::new(scenario, &arrivals, settings, SECONDS).run();
    assert_eq!(tally.offered.iter().sum::<u64>(), offered, "a request did not end");
    assert_eq!((tally.kv_held, tally.tickets_held), (0, 0), "KV memory or tickets leaked");
    tally
}

fn full(name: &str) -> report::Tally {
    simulate(name, &load::Settings::default())
}

// The baseline has first-come queues.
fn baseline(name: &str) -> report::Tally {
    let policy = load::Policy::LeastOutstanding;
    simulate(name, &load::Settings { policy, ..load::Settings::default() })
}

fn short_p95(tally: &report::Tally) -> u64 {
    tally.first_token[0].value_at_quantile(0.95)
}

fn good(tally: &report::Tally) -> u64 {
    tally.good.iter().sum()
}

// Guards against head-of-line blocking: with first-come queues, short prompts wait behind the whole
// prefill of prompts of up to a million tokens. Their time to first token must stay close to that
// without long prompts.
#[test]
fn long_prompts_do_not_delay_short_ones() {
    let (alone, mixed, least_outstanding) =
        (full("alone"), full("long-among-short"), baseline("long-among-short"));
    assert!(short_p95(&mixed) * 10 <= short_p95(&alone) * 14);
    assert!(short_p95(&mixed) * 3 <= short_p95(&least_outstanding));
    assert_eq!(mixed.late, 0, "an admitted request missed its deadline");
}

// Every 30 s, the load rises fivefold for 3 s. Guards against admitting requests that cannot meet
// their deadline: 95 % of the refusals must come within 50 ms, and no admitted request may be late.
#[test]
fn burst_is_refused_early_and_never_late() {
    let tally = full("burst");
    assert_eq!(tally.late, 0);
    assert!(tally.refusal_time.value_at_quantile(0.95) <= 50_000);
    assert!(good(&tally) * 100 >= tally.offered.iter().sum::<u64>() * 90);
}

// One customer sends ten times its share. Guards against a customer that slows down the others: its
// limit holds over all hosts, so that their times to first token hardly change. Without limits,
// fair queueing must make its requests wait behind those of the others.
#[test]
fn heavy_customer_does_not_delay_others() {
    let (even, few) = (full("even-customers-limited"), full("few-customers-limited"));
    let p95 = |tally: &report::Tally| tally.others_first_token.value_at_quantile(0.95);
    assert!(p95(&few) * 100 <= p95(&even) * 115);
    let unlimited = full("few-customers");
    assert!(p95(&unlimited) * 2 <= short_p95(&unlimited));
}

// Most short prompts over 1,536 tokens start with one of eight prefixes. Guards against placement
// that ignores the prefix caches, and against overloading the engines that hold a popular prefix.
#[test]
fn shared_prefixes_use_the_caches() {
    let tally = full("few-prefixes");
    assert!(tally.cached * 4 >= tally.prefilled, "prefixes were prefilled again");
    assert_eq!(tally.late, 0);
}

// One engine slows down fivefold while its load reports look normal. Guards against missing this:
// after two seconds it must get at most 1 % of the requests, with little effect on callers.
#[test]
fn slow_upstream_is_avoided() {
    let (slow, none) = (full("slow-upstream"), full("no-slow-upstream"));
    assert!(
        slow.on_faulty * 100 <= slow.after_detection,
        "{} of {}",
        slow.on_faulty,
        slow.after_detection
    );
    assert!(short_p95(&slow) * 100 <= short_p95(&none) * 125);
}

// The load is twice the capacity. Guards against a collapse of throughput under overload: nearly as
// many requests must be answered in time as at capacity, 95 % of the refusals must come within
// 50 ms, few attempts may be wasted on retries, and at most one late answer is allowed for every
// 500 in time.
#[test]
fn overload_keeps_throughput() {
    let (at, twice) = (full("saturation-1.0"), full("saturation-2.0"));
    assert!(good(&twice) * 10 >= good(&at) * 9);
    assert!(twice.refusal_time.value_at_quantile(0.95) <= 50_000);
    assert!(twice.attempts * 10 <= twice.offered.iter().sum::<u64>() * 11);
    assert!(twice.late * 500 <= good(&twice), "{} late", twice.late);
}

// An engine crashes with all its requests, or a zone is partitioned. Guards against lost requests
// and retry storms: affected requests must be retried elsewhere within the retry budget, and at
// least 99 % of all requests must be answered in time.
#[rstest]
#[case::engine("engine-death")]
#[case::zone("zone-cut")]
fn faults_are_retried_within_the_budget(#[case] name: &str) {
    let tally = full(name);
    let offered = tally.offered.iter().sum::<u64>();
    assert!(good(&tally) * 100 >= offered * 99, "{} of {offered}", good(&tally));
    assert!(tally.attempts * 10 <= offered * 11);
}

// Guards against sources of randomness other than the seed.
#[test]
fn same_seed_gives_the_same_run() {
    let (one, two) = (full("burst"), full("burst"));
    assert_eq!(one.figures(), two.figures());
}
