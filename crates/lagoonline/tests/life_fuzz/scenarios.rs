//! Specific sequences of events on a single key.

use std::future::Future;
use std::pin::pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::task::noop_waker;
use lagoonline::clock::{self, Span};
use lagoonline::lifecycle::{claim, request};
use lagoonline::outcome::{Outcome, Reason};
use lagoonline::{id, lifecycle};

use super::platform::{Fault, Platform};

type Claims = claim::Claims<Platform, Platform, clock::Fake>;

fn wait<F>(future: F) -> F::Output
where
    F: Future,
{
    let mut future = pin!(future);
    loop {
        let polled = future.as_mut().poll(&mut Context::from_waker(&noop_waker()));
        if let Poll::Ready(output) = polled {
            return output;
        }
    }
}

fn claims(platform: &Platform, clock: &clock::Fake) -> Claims {
    // Longer answers are stored as objects.
    let settings = claim::Settings { inline_bytes: 8, ..claim::Settings::default() };
    claim::Claims::new(platform.clone(), platform.clone(), clock.clone(), settings)
}

fn keyed_request(token: u128, repeat: request::Repeat) -> claim::Request {
    claim::Request {
        customer: id::Customer::from("crew"),
        key: "pickup-7".into(),
        request_hash: claim::request_hash("POST", "/book", b"tins"),
        repeat,
        token: id::Attempt(token),
        upstream: id::Upstream::from("engine-3"),
        deadline: clock::Moment::from_millis(10_000),
        wall_ms: 0,
    }
}

fn ticket(begun: Result<claim::Begin, Box<claim::Refusal>>) -> claim::Ticket {
    match begun {
        Ok(claim::Begin::Run(ticket)) => ticket,
        other => panic!("no ticket: {other:?}"),
    }
}

/// A caller loses its entry host in the middle of a long answer and retries at another host with
/// the same key. The row must tell the new host which engine and attempt to resume; if the stream
/// is gone, the new host takes over the claim, and writes of the old host have no effect any more.
#[test]
fn a_running_stream_is_found_by_its_key() {
    let (platform, clock) = (Platform::default(), clock::Fake::default());
    let claims = claims(&platform, &clock);
    let allowed = request::Repeat::Allowed;
    let first =
        ticket(wait(claims.begin(keyed_request(1, allowed)))).dispatch(clock::Moment::START);
    let Ok(claim::Begin::Running(running)) = wait(claims.begin(keyed_request(2, allowed))) else {
        panic!("it runs");
    };
    assert_eq!((running.attempt, running.upstream.as_str()), (id::Attempt(1), "engine-3"));
    let mut second = ticket(wait(claims.take_over(keyed_request(3, allowed), &running)));
    wait(claims.retarget(&mut second, id::Upstream::from("engine-4"), id::Attempt(9)));
    wait(claims.mark_unknown(first.expect("in time")));
    let Ok(claim::Begin::Running(running)) = wait(claims.begin(keyed_request(4, allowed))) else {
        panic!("it runs");
    };
    assert_eq!((running.attempt, running.upstream.as_str()), (id::Attempt(9), "engine-4"));
}

/// A call ran and its caller has the answer, but the platform is down when the answer is to be
/// stored. The next request with the key must get `unknown` instead of running again, and the
/// complete answer once it has been stored.
#[test]
fn an_unstored_answer_is_unknown_until_it_is_stored() {
    let (platform, clock) = (Platform::default(), clock::Fake::default());
    let claims = claims(&platform, &clock);
    let never = request::Repeat::Never;
    let sent = ticket(wait(claims.begin(keyed_request(1, never)))).dispatch(clock::Moment::START);
    let body = Bytes::from_static(b"booked for Nausori");
    let answer = claim::Answer { status: 201, content_type: "text/plain".into(), body };
    platform.set_down(true);
    let unstored = wait(claims.finish(sent.expect("in time"), answer.clone()));
    let unstored = unstored.expect_err("the platform is down");
    platform.set_down(false);
    let refusal = wait(claims.begin(keyed_request(2, never))).expect_err("it may have run").failure;
    assert_eq!((refusal.reason, refusal.outcome), (Reason::EarlierUnknown, Outcome::Unknown));
    wait(claims.finish(unstored.sent, unstored.answer)).expect("the platform is back");
    match wait(claims.begin(keyed_request(3, never))) {
        Ok(claim::Begin::Replay(replayed)) => assert_eq!(replayed, answer),
        other => panic!("no replay: {other:?}"),
    }
}

/// The platform confirms none of the claim's commits, and the caller is told `not-run`. A delayed
/// commit is applied later; the host must settle the row so that the caller's next retry can run.
#[test]
fn a_late_claim_does_not_hold_its_key() {
    let (platform, clock) = (Platform::default(), clock::Fake::default());
    let claims = claims(&platform, &clock);
    let never = request::Repeat::Never;
    // In each of the three rounds of `begin` the commit is delayed and the read after it is lost.
    for fault in [Fault::Delay, Fault::LoseRequest].repeat(3) {
        platform.inject(fault);
    }
    let refusal = wait(claims.begin(keyed_request(1, never))).expect_err("no commit was answered");
    assert_eq!(refusal.failure.outcome, Outcome::NotRun);
    let abandoned = refusal.abandoned.expect("commits may land");
    while platform.delayed_count() > 0 {
        platform.apply_delayed(0);
    }
    assert!(wait(claims.begin(keyed_request(2, never))).is_err());
    assert!(wait(claims.settle(&abandoned)));
    ticket(wait(claims.begin(keyed_request(3, never))));
}

/// The sweep must delete rows only after their retention has ended, batch by batch, with one read
/// and at most one write per step.
#[test]
fn retention_ends_after_its_time() {
    let (platform, clock) = (Platform::default(), clock::Fake::default());
    let claims = claims(&platform, &clock);
    for (token, customer) in (1..).zip(["crew", "clerk", "planner"]) {
        let customer = id::Customer::from(customer);
        let request = claim::Request { customer, ..keyed_request(token, request::Repeat::Never) };
        drop(ticket(wait(claims.begin(request))));
    }
    let settings = claim::SweepSettings { batch: 2, ..claim::SweepSettings::default() };
    let mut sweeper = claim::Sweeper::new(settings, claim::shard("pickup-7"));
    let day = u64::try_from(Span::from_secs(86_400).as_millis()).expect("small");
    let at = [(day, 0), (day, 0), (day + 1, 2), (day + 1, 1), (day + 1, 0)];
    for (wall_ms, deleted) in at {
        assert_eq!(wait(sweeper.step(&platform, wall_ms)), Ok(deleted));
    }
    assert!(platform.values().is_empty());
}

/// Two customers use the same key; neither may read or block the other's claim.
#[test]
fn a_key_belongs_to_its_customer() {
    let key = |customer: &str| lifecycle::claim::row_key(&id::Customer::from(customer), "k");
    assert_ne!(key("crew"), key("clerk"));
}
