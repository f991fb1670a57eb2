//! The load patterns that the decisions answer, played in virtual time: what callers get.

use lagoon_load::bench::{arrival, report, scenario, simulation};
use lagoonline::load;
use rstest::rstest;

const SECONDS: f64 = 90.0;

fn play(name: &str, settings: &load::Settings) -> report::Tally {
    let all = scenario::all();
    let scenario = all.iter().find(|scenario| scenario.name == name).unwrap();
    let arrivals = arrival::draw(scenario, 7, SECONDS);
    let offered = arrivals.len() as u64;
    let tally = simulation::Simulation::new(scenario, &arrivals, settings, SECONDS).run();
    assert_eq!(tally.offered.iter().sum::<u64>(), offered, "a request without an end");
    assert_eq!((tally.kv_held, tally.tickets_held), (0, 0), "memory or tickets lost");
    tally
}

fn full(name: &str) -> report::Tally {
    play(name, &load::Settings::default())
}

fn baseline(name: &str) -> report::Tally {
    let policy = load::Policy::LeastOutstanding;
    play(name, &load::Settings { policy, ..load::Settings::default() })
}

fn short_p95(tally: &report::Tally) -> u64 {
    tally.first_token[0].value_at_quantile(0.95)
}

fn good(tally: &report::Tally) -> u64 {
    tally.good.iter().sum()
}

// Prompts of up to a million tokens come beside many short ones. Short callers get their first
// token nearly as if alone; with first-come queues they wait behind whole long prompts.
#[test]
fn long_among_short() {
    let (alone, mixed, first_come) =
        (full("alone"), full("long-among-short"), baseline("long-among-short"));
    assert!(short_p95(&mixed) * 10 <= short_p95(&alone) * 14);
    assert!(short_p95(&mixed) * 3 <= short_p95(&first_come));
    assert_eq!(mixed.late, 0, "an admitted request missed its deadline");
}

// Every thirty seconds five times the load comes for three seconds. What cannot be answered in
// time is refused at once; nobody who was let in is answered too late.
#[test]
fn burst() {
    let tally = full("burst");
    assert_eq!(tally.late, 0);
    assert!(tally.refusal_time.value_at_quantile(0.95) <= 50_000);
    assert!(good(&tally) * 100 >= tally.offered.iter().sum::<u64>() * 90);
}

// One customer sends ten times its share. The others' first tokens come as before, because it is
// held to its limit over all hosts; without limits it waits behind them.
#[test]
fn few_customers() {
    let (even, few) = (full("even-customers-limited"), full("few-customers-limited"));
    let p95 = |tally: &report::Tally| tally.others_first_token.value_at_quantile(0.95);
    assert!(p95(&few) * 100 <= p95(&even) * 115);
    let unlimited = full("few-customers");
    assert!(p95(&unlimited) * 2 <= short_p95(&unlimited));
}

// Most short prompts begin with one of eight prefixes. They go where it is cached, but not all
// to one engine.
#[test]
fn few_prefixes() {
    let tally = full("few-prefixes");
    assert!(tally.cached * 4 >= tally.prefilled, "prefixes were prefilled again");
    assert_eq!(tally.late, 0);
}

// One engine takes five times as long and does not say so. Two seconds later it gets next to
// nothing, and callers notice little.
#[test]
fn slow_upstream() {
    let (slow, none) = (full("slow-upstream"), full("no-slow-upstream"));
    assert!(slow.on_faulty * 100 <= slow.after_fault, "{} of {}", slow.on_faulty, slow.after_fault);
    assert!(short_p95(&slow) * 100 <= short_p95(&none) * 125);
}

// Twice the load that the engines can carry. As many are answered in time as at capacity, the
// rest are told at once, and no attempts are wasted.
#[test]
fn saturation() {
    let (at, twice) = (full("saturation-1.0"), full("saturation-2.0"));
    assert!(good(&twice) * 10 >= good(&at) * 9);
    assert!(twice.refusal_time.value_at_quantile(0.95) <= 50_000);
    assert!(twice.attempts * 10 <= twice.offered.iter().sum::<u64>() * 11);
    assert!(twice.late * 500 <= good(&twice), "{} late", twice.late);
}

// An engine dies with all its work, or a zone is cut off. Its requests are tried elsewhere within
// the retry budget; the rest notice nothing.
#[rstest]
#[case::engine("engine-death")]
#[case::zone("zone-cut")]
fn faults(#[case] name: &str) {
    let tally = full(name);
    let offered = tally.offered.iter().sum::<u64>();
    assert!(good(&tally) * 100 >= offered * 99, "{} of {offered}", good(&tally));
    assert!(tally.attempts * 10 <= offered * 11);
}

// The same seed gives the same run.
#[test]
fn runs_repeat() {
    let (one, two) = (full("burst"), full("burst"));
    assert_eq!(one.figures(), two.figures());
}
