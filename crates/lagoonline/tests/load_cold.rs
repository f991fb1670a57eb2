//! Refusals before the scheduler has learned anything, and after a lagging report.

use std::sync;

use lagoonline::clock::{Moment, Span};
use lagoonline::control::document;
use lagoonline::load::{self, Ending, Scheduler, Verdict};
use lagoonline::port::engine;
use lagoonline::{id, view};

const SLOTS: u64 = 4;

fn scheduler() -> Scheduler {
    let text = r#"{"models": {"m": {}}, "upstreams": {"e": {"zone": "suva",
        "address": "127.0.0.1:1", "models": ["m"], "slots": 4, "kv_tokens": 1000000}}}"#;
    let section = document::Section::parse(id::Team::from("t"), id::Version(1), text).unwrap();
    let fleet = sync::Arc::new(view::Fleet::merge([&section]));
    let settings = load::Settings { zone: id::Zone::from("suva"), ..load::Settings::default() };
    let mut scheduler = Scheduler::new(settings);
    scheduler.set_fleet(Moment::START, &fleet, &id::Model::from("m"));
    scheduler
}

fn request(now: Moment, answer_tokens: u64) -> load::Request {
    load::Request {
        customer: id::Customer::from("crew"),
        team: id::Team::from("t"),
        weight: 1,
        model: id::Model::from("m"),
        prompt_tokens: 10,
        answer_tokens,
        bytes: 40,
        arrived: now,
        deadline: now + Span::from_secs(60),
        prefixes: Vec::new(),
    }
}

// Guards against refusing the first call on an idle engine with "cannot meet the deadline" because
// every token that it allows was predicted at a usual speed. Then no answer would ever correct the
// prediction. Most callers allow a long answer although they expect a short one.
#[test]
fn a_first_call_is_not_refused_for_the_tokens_it_allows() {
    let mut scheduler = scheduler();
    let verdict = scheduler.offer(Moment::START, request(Moment::START, 100_000));
    assert!(matches!(verdict, Verdict::Dispatch(_)), "{verdict:?}");
}

// Guards against counting own work as that of other hosts. The report that the last answer carries
// was made while four calls ran that have ended since; the next caller was refused as saturated
// although the engine was idle, and without a dispatch no newer report arrived.
#[test]
fn a_late_report_of_own_work_is_not_other_hosts_work() {
    let mut scheduler = scheduler();
    let offers = (0..SLOTS).map(|_| scheduler.offer(Moment::START, request(Moment::START, 8)));
    let verdicts: Vec<_> = offers.collect();
    let now = Moment::from_millis(50);
    for verdict in verdicts {
        let Verdict::Dispatch(placement) = verdict else { panic!("{verdict:?}") };
        scheduler.record_first_token(now, placement.ticket);
        let ending = Ending::Done { prompt_tokens: 10, cached_tokens: 0, answer_tokens: 8 };
        scheduler.finish(now, placement.ticket, ending);
    }
    let full = engine::LoadReport { running: 4, kv_tokens: 1_000_000, incarnation: 1, ..no_load() };
    scheduler.observe(now, &id::Upstream::from("e"), &full);
    let now = Moment::from_millis(60);
    let verdict = scheduler.offer(now, request(now, 8));
    assert!(matches!(verdict, Verdict::Dispatch(_)), "{verdict:?}");
}

// Guards against an engine that looks full forever: no reports follow one of a full engine whose
// work belongs to other hosts, for example because the process that polls engines crashed. Once the
// report is seconds old, requests are sent to the engine again, whose own refusal is authoritative.
#[test]
fn an_old_report_expires() {
    let mut scheduler = scheduler();
    let full = engine::LoadReport { running: 4, kv_tokens: 1_000_000, incarnation: 1, ..no_load() };
    let now = Moment::from_millis(1_000);
    scheduler.observe(now, &id::Upstream::from("e"), &full);
    let verdict = scheduler.offer(now, request(now, 8));
    assert!(matches!(verdict, Verdict::Wait(_)), "{verdict:?}");
    assert_eq!(scheduler.poll(Moment::from_millis(2_900)), []);
    let wakes = scheduler.poll(Moment::from_millis(3_100));
    assert!(matches!(wakes[..], [load::Wake::Dispatch(..)]), "{wakes:?}");
}

// Guards against waiting for finished work. An engine slower than predicted reports a long prompt
// of this host that counts as prefilled already, so it is taken for another host's. After the
// prompt ended, the next long one waited at the idle engine until it was refused.
#[test]
fn a_long_prompt_does_not_wait_for_work_that_is_done() {
    let mut scheduler = scheduler();
    let long = |now| load::Request {
        prompt_tokens: 300_000,
        deadline: now + Span::from_secs(600),
        ..request(now, 8)
    };
    let first = scheduler.offer(Moment::START, long(Moment::START));
    let Verdict::Dispatch(first) = first else { panic!("{first:?}") };
    let busy = engine::LoadReport {
        running: 1,
        prefill_tokens: 300_000,
        kv_tokens: 1_000_000,
        incarnation: 1,
        ..no_load()
    };
    scheduler.observe(Moment::from_millis(16_000), &id::Upstream::from("e"), &busy);
    let now = Moment::from_millis(19_000);
    scheduler.record_first_token(now, first.ticket);
    let ending = Ending::Done { prompt_tokens: 300_000, cached_tokens: 0, answer_tokens: 8 };
    scheduler.finish(now, first.ticket, ending);
    let verdict = scheduler.offer(now, long(now));
    assert!(matches!(verdict, Verdict::Dispatch(_)), "{verdict:?}");
}

fn no_load() -> engine::LoadReport {
    engine::LoadReport {
        kv_free_tokens: 1_000_000,
        prefill_rate: 20_000.0,
        ..engine::LoadReport::default()
    }
}
