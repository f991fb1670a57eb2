//! Placement under the heaviest load: each test replays a load pattern on a [`Placer`] and checks
//! what callers would get.
//!
//! [`Placer`]: lagoonline::load::placement::Placer

mod placer_simulation;

use std::collections;

use lagoonline::clock::{Moment, Span};
use lagoonline::id;
use lagoonline::load::{placement, profile};
use lagoonline::routing;
use rstest::rstest;

use placer_simulation::{LOOSE, Simulation, TIGHT, engines, entry, name, placer, profile};

/// Guards against prefilling long prompts beside short answers. A long prefill in a pass delays
/// every answer that its engine decodes, so parts must not go where short answers are decoded while
/// other engines are free.
#[rstest]
fn long_prefills_avoid_short_answers() {
    let mut sim = Simulation::new(18);
    let mut short = collections::BTreeSet::new();
    for _ in 0..20 {
        let (id, placed) = sim.send(5_000, TIGHT).unwrap();
        short.insert(placed.primary.upstream.to_string());
        sim.advance(60);
        sim.placer.record_first_token(id, sim.now);
    }
    assert!(short.len() <= 4, "short answers are spread over {short:?}");
    let placed = sim.place(133_000, LOOSE, 0).unwrap();
    assert!(placed.helpers.len() >= 8, "prefilled by {} engines only", placed.helpers.len() + 1);
    let both = engines(&placed).into_iter().filter(|name| short.contains(*name)).count();
    assert_eq!(both, 0, "parts are prefilled where short answers are decoded");
}

/// Guards against engines set aside for a single long answer each. A burst of short prompts follows
/// one of long prompts, whose prefill is done and whose answers, with a loose gap limit, are in
/// decode on one engine each. If short prompts were kept off these engines, eight of sixteen would
/// decode one answer each while the others have more requests than slots.
#[rstest]
fn a_burst_uses_engines_that_only_decode_long_answers() {
    let mut sim = Simulation::new(16);
    for _ in 0..8 {
        let (id, _) = sim.send(100_000, LOOSE).unwrap();
        sim.advance(100);
        sim.placer.record_first_token(id, sim.now);
    }
    sim.advance(4_000);
    let mut short: collections::BTreeMap<String, usize> = collections::BTreeMap::new();
    for _ in 0..150 {
        let (id, placed) = sim.send(5_000, TIGHT).unwrap();
        sim.advance(10);
        sim.placer.record_first_token(id, sim.now);
        *short.entry(placed.primary.upstream.to_string()).or_default() += 1;
    }
    assert!(short.len() >= 13, "150 short answers on {} of 16 engines: {short:?}", short.len());
    assert!(short.values().all(|answers| *answers <= 16), "beyond its slots: {short:?}");
}

/// Guards against a long prompt that waits for seconds at an engine while prompts sent after it are
/// answered. Engines prefill parts for others first, so in a burst of long prompts the queue of an
/// engine is also behind the parts of later prompts. Without load an engine that answers already is
/// preferred despite its queue; in a burst one with no queue is.
#[rstest]
#[case::calm(0, true)]
#[case::burst(40, false)]
fn long_prompts_avoid_queues_that_later_parts_overtake(
    #[case] recent_prompts: usize,
    #[case] goes_to_queue: bool,
) {
    let mut sim = Simulation::new(20);
    let answering = sim.record_remote_dispatch(7, Vec::new(), 5_000, LOOSE);
    sim.placer.record_first_token(answering, sim.now);
    for _ in 0..recent_prompts {
        let ended = sim.record_remote_dispatch(19, Vec::new(), 100_000, LOOSE);
        sim.placer.record_end(ended, sim.now);
    }
    sim.record_remote_dispatch(7, Vec::new(), 14_000, LOOSE);
    let placed = sim.place(100_000, LOOSE, 0).unwrap();
    assert_eq!(placed.primary.upstream == name(7), goes_to_queue, "{placed:?}");
}

/// Guards against counting a dispatch twice. A starting host is told of the dispatches of other
/// hosts, of some of them both in the list sent on connecting and separately. When such a host
/// restarts, its dispatches have ended with its connections.
#[rstest]
fn repeated_dispatches_count_once() {
    let mut sim = Simulation::new(3);
    sim.burst(20);
    let of_first_host = |host| host == 1;
    let listed: Vec<_> =
        sim.placer.in_flight(of_first_host).map(|(dispatch, _)| dispatch.clone()).collect();
    assert_eq!(listed.len(), 20);
    assert!(sim.placer.in_flight(of_first_host).all(|(_, is_prefilled)| is_prefilled));
    assert_eq!(sim.placer.in_flight(|host| host == 2).count(), 0);
    let mut placer = placer(3);
    for dispatch in listed.iter().chain(&listed) {
        placer.record_dispatch(dispatch.clone(), sim.now);
    }
    assert_eq!(placer.dispatches(), 20);
    for dispatch in &listed[..5] {
        placer.record_end(dispatch.id, sim.now);
    }
    assert_eq!(placer.dispatches(), 15);
    placer.retain_listed(1, &collections::HashSet::new(), sim.now, sim.now);
    assert_eq!(placer.dispatches(), 0);
}

/// A fleet of `engines` with `slots` slots each.
fn sim_with_slots(engines: usize, slots: u32) -> Simulation {
    let entries: Vec<_> =
        (0..engines).map(|index| routing::Registration { slots, ..entry(index, "a") }).collect();
    let mut sim = Simulation::new(1);
    sim.placer = placement::Placer::new(placement::Settings::default(), id::Zone::from("a"), 1);
    sim.placer.set_upstreams(&entries, Some(profile::Profile { slots, ..profile() }));
    sim
}

/// Guards against sending short prompts to full engines when the mix turns to short prompts while
/// long ones are still in prefill. Of the engines reserved for short answers one has a slot but no
/// memory, the others have no free slot. On those a new request waits for the duration of an
/// answer; on an idle engine of the other side it is in time.
#[rstest]
fn a_short_prompt_goes_where_a_slot_is_free() {
    let mut sim = sim_with_slots(8, 4);
    let occupy = |sim: &mut Simulation, primary: usize, prompt: u64| {
        let id = sim.record_remote_dispatch(primary, Vec::new(), prompt, TIGHT);
        sim.placer.record_first_token(id, sim.now);
    };
    occupy(&mut sim, 0, 210_000);
    for engine in 1..5 {
        for _ in 0..4 {
            occupy(&mut sim, engine, 5_000);
        }
    }
    for _ in 0..8 {
        let (_, placed) = sim.send(5_000, TIGHT).unwrap();
        assert!(placed.primary.upstream.as_str() >= "e05", "sent to {}", placed.primary.upstream);
        sim.advance(30);
    }
}

/// Guards against helper parts on engines with prompts of their own, when prompts that are
/// prefilled by sixteen engines each arrive faster than one is done. Helper parts go ahead of an
/// engine's own part, which is then the last of its prompt to finish while all other engines wait.
/// Parts must go to engines without own prompts, even if those have slightly more parts of others.
#[rstest]
fn engines_with_own_prompts_do_not_help() {
    let mut sim = sim_with_slots(32, 10);
    for primary in 0..16 {
        sim.record_remote_dispatch(primary, Vec::new(), 9_000, LOOSE);
    }
    sim.record_remote_dispatch(31, (16..31).map(name).collect(), 92_000, LOOSE);
    let placed = sim.place(200_000, LOOSE, 400).unwrap();
    let answering = placed.helpers.iter().filter(|helper| helper.entry.upstream < name(16));
    assert!(answering.count() <= 1, "{placed:?}");
}

/// Guards against spreading answers with a loose gap limit over many engines. An engine runs all
/// steps of a pass for one answer as for ten, so twenty answers on twenty engines would halve the
/// speed at which those prefill for others. Few engines decode them, as far as memory allows.
#[rstest]
fn answers_with_loose_gaps_use_few_engines() {
    let mut sim = sim_with_slots(60, 10);
    let mut primaries = collections::BTreeSet::new();
    for _ in 0..20 {
        let (id, placed) = sim.send(20_000, LOOSE).unwrap();
        primaries.insert(placed.primary.upstream.to_string());
        sim.advance(60);
        sim.placer.record_first_token(id, sim.now);
    }
    assert!(primaries.len() <= 6, "decoded by {primaries:?}");
}

/// Guards against giving parts to engines that have fallen behind. Two prompts, each prefilled by
/// sixteen engines, should both be done by now, but only one has its first token. The parts of the
/// next prompt must avoid the engines of the other one.
#[rstest]
fn engines_that_fall_behind_get_fewer_parts() {
    let mut sim = sim_with_slots(50, 10);
    let (done, _) = sim.send(150_000, LOOSE).unwrap();
    let (_, behind) = sim.send(150_000, LOOSE).unwrap();
    sim.advance(400);
    sim.placer.record_first_token(done, sim.now);
    sim.placer.record_end(done, sim.now);
    let next = sim.place(150_000, LOOSE, 0).unwrap();
    let both = engines(&next).intersection(&engines(&behind)).count();
    assert_eq!(both, 0, "{both} parts on engines that have fallen behind");
}

/// Guards against short prompts that are late beside idle engines after all hosts were restarted.
/// No answer is in flight, so one engine is dedicated to short prompts. All callers return at once,
/// and the schedulers of three zones, which have not heard of each other's dispatches yet, queue
/// their prompts on the same few engines.
#[rstest]
fn callers_that_return_at_once_are_spread_over_idle_engines() {
    /// Time until another zone hears of a dispatch, in milliseconds.
    const NEWS_MS: u64 = 15;
    /// Milliseconds of a pass after the prefill.
    const PASS_MS: f64 = 60.0;
    let zones = ["a", "b", "c"].map(id::Zone::from);
    let mut schedulers = [(); 3].map(|()| Simulation::new(60));
    let mut sent: collections::VecDeque<(u64, usize, placement::Dispatch)> = Default::default();
    let mut prefill_ms: collections::BTreeMap<String, f64> = collections::BTreeMap::new();
    for millis in 0..35 {
        while sent.front().is_some_and(|(at, ..)| at + NEWS_MS <= millis) {
            let (_, from, dispatch) = sent.pop_front().unwrap();
            for (_, sim) in schedulers.iter_mut().enumerate().filter(|(at, _)| *at != from) {
                // Host 1 is the scheduler itself in each of the three.
                let id = placement::DispatchId { host: 2 + from as u64, ..dispatch.id };
                sim.placer.record_dispatch(placement::Dispatch { id, ..dispatch.clone() }, sim.now);
            }
        }
        for (index, sim) in schedulers.iter_mut().enumerate() {
            sim.number = 3 * millis + index as u64;
            let request = placement::Request {
                prompt_tokens: 5_000,
                target: Span::from_millis(300),
                max_gap: TIGHT,
                zone: &zones[index],
                ..sim.request()
            };
            let placed = sim.place_request(&request).unwrap();
            let queued = prefill_ms.entry(placed.primary.upstream.to_string()).or_default();
            *queued += profile().prefill_ms(5_000);
            let id = sim.record(&placed, 5_000, TIGHT);
            let deadline = sim.now + Span::from_secs(10);
            let dispatch = placement::Dispatch::new(id, &placed, 5_000, TIGHT, deadline);
            sent.push_back((millis, index, dispatch));
            sim.advance(1);
        }
    }
    let longest = prefill_ms.values().copied().fold(0.0, f64::max);
    assert!(longest + PASS_MS <= 300.0, "{longest:.0} ms of prefill on one engine: {prefill_ms:?}");
}

/// Guards against a prompt with seconds to its target that makes short answers late to save a
/// fraction of one. When the mix turns from short prompts to long ones, some engines are still
/// decoding short answers and the others have a few hundred milliseconds of prefill queued. The
/// parts of a giant prompt must wait for those.
#[rstest]
fn a_giant_prompt_waits_rather_than_stall_short_answers() {
    const SHORT_ENGINES: usize = 16;
    let mut sim = sim_with_slots(60, 12);
    for engine in 0..SHORT_ENGINES {
        for _ in 0..4 {
            let id = sim.record_remote_dispatch(engine, Vec::new(), 5_000, TIGHT);
            sim.placer.record_first_token(id, sim.now);
        }
    }
    for _ in 0..5 {
        sim.record_remote_dispatch(59, (SHORT_ENGINES..59).map(name).collect(), 200_000, LOOSE);
    }
    let request = placement::Request {
        prompt_tokens: 205_000,
        target: Span::from_millis(3_000),
        waited: Span::from_millis(2_000),
        ..sim.request()
    };
    let placed = sim.place_request(&request).unwrap();
    let stalled =
        engines(&placed).into_iter().filter(|engine| *engine < name(SHORT_ENGINES).as_str());
    assert_eq!(stalled.count(), 0, "{placed:?}");
}

/// Guards against holding a prompt because of the average backlog: a hundred engines have seconds
/// of prefill queued, ninety have none. A prompt that sixteen engines can prefill is dispatched at
/// once.
#[rstest]
fn idle_engines_are_used_while_others_are_behind() {
    let mut sim = sim_with_slots(190, 10);
    for primary in 0..100 {
        sim.record_remote_dispatch(primary, Vec::new(), 180_000, LOOSE);
    }
    let placed = sim.place(250_000, LOOSE, 0).expect("sent at once");
    assert!(placed.expected < Span::from_secs(1), "expected after {:?}", placed.expected);
}

/// Guards against exceeding the slots of an engine, for fleets with few and with many slots: short
/// prompts that fill half of all slots never put more on an engine than it has.
#[rstest]
#[case(16, 4)]
#[case(30, 10)]
#[case(195, 10)]
#[case(18, 16)]
#[case(16, 32)]
fn short_answers_stay_within_slots(#[case] engines: usize, #[case] slots: u32) {
    let mut sim = sim_with_slots(engines, slots);
    let mut taken = collections::BTreeMap::<String, u32>::new();
    for _ in 0..engines * slots as usize / 2 {
        let (id, placed) = sim.send(2_000, TIGHT).unwrap();
        sim.advance(12);
        sim.placer.record_first_token(id, sim.now);
        *taken.entry(placed.primary.upstream.to_string()).or_default() += 1;
    }
    assert!(taken.values().all(|answers| *answers <= slots), "beyond {slots} slots: {taken:?}");
}

/// Guards against a slot that stays occupied after the message about the end of a request was lost.
/// The host's next list of all its dispatches frees it. A dispatch that became known after that
/// list was made is kept.
#[rstest]
fn dispatches_not_listed_are_dropped() {
    let mut sim = Simulation::new(3);
    sim.burst(5);
    let before = sim.now;
    sim.advance(50);
    let (late, _) = sim.send(5_000, TIGHT).unwrap();
    let listed = [1, 2].into();
    let dropped = sim.placer.retain_listed(1, &listed, before, sim.now);
    let numbers: collections::BTreeSet<_> = dropped.iter().map(|id| id.number).collect();
    assert_eq!(numbers, [3, 4, 5].into());
    let left: collections::BTreeSet<_> =
        sim.placer.in_flight(|_| true).map(|(dispatch, _)| dispatch.id.number).collect();
    assert_eq!(left, [1, 2, late.number].into());
    assert!(sim.placer.retain_listed(2, &listed, sim.now, sim.now).is_empty());
}

/// Guards against using slow engines. A quarter of the engines reports a fourfold slowdown, which
/// would make short prompts late and every long prompt of which one prefills a part. After the
/// report expires they are tried again, and they serve if no other engine is left.
#[rstest]
fn slow_engines_get_nothing_new() {
    let mut sim = Simulation::new(16);
    let slow = ["e00", "e05", "e10", "e15"];
    let report = |sim: &mut Simulation, names: &[&str]| {
        for name in names {
            sim.placer.set_slowness(&id::Upstream::from(*name), 4.0, sim.now);
        }
    };
    report(&mut sim, &slow);
    for _ in 0..40 {
        let (id, placed) = sim.send(5_000, TIGHT).unwrap();
        assert!(
            !slow.contains(&placed.primary.upstream.as_str()),
            "a short prompt on a slow engine"
        );
        sim.advance(20);
        sim.placer.record_first_token(id, sim.now);
    }
    let placed = sim.place(133_000, LOOSE, 0).unwrap();
    assert!(engines(&placed).iter().all(|name| !slow.contains(name)), "a part on a slow engine");
    // Twelve engines are left, four of them for the short answers.
    assert!(placed.helpers.len() >= 7, "prefilled by {} engines only", placed.helpers.len() + 1);
    sim.advance(3_100);
    let placed = sim.place(600_000, LOOSE, 0).unwrap();
    assert!(engines(&placed).iter().any(|name| slow.contains(name)), "never tried again");
    let all: Vec<_> = (0..16).map(|index| format!("e{index:02}")).collect();
    report(&mut sim, &all.iter().map(String::as_str).collect::<Vec<_>>());
    assert!(sim.place(5_000, TIGHT, 0).is_ok());
}

/// The log of a dispatch shows the estimated state of the chosen engine and of the next best one.
#[rstest]
fn a_placement_reports_estimates() {
    let mut sim = Simulation::new(6);
    sim.burst(13);
    let placed = sim.place(5_000, TIGHT, 0).unwrap();
    let next = placed.runner_up.unwrap();
    assert!(placed.estimate.used_slots <= next.used_slots + 11, "{placed:?}");
    assert_eq!(placed.estimate.decoding as usize, placed.estimate.used_slots);
}

/// Guards against a giant prompt that stalls a burst of short ones: prefilled at once it would stop
/// every engine for 1.7 s and make hundreds of answers late. It waits, then is refused with a time
/// to retry, and is served after the burst.
#[rstest]
fn a_giant_prompt_does_not_stall_a_burst() {
    let mut sim = Simulation::new(18);
    sim.burst(200);
    assert!(matches!(sim.place(600_000, LOOSE, 0), Err(placement::Refusal::Deferred(_))));
    let refused = sim.place(600_000, LOOSE, 6_000);
    assert!(matches!(refused, Err(placement::Refusal::Rejected(..))), "{refused:?}");
    sim.advance(11_000);
    sim.placer.expire(sim.now);
    assert!(sim.place(600_000, LOOSE, 0).is_ok());
}

/// A prompt larger than any engine is held by several: the reservations on the helpers and on the
/// primary cover it.
#[rstest]
#[case(300_000)]
#[case(600_000)]
fn memory_of_several_engines_holds_a_large_prompt(#[case] prompt: u64) {
    let mut sim = Simulation::new(18);
    let placed = sim.place(prompt, LOOSE, 0).unwrap();
    let held: u64 = placed.helpers.iter().map(|helper| helper.reserve).sum();
    assert!(held > 0 && held + placed.reserve >= prompt, "{held} + {}", placed.reserve);
    assert!(placed.reserve <= profile().memory_tokens);
    assert!(placed.helpers.iter().all(|helper| helper.reserve <= profile().memory_tokens));
    assert!(placed.helpers.len() <= 15);
}

/// Guards against two long prompts on one engine that do not fit together: the second would wait in
/// the engine for seconds until the first has ended.
#[rstest]
fn two_long_prompts_do_not_share_an_engine() {
    let mut sim = Simulation::new(6);
    let (_, one) = sim.send(130_000, LOOSE).unwrap();
    sim.advance(2_000);
    let (_, two) = sim.send(130_000, LOOSE).unwrap();
    assert!(one.reserve > 0 && two.reserve > 0);
    assert_ne!(one.primary.upstream, two.primary.upstream);
}

/// Guards against queueing short prompts in full engines, where all would be late. When every slot
/// is taken, the next prompt waits briefly and is then refused with a time to retry.
#[rstest]
fn short_prompts_beyond_all_slots_are_refused() {
    let mut sim = Simulation::new(3);
    sim.burst(48);
    let no_slot = placement::Shortage::Slot;
    assert_eq!(sim.place(5_000, TIGHT, 0), Err(placement::Refusal::Deferred(no_slot)));
    let Err(placement::Refusal::Rejected(_, span)) = sim.place(5_000, TIGHT, 200) else {
        panic!("not refused");
    };
    assert!(span > Span::from_millis(500) && span < Span::from_secs(5), "retry after {span:?}");
}

/// Guards against an unbounded prefill backlog in a burst of long prompts. A large prompt waits at
/// its host while a smaller one, with more value for its time, is dispatched. After 1.5 s the
/// engines have reduced the backlog enough for a prompt like those that filled it.
#[rstest]
fn a_backlog_lets_small_prompts_pass_large_ones() {
    let mut sim = Simulation::new(18);
    let mut sent = 0;
    while sim.send(133_000, LOOSE).is_ok() {
        sent += 1;
        assert!(sent < 50, "no bound on the prefill backlog");
    }
    sim.advance(60);
    let prefill = placement::Shortage::Prefill;
    assert_eq!(sim.place(350_000, LOOSE, 0), Err(placement::Refusal::Deferred(prefill)));
    assert!(sim.place(40_000, LOOSE, 0).is_ok());
    sim.advance(1_500);
    assert!(sim.place(133_000, LOOSE, 0).is_ok());
}

/// Guards against holding a prompt that cannot be in time behind those that wait at the hosts.
#[rstest]
#[case::one_placing_host(1, 60)]
#[case::many_placing_hosts(12, 5)]
fn a_prompt_behind_a_long_queue_is_refused_at_once(
    #[case] placing_hosts: usize,
    #[case] most: u64,
) {
    let mut sim = Simulation::new(18);
    sim.fill_backlog();
    let arrive = |sim: &mut Simulation, number: u64| {
        let waiter = placement::DispatchId { host: 1, number: 1_000 + number };
        let request = placement::Request { waiter, ..sim.request() };
        sim.place_request(&request)
    };
    let prefill = placement::Shortage::Prefill;
    assert_eq!(arrive(&mut sim, 0), Err(placement::Refusal::Deferred(prefill)));
    sim.placer.set_placing_hosts(placing_hosts);
    let refused = (1..=most).find_map(|number| match arrive(&mut sim, number) {
        Err(placement::Refusal::Rejected(_, span)) => Some(span),
        _ => None,
    });
    let span = refused.unwrap_or_else(|| panic!("{most} prompts wait at each host"));
    assert!(span > Span::from_millis(1_500) && span < Span::from_secs(8), "retry after {span:?}");
    sim.advance(300);
    assert!(arrive(&mut sim, most + 1).is_ok(), "prompts whose callers left count as waiting");
}

/// Guards against holding a prompt whose time to the first token is over.
#[rstest]
fn a_prompt_that_can_no_longer_be_in_time_is_refused() {
    let mut sim = Simulation::new(18);
    sim.fill_backlog();
    let late = placement::Request {
        target: Span::from_millis(50),
        waited: Span::from_millis(100),
        ..sim.request()
    };
    let refused = sim.place_request(&late);
    assert!(matches!(refused, Err(placement::Refusal::Rejected(..))), "{refused:?}");
}

/// Guards against trying each engine of a partitioned zone. After two of its engines were
/// unreachable the others are avoided too, and prompts are prefilled on this side; once one
/// answers, the zone is used again.
#[rstest]
fn a_partitioned_zone_is_avoided() {
    let mut sim = Simulation::new(18);
    for name in ["e01", "e04"] {
        sim.placer.record_unreachable(&id::Upstream::from(name), sim.now);
    }
    let zone_of = |name: &str| name[1..].parse::<usize>().unwrap() % 3;
    let placed = sim.place(133_000, LOOSE, 0).unwrap();
    assert!(engines(&placed).into_iter().all(|name| zone_of(name) != 1));
    sim.advance(700);
    for name in ["e07", "e01", "e04"] {
        sim.placer.record_success(&id::Upstream::from(name), sim.now);
    }
    let placed = sim.place(133_000, LOOSE, 0).unwrap();
    assert!(engines(&placed).into_iter().any(|name| zone_of(name) == 1));
}

/// Guards against helpers that the primary cannot reach: two zones are partitioned from each other,
/// though this host, in a third zone, reaches both. Such a prompt would be refused.
#[rstest]
fn helpers_are_within_reach_of_the_primary() {
    let mut sim = Simulation::new(18);
    for (primary, helper) in [("e01", "e02"), ("e04", "e05")] {
        let (primary, helper) = (id::Upstream::from(primary), id::Upstream::from(helper));
        sim.placer.record_helper_failure(&primary, &helper, sim.now);
    }
    let near: Vec<_> = (0..18).step_by(3).map(|index| entry(index, "a").upstream).collect();
    let request = placement::Request { avoid: &near, random: 3, ..sim.request() };
    let placed = sim.placer.place(&request, sim.now).unwrap();
    let zones: collections::BTreeSet<&str> = placed
        .helpers
        .iter()
        .map(|helper| helper.entry.zone.as_str())
        .chain([placed.primary.zone.as_str()])
        .collect();
    assert!(!(zones.contains("b") && zones.contains("c")), "prefilled in {zones:?}");
}

/// Guards against engines that look busy forever because a host stopped responding before it
/// reported the end of its requests. Its dispatches are dropped after their deadline.
#[rstest]
fn expired_dispatches_are_dropped() {
    let mut sim = Simulation::new(3);
    sim.burst(30);
    sim.advance(11_000);
    sim.placer.expire(sim.now);
    assert_eq!(sim.placer.dispatches(), 0);
}

/// Guards against preferring an engine that answers every request at once with an error although
/// its health check succeeds. As the least loaded engine it would get and fail most requests; it
/// must get few, and be tried again later.
#[rstest]
fn a_failing_engine_is_not_preferred() {
    let mut sim = Simulation::new(9);
    let bad = id::Upstream::from("e00");
    let mut failed = 0;
    let mut decoding = collections::VecDeque::new();
    for _ in 0..200 {
        if decoding.len() > 40 {
            sim.placer.record_end(decoding.pop_front().unwrap(), sim.now);
        }
        let (id, placed) = sim.send(5_000, TIGHT).unwrap();
        sim.advance(10);
        if placed.primary.upstream == bad {
            failed += 1;
            sim.placer.record_error(&bad, sim.now);
            sim.placer.record_end(id, sim.now);
        } else {
            sim.placer.record_first_token(id, sim.now);
            sim.placer.record_success(&placed.primary.upstream, sim.now);
            decoding.push_back(id);
        }
    }
    assert!(failed <= 10, "{failed} of 200 requests went to the engine that fails them");
    sim.advance(11_000);
    sim.placer.expire(sim.now);
    let tried = (0..40).any(|_| {
        let (_, placed) = sim.send(5_000, TIGHT).unwrap();
        placed.primary.upstream == bad
    });
    assert!(tried, "never tried again");
}

/// Plain services: the least-used replica is chosen, a failed one is avoided while another is left,
/// and a leaving one gets nothing.
#[rstest]
fn calls_go_to_the_least_used_replica() {
    let mut placer = placement::Placer::new(placement::Settings::default(), id::Zone::from("a"), 1);
    let mut entries: Vec<_> = (0..3).map(|index| entry(index, "a")).collect();
    entries[2].leaving = true;
    placer.set_upstreams(&entries, None);
    let zone = id::Zone::from("a");
    let request = placement::Request {
        prompt_tokens: 0,
        answer_tokens: 0,
        target: Span::from_millis(200),
        max_gap: Span::ZERO,
        waited: Span::ZERO,
        waiter: placement::DispatchId { host: 1, number: 7 },
        zone: &zone,
        avoid: &[],
        backoffs: &[],
        hints: &[],
        random: 7,
        identity: None,
        prefixes: &[],
        urgency: 0,
        customer: None,
        eligibility: &routing::Eligibility::default(),
        homes: &routing::Homes::default(),
    };
    let now = Moment::from_millis(10);
    placer.record_unreachable(&id::Upstream::from("e00"), now);
    assert_eq!(placer.place(&request, now).unwrap().primary.upstream.as_str(), "e01");
    let avoid = [id::Upstream::from("e01")];
    let again = placement::Request { avoid: &avoid, ..request };
    assert_eq!(placer.place(&again, now).unwrap().primary.upstream.as_str(), "e00");
}

/// The published profile predicts the prefill time of a prompt, and splitting it into parts keeps
/// the sum.
#[rstest]
#[case(5_000, 26.0)]
#[case(45_000, 358.0)]
#[case(133_000, 1_866.0)]
fn prefill_takes_as_long_as_published(#[case] prompt: u64, #[case] millis: f64) {
    assert!((profile().prefill_ms(prompt) - millis).abs() < 1.0);
    assert!((profile().part_ms(prompt, 4) * 4.0 - millis).abs() < 1.0);
}
