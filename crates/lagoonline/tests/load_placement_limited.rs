//! Placement on engines that limit their requests.

mod placer_simulation;

use lagoonline::clock::{Moment, Span};
use lagoonline::id;
use lagoonline::lifecycle::fingerprint::Fingerprint;
use lagoonline::load::{placement, upstream_limit};
use rstest::rstest;

use placer_simulation::{LOOSE, Simulation, TIGHT, engines, entry, name};

/// Lets the engine `index` name a limit of `rate` requests a second, or none.
fn name_limit(sim: &mut Simulation, index: usize, rate: Option<f64>) {
    let answer = upstream_limit::Observation { rate, sent: sim.now, seen: sim.now };
    let started_ms = entry(index, "a").started_ms;
    sim.placer.observe_limit(&name(index), started_ms, &answer, sim.now);
}

fn identity(number: u64) -> Fingerprint {
    Fingerprint::new("c", &number.to_string(), b"")
}

/// Places the short prompt `number` at its first try, and records its dispatch and end.
fn arrive(sim: &mut Simulation, number: u64) -> Result<id::Upstream, placement::Refusal> {
    let request = placement::Request {
        prompt_tokens: 5_000,
        target: Span::from_millis(300),
        max_gap: TIGHT,
        waiter: placement::DispatchId { host: 1, number: 1_000_000 + number },
        identity: Some(identity(number)),
        ..sim.request()
    };
    let placed = sim.place_request(&request)?;
    let id = sim.record(&placed, 5_000, TIGHT);
    sim.placer.record_end(id, sim.now);
    Ok(placed.primary.upstream)
}

/// One of the engines limits its requests: it must get no more, and the others must get the rest.
#[rstest]
fn other_engines_take_the_work_of_a_limited_one() {
    let mut sim = Simulation::new(3);
    name_limit(&mut sim, 0, Some(1.6));
    let mut limited = 0;
    for number in 0..1_000 {
        sim.advance(10);
        limited += usize::from(arrive(&mut sim, number).unwrap() == name(0));
    }
    assert!((4..=17).contains(&limited), "{limited} requests in 10 s");
}

/// A long prompt takes several requests of each engine, for its parts and its memory: it must not
/// use those of limited engines while there are others.
#[rstest]
fn long_prompts_leave_limited_engines_alone() {
    let mut sim = Simulation::new(8);
    name_limit(&mut sim, 2, Some(5.0));
    for _ in 0..10 {
        sim.advance(1_000);
        let placed = sim.place(300_000, LOOSE, 0).unwrap();
        assert!(!engines(&placed).contains("e02"), "{:?}", engines(&placed));
    }
}

/// All engines limit their requests: a long prompt must still be answered, and each part counts.
#[rstest]
fn a_long_prompt_takes_a_permit_of_each_engine() {
    let mut sim = Simulation::new(4);
    for index in 0..4 {
        name_limit(&mut sim, index, Some(2.0));
    }
    sim.advance(2_000);
    let (_, placed) = sim.send(133_000, LOOSE).unwrap();
    let used = engines(&placed).len();
    for limit in sim.placer.limits().filter(|limit| placed.primary.upstream == limit.upstream) {
        assert!(limit.permits < 1.5, "{limit:?}");
    }
    assert!(used > 1, "prefilled by one engine");
}

/// A request that another host announces must count like one of this host.
#[rstest]
fn requests_of_other_hosts_count() {
    let mut sim = Simulation::new(1);
    name_limit(&mut sim, 0, Some(1.0));
    sim.advance(1_000);
    sim.record_remote_dispatch(0, Vec::new(), 5_000, TIGHT);
    assert!(arrive(&mut sim, 1).is_err());
    sim.advance(2_000);
    assert_eq!(arrive(&mut sim, 1), Ok(name(0)));
}

/// A host that hears from one zone of three only must use a third of a limit.
#[rstest]
fn a_cut_off_host_uses_its_share_only() {
    let mut sim = Simulation::new(1);
    name_limit(&mut sim, 0, Some(3.0));
    sim.placer.set_share(1.0 / 3.0, sim.now);
    let mut sent = 0;
    for _ in 0..1_000 {
        sim.advance(10);
        // Without an identity no permits are kept for callers that do not come back.
        if let Ok((id, _)) = sim.send(5_000, TIGHT) {
            sim.placer.record_end(id, sim.now);
            sent += 1;
        }
    }
    assert!((9..=11).contains(&sent), "{sent} requests in 10 s");
}

/// A limit belongs to one lifetime of an engine: one that has started anew must be used as usual,
/// and what is known of the old one must not be taken for it.
#[rstest]
fn a_new_lifetime_has_no_limit() {
    let mut sim = Simulation::new(1);
    name_limit(&mut sim, 0, Some(0.2));
    let mut again = entry(0, "a");
    again.started_ms += 1;
    sim.placer.set_upstreams(&[again], Some(placer_simulation::profile()));
    assert!(arrive(&mut sim, 1).is_ok());
    name_limit(&mut sim, 0, Some(0.2));
    assert!(!sim.placer.has_limits());
}

/// All engines limit their requests and twice as many arrive: requests that cannot be served in
/// time must be refused at once, with a time at which they are not refused again.
#[rstest]
fn refused_callers_come_back_to_a_permit() {
    let mut sim = Simulation::new(4);
    for index in 0..4 {
        name_limit(&mut sim, index, Some(2.0));
    }
    let (mut served, mut refused, mut again) = (0, 0, 0);
    let mut waiting: Vec<(Moment, u64, bool)> = Vec::new();
    for step in 0..6_000_u64 {
        sim.advance(10);
        // 16 requests a second arrive, and the engines take 8.
        if step % 6 == 0 && step < 5_000 {
            waiting.push((sim.now, step, false));
        }
        let now = sim.now;
        for (due, number, returned) in std::mem::take(&mut waiting) {
            if due > now {
                waiting.push((due, number, returned));
                continue;
            }
            match arrive(&mut sim, number) {
                Ok(_) => served += 1,
                Err(placement::Refusal::Rejected(placement::Shortage::Permit, span)) => {
                    assert!(span < Span::from_secs(7), "retry after {span:?}");
                    again += u64::from(returned);
                    // No permit is kept for those that would have to wait longer.
                    if !returned && span <= Span::from_secs(3) {
                        refused += 1;
                        waiting.push((now + span, number, true));
                    }
                }
                Err(_) => waiting.push((now + Span::from_millis(20), number, returned)),
            }
        }
    }
    assert!(served >= 380, "{served} of 400 permits were used");
    assert!(refused > 100 && again * 50 <= refused, "{again} of {refused} were refused again");
}

/// Callers for whom no permit can be kept must not all be told the same time.
#[rstest]
fn callers_without_a_permit_come_back_spread() {
    let mut sim = Simulation::new(1);
    name_limit(&mut sim, 0, Some(0.2));
    let mut told = std::collections::BTreeSet::new();
    for number in 0..20 {
        let request = placement::Request {
            prompt_tokens: 5_000,
            target: Span::from_millis(300),
            max_gap: TIGHT,
            identity: Some(identity(number)),
            random: number * (u64::MAX / 20),
            ..sim.request()
        };
        let Err(placement::Refusal::Rejected(_, span)) = sim.place_request(&request) else {
            panic!("not refused");
        };
        told.insert(span);
    }
    assert_eq!(told.len(), 20, "{told:?}");
}

/// Without its identity, no permit can be kept for a caller: the request is not refused before it
/// is known.
#[rstest]
fn a_request_is_refused_only_with_its_identity() {
    let mut sim = Simulation::new(1);
    name_limit(&mut sim, 0, Some(0.2));
    let permit = placement::Shortage::Permit;
    assert_eq!(sim.place(5_000, TIGHT, 0), Err(placement::Refusal::Deferred(permit)));
    assert!(sim.placer.wants_identity());
    let refused = arrive(&mut sim, 1);
    assert!(matches!(refused, Err(placement::Refusal::Rejected(..))), "{refused:?}");
}

/// Replicas of plain services name limits as engines do.
#[rstest]
fn replicas_are_limited_like_engines() {
    let mut sim = Simulation::new(0);
    sim.placer.set_upstreams(&[entry(0, "a"), entry(1, "a")], None);
    name_limit(&mut sim, 0, Some(1.0));
    let mut limited = 0;
    for number in 0..1_000 {
        sim.advance(10);
        limited += usize::from(arrive(&mut sim, number).unwrap() == name(0));
    }
    assert!((8..=11).contains(&limited), "{limited} calls in 10 s");
}

/// Engines that got many requests before they named their limits are in debt for seconds. A caller
/// that is refused meanwhile must be told a time at which there are permits.
#[rstest]
#[case(3)]
#[case(5)]
fn callers_are_told_a_time_that_counts_debts(#[case] in_debt: usize) {
    let mut sim = Simulation::new(6);
    for index in 0..6 {
        name_limit(&mut sim, index, Some(1.0));
    }
    for index in 0..in_debt {
        for _ in 0..10 {
            sim.record_remote_dispatch(index, Vec::new(), 5_000, TIGHT);
        }
    }
    sim.advance(500);
    let mut again = 0;
    let mut callers: Vec<(Moment, u64, Option<Span>)> =
        (0..12).map(|number| (sim.now, number, None)).collect();
    for _ in 0..1_000 {
        sim.advance(10);
        let now = sim.now;
        for (due, number, told) in std::mem::take(&mut callers) {
            if due > now {
                callers.push((due, number, told));
                continue;
            }
            match arrive(&mut sim, number) {
                Ok(_) => {}
                Err(placement::Refusal::Rejected(_, span)) => {
                    again += u64::from(told.is_some_and(|told| told <= Span::from_secs(3)));
                    callers.push((now + span, number, Some(span)));
                }
                Err(_) => callers.push((now + Span::from_millis(20), number, told)),
            }
        }
    }
    assert_eq!(again, 0, "callers were refused again");
    assert!(callers.len() <= 4, "{} of 12 callers were not served in 10 s", callers.len());
}
