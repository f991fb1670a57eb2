//! Where requests go at the worst load: each test replays a load pattern on a [`Board`] and checks
//! what callers would get.
//!
//! [`Board`]: lagoonline::load::placement::Board

use std::collections;
use std::net;
use std::sync;

use lagoonline::clock::{Moment, Span};
use lagoonline::id;
use lagoonline::load::{pass, placement};
use lagoonline::routing;
use rstest::rstest;

const TIGHT: Span = Span::from_millis(250);
const LOOSE: Span = Span::from_millis(1_000);

fn pace() -> pass::Pace {
    pass::Pace { step_ms: 1.02, read_per_ms: 206.0, pairs_ms_per_m: 0.138, ..Default::default() }
}

fn entry(index: usize, zone: &str) -> routing::Registration {
    routing::Registration {
        upstream: id::Upstream::from(format!("e{index:02}")),
        service: id::Service::from("llm"),
        address: net::SocketAddr::from(([127, 0, 0, 1], 8_000 + index as u16)),
        zone: id::Zone::from(zone),
        slots: 16,
        leaving: false,
        born: 1,
    }
}

fn name(index: usize) -> id::Upstream {
    entry(index, "a").upstream
}

/// Engines in three zones, in turn.
fn board(engines: usize) -> placement::Board {
    let zones = ["a", "b", "c"];
    let entries: Vec<_> = (0..engines).map(|index| entry(index, zones[index % 3])).collect();
    let mut board = placement::Board::new(placement::Settings::default(), id::Zone::from("a"));
    board.set_upstreams(&entries, Some(pace()));
    board
}

/// Requests under way, by the order in which they were sent.
struct Day {
    board: placement::Board,
    now: Moment,
    number: u64,
}

impl Day {
    fn new(engines: usize) -> Day {
        Day { board: board(engines), now: Moment::from_millis(10), number: 0 }
    }

    fn pass(&mut self, millis: u64) {
        self.now = self.now + Span::from_millis(millis);
    }

    fn place(
        &mut self,
        prompt: u64,
        gap: Span,
        waited: u64,
    ) -> Result<placement::Placement, placement::Refusal> {
        let target = if gap == TIGHT { Span::from_millis(300) } else { Span::from_millis(2_500) };
        self.ask(&placement::Demand {
            prompt,
            target,
            gap,
            waited: Span::from_millis(waited),
            ..self.demand()
        })
    }

    /// A long prompt that has just arrived.
    fn demand(&self) -> placement::Demand<'static> {
        static ZONE: sync::LazyLock<id::Zone> = sync::LazyLock::new(|| id::Zone::from("a"));
        placement::Demand {
            prompt: 133_000,
            answer: 400,
            target: Span::from_millis(2_500),
            gap: LOOSE,
            waited: Span::ZERO,
            turn: placement::WorkId { host: 1, number: self.number },
            zone: &ZONE,
            avoid: &[],
            draw: self.number,
        }
    }

    fn ask(
        &mut self,
        demand: &placement::Demand<'_>,
    ) -> Result<placement::Placement, placement::Refusal> {
        self.board.place(demand, self.now)
    }

    /// Long prompts on all engines, as many as may be read at once.
    fn fill_with_reading(&mut self) {
        let mut sent = 0;
        while self.send(133_000, LOOSE).is_ok() {
            sent += 1;
            assert!(sent < 50, "no bound on what is read");
        }
    }

    /// Places a request and sends it there.
    fn send(
        &mut self,
        prompt: u64,
        gap: Span,
    ) -> Result<(placement::WorkId, placement::Placement), placement::Refusal> {
        let placed = self.place(prompt, gap, 0)?;
        self.number += 1;
        let id = placement::WorkId { host: 1, number: self.number };
        let until = self.now + Span::from_secs(10);
        let work = placement::Work::new(id, &placed, prompt, gap, until);
        self.board.begin(work, self.now);
        Ok((id, placed))
    }

    /// Another host sent a prompt to the engine `first`, which `helpers` help to read.
    fn begin_elsewhere(
        &mut self,
        first: usize,
        helpers: Vec<id::Upstream>,
        prompt: u64,
        gap: Span,
    ) -> placement::WorkId {
        self.number += 1;
        let id = placement::WorkId { host: 2, number: self.number };
        let work = placement::Work {
            id,
            first: name(first),
            helpers,
            prompt,
            held: Vec::new(),
            gap,
            until: self.now + Span::from_secs(10),
        };
        self.board.begin(work, self.now);
        id
    }

    /// Short answers under way on all engines, all of them writing.
    fn burst(&mut self, answers: usize) {
        for _ in 0..answers {
            let (id, _) = self.send(5_000, TIGHT).unwrap();
            self.board.first_token(id, self.now);
            self.pass(3);
        }
    }
}

fn engines(placed: &placement::Placement) -> collections::BTreeSet<&str> {
    let helpers = placed.helpers.iter().map(|helper| helper.entry.upstream.as_str());
    helpers.chain([placed.first.upstream.as_str()]).collect()
}

/// Long prompts come beside short ones. A long read in a pass delays every writer of its engine, so
/// a dossier's parts must not lie where short answers are written while other engines are free.
#[rstest]
fn long_reads_keep_away_from_short_answers() {
    let mut day = Day::new(18);
    let mut short = collections::BTreeSet::new();
    for _ in 0..20 {
        let (id, placed) = day.send(5_000, TIGHT).unwrap();
        short.insert(placed.first.upstream.to_string());
        day.pass(60);
        day.board.first_token(id, day.now);
    }
    assert!(short.len() <= 4, "short answers are spread over {short:?}");
    let placed = day.place(133_000, LOOSE, 0).unwrap();
    assert!(placed.helpers.len() >= 8, "read by {} engines only", placed.helpers.len() + 1);
    let both = engines(&placed).into_iter().filter(|name| short.contains(*name)).count();
    assert_eq!(both, 0, "parts are read where short answers are written");
}

/// A burst of short prompts follows one of long prompts. The long ones are read; their answers are
/// still written, each on an engine of its own, and bear long pauses. Kept apart for them, eight of
/// sixteen engines would write one answer each while the others have more than their places.
#[rstest]
fn a_burst_uses_engines_that_only_write_long_answers() {
    let mut day = Day::new(16);
    for _ in 0..8 {
        let (id, _) = day.send(100_000, LOOSE).unwrap();
        day.pass(100);
        day.board.first_token(id, day.now);
    }
    day.pass(4_000);
    let mut short: collections::BTreeMap<String, usize> = collections::BTreeMap::new();
    for _ in 0..150 {
        let (id, placed) = day.send(5_000, TIGHT).unwrap();
        day.pass(10);
        day.board.first_token(id, day.now);
        *short.entry(placed.first.upstream.to_string()).or_default() += 1;
    }
    assert!(short.len() >= 13, "150 short answers on {} of 16 engines: {short:?}", short.len());
    assert!(short.values().all(|answers| *answers <= 16), "beyond its places: {short:?}");
}

/// A host starts while others have requests under way. It is told of each, and of some twice: by
/// the list when they meet and by themselves. Each counts once; when that host starts again, what
/// it had under way is gone with its connections.
#[rstest]
fn what_a_host_has_under_way_can_be_told() {
    let mut day = Day::new(3);
    day.burst(20);
    let of_first = |host| host == 1;
    let told: Vec<_> = day.board.under_way(of_first).map(|(work, _)| work.clone()).collect();
    assert_eq!(told.len(), 20);
    assert!(day.board.under_way(of_first).all(|(_, read)| read));
    assert_eq!(day.board.under_way(|host| host == 2).count(), 0);
    let mut board = board(3);
    for work in told.iter().chain(&told) {
        board.begin(work.clone(), day.now);
    }
    assert_eq!(board.works(), 20);
    for work in &told[..5] {
        board.end(work.id, day.now);
    }
    assert_eq!(board.works(), 15);
    board.keep_only(1, &collections::HashSet::new(), day.now, day.now);
    assert_eq!(board.works(), 0);
}

/// A fleet of `engines` with `slots` places each.
fn day_with_slots(engines: usize, slots: u32) -> Day {
    let entries: Vec<_> =
        (0..engines).map(|index| routing::Registration { slots, ..entry(index, "a") }).collect();
    let mut day = Day::new(1);
    day.board = placement::Board::new(placement::Settings::default(), id::Zone::from("a"));
    day.board.set_upstreams(&entries, Some(pass::Pace { slots, ..pace() }));
    day
}

/// The mix turns to short prompts while long ones are still read. Of the engines kept for short
/// answers one has a place but no memory, the others have all places taken. A newcomer waits for an
/// answer's time behind those; on an idle engine of the other side it is in time.
#[rstest]
fn a_short_prompt_goes_where_it_has_a_place() {
    let mut day = day_with_slots(8, 4);
    let full = |day: &mut Day, first: usize, prompt: u64| {
        let id = day.begin_elsewhere(first, Vec::new(), prompt, TIGHT);
        day.board.first_token(id, day.now);
    };
    full(&mut day, 0, 210_000);
    for engine in 1..5 {
        for _ in 0..4 {
            full(&mut day, engine, 5_000);
        }
    }
    for _ in 0..8 {
        let (_, placed) = day.send(5_000, TIGHT).unwrap();
        assert!(placed.first.upstream.as_str() >= "e05", "sent to {}", placed.first.upstream);
        day.pass(30);
    }
}

/// Prompts that are each read by sixteen engines come faster than one is read. Parts for others are
/// read ahead of an engine's own: behind a row of them, an engine's own part is the last of its
/// prompt, and all others have waited for it. So parts go to engines that have no prompt of their
/// own to read, though those have a little more of others' to read.
#[rstest]
fn engines_that_answer_long_prompts_are_not_asked_to_help() {
    let mut day = day_with_slots(32, 10);
    for first in 0..16 {
        day.begin_elsewhere(first, Vec::new(), 9_000, LOOSE);
    }
    day.begin_elsewhere(31, (16..31).map(name).collect(), 92_000, LOOSE);
    let placed = day.place(200_000, LOOSE, 400).unwrap();
    let answering = placed.helpers.iter().filter(|helper| helper.entry.upstream < name(16));
    assert!(answering.count() <= 1, "{placed:?}");
}

/// Long prompts come one after the other; their answers bear long pauses. An engine makes all steps
/// of a pass for one answer as for ten, so twenty answers on twenty engines would halve the time in
/// which those read for others. They are written by few engines, as far as memory allows.
#[rstest]
fn answers_with_long_pauses_are_written_by_few_engines() {
    let mut day = day_with_slots(60, 10);
    let mut firsts = collections::BTreeSet::new();
    for _ in 0..20 {
        let (id, placed) = day.send(20_000, LOOSE).unwrap();
        firsts.insert(placed.first.upstream.to_string());
        day.pass(60);
        day.board.first_token(id, day.now);
    }
    assert!(firsts.len() <= 6, "written by {firsts:?}");
}

/// Two prompts are read by sixteen engines each and should both be read by now; only the first one's
/// caller has a token. The engines of the other have fallen behind, and the next prompt's parts go
/// elsewhere.
#[rstest]
fn engines_that_fall_behind_get_fewer_parts() {
    let mut day = day_with_slots(50, 10);
    let (done, _) = day.send(150_000, LOOSE).unwrap();
    let (_, behind) = day.send(150_000, LOOSE).unwrap();
    day.pass(400);
    day.board.first_token(done, day.now);
    day.board.end(done, day.now);
    let next = day.place(150_000, LOOSE, 0).unwrap();
    let both = engines(&next).intersection(&engines(&behind)).count();
    assert_eq!(both, 0, "{both} parts on engines that have fallen behind");
}

/// A hundred engines have seconds of long prompts to read, ninety have nothing. A long prompt that
/// sixteen engines can read at once is sent at once: it does not wait for the average to fall.
#[rstest]
fn idle_engines_are_used_while_others_are_behind() {
    let mut day = day_with_slots(190, 10);
    for first in 0..100 {
        day.begin_elsewhere(first, Vec::new(), 180_000, LOOSE);
    }
    let placed = day.place(250_000, LOOSE, 0).expect("sent at once");
    assert!(placed.expected < Span::from_secs(1), "expected after {:?}", placed.expected);
}

/// Engines of few and of many places, short prompts only, as many as fill half of all places: no
/// engine gets more than its places, whatever their number.
#[rstest]
#[case(16, 4)]
#[case(30, 10)]
#[case(195, 10)]
#[case(18, 16)]
#[case(16, 32)]
fn short_answers_are_planned_by_places(#[case] engines: usize, #[case] slots: u32) {
    let mut day = day_with_slots(engines, slots);
    let mut taken = collections::BTreeMap::<String, u32>::new();
    for _ in 0..engines * slots as usize / 2 {
        let (id, placed) = day.send(2_000, TIGHT).unwrap();
        day.pass(12);
        day.board.first_token(id, day.now);
        *taken.entry(placed.first.upstream.to_string()).or_default() += 1;
    }
    assert!(taken.values().all(|answers| *answers <= slots), "beyond {slots} places: {taken:?}");
}

/// The word that a request ended is lost. Its place would count as taken until its caller's time is
/// over; the host's next list of all that it has under way gives it back. What this host heard of
/// after that list may have been sent is kept: the list was on its way when it began.
#[rstest]
fn what_is_no_longer_under_way_is_forgotten() {
    let mut day = Day::new(3);
    day.burst(5);
    let before = day.now;
    day.pass(50);
    let (late, _) = day.send(5_000, TIGHT).unwrap();
    let still = [1, 2].into();
    let over = day.board.keep_only(1, &still, before, day.now);
    let numbers: collections::BTreeSet<_> = over.iter().map(|id| id.number).collect();
    assert_eq!(numbers, [3, 4, 5].into());
    let left: collections::BTreeSet<_> =
        day.board.under_way(|_| true).map(|(work, _)| work.id.number).collect();
    assert_eq!(left, [1, 2, late.number].into());
    assert!(day.board.keep_only(2, &still, day.now, day.now).is_empty());
}

/// A quarter of the engines turns four times slower, and reports it. Short prompts sent there would
/// be late, and so would each long prompt of which one reads a part: neither goes there. Once that
/// report is old they are tried again, and while no other engine is left they serve all the same.
#[rstest]
fn slow_engines_get_nothing_new() {
    let mut day = Day::new(16);
    let slow = ["e00", "e05", "e10", "e15"];
    let tell = |day: &mut Day, names: &[&str]| {
        for name in names {
            day.board.set_slowness(&id::Upstream::from(*name), 4.0, day.now);
        }
    };
    tell(&mut day, &slow);
    for _ in 0..40 {
        let (id, placed) = day.send(5_000, TIGHT).unwrap();
        assert!(!slow.contains(&placed.first.upstream.as_str()), "a short prompt on a slow engine");
        day.pass(20);
        day.board.first_token(id, day.now);
    }
    let placed = day.place(133_000, LOOSE, 0).unwrap();
    assert!(engines(&placed).iter().all(|name| !slow.contains(name)), "a part on a slow engine");
    // Twelve engines are left, four of them for the short answers.
    assert!(placed.helpers.len() >= 7, "read by {} engines only", placed.helpers.len() + 1);
    day.pass(3_100);
    let placed = day.place(600_000, LOOSE, 0).unwrap();
    assert!(engines(&placed).iter().any(|name| slow.contains(name)), "never tried again");
    let all: Vec<_> = (0..16).map(|index| format!("e{index:02}")).collect();
    tell(&mut day, &all.iter().map(String::as_str).collect::<Vec<_>>());
    assert!(day.place(5_000, TIGHT, 0).is_ok());
}

/// The log of a dispatch tells what was believed of the engine that got it and of the next best.
#[rstest]
fn a_placement_tells_what_was_believed() {
    let mut day = Day::new(6);
    day.burst(13);
    let placed = day.place(5_000, TIGHT, 0).unwrap();
    let next = placed.next.unwrap();
    assert!(placed.belief.places <= next.places + 11, "{placed:?}");
    assert_eq!(placed.belief.writers as usize, placed.belief.places);
}

/// One prompt of several engines' memory comes in a burst of short ones. Read at once it would stop
/// every engine for 1.7 s: hundreds of answers late for one. It waits, and then is asked to come
/// back; when the burst is over it is served.
#[rstest]
fn a_giant_does_not_stop_a_burst() {
    let mut day = Day::new(18);
    day.burst(200);
    assert!(matches!(day.place(600_000, LOOSE, 0), Err(placement::Refusal::Busy(_))));
    let patience = day.place(600_000, LOOSE, 6_000);
    assert!(matches!(patience, Err(placement::Refusal::Full(..))), "{patience:?}");
    day.pass(11_000);
    day.board.expire(day.now);
    assert!(day.place(600_000, LOOSE, 0).is_ok());
}

/// A prompt larger than any engine is held by several: what is reserved and the first engine's own
/// memory cover it.
#[rstest]
#[case(300_000)]
#[case(600_000)]
fn memory_of_several_engines_holds_a_large_prompt(#[case] prompt: u64) {
    let mut day = Day::new(18);
    let placed = day.place(prompt, LOOSE, 0).unwrap();
    let held: u64 = placed.helpers.iter().map(|helper| helper.reserve).sum();
    assert!(held > 0 && held + placed.reserve >= prompt, "{held} + {}", placed.reserve);
    assert!(placed.reserve <= pace().memory_tokens);
    assert!(placed.helpers.iter().all(|helper| helper.reserve <= pace().memory_tokens));
    assert!(placed.helpers.len() <= 15);
}

/// Two dossiers do not fit into one engine. The second must go elsewhere, or it waits in the engine
/// for seconds until the first has ended.
#[rstest]
fn two_long_prompts_do_not_share_an_engine() {
    let mut day = Day::new(6);
    let (_, one) = day.send(130_000, LOOSE).unwrap();
    day.pass(2_000);
    let (_, two) = day.send(130_000, LOOSE).unwrap();
    assert!(one.reserve > 0 && two.reserve > 0);
    assert_ne!(one.first.upstream, two.first.upstream);
}

/// Short prompts come faster than engines write. Once every place is taken the next ones wait for
/// a moment and are then refused with a time to come back; queued in the engines, all would be
/// late.
#[rstest]
fn short_prompts_beyond_all_places_are_refused() {
    let mut day = Day::new(3);
    day.burst(48);
    let no_place = placement::Shortage::Place;
    assert_eq!(day.place(5_000, TIGHT, 0), Err(placement::Refusal::Busy(no_place)));
    let Err(placement::Refusal::Full(_, span)) = day.place(5_000, TIGHT, 200) else {
        panic!("not refused");
    };
    assert!(span > Span::from_millis(500) && span < Span::from_secs(5), "come back in {span:?}");
}

/// A burst of dossiers. What engines have to read is bounded, so a large one waits at its host while
/// a smaller one, which earns more for its time, still goes; the bound ends with its patience.
#[rstest]
fn a_backlog_lets_small_prompts_pass_large_ones() {
    let mut day = Day::new(18);
    let mut sent = 0;
    while day.send(133_000, LOOSE).is_ok() {
        sent += 1;
        assert!(sent < 50, "no bound on what is read");
    }
    day.pass(60);
    let reading = placement::Shortage::Reading;
    assert_eq!(day.place(350_000, LOOSE, 0), Err(placement::Refusal::Busy(reading)));
    assert!(day.place(40_000, LOOSE, 0).is_ok());
    day.pass(1_500);
    assert!(day.place(133_000, LOOSE, 0).is_ok());
}

/// Guards against holding a prompt that cannot be in time behind those that wait at the hosts.
#[rstest]
#[case::one_decider(1, 60)]
#[case::many_deciders(12, 5)]
fn a_prompt_behind_a_long_queue_is_refused_at_once(#[case] deciders: usize, #[case] most: u64) {
    let mut day = Day::new(18);
    day.fill_with_reading();
    let arrive = |day: &mut Day, number: u64| {
        let turn = placement::WorkId { host: 1, number: 1_000 + number };
        let demand = placement::Demand { turn, ..day.demand() };
        day.ask(&demand)
    };
    let reading = placement::Shortage::Reading;
    assert_eq!(arrive(&mut day, 0), Err(placement::Refusal::Busy(reading)));
    day.board.set_deciders(deciders);
    let refused = (1..=most).find_map(|number| match arrive(&mut day, number) {
        Err(placement::Refusal::Full(_, span)) => Some(span),
        _ => None,
    });
    let span = refused.unwrap_or_else(|| panic!("{most} prompts wait at each host"));
    assert!(span > Span::from_millis(1_500) && span < Span::from_secs(8), "back in {span:?}");
    day.pass(300);
    assert!(arrive(&mut day, most + 1).is_ok(), "prompts whose callers left count as waiting");
}

/// Guards against holding a prompt whose time to the first token is over.
#[rstest]
fn a_prompt_that_can_no_longer_be_in_time_is_refused() {
    let mut day = Day::new(18);
    day.fill_with_reading();
    let late = placement::Demand {
        target: Span::from_millis(50),
        waited: Span::from_millis(100),
        ..day.demand()
    };
    let refused = day.ask(&late);
    assert!(matches!(refused, Err(placement::Refusal::Full(..))), "{refused:?}");
}

/// A zone is cut off: two of its engines cannot be reached. Its others are passed over without a
/// trial of each, and prompts are read on this side of the cut; when one answers again they are
/// back.
#[rstest]
fn a_cut_zone_is_passed_over() {
    let mut day = Day::new(18);
    for name in ["e01", "e04"] {
        day.board.suspect(&id::Upstream::from(name), day.now);
    }
    let zone_of = |name: &str| name[1..].parse::<usize>().unwrap() % 3;
    let placed = day.place(133_000, LOOSE, 0).unwrap();
    assert!(engines(&placed).into_iter().all(|name| zone_of(name) != 1));
    day.pass(700);
    for name in ["e07", "e01", "e04"] {
        day.board.answered(&id::Upstream::from(name), day.now);
    }
    let placed = day.place(133_000, LOOSE, 0).unwrap();
    assert!(engines(&placed).into_iter().any(|name| zone_of(name) == 1));
}

/// Two zones cannot reach each other, though this host, in a third, reaches both. A prompt whose
/// first engine is in one of them is not read in the other: it would be refused.
#[rstest]
fn helpers_are_within_reach_of_the_first_engine() {
    let mut day = Day::new(18);
    for (first, helper) in [("e01", "e02"), ("e04", "e05")] {
        let (first, helper) = (id::Upstream::from(first), id::Upstream::from(helper));
        day.board.helper_failed(&first, &helper, day.now);
    }
    let near: Vec<_> = (0..18).step_by(3).map(|index| entry(index, "a").upstream).collect();
    let demand = placement::Demand { avoid: &near, draw: 3, ..day.demand() };
    let placed = day.board.place(&demand, day.now).unwrap();
    let zones: collections::BTreeSet<&str> = placed
        .helpers
        .iter()
        .map(|helper| helper.entry.zone.as_str())
        .chain([placed.first.zone.as_str()])
        .collect();
    assert!(!(zones.contains("b") && zones.contains("c")), "read in {zones:?}");
}

/// A host fell silent and its words of the end are lost. What it had under way is forgotten when it
/// must be over, or its engines would look busy for ever.
#[rstest]
fn what_must_be_over_is_forgotten() {
    let mut day = Day::new(3);
    day.burst(30);
    day.pass(11_000);
    day.board.expire(day.now);
    assert_eq!(day.board.works(), 0);
}

/// An engine answers every request at once with an error, though its health check is good. It is
/// always the least busy one, so it would get most requests and fail them; it must get few, and be
/// tried again once it may work again.
#[rstest]
fn an_engine_that_errs_is_not_preferred() {
    let mut day = Day::new(9);
    let bad = id::Upstream::from("e00");
    let mut failed = 0;
    let mut writing = collections::VecDeque::new();
    for _ in 0..200 {
        if writing.len() > 40 {
            day.board.end(writing.pop_front().unwrap(), day.now);
        }
        let (id, placed) = day.send(5_000, TIGHT).unwrap();
        day.pass(10);
        if placed.first.upstream == bad {
            failed += 1;
            day.board.erred(&bad, day.now);
            day.board.end(id, day.now);
        } else {
            day.board.first_token(id, day.now);
            day.board.answered(&placed.first.upstream, day.now);
            writing.push_back(id);
        }
    }
    assert!(failed <= 10, "{failed} of 200 requests went to the engine that fails them");
    day.pass(11_000);
    day.board.expire(day.now);
    let tried = (0..40).any(|_| {
        let (_, placed) = day.send(5_000, TIGHT).unwrap();
        placed.first.upstream == bad
    });
    assert!(tried, "never tried again");
}

/// Plain services: the least used replica is chosen, one that failed is passed over while another
/// is left, and one that leaves gets nothing.
#[rstest]
fn calls_go_to_the_least_used_replica() {
    let mut board = placement::Board::new(placement::Settings::default(), id::Zone::from("a"));
    let mut entries: Vec<_> = (0..3).map(|index| entry(index, "a")).collect();
    entries[2].leaving = true;
    board.set_upstreams(&entries, None);
    let zone = id::Zone::from("a");
    let demand = placement::Demand {
        prompt: 0,
        answer: 0,
        target: Span::from_millis(200),
        gap: Span::ZERO,
        waited: Span::ZERO,
        turn: placement::WorkId { host: 1, number: 7 },
        zone: &zone,
        avoid: &[],
        draw: 7,
    };
    let now = Moment::from_millis(10);
    board.suspect(&id::Upstream::from("e00"), now);
    assert_eq!(board.place(&demand, now).unwrap().first.upstream.as_str(), "e01");
    let avoid = [id::Upstream::from("e01")];
    let again = placement::Demand { avoid: &avoid, ..demand };
    assert_eq!(board.place(&again, now).unwrap().first.upstream.as_str(), "e00");
}

/// The published pace predicts a pass: steps of all writers, and the reads that wait for it.
#[rstest]
#[case(5_000, 26.0)]
#[case(45_000, 358.0)]
#[case(133_000, 1_866.0)]
fn reading_takes_as_long_as_published(#[case] prompt: u64, #[case] millis: f64) {
    assert!((pace().read_ms(prompt) - millis).abs() < 1.0);
    assert!((pace().part_ms(prompt, 4) * 4.0 - millis).abs() < 1.0);
}
