//! Cost of one admission, one routing decision, one limit check and one fingerprint, for a fleet of
//! today's size and for one of the target size.

#![allow(missing_docs, reason = "the macro of the library makes a public function")]

use std::hint;
use std::sync;
use std::time;

use criterion::{Criterion, criterion_group, criterion_main};
use lagoonline::clock::{Moment, Span};
use lagoonline::control::document;
use lagoonline::lifecycle::fingerprint::Fingerprint;
use lagoonline::load::{self, Ending, Scheduler, Verdict};
use lagoonline::{id, view};

struct Size {
    name: &'static str,
    engines: usize,
    hosts: u32,
    customers: usize,
}

const SIZES: [Size; 2] = [
    Size { name: "today", engines: 8, hosts: 3, customers: 10 },
    Size { name: "target", engines: 133, hosts: 39, customers: 26_000 },
];

fn fleet(engines: usize) -> view::Shared {
    let mut fleet = view::Fleet::default();
    for index in 0..engines {
        let entry = document::Upstream {
            serves: document::Serves::Models(vec![id::Model::from("m")]),
            ..document::Upstream::default()
        };
        let name = id::Upstream::from(format!("e{index:03}"));
        fleet.upstreams.push(view::Upstream { name, team: id::Team::from("t"), entry });
    }
    sync::Arc::new(fleet)
}

fn scheduler(size: &Size) -> Scheduler {
    let settings = load::Settings { hosts_in_zone: size.hosts, ..load::Settings::default() };
    let mut scheduler = Scheduler::new(settings);
    scheduler.set_fleet(Moment::START, &fleet(size.engines), &id::Model::from("m"));
    scheduler
}

fn requests(size: &Size) -> Vec<load::Request> {
    let request = |index: usize| load::Request {
        customer: id::Customer::from(format!("c{index}")),
        team: id::Team::from(format!("t{}", index % 8)),
        weight: 1,
        model: id::Model::from("m"),
        prompt_tokens: 1_000,
        answer_tokens: 64,
        bytes: 4_000,
        arrived: Moment::START,
        deadline: Moment::START + Span::from_secs(3_600),
        prefixes: vec![(index as u64 % 64, 512)],
    };
    (0..size.customers).map(request).collect()
}

/// Durations of single decisions, whose median is printed because criterion reports only means.
#[derive(Default)]
struct Durations(Vec<Span>);

impl Durations {
    fn print(mut self, name: &str) {
        self.0.sort_unstable();
        if let Some(median) = self.0.get(self.0.len() / 2) {
            println!("{name}: p50 of {} single decisions {median:?}", self.0.len());
        }
    }
}

/// A request that is placed at once: admission and routing together.
fn place(criterion: &mut Criterion) {
    for size in &SIZES {
        let (mut scheduler, requests) = (scheduler(size), requests(size));
        let mut turn = 0;
        let mut durations = Durations::default();
        let name = format!("offer that is placed, {}", size.name);
        criterion.bench_function(&name, |bencher| {
            bencher.iter_custom(|count| {
                let mut spent = Span::ZERO;
                for _ in 0..count {
                    turn += 1;
                    let now = Moment::from_micros(turn as u64 * 1_000);
                    let request =
                        load::Request { arrived: now, ..requests[turn % requests.len()].clone() };
                    let start = time::Instant::now();
                    let verdict = hint::black_box(scheduler.offer(now, request));
                    let took = start.elapsed();
                    spent += took;
                    durations.0.push(took);
                    end(&mut scheduler, now, &verdict);
                }
                spent
            });
        });
        durations.print(&name);
    }
}

fn end(scheduler: &mut Scheduler, now: Moment, verdict: &Verdict) {
    let Verdict::Dispatch(placement) = verdict else { return };
    scheduler.record_first_token(now, placement.ticket);
    let ending = Ending::Done { prompt_tokens: 1_000, cached_tokens: 512, answer_tokens: 10 };
    scheduler.finish(now, placement.ticket, ending);
}

/// A request that finds every engine occupied and waits, then leaves.
fn wait(criterion: &mut Criterion) {
    for size in &SIZES {
        let (mut scheduler, requests) = (scheduler(size), requests(size));
        for request in requests.iter().cycle().take(100_000) {
            if let Verdict::Wait(_) = scheduler.offer(Moment::START, request.clone()) {
                break;
            }
        }
        let mut turn = 0;
        let mut durations = Durations::default();
        let name = format!("offer that waits, {}", size.name);
        criterion.bench_function(&name, |bencher| {
            bencher.iter_custom(|count| {
                let mut spent = Span::ZERO;
                for _ in 0..count {
                    turn += 1;
                    let request = requests[turn % requests.len()].clone();
                    let start = time::Instant::now();
                    let verdict = hint::black_box(scheduler.offer(Moment::START, request));
                    let took = start.elapsed();
                    spent += took;
                    durations.0.push(took);
                    if let Verdict::Wait(waiter) = verdict {
                        scheduler.cancel(waiter);
                    }
                }
                spent
            });
        });
        durations.print(&name);
    }
}

/// One check of a customer's limit.
fn limit(criterion: &mut Criterion) {
    for size in &SIZES {
        let mut limits = load::limit::Limits::new(size.hosts);
        let requests = requests(size);
        let rate = load::limit::Rate { requests: 1e6, tokens: 1e12 };
        let mut turn = 0;
        criterion.bench_function(&format!("limit, {}", size.name), |bencher| {
            bencher.iter(|| {
                turn += 1;
                let now = Moment::from_micros(turn as u64 * 100);
                let customer = &requests[turn % requests.len()].customer;
                hint::black_box(limits.admit(now, customer, rate, 1_000).is_ok())
            });
        });
    }
}

/// The fingerprint of a request, by the length of its body.
fn fingerprint(criterion: &mut Criterion) {
    for length in [1 << 10, 32 << 10, 1 << 20] {
        let body = vec![b'a'; length];
        criterion.bench_function(&format!("fingerprint/{length} bytes"), |bencher| {
            bencher.iter(|| Fingerprint::new("customer", "/talk/a", hint::black_box(&body)));
        });
    }
}

criterion_group!(benches, place, wait, limit, fingerprint);
criterion_main!(benches);
