//! Tests of the times for which upstreams want no requests from a host.

use std::collections;

use lagoonline::clock;
use lagoonline::id;
use lagoonline::load::{backoff, placement};
use lagoonline::routing;
use proptest::prelude::*;
use rstest::rstest;

const HOST: u64 = 7;
const OTHER_HOST: u64 = 8;
const LIFE: u64 = 100;

fn moment(millis: u64) -> clock::Moment {
    clock::Moment::from_millis(millis)
}

fn span(millis: u64) -> clock::Span {
    clock::Span::from_millis(millis)
}

fn upstream(number: usize) -> id::Upstream {
    id::Upstream::from(format!("r{number}"))
}

/// Of two times the later end holds, whichever is heard first.
#[rstest]
#[case::longer_first(3_000, 1_000)]
#[case::longer_last(1_000, 3_000)]
fn the_later_end_holds(#[case] first: u64, #[case] second: u64) {
    let mut backoffs = backoff::Backoffs::default();
    let pair = (HOST, &upstream(1));
    for millis in [first, second] {
        backoffs.record(pair, LIFE, span(millis), moment(0));
    }
    assert_eq!(backoffs.until(pair, LIFE, moment(2_999)), Some(moment(3_000)));
    assert_eq!(backoffs.until(pair, LIFE, moment(3_000)), None);
}

/// A time is for one host and one lifetime; what an earlier lifetime said comes too late.
#[rstest]
fn a_time_binds_one_host_at_one_lifetime() {
    let mut backoffs = backoff::Backoffs::default();
    let own = upstream(1);
    backoffs.record((HOST, &own), LIFE, span(500), moment(0));
    assert_eq!(backoffs.until((OTHER_HOST, &own), LIFE, moment(1)), None);
    assert_eq!(backoffs.until((HOST, &own), LIFE + 1, moment(1)), None);
    let late = backoffs.record((HOST, &own), LIFE - 1, span(9_000), moment(1));
    assert_eq!((late, backoffs.until((HOST, &own), LIFE, moment(600))), (None, None));
}

/// The time of an upstream that is unlisted for a moment must hold when it is back, and a year must not
/// end early; what is gone for good is forgotten.
#[rstest]
fn times_in_force_are_forgotten_only_with_their_host_or_upstream() {
    let mut backoffs = backoff::Backoffs::default();
    let year = span(365 * 24 * 3_600 * 1_000);
    for (host, number) in [(HOST, 1), (HOST, 2), (OTHER_HOST, 1)] {
        backoffs.record((host, &upstream(number)), LIFE, year, moment(0));
    }
    backoffs.record((HOST, &upstream(3)), LIFE, span(100), moment(0));
    let gone = upstream(2);
    backoffs.expire(moment(60_000), |host, upstream| host == HOST && *upstream != gone);
    let left: Vec<_> = backoffs.in_force(HOST, moment(60_000));
    assert_eq!(left.iter().map(|left| &left.upstream).collect::<Vec<_>>(), [&upstream(1)]);
    assert!(backoffs.in_force(OTHER_HOST, moment(60_000)).is_empty());
    assert_eq!(backoffs.ended((HOST, &upstream(3)), moment(60_000)), None);
}

fn registration(number: usize) -> routing::Registration {
    routing::Registration {
        upstream: upstream(number),
        service: id::Service::from("app"),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 1_000 + number as u16)),
        zone: id::Zone::from("a"),
        slots: 6,
        leaving: false,
        started_ms: LIFE,
        cold: None,
    }
}

fn place(
    backoffs: &backoff::Backoffs,
    upstreams: usize,
    avoid: &[id::Upstream],
    now: u64,
) -> Result<id::Upstream, placement::Refusal> {
    let zone = id::Zone::from("a");
    let settings = placement::Settings::default();
    let mut placer = placement::Placer::new(settings, zone.clone(), HOST);
    placer.set_upstreams(&(1..=upstreams).map(registration).collect::<Vec<_>>(), None);
    let request = placement::Request {
        prompt_tokens: 0,
        answer_tokens: 0,
        target: span(200),
        max_gap: clock::Span::ZERO,
        waited: clock::Span::ZERO,
        waiter: placement::DispatchId { host: HOST, number: 1 },
        zone: &zone,
        avoid,
        backoffs: &backoffs.in_force(HOST, moment(now)),
        hints: &backoffs.hints(moment(now)),
        random: 3,
        identity: None,
        prefixes: &[],
        urgency: 0,
        customer: None,
        eligibility: &routing::Eligibility::default(),
        homes: &routing::Homes::default(),
    };
    placer.place(&request, moment(now)).map(|placed| placed.primary.upstream)
}

/// An upstream that turned the host away looks the least used one, and must not be chosen, also not
/// when the others have failed the request.
#[rstest]
fn no_request_is_placed_before_its_time() {
    let mut backoffs = backoff::Backoffs::default();
    backoffs.record((HOST, &upstream(1)), LIFE, span(3_000), moment(0));
    assert_eq!(place(&backoffs, 2, &[], 10), Ok(upstream(2)));
    let refusal = placement::Refusal::Rejected(placement::Shortage::Backoff, span(2_990));
    assert_eq!(place(&backoffs, 2, &[upstream(2)], 10), Err(refusal));
    assert_eq!(place(&backoffs, 2, &[upstream(2)], 3_000), Ok(upstream(1)));
}

/// An upstream turned other hosts away: this one prefers those with room, and must not do without
/// the upstream if none has.
#[rstest]
fn other_upstreams_are_preferred_while_they_have_room() {
    let mut backoffs = backoff::Backoffs::default();
    assert!(backoffs.record_hint(&upstream(1), LIFE, span(3_600_000), moment(0)));
    assert!(!backoffs.record_hint(&upstream(1), LIFE, span(3_600_000), moment(1)), "no news");
    assert_eq!(place(&backoffs, 2, &[], 10), Ok(upstream(2)));
    assert_eq!(place(&backoffs, 1, &[], 10), Ok(upstream(1)));
    assert_eq!(place(&backoffs, 2, &[upstream(2)], 10), Ok(upstream(1)));
    assert!(backoffs.hints(moment(10_001)).is_empty());
    assert!(backoffs.record_hint(&upstream(1), LIFE, span(3_000), moment(10_001)));
    let mut later = backoff::Backoffs::default();
    later.record_hint(&upstream(1), LIFE - 1, span(3_000), moment(0));
    assert_eq!(place(&later, 1, &[], 10), Ok(upstream(1)));
}

/// All upstreams turned the host away: a request waits if the first of them wants requests before its
/// target, and its caller is told the time at once if not.
#[rstest]
#[case::in_time(2_800, Err(placement::Refusal::Deferred(placement::Shortage::Backoff)))]
#[case::too_late(
    2_799,
    Err(placement::Refusal::Rejected(
        placement::Shortage::Backoff,
        clock::Span::from_millis(201)
    ))
)]
fn callers_learn_when_the_first_upstream_wants_requests(
    #[case] now: u64,
    #[case] expected: Result<id::Upstream, placement::Refusal>,
) {
    let mut backoffs = backoff::Backoffs::default();
    for (number, millis) in [(1, 4_000), (2, 3_000)] {
        backoffs.record((HOST, &upstream(number)), LIFE, span(millis), moment(0));
    }
    assert_eq!(place(&backoffs, 2, &[], now), expected);
}

fn cases() -> u32 {
    std::env::var("LAGOON_FUZZ_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(300)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: cases(),
        rng_seed: prop::test_runner::RngSeed::Fixed(63),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever comes in whatever order, a pair is held back exactly until the latest end that its
    /// latest lifetime named.
    #[test]
    fn no_time_ends_early_or_late(
        words in proptest::collection::vec(
            (0..3_u64, 0..3_usize, 0..3_u64, 0..4_000_u64, 0..8_000_u64), 1..40,
        ),
        expiries in proptest::collection::vec(0..12_000_u64, 0..5),
    ) {
        let mut words = words;
        words.sort_by_key(|word| word.4);
        let mut backoffs = backoff::Backoffs::default();
        let mut expected = collections::BTreeMap::new();
        for (host, number, life, millis, at) in words {
            for expiry in expiries.iter().filter(|expiry| **expiry <= at) {
                backoffs.expire(moment(*expiry), |_, _| true);
            }
            backoffs.record((host, &upstream(number)), life, span(millis), moment(at));
            if millis > 0 {
                let known = expected.entry((host, number)).or_insert((life, at + millis));
                *known = (*known).max((life, at + millis));
            }
            for ((host, number), (life, until)) in &expected {
                let pair = (*host, &upstream(*number));
                let held = backoffs.until(pair, *life, moment(at));
                prop_assert_eq!(held, (*until > at).then_some(moment(*until)));
                prop_assert_eq!(backoffs.until(pair, life + 1, moment(at)), None);
            }
        }
    }
}
