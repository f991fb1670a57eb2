//! Placement on cold upstreams.

mod placer_simulation;

use lagoonline::clock::{Moment, Span};
use lagoonline::id;
use lagoonline::lifecycle::fingerprint::Fingerprint;
use lagoonline::load::{cold, placement};
use lagoonline::routing;
use rstest::rstest;

use placer_simulation::{LOOSE, Simulation, TIGHT, engines, entry, name, profile};

const RATE: f64 = 17.0;
const BOUND: cold::Bound = cold::Bound { overage: 1.5, slack: 5.0 };
const COLD_START: routing::ColdStart = routing::ColdStart { span: Span::from_secs(20), rate: RATE };
/// Most arrivals at a cold upstream in any second.
const MOST_ARRIVALS: usize = 30;

fn cold_entry(index: usize, started_ms: u64, cold: Span) -> routing::Registration {
    routing::Registration { started_ms, cold: Some(cold), ..entry(index, "a") }
}

/// Takes the list `entries`.
fn list(sim: &mut Simulation, entries: &[routing::Registration]) -> Vec<cold::Change> {
    sim.placer.set_upstreams(entries, Some(profile()));
    let changes = sim.placer.update_cold(Some(COLD_START), BOUND, sim.now);
    changes.into_iter().map(|(_, change)| change).collect()
}

/// Engines of which the first `cold` are cold for a minute.
fn simulation(engines: usize, cold: usize) -> Simulation {
    let mut sim = Simulation::new(0);
    let span = |index| if index < cold { Span::from_secs(60) } else { Span::ZERO };
    let entries: Vec<_> = (0..engines).map(|index| cold_entry(index, 1, span(index))).collect();
    list(&mut sim, &entries);
    sim
}

/// Places a short prompt, and records its dispatch and end.
fn arrive(sim: &mut Simulation, number: u64) -> Result<id::Upstream, placement::Refusal> {
    let request = placement::Request {
        prompt_tokens: 5_000,
        target: Span::from_millis(300),
        max_gap: TIGHT,
        waiter: placement::DispatchId { host: 1, number: 1_000_000 + number },
        identity: Some(Fingerprint::new("c", &number.to_string(), b"")),
        random: number * 7_919,
        ..sim.request()
    };
    let placed = sim.place_request(&request)?;
    sim.placer.record_placing_host(1, sim.now);
    let id = sim.record(&placed, 5_000, TIGHT);
    sim.placer.record_end(id, sim.now);
    Ok(placed.primary.upstream)
}

/// The most arrivals in any second.
fn most_in_a_second(arrivals: &[Moment]) -> usize {
    let in_second = |start: &Moment| {
        arrivals.iter().filter(|at| **at >= *start && **at < *start + Span::from_secs(1)).count()
    };
    arrivals.iter().map(in_second).max().unwrap_or(0)
}

/// Guards against a burst that is sent to a cold engine because it looks idle, and against leaving
/// it idle: the other engines must get the rest.
#[rstest]
fn a_cold_engine_gets_what_it_sustains() {
    let mut sim = simulation(3, 1);
    let mut arrivals = Vec::new();
    for number in 0..2_000 {
        sim.advance(5);
        if arrive(&mut sim, number).unwrap() == name(0) {
            arrivals.push(sim.now);
        }
    }
    let most = most_in_a_second(&arrivals);
    assert!(most <= MOST_ARRIVALS, "{most} in a second");
    assert!(arrivals.len() >= 130, "{} of 170 permits were used", arrivals.len());
}

/// Guards against placement that sends to a cold engine without a permit because there is no other:
/// requests must wait, or be refused with a time at which there is a permit.
#[rstest]
fn requests_wait_if_all_engines_are_cold() {
    let mut sim = simulation(2, 2);
    let mut arrivals = vec![Vec::new(), Vec::new()];
    let (mut waited, mut longest) = (0, Span::ZERO);
    let mut callers: Vec<(Moment, u64)> = Vec::new();
    for step in 0..2_000_u64 {
        sim.advance(5);
        // 50 requests a second arrive, and the engines take 34.
        if step % 4 == 0 {
            callers.push((sim.now, step));
        }
        let now = sim.now;
        for (due, number) in std::mem::take(&mut callers) {
            if due > now {
                callers.push((due, number));
                continue;
            }
            match arrive(&mut sim, number) {
                Ok(engine) => arrivals[usize::from(engine != name(0))].push(now),
                Err(placement::Refusal::Rejected(placement::Shortage::Permit, span)) => {
                    longest = longest.max(span);
                    callers.push((now + span, number));
                }
                Err(placement::Refusal::Deferred(placement::Shortage::Permit)) => {
                    waited += 1;
                    callers.push((now + Span::from_millis(20), number));
                }
                Err(other) => panic!("{other}"),
            }
        }
    }
    for arrivals in &arrivals {
        let most = most_in_a_second(arrivals);
        assert!(most <= MOST_ARRIVALS, "{most} in a second");
        assert!(arrivals.len() >= 150, "{} of 170 permits were used", arrivals.len());
    }
    assert!(waited > 0 && longest > Span::ZERO && longest < Span::from_secs(10), "{longest:?}");
}

/// Guards against a service without `ColdPerS` being placed otherwise than before because its
/// entries name cold times.
#[rstest]
fn nothing_is_cold_without_a_cold_start() {
    let mut sim = Simulation::new(0);
    let entries = [cold_entry(0, 1, Span::from_secs(60)), cold_entry(1, 1, Span::ZERO)];
    sim.placer.set_upstreams(&entries, Some(profile()));
    assert_eq!(sim.placer.update_cold(None, BOUND, sim.now), []);
    let answer = cold::Observation { remaining: Span::from_secs(5), sent: sim.now, seen: sim.now };
    assert_eq!(sim.placer.observe_cold(&name(0), 1, &answer, sim.now), None);
    assert!(!sim.placer.has_cold() && sim.place(5_000, TIGHT, 0).is_ok());
}

/// Guards against using an upstream that has just started as a warm one: its entry may have been
/// read late and name less than it needs, or name nothing.
#[rstest]
#[case::new_name(cold_entry(1, 7, Span::from_millis(1)))]
#[case::new_lifetime(cold_entry(0, 7, Span::from_millis(1)))]
#[case::says_nothing(routing::Registration { cold: None, ..cold_entry(1, 7, Span::ZERO) })]
fn a_lifetime_seen_to_start_is_cold_for_the_whole_span(#[case] started: routing::Registration) {
    let mut sim = simulation(1, 0);
    sim.advance(1_000);
    let upstream = started.upstream.clone();
    assert_eq!(list(&mut sim, &[started]), [cold::Change::Begun]);
    sim.advance(19_999);
    assert_eq!(sim.placer.expire_cold(sim.now), []);
    assert!(sim.placer.is_cold(&upstream));
    sim.advance(1);
    assert_eq!(sim.placer.expire_cold(sim.now), [upstream]);
}

/// Guards against holding an upstream back that says that it is warm, against believing an old entry
/// over a newer answer, and against extending a time by reading the same entry again.
#[rstest]
fn entries_and_answers_extend_and_end_cold_times() {
    let mut sim = simulation(1, 1);
    assert_eq!(list(&mut sim, &[cold_entry(0, 1, Span::ZERO)]), [cold::Change::Ended]);
    let answer = |remaining, now| cold::Observation { remaining, sent: now, seen: now };
    let said = answer(Span::from_secs(9), sim.now);
    let change = sim.placer.observe_cold(&name(0), 1, &said, sim.now);
    assert_eq!(change, Some(cold::Change::Begun));
    let until = sim.now + Span::from_secs(9);
    sim.advance(500);
    assert_eq!(list(&mut sim, &[cold_entry(0, 1, Span::from_secs(3))]), []);
    assert_eq!(list(&mut sim, &[cold_entry(0, 1, Span::ZERO)]), [], "ended by an older entry");
    assert!(sim.placer.cold_upstreams().all(|cold| cold.until == until));
    let longer = cold_entry(0, 1, Span::from_secs(30));
    assert_eq!(list(&mut sim, std::slice::from_ref(&longer)), [cold::Change::Extended]);
    sim.advance(2_000);
    assert_eq!(list(&mut sim, &[longer]), [], "the same entry extends");
    let old = cold::Observation { sent: Moment::from_millis(5), ..answer(Span::ZERO, sim.now) };
    assert_eq!(sim.placer.observe_cold(&name(0), 1, &old, sim.now), None, "ended by an old answer");
    let other_life = sim.placer.observe_cold(&name(0), 2, &answer(Span::ZERO, sim.now), sim.now);
    assert_eq!(other_life, None, "ended by another lifetime");
    let warm = answer(Span::ZERO, sim.now);
    let ended = sim.placer.observe_cold(&name(0), 1, &warm, sim.now);
    assert_eq!(ended, Some(cold::Change::Ended));
}

/// Guards against a prompt whose prefill is shared that takes a permit of each of many cold engines
/// while there are warm ones, and that is not served while there are none.
#[rstest]
fn shared_prefills_use_cold_engines_only_if_all_are() {
    let mut sim = simulation(8, 3);
    for _ in 0..10 {
        sim.advance(1_000);
        let placed = sim.place(300_000, LOOSE, 0).unwrap();
        assert!(engines(&placed).iter().all(|name| *name >= "e03"), "{:?}", engines(&placed));
    }
    let mut sim = simulation(8, 8);
    sim.advance(1_000);
    assert!(engines(&sim.place(133_000, LOOSE, 0).unwrap()).len() > 1);
}

/// Guards against hosts that each use the whole rate while they do not hear of each other. What one
/// host sends is bounded by its part of the traffic.
#[rstest]
fn hosts_that_hear_of_nothing_stay_within_the_bound_together() {
    let hosts = 3;
    let mut all = Vec::new();
    for host in 0..hosts {
        let mut sim = simulation(1, 1);
        sim.placer.set_placing_hosts(hosts);
        sim.advance(1_000);
        for step in 0..1_000_u64 {
            sim.advance(1);
            // Their last news is that each of them has a third of the traffic.
            for other in 1..=3 {
                sim.placer.record_placing_host(other, sim.now);
            }
            if arrive(&mut sim, step * 3 + host as u64).is_ok() {
                all.push(sim.now);
            }
        }
    }
    assert!(most_in_a_second(&all) <= MOST_ARRIVALS, "{}", most_in_a_second(&all));
}

/// Guards against a host that another one schedules for, and that is told nothing, using permits
/// that were used already.
#[rstest]
fn a_host_that_is_told_nothing_sends_nothing_to_cold_engines() {
    let mut sim = simulation(1, 1);
    sim.placer.set_cold_share(0.0, sim.now);
    sim.advance(10_000);
    let refused = arrive(&mut sim, 1);
    assert!(matches!(refused, Err(placement::Refusal::Rejected(..))), "{refused:?}");
    sim.placer.set_cold_share(1.0, sim.now);
    sim.advance(1_000);
    assert_eq!(arrive(&mut sim, 1), Ok(name(0)));
}

/// Guards against a request that was placed in an earlier second, and is sent without a permit of
/// this one.
#[rstest]
fn a_late_request_needs_another_permit() {
    let mut sim = simulation(2, 1);
    assert!(!sim.placer.renew_cold_permit(&name(0), sim.now));
    assert!(sim.placer.renew_cold_permit(&name(1), sim.now), "it is not cold");
    sim.advance(1_000);
    let permits = |sim: &Simulation| sim.placer.cold_upstreams().next().unwrap().permits;
    assert!(sim.placer.renew_cold_permit(&name(0), sim.now));
    assert!(permits(&sim) < 2.5, "the permit was not taken");
}

/// Guards against bursts for which the bound has no room.
#[rstest]
#[case::of_p(17.0, 1.5, 5.0)]
#[case::without_excess(17.0, 1.0, 0.0)]
#[case::slow(1.0, 1.5, 5.0)]
#[case::fast(200.0, 1.2, 0.0)]
fn a_plan_stays_within_its_bound(#[case] rate: f64, #[case] overage: f64, #[case] slack: f64) {
    let cold_start = routing::ColdStart { rate, ..COLD_START };
    let plan = cold::Plan::new(cold_start, cold::Bound { overage, slack });
    let allowed = rate * overage + slack;
    assert!(plan.rate + 2.0 * plan.burst <= allowed, "{plan:?}");
    assert!(plan.rate >= rate * 0.8, "{plan:?}");
}
