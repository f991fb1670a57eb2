//! Cached prefixes in the decisions of the scheduler: when a hit is taken, what ends the belief in
//! it, and how much is remembered.

use std::collections;
use std::sync;

use lagoonline::clock::{Moment, Span};
use lagoonline::control::document;
use lagoonline::load::prefix::{self, Found, Hit, Location, Map, Memory};
use lagoonline::load::{self, Ending, Placement, Scheduler, Verdict};
use lagoonline::port::engine;
use lagoonline::{id, view};
use rstest::rstest;

/// Prompt tokens that an engine prefills per second.
const RATE: f64 = 20_000.0;
const KV_TOKENS: u64 = 400_000;
const PROMPT: u64 = 3_000;
const CACHED: u64 = 2_000;
const SHARED: (u64, u64) = (77, CACHED);

fn fleet(engines: usize) -> view::Shared {
    let mut fleet = view::Fleet::default();
    for index in 0..engines {
        let entry = document::Upstream {
            serves: document::Serves::Models(vec![id::Model::from("m")]),
            slots: 64,
            kv_tokens: KV_TOKENS,
            prefill_rate: RATE,
            ..document::Upstream::default()
        };
        let name = id::Upstream::from(format!("e{index}"));
        fleet.upstreams.push(view::Upstream { name, team: id::Team::from("t"), entry });
    }
    sync::Arc::new(fleet)
}

/// A scheduler with a clock, and requests with the shared prefix.
struct Bench {
    scheduler: Scheduler,
    now: Moment,
}

impl Bench {
    fn new(engines: usize, settings: load::Settings) -> Bench {
        let mut scheduler = Scheduler::new(settings);
        scheduler.set_fleet(Moment::START, &fleet(engines), &id::Model::from("m"));
        Bench { scheduler, now: Moment::from_millis(10) }
    }

    fn advance(&mut self, millis: u64) {
        self.now = self.now + Span::from_millis(millis);
    }

    fn send(&mut self, prompt_tokens: u64, prefixes: &[(u64, u64)]) -> Placement {
        let request = load::Request {
            customer: id::Customer::from("c"),
            team: id::Team::from("t"),
            weight: 1,
            model: id::Model::from("m"),
            prompt_tokens,
            answer_tokens: 8,
            bytes: prompt_tokens * 4,
            arrived: self.now,
            deadline: self.now + Span::from_secs(600),
            prefixes: prefixes.to_vec(),
        };
        let verdict = self.scheduler.offer(self.now, request);
        let Verdict::Dispatch(placement) = verdict else { panic!("{verdict:?}") };
        placement
    }

    fn finish(&mut self, placement: &Placement, prompt_tokens: u64, cached_tokens: u64) {
        self.scheduler.record_first_token(self.now, placement.ticket);
        let ending = Ending::Done { prompt_tokens, cached_tokens, answer_tokens: 8 };
        self.scheduler.finish(self.now, placement.ticket, ending);
    }

    /// Sends the shared prefix once, so that one engine has it cached, and lets the engines become
    /// idle.
    fn warm(&mut self) -> id::Upstream {
        let placement = self.send(PROMPT, &[SHARED]);
        self.advance(200);
        self.finish(&placement, PROMPT, 0);
        self.advance(5_000);
        placement.upstream
    }

    /// Reports `prefill_tokens` of other hosts on the engine, and `kv_used` tokens in use there.
    fn report(&mut self, upstream: &id::Upstream, prefill_tokens: u64, incarnation: u64) {
        let load = engine::LoadReport {
            prefill_tokens,
            kv_tokens: KV_TOKENS,
            kv_free_tokens: KV_TOKENS,
            prefill_rate: RATE,
            incarnation,
            ..engine::LoadReport::default()
        };
        self.scheduler.observe(self.now, upstream, &load);
    }

    fn expects_hit(&mut self) -> bool {
        self.send(PROMPT, &[SHARED]).cached_tokens > 0
    }
}

/// Settings with which no prompt waits at the host, so that every decision is a choice of engine.
fn settings() -> load::Settings {
    load::Settings { ahead: Span::from_secs(60), ..load::Settings::default() }
}

fn bench(engines: usize) -> Bench {
    Bench::new(engines, settings())
}

/// Guards against a hit that ignores the queue, and against a queue that outweighs every hit. The
/// cached tokens save 100 ms; the wait at their engine is less or more than that.
#[rstest]
#[case::wait_below_the_saving(1_000, true)]
#[case::wait_above_the_saving(2_500, false)]
fn a_hit_is_taken_while_the_wait_is_shorter_than_the_saving(
    #[case] queued: u64,
    #[case] taken: bool,
) {
    let mut bench = bench(6);
    let warm = bench.warm();
    bench.report(&warm, queued, 1);
    let placement = bench.send(PROMPT, &[SHARED]);
    assert_eq!(placement.upstream == warm, taken, "{placement:?}");
}

/// Guards against a hit on an engine that may not be used: one that leaves keeps its memory until
/// it has gone.
#[rstest]
fn a_hit_does_not_beat_an_exclusion() {
    let mut bench = bench(3);
    let warm = bench.warm();
    bench.scheduler.set_leaving(bench.now, &warm, true);
    let placement = bench.send(PROMPT, &[SHARED]);
    assert_ne!(placement.upstream, warm);
}

/// Guards against a belief that outlives the process: an engine that starts anew has an empty
/// memory.
#[rstest]
fn a_new_lifetime_ends_the_belief() {
    let mut bench = bench(1);
    let warm = bench.warm();
    bench.report(&warm, 0, 1);
    assert!(bench.expects_hit());
    bench.report(&warm, 0, 2);
    assert!(!bench.expects_hit());
}

/// Guards against a belief that outlives the engine's memory. Other prompts have needed more of it
/// since than there is; with less of them the prefix is still there.
#[rstest]
#[case::fits(300_000, true)]
#[case::evicted(390_000, false)]
fn memory_needed_for_others_ends_the_belief(#[case] others: u64, #[case] held: bool) {
    let mut bench = bench(1);
    bench.warm();
    for _ in 0..others / 10_000 {
        let other = bench.send(10_000, &[]);
        bench.advance(600);
        bench.finish(&other, 10_000, 0);
    }
    assert_eq!(bench.expects_hit(), held);
}

/// Guards against a host that takes its own prompts for all there are: with four hosts in the zone
/// the engine's memory is needed four times as soon.
#[rstest]
fn other_hosts_use_the_same_memory() {
    let settings = load::Settings { hosts_in_zone: 4, ..settings() };
    let mut bench = Bench::new(1, settings);
    bench.warm();
    for _ in 0..12 {
        let other = bench.send(10_000, &[]);
        bench.advance(600);
        bench.finish(&other, 10_000, 0);
    }
    assert!(!bench.expects_hit());
}

/// Guards against a belief without end at a host that sends little: what other hosts send there
/// since is unknown.
#[rstest]
fn time_ends_the_belief() {
    let max_age = load::Settings::default().prefixes.max_age;
    let mut bench = bench(1);
    bench.warm();
    bench.now = bench.now + max_age;
    assert!(!bench.expects_hit());
}

/// Guards against believing against the engine's word. An answer that found nothing shows that the
/// prefix had been evicted, and with it what was used before it, but not what was used later.
#[rstest]
fn an_answer_without_cached_tokens_ends_the_belief() {
    let (older, newer) = ((78, CACHED), (79, CACHED));
    let mut bench = bench(1);
    for prefix in [older, SHARED, newer] {
        let placement = bench.send(PROMPT, &[prefix]);
        bench.advance(500);
        bench.finish(&placement, PROMPT, 0);
    }
    let wrong = bench.send(PROMPT, &[SHARED]);
    assert_eq!(wrong.cached_tokens, CACHED);
    bench.finish(&wrong, PROMPT, 0);
    assert_eq!(bench.send(PROMPT, &[older]).cached_tokens, 0);
    assert_eq!(bench.send(PROMPT, &[newer]).cached_tokens, CACHED);
    assert_eq!(bench.send(PROMPT, &[SHARED]).cached_tokens, CACHED, "prefilled by that answer");
}

/// Guards against ending beliefs by errors of the token estimate: lengths are estimated from bytes,
/// and the engine counts a tenth fewer tokens of both the prompt and its prefix.
#[rstest]
fn a_smaller_token_count_is_no_miss() {
    let settings = prefix::Settings::default();
    let mut memory = Memory::default();
    let location = memory.record_use(1, PROMPT, Moment::START);
    let hit = Hit { location, tokens: CACHED };
    let found = |cached_tokens| Found {
        estimated_tokens: PROMPT,
        prompt_tokens: PROMPT * 9 / 10,
        cached_tokens,
    };
    assert!(!memory.record_found(&hit, found(CACHED * 9 / 10), &settings));
    assert!(memory.holds(&location, KV_TOKENS, &settings, Moment::START));
    assert!(memory.record_found(&hit, found(CACHED / 2), &settings));
}

/// Guards against a map that grows with every prompt, and against forgetting all prefixes at its
/// bound, after which every engine prefills the shared ones again. One prefix stays in use.
#[rstest]
fn the_map_evicts_the_oldest_prefix() {
    let mut map = Map::new(100);
    let location = Location { engine: 1, ..Location::default() };
    for prefix in 0..10_000 {
        map.insert(prefix, location);
        map.insert(1_000_000, location);
        assert!(map.len() <= 100, "{} prefixes", map.len());
    }
    let held = |prefix: u64| map.holders(prefix)[0].is_some();
    assert!(held(1_000_000), "a prefix in use was evicted");
    assert!((9_901..10_000).all(held), "more than the oldest were evicted");
    assert!(!(0..9_901).any(held));
}

/// Guards against a shorter prefix that is forgotten before a longer one of the same prompt: the
/// longest known prefix is found by binary search.
#[rstest]
fn longer_prefixes_are_forgotten_first() {
    let mut map = Map::new(2);
    let prefixes = [(1, 100), (2, 200), (3, 300)];
    map.insert_all(&prefixes, Location { engine: 1, ..Location::default() });
    assert_eq!([1, 2, 3].map(|prefix| map.holders(prefix)[0].is_some()), [true, true, false]);
}

/// Guards against a herd: 24 prompts with one prefix arrive at once, and one of six engines has it.
/// That engine gets more of them than any other, but they do not queue there while others are idle.
#[rstest]
fn a_herd_with_one_prefix_spreads() {
    let mut bench = bench(6);
    let warm = bench.warm();
    let mut sent: collections::BTreeMap<id::Upstream, u32> = collections::BTreeMap::new();
    for _ in 0..24 {
        *sent.entry(bench.send(PROMPT, &[SHARED]).upstream).or_default() += 1;
    }
    assert_eq!(sent.len(), 6, "{sent:?}");
    let others = || sent.iter().filter(|(name, _)| **name != warm).map(|(_, sent)| *sent);
    assert!(others().all(|other| other < sent[&warm]), "the hit saves nothing: {sent:?}");
    assert!(sent[&warm] <= 12, "half of the herd queues at one engine: {sent:?}");
}

/// Guards against an effect of prefixes where affinity is off: with and without prefixes, all
/// decisions are the same to the digit.
#[rstest]
fn nothing_changes_when_affinity_is_off() {
    let safeguards = load::Safeguards { affinity: false, ..load::Safeguards::default() };
    let decisions = |prefixes: &[(u64, u64)]| {
        let settings = load::Settings { safeguards, ..settings() };
        let mut bench = Bench::new(6, settings);
        let mut placements = Vec::new();
        for round in 0..40 {
            let placement = bench.send(PROMPT + round, prefixes);
            bench.advance(30);
            if round % 3 == 0 {
                bench.finish(&placement, PROMPT + round, 0);
            }
            placements.push(placement);
        }
        placements
    };
    assert_eq!(decisions(&[SHARED]), decisions(&[]));
}
