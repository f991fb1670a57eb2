//! Cost of one admission, one routing decision, one limit check and one fingerprint, for a fleet of
//! today's size and for one of the target size.

#![allow(missing_docs, reason = "the macro of the library makes a public function")]

use std::hint;
use std::net;
use std::sync;
use std::time;

use criterion::{Criterion, criterion_group, criterion_main};
use lagoonline::clock::{Moment, Span};
use lagoonline::control::document;
use lagoonline::lifecycle::fingerprint::Fingerprint;
use lagoonline::load::{self, Ending, Scheduler, Verdict, placement, profile};
use lagoonline::{id, routing, view};

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

/// Number of engines of the smaller and the larger deployment on the platform.
const PLATFORM_ENGINES: [usize; 2] = [60, 1_200];
/// Customers of such a deployment.
const PLATFORM_CUSTOMERS: u64 = 24;

fn placer(engines: usize) -> placement::Placer {
    let zone = id::Zone::from("a");
    let entry = |index: usize| routing::Registration {
        upstream: id::Upstream::from(format!("e{index:04}")),
        service: id::Service::from("llm"),
        address: net::SocketAddr::from(([127, 0, 0, 1], 8_000 + index as u16)),
        zone: zone.clone(),
        slots: 12,
        leaving: false,
        started_ms: 1,
        cold: None,
    };
    let entries: Vec<_> = (0..engines).map(entry).collect();
    let mut placer = placement::Placer::new(placement::Settings::default(), zone.clone(), 1);
    placer.set_upstreams(&entries, Some(profile::Profile::default()));
    placer
}

/// Placement of a short prompt on the platform: with room, and without room while prompts of all
/// customers wait.
fn place_on_platform(criterion: &mut Criterion) {
    let zone = id::Zone::from("a");
    let customers: Vec<id::Customer> =
        (0..PLATFORM_CUSTOMERS).map(|index| id::Customer::from(format!("c{index}"))).collect();
    let (eligibility, homes) = (routing::Eligibility::default(), routing::Homes::default());
    let now = Moment::from_millis(10);
    let request = |number: u64| placement::Request {
        prompt_tokens: 5_000,
        answer_tokens: 400,
        target: Span::from_millis(300),
        max_gap: Span::from_millis(250),
        waited: Span::ZERO,
        waiter: placement::DispatchId { host: 1, number },
        zone: &zone,
        avoid: &[],
        backoffs: &[],
        hints: &[],
        random: number,
        identity: None,
        urgency: 0,
        customer: Some(&customers[(number % PLATFORM_CUSTOMERS) as usize]),
        eligibility: &eligibility,
        homes: &homes,
        prefixes: &[],
    };
    for engines in PLATFORM_ENGINES {
        let mut idle = placer(engines);
        criterion.bench_function(&format!("platform with room {engines}"), |bencher| {
            bencher.iter(|| hint::black_box(idle.place(&request(0), now)));
        });
        let mut full = placer(engines);
        for number in 0..engines as u64 * 12 {
            let placed = full.place(&request(number), now).unwrap();
            let id = placement::DispatchId { host: 2, number };
            let (gap, deadline) = (Span::from_millis(250), now + Span::from_secs(10));
            full.record_dispatch(placement::Dispatch::new(id, &placed, 5_000, gap, deadline), now);
        }
        for waiting in [0, 60] {
            for number in 0..waiting {
                drop(full.place(&request(number), now));
            }
            let name = format!("platform without room {engines}, {waiting} wait");
            criterion.bench_function(&name, |bencher| {
                bencher.iter(|| hint::black_box(full.place(&request(0), now)));
            });
        }
    }
}

criterion_group!(benches, place, wait, limit, fingerprint, place_on_platform);
criterion_main!(benches);
