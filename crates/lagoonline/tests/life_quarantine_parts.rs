//! Prompts with a part that crashes upstreams must be refused, and no others.

use lagoonline::clock::{Moment, Span};
use lagoonline::id::{Customer, Part, Upstream};
use lagoonline::lifecycle::fingerprint::Fingerprint;
use lagoonline::lifecycle::quarantine::{
    Pattern, Prompt, Quarantine, Settings, Status, Suspect, Weight,
};
use rstest::rstest;

/// Time between two crashes, longer than other hosts need to report.
const CRASH_INTERVAL: Span = Span::from_millis(400);
/// Time after which a crash counts against a part that was sound before.
const SOUND_SETTLE_TIME: Span = Span::from_millis(1_000);

fn prompt_of(customer: &str, parts: &[&str]) -> Prompt {
    let parts = parts.iter().map(|part| Part::from(*part)).collect();
    Prompt { customer: Customer::from(customer), parts }
}

fn prompt(parts: &[&str]) -> Prompt {
    prompt_of("acme", parts)
}

/// A quarantine and its current time. Each prompt that crashes an upstream has a body of its own.
struct World {
    quarantine: Quarantine,
    now: Moment,
    crashes: usize,
}

impl World {
    fn new() -> World {
        World { quarantine: Quarantine::default(), now: Moment::START, crashes: 0 }
    }

    /// Crashes the next upstream under new requests, the first of which had just begun.
    fn crash(&mut self, prompts: &[Prompt]) {
        let bodies: Vec<_> =
            (0..prompts.len()).map(|number| format!("{} {number}", self.crashes)).collect();
        self.crash_under(&bodies, prompts);
    }

    fn crash_under(&mut self, bodies: &[String], prompts: &[Prompt]) {
        self.crashes += 1;
        let upstream = Upstream::from(format!("e{}", self.crashes));
        let suspects = prompts.iter().zip(bodies).enumerate().map(|(number, (prompt, body))| {
            let weight = if number == 0 { Weight::Begun } else { Weight::Started };
            let fingerprint = Fingerprint::new(prompt.customer.as_str(), "/a", body.as_bytes());
            Suspect { fingerprint, weight, prompt: prompt.clone() }
        });
        self.quarantine.record_crash(&upstream, &suspects.collect::<Vec<_>>(), self.now);
    }

    fn advance(&mut self, span: Span) {
        self.now = self.now + span;
        self.quarantine.expire(self.now);
        self.quarantine.evaluate(self.now);
    }

    fn crash_separately(&mut self, crashes: &[&[Prompt]]) {
        for prompts in crashes {
            self.crash(prompts);
            self.advance(CRASH_INTERVAL);
        }
    }

    /// An answer to a prompt with `part` begins now and goes on.
    fn begin(&mut self, part: &str) -> bool {
        self.quarantine.record_begun(&Part::from(part), self.now)
    }

    fn refuses(&self, prompt: &Prompt) -> bool {
        matches!(self.quarantine.prompt_status(prompt, self.now), Status::Quarantined(_))
    }
}

/// Prompts that differ in all but one part must be refused after three crashes, and not earlier.
#[rstest]
#[case(2, false)]
#[case(3, true)]
fn three_crashes_are_proof(#[case] crashes: usize, #[case] is_refused: bool) {
    let mut world = World::new();
    for number in 0..crashes {
        let other = format!("b{number}");
        world.crash_separately(&[&[prompt(&["first", &other, "lethal"])]]);
        world.begin("first");
    }
    assert_eq!(world.refuses(&prompt(&["other", "lethal"])), is_refused);
    assert!(!world.refuses(&prompt(&["first", "b1"])));
}

/// The parts that the lethal one always came with must not be refused for it once an answer shows
/// that they are sound; until then only prompts with all of them are.
#[rstest]
fn parts_that_cannot_be_told_apart_are_refused_together() {
    let mut world = World::new();
    let lethal = prompt(&["first", "lethal"]);
    let crash: &[Prompt] = std::slice::from_ref(&lethal);
    world.crash_separately(&[crash, crash, crash]);
    assert!(world.refuses(&lethal));
    assert!(!world.refuses(&prompt(&["first", "b"])) && !world.refuses(&prompt(&["lethal", "b"])));
    world.begin("first");
    world.advance(CRASH_INTERVAL);
    assert!(!world.refuses(&prompt(&["first", "b"])) && world.refuses(&prompt(&["lethal", "b"])));
}

/// Popular parts that are at each crash beside the lethal one must not be refused.
#[rstest]
fn popular_parts_beside_a_lethal_one_are_not_refused() {
    let mut world = World::new();
    for _ in 0..8 {
        world.begin("popular");
        world.crash(&[prompt(&["first", "lethal"]), prompt(&["first", "popular"])]);
        world.begin("first");
        world.advance(CRASH_INTERVAL);
    }
    assert!(world.refuses(&prompt(&["lethal"])));
    assert!(!world.refuses(&prompt(&["first", "popular"])));
}

/// A part that was answered for long must be refused when it becomes lethal, and what it shares with
/// others must not.
#[rstest]
fn a_part_that_becomes_lethal_is_refused() {
    let mut world = World::new();
    for _ in 0..10 {
        world.begin("first");
        world.begin("turned");
        world.advance(CRASH_INTERVAL);
    }
    for _ in 0..3 {
        world.crash(&[prompt(&["first", "turned"])]);
        world.advance(CRASH_INTERVAL);
        world.begin("first");
    }
    world.advance(SOUND_SETTLE_TIME);
    assert!(world.refuses(&prompt(&["turned"])) && !world.refuses(&prompt(&["first"])));
}

/// An answer that begins after the crashes must end a wrong verdict, also at other hosts.
#[rstest]
fn an_answer_that_goes_on_ends_a_wrong_verdict() {
    let mut world = World::new();
    let crash = &[prompt(&["unlucky"])];
    world.crash_separately(&[crash, crash, crash]);
    let mut other = World::new();
    for record in world.quarantine.records(world.now).cloned().collect::<Vec<_>>() {
        other.quarantine.merge(record, other.now);
    }
    assert!(world.refuses(&prompt(&["unlucky"])) && other.refuses(&prompt(&["unlucky"])));
    assert!(world.begin("unlucky"), "other hosts must be told");
    let verdicts = world.quarantine.evaluate(world.now);
    other.quarantine.merge(verdicts[0].record.clone(), other.now);
    assert!(!world.refuses(&prompt(&["unlucky"])) && !other.refuses(&prompt(&["unlucky"])));
}

/// A verdict must not stand once another part explains its crashes and more.
#[rstest]
fn a_better_explanation_ends_a_wrong_verdict() {
    let mut world = World::new();
    // Three customers' prompts with both parts, so that a customer explains nothing.
    for customer in ["a", "b", "c"] {
        world.crash_separately(&[&[prompt_of(customer, &["beside", "lethal"])]]);
    }
    assert!(world.refuses(&prompt(&["beside", "lethal"])));
    let lethal = prompt(&["lethal", "other"]);
    world.crash_separately(&[std::slice::from_ref(&lethal)]);
    assert!(world.refuses(&lethal) && !world.refuses(&prompt(&["beside"])));
}

/// Two lethal parts at the same time must both be refused, and their common first part must not.
#[rstest]
fn two_lethal_parts_are_both_refused() {
    let mut world = World::new();
    for number in 0..12 {
        let part = if number % 2 == 0 { "one" } else { "two" };
        world.crash(&[prompt(&["first", part])]);
        world.advance(CRASH_INTERVAL);
        world.begin("first");
    }
    assert!(world.refuses(&prompt(&["one"])) && world.refuses(&prompt(&["two"])));
    assert!(!world.refuses(&prompt(&["first"])));
}

/// A lethal request that is sent again and again must not make its parts lethal.
#[rstest]
fn the_same_request_again_says_little_of_its_parts() {
    let mut world = World::new();
    for _ in 0..4 {
        world.crash_under(&["lethal body".to_owned()], &[prompt(&["sound"])]);
        world.advance(CRASH_INTERVAL);
    }
    let whole = Fingerprint::new("acme", "/a", b"lethal body");
    let status = world.quarantine.status(&whole, world.now);
    assert!(matches!(status, Status::Quarantined(_)));
    assert!(!world.refuses(&prompt(&["sound"])));
}

/// One customer must not get a part of others refused.
#[rstest]
fn crashes_of_one_customer_refuse_only_its_own_prompts() {
    let mut world = World::new();
    let crash = &[prompt_of("adversary", &["shared"])];
    world.crash_separately(&[crash, crash, crash, crash]);
    assert!(world.refuses(&prompt_of("adversary", &["shared"])));
    assert!(!world.refuses(&prompt_of("other", &["shared"])));
    world.crash_separately(&[&[prompt_of("other", &["shared"])]]);
    assert!(world.refuses(&prompt_of("third", &["shared"])));
}

/// Where many upstreams crash for other reasons, a part that is at a few of these crashes must not be
/// refused.
#[rstest]
fn a_part_at_a_few_of_many_crashes_is_not_refused() {
    let mut world = World::new();
    for _ in 0..4 {
        for number in 0..8 {
            let part = if number == 3 { "rare".to_owned() } else { format!("b{}", world.crashes) };
            world.crash(&[prompt(&[&part])]);
            world.advance(Span::from_millis(150));
        }
    }
    assert!(!world.refuses(&prompt(&["rare"])));
}

/// A rack that fails under a popular part must not count as several crashes.
#[rstest]
fn a_rack_that_goes_down_is_one_crash() {
    let mut world = World::new();
    for _ in 0..2 {
        for _ in 0..8 {
            world.crash(&[prompt(&["popular"])]);
        }
        world.advance(CRASH_INTERVAL);
    }
    assert!(!world.refuses(&prompt(&["popular"])));
}

/// A prompt that was at a crash must not be sent again at once if one of its parts was at another
/// one, and must be if not.
#[rstest]
fn a_prompt_with_a_suspected_part_waits_for_reports() {
    let mut world = World::new();
    let request = Fingerprint::new("acme", "/a", b"a body");
    let delay = |world: &World| world.quarantine.retry_delay(&request, &prompt(&["first", "new"]));
    world.begin("first");
    world.crash(&[prompt(&["first", "b"])]);
    assert_eq!(delay(&world), Span::ZERO);
    world.crash(&[prompt(&["first", "new"])]);
    assert_eq!(delay(&world), Settings::default().settle_time);
}

/// A released part must not be refused again for the crashes before, and must be for new ones.
#[rstest]
fn an_operator_can_release_a_part() {
    let mut world = World::new();
    let crash = &[prompt(&["lethal"])];
    world.crash_separately(&[crash, crash, crash]);
    let customer = Some(Customer::from("acme"));
    let pattern = Pattern { customer, parts: vec![Part::from("lethal")] };
    assert!(world.quarantine.release(&pattern.fingerprint(), world.now).is_some());
    world.advance(CRASH_INTERVAL);
    assert!(!world.refuses(&prompt(&["lethal"])));
    world.crash_separately(&[crash, crash, crash]);
    world.advance(SOUND_SETTLE_TIME);
    assert!(world.refuses(&prompt(&["lethal"])));
}

/// After a quarantine has expired one crash must be enough for the next.
#[rstest]
fn after_a_quarantine_one_crash_is_enough() {
    let mut world = World::new();
    let crash = &[prompt(&["lethal"])];
    world.crash_separately(&[crash, crash, crash]);
    world.advance(Settings::default().base_duration);
    assert!(!world.refuses(&prompt(&["lethal"])));
    world.crash_separately(&[crash]);
    assert!(world.refuses(&prompt(&["lethal"])));
}

/// After a quarantine of parts that could not be told apart one crash must not be enough against the
/// sound one.
#[rstest]
fn after_a_quarantine_of_two_parts_one_crash_proves_neither() {
    let mut world = World::new();
    let crash = &[prompt(&["first", "lethal"])];
    world.crash_separately(&[crash, crash, crash]);
    assert!(world.refuses(&prompt(&["first", "lethal"])));
    world.advance(Settings::default().base_duration);
    world.crash_separately(&[&[prompt(&["first"])]]);
    world.advance(SOUND_SETTLE_TIME);
    assert!(!world.refuses(&prompt(&["first"])));
}

/// Memory must stay bounded when callers crash upstreams with ever new parts.
#[rstest]
fn a_flood_of_parts_is_bounded() {
    let settings = Settings { max_part_crashes: 50, max_entries: 200, ..Settings::default() };
    let mut world = World { quarantine: Quarantine::new(settings), ..World::new() };
    for number in 0..400 {
        let parts: Vec<_> = (0..8).map(|part| format!("{number}-{part}")).collect();
        let parts: Vec<_> = parts.iter().map(String::as_str).collect();
        world.crash(&[prompt(&parts), prompt(&parts[..4])]);
        world.begin(&format!("sound {number}"));
        world.advance(Span::from_millis(1));
    }
    let kept = world.quarantine.doubted_parts(Moment::START, usize::MAX).len();
    assert!(kept <= 50 * 8, "{kept} parts");
    let begun = (0..400).filter(|number| {
        world.quarantine.begun_at(&Part::from(format!("sound {number}"))).is_some()
    });
    assert!(begun.count() <= 200);
}
