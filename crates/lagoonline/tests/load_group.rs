//! Groups of engines: all or nothing, no deadlock, no leak, with faults at every step.

use std::collections;

use lagoonline::clock::{Moment, Span};
use lagoonline::id;
use lagoonline::load::group::arbiter::{Arbiter, LEASE, Notice, RequestId};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const ENGINES: u64 = 4;
const MEMORY: u64 = 400;

fn arbiter() -> Arbiter {
    let mut arbiter = Arbiter::default();
    for engine in 0..ENGINES {
        arbiter.add_engine(name(engine), MEMORY);
    }
    arbiter
}

fn name(engine: u64) -> id::Upstream {
    id::Upstream::from(format!("e{engine}"))
}

// Guards against a deadlock of two prompts that each need three of four engines. Taken one by one,
// each could hold two and wait for the other; the first must get all its engines and the second
// none until the first ends.
#[test]
fn two_large_prompts_do_not_block_each_other() {
    let mut arbiter = arbiter();
    let deadline = Moment::from_millis(60_000);
    let (first, second) = (arbiter.request(1_000, deadline), arbiter.request(1_000, deadline));
    let notices = arbiter.poll(Moment::START);
    assert!(matches!(&notices[..], [Notice::Granted(request, _)] if *request == first));
    assert_eq!(arbiter.held(), (1_000, 1_000));
    arbiter.release(first);
    let notices = arbiter.poll(Moment::START);
    assert!(matches!(&notices[..], [Notice::Granted(request, _)] if *request == second));
}

// Guards against a grant that outlives a failed member: the holder is notified, and the other
// members' memory is free for the next prompt at once.
#[test]
fn a_failed_member_ends_the_grant_for_all() {
    let mut arbiter = arbiter();
    let request = arbiter.request(1_200, Moment::NEVER);
    arbiter.poll(Moment::START);
    let Notice::Ended(ended) = arbiter.remove_engine(&name(0))[0] else { panic!("not ended") };
    assert_eq!(ended, request);
    assert_eq!(arbiter.held(), (0, 0));
    assert!(!arbiter.renew(Moment::START, request));
}

// Guards against a memory leak when the holder crashes: its grant ends with the lease, and a holder
// that was only paused learns it from its next renewal and stops.
#[test]
fn the_lease_of_a_crashed_holder_expires() {
    let mut arbiter = arbiter();
    let request = arbiter.request(900, Moment::NEVER);
    arbiter.poll(Moment::START);
    let later = Moment::START + LEASE;
    assert!(!arbiter.renew(later, request));
    assert_eq!(arbiter.poll(later), [Notice::Ended(request)]);
    assert_eq!(arbiter.held(), (0, 0));
}

// A prompt that no set of engines can hold is refused at once and doesn't block others.
#[test]
fn a_prompt_too_large_for_all_is_refused() {
    let mut arbiter = arbiter();
    let (huge, next) = (arbiter.request(1_601, Moment::NEVER), arbiter.request(500, Moment::NEVER));
    let notices = arbiter.poll(Moment::START);
    assert_eq!(notices[0], Notice::TooLarge(huge));
    assert!(matches!(notices[1], Notice::Granted(request, _) if request == next));
}

#[derive(Clone, Debug)]
enum Step {
    Request { tokens: u64, wait_ms: u64 },
    Release { pick: usize },
    Renew { pick: usize },
    RemoveEngine { engine: u64 },
    AddEngine { engine: u64 },
    Advance { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let pick = any::<usize>();
    prop_oneof![
        4 => (100..1_700_u64, 0..90_000_u64)
            .prop_map(|(tokens, wait_ms)| Step::Request { tokens, wait_ms }),
        2 => pick.prop_map(|pick| Step::Release { pick }),
        2 => pick.prop_map(|pick| Step::Renew { pick }),
        1 => (0..ENGINES).prop_map(|engine| Step::RemoveEngine { engine }),
        2 => (0..ENGINES).prop_map(|engine| Step::AddEngine { engine }),
        2 => (0..10_000_u64).prop_map(|ms| Step::Advance { ms }),
    ]
}

/// The requests that holders wait for or hold, with their tokens.
#[derive(Default)]
struct Holders {
    waiting: collections::BTreeMap<RequestId, u64>,
    granted: collections::BTreeMap<RequestId, u64>,
}

impl Holders {
    fn apply(&mut self, notices: Vec<Notice>) {
        for notice in notices {
            match notice {
                Notice::Granted(request, allocations) => {
                    let requested = self.waiting.remove(&request).expect("granted twice");
                    let held: u64 = allocations.iter().map(|allocation| allocation.tokens).sum();
                    assert_eq!(held, requested, "granted less than requested");
                    assert!(allocations.is_sorted_by(|a, b| a.upstream < b.upstream));
                    self.granted.insert(request, requested);
                }
                Notice::Ended(request) => assert!(self.granted.remove(&request).is_some()),
                Notice::TimedOut(request) | Notice::TooLarge(request) => {
                    assert!(self.waiting.remove(&request).is_some());
                }
            }
        }
    }
}

fn apply(arbiter: &mut Arbiter, holders: &mut Holders, now: &mut Moment, step: &Step) {
    let pick = |map: &collections::BTreeMap<RequestId, u64>, pick: usize| {
        map.keys().nth(pick % map.len().max(1)).copied()
    };
    match *step {
        Step::Request { tokens, wait_ms } => {
            let request = arbiter.request(tokens, *now + Span::from_millis(wait_ms));
            holders.waiting.insert(request, tokens);
        }
        Step::Release { pick: number } => {
            if let Some(request) = pick(&holders.granted, number) {
                holders.granted.remove(&request);
                arbiter.release(request);
            }
        }
        Step::Renew { pick: number } => {
            if let Some(request) = pick(&holders.granted, number) {
                arbiter.renew(*now, request);
            }
        }
        Step::RemoveEngine { engine } => holders.apply(arbiter.remove_engine(&name(engine))),
        Step::AddEngine { engine } => arbiter.add_engine(name(engine), MEMORY),
        Step::Advance { ms } => *now = *now + Span::from_millis(ms),
    }
    holders.apply(arbiter.poll(*now));
}

proptest! {
    #![proptest_config(Config {
        cases: 256, failure_persistence: None, rng_seed: RngSeed::Fixed(5), ..Config::default()
    })]

    // Requests arrive, members fail and holders disappear in any order. At each step the memory
    // held equals that of the grants, and after all leases have expired nothing is held or waits.
    #[test]
    fn nothing_leaks_or_waits_forever(steps in proptest::collection::vec(step(), 1..80)) {
        let (mut arbiter, mut holders, mut now) = (arbiter(), Holders::default(), Moment::START);
        for step in &steps {
            apply(&mut arbiter, &mut holders, &mut now, step);
            let (engines, grants) = arbiter.held();
            prop_assert_eq!(engines, grants);
            prop_assert_eq!(grants, holders.granted.values().sum::<u64>());
        }
        for _ in 0..steps.len() + 2 {
            now = now + LEASE + Span::from_secs(90);
            holders.apply(arbiter.poll(now));
        }
        prop_assert_eq!(arbiter.held(), (0, 0));
        prop_assert!(holders.waiting.is_empty() && holders.granted.is_empty());
        prop_assert_eq!(arbiter.next_wake(), Moment::NEVER);
    }
}
