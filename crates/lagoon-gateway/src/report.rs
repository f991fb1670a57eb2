//! Load reports of model engines: how fast each works.
//!
//! Failure answered: an engine turns several times slower than published, and each long prompt of
//! which it reads a part is late. An engine that only reads for others writes no answers whose gaps
//! could tell; its own report does.
//!
//! Each engine is asked by the first live host of its zone, which tells the others; see
//! [`routing::Roster::asks`]. Two that differ on who that is ask the same engine twice.

use std::collections;
use std::sync;

use lagoon_platform::engine;
use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::routing;
use rand::Rng;

use crate::event;
use crate::exchange;
use crate::state;
use crate::word;

/// Time between two reports of an engine: one that turned slow has got some five prompts by then.
const PERIOD: clock::Span = clock::Span::from_millis(1_000);
/// Time between two looks whether this host is the one to ask.
const LOOK: clock::Span = clock::Span::from_millis(250);
/// Longest time for a report: an engine that is slower to answer is found out by its requests.
const ANSWER: clock::Span = clock::Span::from_millis(400);
/// Longest report, in bytes.
const LONGEST: usize = 64 << 10;
/// Slowness from which the other hosts are told.
const WORTH_TELLING: f64 = 1.1;

/// Asks engines for their reports for as long as the process runs.
pub(crate) async fn run(state: sync::Arc<state::State>) {
    let mut rounds = routing::PollSchedule::default();
    loop {
        tokio::time::sleep(LOOK.mul_f64(rand::rng().random_range(0.9..1.1))).await;
        if state.phase() > state::Phase::Serving {
            return;
        }
        for (service, entry) in due(&state, &mut rounds) {
            drop(ntex::rt::spawn(ask(state.clone(), service, entry)));
        }
    }
}

/// The engines that this host asks now.
fn due(
    state: &state::State,
    rounds: &mut routing::PollSchedule,
) -> Vec<(id::Service, routing::Registration)> {
    let now = state.clock.now();
    if !state::lock(&state.peers).roster.is_leader(now) {
        return Vec::new();
    }
    let mut engines = state.engines();
    let zones: collections::BTreeSet<_> =
        engines.iter().map(|(_, entry)| entry.zone.clone()).collect();
    let asked = rounds.due(&state::lock(&state.peers).roster, &zones, PERIOD, now);
    engines.retain(|(_, entry)| asked.contains(&entry.zone));
    engines
}

async fn ask(state: sync::Arc<state::State>, service: id::Service, entry: routing::Registration) {
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

/// The report of an engine.
///
/// # Errors
///
/// There is no answer in time, or it is no report.
pub(crate) async fn fetch(entry: &routing::Registration) -> Result<engine::Report, String> {
    let request = hyper::Request::get(engine::REPORT_PATH)
        .header("host", entry.address.to_string())
        .body(exchange::Payload::default())
        .map_err(|error| error.to_string())?;
    let call = exchange::call(entry.address, request, ANSWER, ANSWER, LONGEST).await;
    let (_, body) = call.map_err(|failure| failure.to_string())?;
    engine::read_report(&body).map_err(|error| error.to_string())
}
