//! When a call leaves a silent upstream, and how that affects later calls.

use std::sync;

use lagoonline::clock::{Moment, Span};
use lagoonline::control::document;
use lagoonline::load::{self, Ending, Scheduler, Verdict};
use lagoonline::{id, view};

fn scheduler(engines: usize) -> Scheduler {
    let engine = r#"{"zone": "suva", "address": "127.0.0.1:1", "models": ["m"]}"#;
    let engines: Vec<_> = (0..engines).map(|index| format!(r#""e{index}": {engine}"#)).collect();
    let text = format!(r#"{{"models": {{"m": {{}}}}, "upstreams": {{{}}}}}"#, engines.join(","));
    let section = document::Section::parse(id::Team::from("t"), id::Version(1), &text).unwrap();
    let fleet = sync::Arc::new(view::Fleet::merge([&section]));
    let settings = load::Settings { zone: id::Zone::from("suva"), ..load::Settings::default() };
    let mut scheduler = Scheduler::new(settings);
    scheduler.set_fleet(Moment::START, &fleet, &id::Model::from("m"));
    scheduler
}

fn request() -> load::Request {
    load::Request {
        customer: id::Customer::from("crew"),
        team: id::Team::from("t"),
        weight: 1,
        model: id::Model::from("m"),
        prompt_tokens: 10,
        answer_tokens: 8,
        bytes: 40,
        arrived: Moment::START,
        deadline: Moment::START + Span::from_secs(600),
        prefixes: Vec::new(),
    }
}

fn placed(verdict: Verdict) -> load::Placement {
    match verdict {
        Verdict::Dispatch(placement) => placement,
        other => panic!("{other:?}"),
    }
}

// Guards against sending further calls to a silent engine, each of which would cost a caller
// seconds. After the bound the call is better off elsewhere and goes to another engine, and so do
// the calls of the next second.
#[test]
fn a_silent_engine_gets_nothing_for_a_while() {
    let mut scheduler = scheduler(3);
    let first = placed(scheduler.offer(Moment::START, request()));
    assert!(
        first.first_token_silence >= Span::from_secs(2)
            && first.first_token_silence < Span::from_secs(10)
    );
    let now = Moment::START + first.first_token_silence;
    assert!(scheduler.is_better_elsewhere(now, first.ticket, &request()));
    let second = placed(scheduler.retry(now, first.ticket, Ending::Silent, request()));
    assert_ne!(second.upstream, first.upstream);
    for _ in 0..20 {
        let next = placed(scheduler.offer(now + Span::from_millis(500), request()));
        assert_ne!(next.upstream, first.upstream);
        let ending = Ending::Done { prompt_tokens: 10, cached_tokens: 0, answer_tokens: 8 };
        scheduler.finish(now + Span::from_millis(500), next.ticket, ending);
    }
}

// Guards against refusing calls when every engine is silent, such as after a failure of this host's
// own network. Calls move only while the retry budget lasts; then they keep waiting where they are.
#[test]
fn calls_stay_when_the_retry_budget_is_spent() {
    let mut scheduler = scheduler(3);
    let mut ticket = placed(scheduler.offer(Moment::START, request())).ticket;
    let mut moves = 0;
    let mut now = Moment::START;
    while scheduler.is_better_elsewhere(now, ticket, &request()) && moves < 100 {
        ticket = placed(scheduler.retry(now, ticket, Ending::Silent, request())).ticket;
        moves += 1;
        now = now + Span::from_secs(40);
    }
    assert_eq!(moves, 10);
}

#[test]
fn a_call_stays_on_the_only_engine() {
    let mut scheduler = scheduler(1);
    let only = placed(scheduler.offer(Moment::START, request()));
    assert!(!scheduler.is_better_elsewhere(Moment::from_millis(9_000), only.ticket, &request()));
}
