//! Order of waiting prompts under shortage: urgency, fairness among customers, and admission. Each
//! test replays a demand that the engines cannot serve on a [`Placer`].
//!
//! [`Placer`]: lagoonline::load::placement::Placer

mod placer_simulation;

use std::collections;

use lagoonline::clock::{Moment, Span};
use lagoonline::id;
use lagoonline::lifecycle::fingerprint::Fingerprint;
use lagoonline::load::placement;
use lagoonline::load::placement::{Refusal, Shortage};
use rstest::rstest;

use placer_simulation::{LOOSE, Simulation, TIGHT, placer, placer_with};

/// Mean duration of an answer in milliseconds.
const ANSWER_MS: u64 = 1_900;
/// Interval between two attempts of a waiting prompt in milliseconds.
const ATTEMPT_MS: u64 = 15;

/// Duration of the answer `number` in milliseconds: from half to one and a half of the mean.
fn answer_ms(number: u64) -> u64 {
    let draw = number.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32;
    ANSWER_MS / 2 + draw % ANSWER_MS
}

/// A prompt of a customer.
#[derive(Clone, Debug)]
struct Prompt {
    tokens: u64,
    gap: Span,
    target: Span,
    urgency: u32,
    customer: id::Customer,
    number: u64,
    arrived: Moment,
    identity: Option<Fingerprint>,
}

/// Counts of the prompts of one urgency and customer.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    asked: u32,
    served: u32,
    refused: u32,
}

/// Engines, the prompts that wait for them and the answers in flight.
struct World {
    sim: Simulation,
    waiting: Vec<Prompt>,
    answers: Vec<(Moment, placement::DispatchId)>,
    /// When first tokens are due.
    first_tokens: Vec<(Moment, placement::DispatchId)>,
    counts: collections::BTreeMap<(u32, String), Count>,
    /// Numbers of the prompts that were placed after they had waited.
    placed: collections::BTreeSet<u64>,
}

impl World {
    fn new(engines: usize) -> World {
        World {
            sim: Simulation::new(engines),
            waiting: Vec::new(),
            answers: Vec::new(),
            first_tokens: Vec::new(),
            counts: collections::BTreeMap::new(),
            placed: collections::BTreeSet::new(),
        }
    }

    /// A prompt that arrives now.
    fn prompt(&mut self, tokens: u64, urgency: u32, customer: &str) -> Prompt {
        self.sim.number += 1;
        let is_short = tokens < 25_000;
        Prompt {
            tokens,
            gap: if is_short { TIGHT } else { LOOSE },
            target: Span::from_millis(if is_short { 300 } else { 4_000 }),
            urgency,
            customer: id::Customer::from(customer),
            number: self.sim.number,
            arrived: self.sim.now,
            identity: None,
        }
    }

    /// A prompt that arrives now, whose identity the host has computed.
    fn known_prompt(&mut self, tokens: u64, urgency: u32, customer: &str) -> Prompt {
        let prompt = self.prompt(tokens, urgency, customer);
        let body = prompt.number.to_le_bytes();
        Prompt { identity: Some(Fingerprint::new(customer, "/talk/", &body)), ..prompt }
    }

    /// Tries to place a prompt, and records its dispatch.
    fn try_place(&mut self, prompt: &Prompt) -> Result<placement::DispatchId, Refusal> {
        let waited = self.sim.now.since(prompt.arrived);
        let request = placement::Request {
            prompt_tokens: prompt.tokens,
            target: prompt.target.saturating_sub(waited),
            max_gap: prompt.gap,
            waited,
            waiter: placement::DispatchId { host: 1, number: prompt.number },
            random: prompt.number.wrapping_mul(0x9E37_79B9_7F4A_7C15),
            identity: prompt.identity,
            urgency: prompt.urgency,
            customer: Some(&prompt.customer),
            ..self.sim.request()
        };
        let placed = self.sim.place_request(&request)?;
        self.sim.number += 1;
        let id = placement::DispatchId { host: 1, number: self.sim.number };
        let deadline = self.sim.now + Span::from_secs(30);
        let dispatch = placement::Dispatch::new(id, &placed, prompt.tokens, prompt.gap, deadline)
            .charged_to(prompt.urgency, placement::customer_number(Some(&prompt.customer)));
        self.sim.placer.record_dispatch(dispatch, self.sim.now);
        let answer_ms = placed.expected.as_millis() as u64 + answer_ms(self.sim.number);
        self.answers.push((self.sim.now + Span::from_millis(answer_ms), id));
        self.first_tokens.push((self.sim.now + placed.expected, id));
        Ok(id)
    }

    fn count(&mut self, prompt: &Prompt) -> &mut Count {
        self.counts.entry((prompt.urgency, prompt.customer.to_string())).or_default()
    }

    fn arrive(&mut self, prompt: Prompt) {
        self.count(&prompt).asked += 1;
        self.waiting.push(prompt);
    }

    /// Ends answers, and tries to place each waiting prompt once, the latest first: without an
    /// order they would get the slots.
    fn attempt_all(&mut self) {
        let now = self.sim.now;
        for (_, id) in self.first_tokens.extract_if(.., |(due, _)| *due <= now) {
            self.sim.placer.record_first_token(id, now);
        }
        for (_, id) in self.answers.extract_if(.., |(end, _)| *end <= now) {
            self.sim.placer.record_end(id, now);
        }
        let waiting = std::mem::take(&mut self.waiting);
        for prompt in waiting.into_iter().rev() {
            match self.try_place(&prompt) {
                Ok(_) => {
                    self.count(&prompt).served += 1;
                    self.placed.insert(prompt.number);
                }
                Err(Refusal::Deferred(_)) => self.waiting.push(prompt),
                Err(_) => self.count(&prompt).refused += 1,
            }
        }
        self.waiting.reverse();
    }

    /// Runs for `millis` with `demand`: prompts per second, their tokens, urgency and customer.
    fn run(&mut self, millis: u64, demand: &[(f64, u64, u32, &str)]) {
        let phase = |index: usize| (index as f64 + 0.5) / demand.len() as f64;
        let first = demand.iter().enumerate();
        let mut due: Vec<f64> =
            first.map(|(index, (rate, ..))| phase(index) * 1e3 / rate).collect();
        for at in (0..millis).step_by(ATTEMPT_MS as usize) {
            for (due, (rate, tokens, urgency, customer)) in due.iter_mut().zip(demand) {
                while *due <= at as f64 {
                    *due += 1e3 / rate;
                    let prompt = self.prompt(*tokens, *urgency, customer);
                    self.arrive(prompt);
                }
            }
            self.attempt_all();
            self.sim.advance(ATTEMPT_MS);
        }
    }

    /// Fills all slots with answers of `customer`, which end evenly over the time of an answer.
    fn fill(&mut self, slots: u64, urgency: u32, customer: &str) {
        for number in 0..slots {
            let prompt = self.prompt(5_000, urgency, customer);
            let id = self.try_place(&prompt).unwrap();
            self.sim.placer.record_first_token(id, self.sim.now);
            let end = Span::from_millis((number + 1) * ANSWER_MS / slots);
            let end = self.sim.now + end;
            self.answers.last_mut().unwrap().0 = end;
        }
    }

    fn served(&self, urgency: u32, customer: &str) -> f64 {
        f64::from(self.of(urgency, customer).served)
    }

    fn of(&self, urgency: u32, customer: &str) -> Count {
        self.counts.get(&(urgency, customer.to_owned())).copied().unwrap_or_default()
    }
}

/// Guards against a free slot for whoever asks first: less urgent prompts fill the engines and wait
/// already when an urgent one arrives, and ask before it after an answer has ended.
#[rstest]
fn an_urgent_prompt_passes_less_urgent_ones_that_wait() {
    let mut world = World::new(3);
    world.fill(48, 2, "batch");
    let waiting: Vec<_> = (0..8).map(|_| world.prompt(5_000, 2, "batch")).collect();
    let urgent = world.prompt(5_000, 0, "desk");
    for prompt in waiting.iter().chain([&urgent]) {
        assert_eq!(world.try_place(prompt), Err(Refusal::Deferred(Shortage::Slot)));
    }
    let (_, ended) = world.answers[0];
    world.sim.placer.record_end(ended, world.sim.now);
    for prompt in &waiting {
        assert_eq!(world.try_place(prompt), Err(Refusal::Deferred(Shortage::Slot)));
    }
    let late = world.prompt(5_000, 2, "other");
    assert_eq!(world.try_place(&late), Err(Refusal::Deferred(Shortage::Slot)));
    assert!(world.try_place(&urgent).is_ok());
}

/// Guards against room that is kept for a prompt whose caller left.
#[rstest]
fn room_is_not_kept_for_a_prompt_that_is_not_tried_any_more() {
    let mut world = World::new(3);
    world.fill(48, 2, "batch");
    let (urgent, other) = (world.prompt(5_000, 0, "desk"), world.prompt(5_000, 2, "batch"));
    assert!(world.try_place(&urgent).is_err());
    let (_, ended) = world.answers[0];
    world.sim.placer.record_end(ended, world.sim.now);
    assert!(world.try_place(&other).is_err(), "the urgent prompt goes first");
    world.sim.advance(150);
    let other = Prompt { arrived: world.sim.now, ..other };
    assert!(world.try_place(&other).is_ok());
}

/// Guards against starving the least urgent prompts under constant urgent load, and against a share
/// of theirs that grows with their number. The engines end 25 answers per second.
#[rstest]
#[case::few(20.0)]
#[case::many(60.0)]
fn the_least_urgent_get_a_bounded_share(#[case] rate: f64) {
    let mut world = World::new(3);
    world.run(30_000, &[(60.0, 5_000, 0, "desk"), (rate, 5_000, 2, "batch")]);
    let (urgent, least) = (world.served(0, "desk"), world.served(2, "batch"));
    let share = least / (urgent + least);
    assert!((0.06..0.18).contains(&share), "{share}: {:?}", world.counts);
    assert!(urgent + least > 0.9 * 30.0 * 25.0, "slots stay free: {:?}", world.counts);
}

/// Guards against a customer whose demand takes the engines from all others, and against a limit on
/// it while nobody else waits. The engines end 126 answers per second. One customer asks for more
/// than that, 23 others for 4 each, less than their share of 5.
#[rstest]
fn a_large_customer_gets_what_the_others_leave() {
    let mut world = World::new(15);
    let names: Vec<String> = (0..23).map(|number| format!("c{number:02}")).collect();
    let mut demand = vec![(150.0, 5_000, 0, "large")];
    demand.extend(names.iter().map(|name| (4.0, 5_000, 0, name.as_str())));
    world.run(15_000, &demand);
    for name in &names {
        let Count { asked, served, .. } = world.of(0, name);
        assert!(f64::from(served) >= 0.9 * f64::from(asked), "{name}: {:?}", world.counts);
    }
    let others: f64 = names.iter().map(|name| world.served(0, name)).sum();
    let large = world.served(0, "large");
    assert!(large >= 0.9 * (15.0 * 126.0 - others), "{large} beside {others}");
    world.run(5_000, &demand[..1]);
    let alone = world.served(0, "large") - large;
    assert!(alone > 0.9 * 5.0 * 126.0, "{alone} of 630 while nobody else asks");
}

/// Guards against engine time that counts for ever: a customer that was alone for a minute gets its
/// share soon after others come.
#[rstest]
fn engine_time_used_alone_is_forgotten() {
    let mut world = World::new(3);
    world.run(60_000, &[(30.0, 5_000, 0, "first")]);
    let demand = [(60.0, 5_000, 0, "first"), (30.0, 5_000, 0, "second")];
    world.run(8_000, &demand);
    let before = (world.served(0, "first"), world.served(0, "second"));
    world.run(12_000, &demand);
    let after = (world.served(0, "first") - before.0, world.served(0, "second") - before.1);
    let share = after.0 / (after.0 + after.1);
    assert!((0.42..0.58).contains(&share), "{share}");
}

/// Guards against a refusal after a wait of a prompt that was certain to be late when it arrived,
/// and against a caller that is last again when it comes back at the time that it was told.
#[rstest]
fn a_refusal_at_arrival_names_a_time_that_comes_true() {
    let mut world = World::new(3);
    world.fill(48, 0, "first");
    for number in 0..40 {
        let prompt = world.prompt(5_000, 0, if number % 2 == 0 { "first" } else { "second" });
        assert_eq!(world.try_place(&prompt), Err(Refusal::Deferred(Shortage::Slot)));
    }
    let refused = world.known_prompt(5_000, 0, "first");
    let Err(Refusal::Rejected(Shortage::Slot, span)) = world.try_place(&refused) else {
        panic!("it waits behind 40 prompts, of which two get a slot while it may wait");
    };
    assert!((Span::from_millis(150)..Span::from_secs(3)).contains(&span), "{span:?}");
    let demand = [(60.0, 5_000, 0, "first"), (60.0, 5_000, 0, "second")];
    world.run(span.as_millis() as u64, &demand);
    let returned = Prompt { arrived: world.sim.now, ..refused };
    world.arrive(returned.clone());
    for _ in 0..5 {
        world.attempt_all();
        world.sim.advance(ATTEMPT_MS);
        let newer = world.prompt(5_000, 0, "second");
        world.arrive(newer);
    }
    assert!(world.placed.contains(&returned.number), "{:?}", world.counts);
}

/// Guards against the prompts of one customer, at several times the usual rate, that take the
/// prefill of all others, and against short prompts that find the engines full of them afterwards.
#[rstest]
fn a_burst_of_long_prompts_of_one_customer_leaves_room_for_others() {
    let mut world = World::new(12);
    let settings = placement::Settings { fair_prefill: true, ..Default::default() };
    world.sim.placer = placer_with(settings, 12);
    let names = ["a", "b", "c", "d", "e"];
    let mut demand = vec![(36.0, 45_000, 0, "large")];
    demand.extend(names.map(|name| (2.0, 45_000, 0, name)));
    world.run(9_500, &demand);
    for name in names {
        let Count { asked, served, .. } = world.of(0, name);
        assert!(f64::from(served) >= 0.85 * f64::from(asked), "{name}: {:?}", world.counts);
    }
    let large = world.served(0, "large");
    assert!(large >= 0.6 * 9.5 * 12.0 / 0.358 - 95.0, "engines are idle: {:?}", world.counts);
    let late = world.waiting.drain(..).map(|prompt| prompt.customer.to_string());
    assert!(late.filter(|name| name != "large").count() <= 5);
    world.run(5_000, &names.map(|name| (12.0, 5_000, 0, name)));
    let (asked, served) = names.iter().fold((0, 0), |sum, name| {
        let count = world.of(0, name);
        (sum.0 + count.asked, sum.1 + count.served)
    });
    assert!(f64::from(served) >= 0.9 * f64::from(asked), "{:?}", world.counts);
}

/// Guards against a long prompt that pays with its own value for more urgent answers that it makes
/// late: it is worth eleven short ones.
#[rstest]
#[case::equal(0, true)]
#[case::less_urgent(1, false)]
fn a_less_urgent_prompt_does_not_make_urgent_answers_late(
    #[case] urgency: u32,
    #[case] is_placed: bool,
) {
    let mut world = World::new(1);
    world.fill(3, 0, "desk");
    let long = world.prompt(150_000, urgency, "batch");
    assert_eq!(world.try_place(&long).is_ok(), is_placed);
}

/// Guards against losing what is in flight when the scheduler is replaced: the new one is told of
/// the dispatches in flight with their urgency and customer, so the customer that has less goes
/// first, and the prompts that wait keep waiting.
#[rstest]
fn a_new_scheduler_is_fair_by_what_is_in_flight() {
    let mut world = World::new(3);
    world.fill(40, 0, "first");
    world.fill(8, 0, "second");
    let prompts = [world.prompt(5_000, 0, "first"), world.prompt(5_000, 0, "second")];
    let in_flight = world.sim.placer.in_flight(|_| true).map(|(dispatch, _)| dispatch.clone());
    let in_flight: Vec<_> = in_flight.collect();
    world.sim.placer = placer(3);
    for dispatch in in_flight {
        let id = dispatch.id;
        world.sim.placer.record_dispatch(dispatch, world.sim.now);
        world.sim.placer.record_first_token(id, world.sim.now);
    }
    world.sim.advance(30);
    for prompt in &prompts {
        assert_eq!(world.try_place(prompt), Err(Refusal::Deferred(Shortage::Slot)));
    }
    let (_, ended) = world.answers[0];
    world.sim.placer.record_end(ended, world.sim.now);
    assert!(world.try_place(&prompts[0]).is_err());
    assert!(world.try_place(&prompts[1]).is_ok());
}
