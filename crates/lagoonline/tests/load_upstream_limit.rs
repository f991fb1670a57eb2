//! Tests of limits that upstreams name: what answers say in which order, permits, turns of hosts,
//! and requests that wait or come back.

use lagoonline::clock::{Moment, Span};
use lagoonline::id;
use lagoonline::lifecycle::fingerprint::Fingerprint;
use lagoonline::load::upstream_limit::{
    Bucket, Change, Limit, Observation, Queue, Requester, Supply, Turns,
};
use proptest::prelude::*;
use rstest::rstest;

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn answer(rate: Option<f64>, sent: u64, seen: u64) -> Observation {
    Observation { rate, sent: at(sent), seen: at(seen) }
}

/// A limit of 2 a second, named by an answer whose request was sent at 100 and which arrived at 200.
fn limited() -> Limit {
    let mut limit = Limit::default();
    assert_eq!(limit.observe(&answer(Some(2.0), 100, 200), at(200)), Some(Change::Learned));
    limit
}

/// Answers overtake each other: one that was made before the current state came about must not
/// change it, whether it names a limit, another one, or none.
#[rstest]
#[case::none_made_before(None, 150, 300, None, Some(2.0))]
#[case::none_made_after(None, 200, 300, Some(Change::Ended), None)]
#[case::same(Some(2.0), 50, 300, None, Some(2.0))]
#[case::lower(Some(1.0), 150, 300, Some(Change::Changed), Some(1.0))]
#[case::lower_sent_before(Some(1.0), 50, 300, None, Some(2.0))]
#[case::higher_made_before(Some(3.0), 150, 300, None, Some(2.0))]
#[case::higher_made_after(Some(3.0), 250, 300, Some(Change::Changed), Some(3.0))]
fn an_answer_changes_a_limit_only_if_it_may_be_later(
    #[case] rate: Option<f64>,
    #[case] sent: u64,
    #[case] seen: u64,
    #[case] change: Option<Change>,
    #[case] expected: Option<f64>,
) {
    let mut limit = limited();
    assert_eq!(limit.observe(&answer(rate, sent, seen), at(seen)), change);
    assert_eq!(limit.rate(), expected);
}

/// An answer that names a limit arrives late, after another answer has shown that it is over.
#[rstest]
fn a_late_answer_does_not_bring_a_limit_back() {
    let mut limit = limited();
    limit.observe(&answer(None, 210, 300), at(300));
    assert_eq!(limit.observe(&answer(Some(2.0), 190, 900), at(900)), None);
    assert_eq!(limit.rate(), None);
    let again = limit.observe(&answer(Some(2.0), 310, 1_000), at(1_000));
    assert_eq!(again, Some(Change::Learned));
}

/// A limit that is raised must not give the upstream the permits of the time before at once.
#[rstest]
fn a_change_of_the_limit_keeps_debt_and_permits() {
    let mut limit = limited();
    for _ in 0..3 {
        limit.bucket_mut().unwrap().take(at(200));
    }
    limit.observe(&answer(Some(4.0), 400, 700), at(700));
    assert_eq!(limit.bucket().unwrap().level(), -2.0);
}

/// An upstream that names almost nothing must still get a request at times, since only an answer
/// can end the limit.
#[rstest]
fn a_tiny_limit_is_no_limit_of_nothing_forever() {
    let supply = Supply::new(vec![Bucket::new(1e-9, at(0))], 1.0);
    assert!(supply.time_until(1.0) <= Span::from_millis(20_001));
}

/// A huge limit and a share of almost nothing must not overflow or stop the count.
#[rstest]
#[case(1e30, 1.0)]
#[case(2.0, 1e-12)]
fn a_bucket_bears_extreme_rates(#[case] rate: f64, #[case] share: f64) {
    let mut bucket = Bucket::new(rate, at(0));
    bucket.set_share(share, at(0));
    bucket.take(at(1_000));
    assert!(bucket.level().is_finite());
    assert!(Supply::new(vec![bucket], 1.0).time_until(1e6) > Span::ZERO);
}

/// Permits that nobody needs for a while must not be used in one burst later.
#[rstest]
fn unused_permits_are_not_kept() {
    let mut bucket = Bucket::new(2.0, at(0));
    bucket.fill(at(60_000));
    let mut sent = 0;
    while bucket.has_permit(Span::ZERO) {
        bucket.take(at(60_000));
        sent += 1;
    }
    assert_eq!(sent, 2);
}

/// A host that sends nothing itself for a while still counts what others send: it must not find
/// permits that they have used.
#[rstest]
fn permits_that_other_hosts_used_are_gone() {
    let mut bucket = Bucket::new(2.0, at(0));
    for second in 1..=20 {
        bucket.take(at(second * 1_000));
        bucket.take(at(second * 1_000));
    }
    bucket.fill(at(20_100));
    assert!(!bucket.has_permit(Span::ZERO), "{}", bucket.level());
}

/// Many announcements that arrive late and together must not block an upstream for long.
#[rstest]
fn debt_is_bounded() {
    let mut bucket = Bucket::new(2.0, at(0));
    for _ in 0..1_000 {
        bucket.take(at(0));
    }
    bucket.fill(at(5_000));
    assert!(bucket.has_permit(Span::ZERO), "{}", bucket.level());
}

/// Hosts that need an upstream at the same moment must not all go first, and one host must not be
/// the first at all upstreams.
#[rstest]
#[case(2)]
#[case(8)]
#[case(45)]
fn hosts_take_turns(#[case] hosts: u64) {
    let mut all: Vec<_> = (0..hosts).map(Turns::new).collect();
    for turns in &mut all {
        for host in 0..hosts {
            turns.record(host, at(0));
        }
    }
    let mut first = std::collections::BTreeSet::new();
    for upstream in 0..100 {
        let upstream = id::Upstream::from(format!("e{upstream}"));
        let mut leads: Vec<_> = all.iter().map(|turns| turns.lead(&upstream, at(0))).collect();
        first.insert(leads.iter().position(|lead| *lead == Span::ZERO).unwrap());
        leads.sort();
        leads.dedup();
        assert_eq!(leads.len() as u64, hosts, "two hosts go at the same time");
        assert!(leads[leads.len() - 1] <= Span::from_millis(250));
    }
    assert!(first.len() > 1);
}

/// A host without traffic must not hold up the others.
#[rstest]
fn hosts_that_send_nothing_have_no_turn() {
    let mut turns = Turns::new(1);
    turns.record(2, at(0));
    assert_eq!(turns.hosts(at(1_000)), 2);
    assert_eq!(turns.hosts(at(3_000)), 1);
    assert_eq!(turns.own_share(at(3_000)), 0.5);
}

/// Ten permits a second.
fn supply() -> Supply {
    Supply::new(vec![Bucket::new(10.0, at(0))], 1.0)
}

fn identity(number: u64) -> Fingerprint {
    Fingerprint::new("c", &number.to_string(), b"")
}

fn requester(waiter: u64) -> Requester<u64> {
    Requester { waiter, identity: Some(identity(waiter)) }
}

/// A caller that was told to come back must not be refused again for those that came meanwhile.
#[rstest]
fn a_caller_that_comes_back_goes_first() {
    let mut queue = Queue::default();
    for waiter in 1..=5 {
        queue.record_try(waiter, at(0));
    }
    queue.promise(identity(9), Span::from_millis(100), at(0));
    let back = Requester { waiter: 10, identity: Some(identity(9)) };
    assert_eq!(queue.ahead(&back, at(0)), 5, "it has come back too early");
    assert_eq!(queue.ahead(&back, at(100)), 0);
    assert_eq!(queue.ahead(&requester(3), at(100)), 3, "a permit is kept for it");
    assert_eq!(queue.ahead(&requester(3), at(0)), 2);
    queue.leave(&back);
    assert_eq!(queue.ahead(&requester(11), at(100)), 5);
}

/// Callers must not be told to come back all at once, nor later than they will wait.
#[rstest]
fn callers_are_told_to_come_back_one_after_the_other() {
    let mut queue: Queue<u64> = Queue::default();
    let mut last = Span::ZERO;
    for number in 0..100 {
        let requester = requester(number);
        let span = queue.return_time(&requester, &supply(), 0.0, at(0));
        assert!(span >= last, "{span:?} after {last:?}");
        queue.promise(identity(number), span, at(0));
        last = span;
    }
    assert!(last >= Span::from_secs(6), "no permit is kept after 3 s: {last:?}");
    let early = queue.return_time(&requester(4), &supply(), 0.0, at(500));
    assert!(early < Span::from_millis(501), "one that comes back too early keeps its time");
    let latest = queue.return_time(&requester(100), &supply(), 1.0, at(0));
    assert_eq!(latest, last + Span::from_secs(3), "callers without a permit come back together");
}

/// Permits kept for callers that come back must leave some for those that come.
#[rstest]
fn new_requests_wait_for_half_of_the_permits_at_most() {
    let mut queue: Queue<u64> = Queue::default();
    for waiter in 1..=2 {
        queue.record_try(waiter, at(0));
    }
    let alone = queue.wait(&requester(3), &supply(), at(0));
    queue.promise(identity(9), Span::from_secs(1), at(0));
    let beside = queue.wait(&requester(3), &supply(), at(0));
    // One permit for itself, and two for those before it.
    assert!(alone.abs_diff(Span::from_millis(300)) < Span::from_millis(1), "{alone:?}");
    assert!(beside.abs_diff(Span::from_millis(500)) < Span::from_millis(1), "{beside:?}");
}

/// Callers that left or did not come back must not hold permits for ever.
#[rstest]
fn callers_that_left_are_forgotten() {
    let mut queue = Queue::default();
    queue.record_try(1, at(0));
    queue.promise(identity(2), Span::from_secs(1), at(0));
    queue.expire(at(300));
    assert_eq!(queue.ahead(&requester(3), at(1_000)), 1);
    queue.expire(at(2_000));
    assert!(!queue.has_promises());
}

/// A flood of refused callers must not use memory without bound.
#[rstest]
fn promises_are_bounded() {
    let mut queue: Queue<u64> = Queue::default();
    for number in 0..6_000 {
        queue.promise(identity(number), Span::from_micros(number * 100), at(0));
    }
    assert_eq!(queue.ahead(&requester(9_999), at(1_000)), 4_096);
    assert!(queue.is_due(&requester(0), at(0)), "the callers that are due first are kept");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: std::env::var("LAGOON_FUZZ_CASES").map_or(300, |cases| cases.parse().unwrap_or(300)),
        rng_seed: proptest::test_runner::RngSeed::Fixed(39),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever answers overtake each other, the last one, whose request was sent after all others
    /// had arrived, must decide.
    #[test]
    fn the_last_answer_decides(
        changes in proptest::collection::vec((1_u64..400, 0_usize..4), 1..12),
        requests in proptest::collection::vec((0_u64..4_000, 0_u64..600, 0_u64..600), 0..60),
    ) {
        let rates = [None, Some(0.5), Some(2.0), Some(30.0)];
        let mut schedule = vec![(0, None)];
        for (pause, rate) in changes {
            schedule.push((schedule[schedule.len() - 1].0 + pause, rates[rate]));
        }
        let rate_at = |time: u64| schedule.iter().rev().find(|(from, _)| *from <= time).unwrap().1;
        let made = |(sent, until_made, until_seen): (u64, u64, u64)| {
            let made = sent + until_made;
            answer(rate_at(made), sent, made + until_seen)
        };
        let mut answers: Vec<_> = requests.into_iter().map(made).collect();
        answers.sort_by_key(|answer| answer.seen);
        // Two more, one after the other: the first may only be known to be no earlier.
        answers.push(answer(rate_at(6_000), 6_000, 6_010));
        answers.push(answer(rate_at(6_020), 6_020, 6_030));
        let mut limit = Limit::default();
        for answer in &answers {
            limit.observe(answer, answer.seen);
        }
        prop_assert_eq!(limit.rate(), rate_at(6_020));
    }
}
