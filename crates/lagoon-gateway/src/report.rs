//! Load reports of model engines: how fast each works.
//!
//! Failure answered: an engine turns several times slower than published, and each long prompt of
//! which it reads a part is late. An engine that only reads for others writes no answers whose gaps
//! could tell; its own report does.
//!
//! Each engine is asked by one host, which tells the others. Which host that is follows from the
//! hosts that were heard of lately, without agreement: two that differ ask the same engine twice.

use std::sync;

use lagoon_platform::engine;
use lagoonline::clock;
use lagoonline::control::owner;
use lagoonline::id;
use lagoonline::routing;
use rand::Rng;

use crate::event;
use crate::exchange;
use crate::state;
use crate::word;

/// Time between two reports of an engine: one that turned slow has got some five prompts by then.
const PERIOD: clock::Span = clock::Span::from_millis(1_000);
/// How long a host counts as there after it was heard of: busy ones speak many times a second.
const HEARD: clock::Span = clock::Span::from_millis(2_000);
/// Longest time for a report: an engine that is slower to answer is found out by its requests.
const ANSWER: clock::Span = clock::Span::from_millis(400);
/// Longest report, in bytes.
const LONGEST: usize = 64 << 10;
/// Slowness from which the other hosts are told.
const WORTH_TELLING: f64 = 1.1;

/// Asks engines for their reports for as long as the process runs. `others` gives the numbers of the
/// hosts that were heard of within a span.
pub(crate) async fn run<Others>(state: sync::Arc<state::State>, others: Others)
where
    Others: Fn(clock::Span) -> Vec<u64>,
{
    loop {
        tokio::time::sleep(PERIOD.mul_f64(rand::rng().random_range(0.9..1.1))).await;
        if state.phase() > state::Phase::Serving {
            return;
        }
        let own = state.number.to_string();
        let mut hosts: Vec<String> = others(HEARD).iter().map(u64::to_string).collect();
        hosts.push(own.clone());
        for (service, entry) in state.engines() {
            let names = hosts.iter().map(String::as_str);
            if owner::choose(names, entry.upstream.as_str()) == Some(own.as_str()) {
                drop(ntex::rt::spawn(ask(state.clone(), service, entry)));
            }
        }
    }
}

async fn ask(state: sync::Arc<state::State>, service: id::Service, entry: routing::Entry) {
    let report = match fetch(&entry).await {
        Ok(report) => report,
        Err(error) => {
            event::Line::new("engine_unreported")
                .text("upstream", &entry.upstream)
                .text("error", error)
                .warn();
            return;
        }
    };
    let Some(slowness) = report.slowness else { return };
    state.with_board(&service, |board, now| board.set_slowness(&entry.upstream, slowness, now));
    if slowness >= WORTH_TELLING {
        event::Line::new("engine_slow")
            .text("upstream", &entry.upstream)
            .number("times", slowness)
            .info();
        let upstream = entry.upstream.to_string();
        let what = word::What::Reported(word::Reported { upstream, slowness });
        state.tell(word::Word::new(0, &service, what));
    }
}

async fn fetch(entry: &routing::Entry) -> Result<engine::Report, String> {
    let request = hyper::Request::get(engine::REPORT_PATH)
        .header("host", entry.address.to_string())
        .body(exchange::Payload::default())
        .map_err(|error| error.to_string())?;
    let call = exchange::call(entry.address, request, ANSWER, ANSWER, LONGEST).await;
    let (_, body) = call.map_err(|failure| failure.to_string())?;
    engine::read_report(&body).map_err(|error| error.to_string())
}
