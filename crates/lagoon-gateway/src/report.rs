//! Load reports of model engines, which tell how fast each works.
//!
//! An engine that becomes several times slower than published delays every long prompt of which it
//! prefills a part. An engine that only prefills for others sends no answers from which this could
//! be seen, but its report shows it.
//!
//! Each engine is polled by the leader of its zone, which publishes the result; see
//! [`routing::Roster::polls`]. If two hosts disagree about who leads, both poll the engine.

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
use crate::message;
use crate::path;
use crate::payload;
use crate::state;

/// Interval between two reports of an engine: one that has become slow gets about five more prompts
/// in this time.
const REPORT_INTERVAL: clock::Span = clock::Span::from_millis(1_000);
/// Interval of the check whether this host has to poll.
const CHECK_INTERVAL: clock::Span = clock::Span::from_millis(250);
/// Timeout for a report: an engine that answers later is detected through its requests.
const REPORT_TIMEOUT: clock::Span = clock::Span::from_millis(400);
/// Maximum size of a report, in bytes.
const MAX_REPORT_BYTES: usize = 64 << 10;
/// Minimum slowness that is published to other hosts.
const MIN_PUBLISHED_SLOWNESS: f64 = 1.1;

/// Polls the engines that fall to this host for as long as the process runs.
pub(crate) async fn run(state: sync::Arc<state::State>) {
    let mut schedule = routing::PollSchedule::default();
    loop {
        tokio::time::sleep(CHECK_INTERVAL.mul_f64(rand::rng().random_range(0.9..1.1))).await;
        if state.phase() > state::Phase::Serving {
            return;
        }
        for (service, entry) in due(&state, &mut schedule) {
            drop(ntex::rt::spawn(poll_engine(state.clone(), service, entry)));
        }
    }
}

/// Returns the engines that this host has to poll now.
fn due(
    state: &state::State,
    schedule: &mut routing::PollSchedule,
) -> Vec<(id::Service, routing::Registration)> {
    let now = state.clock.now();
    if !state::lock(&state.peers).roster.is_leader(now) {
        return Vec::new();
    }
    let mut engines = state.engines();
    let zones: collections::BTreeSet<_> =
        engines.iter().map(|(_, entry)| entry.zone.clone()).collect();
    let asked = schedule.due(&state::lock(&state.peers).roster, &zones, REPORT_INTERVAL, now);
    // An engine may count reports against the limit that it names on its requests.
    let is_limited = |service: &id::Service, entry: &routing::Registration| {
        let limited = state.with_placer(service, |placer, _| placer.is_limited(&entry.upstream));
        limited == Some(true)
    };
    let homes = routing::Homes::default();
    engines.retain(|(service, entry)| {
        asked.contains(&entry.zone)
            && !is_limited(service, entry)
            && state.exclusion(entry, &homes, routing::Work::New).is_none()
    });
    engines
}

/// Fetches the report of one engine, and publishes its slowness if it is slow.
async fn poll_engine(
    state: sync::Arc<state::State>,
    service: id::Service,
    entry: routing::Registration,
) {
    let report = match fetch(&state, &entry, routing::Work::New).await {
        Ok(report) => report,
        Err(error) => {
            // There is no report of this engine.
            event::Line::new("engine_unreported")
                .text("upstream", &entry.upstream)
                .text("error", error)
                .warn();
            return;
        }
    };
    let Some(slowness) = report.slowness else { return };
    state.with_placer(&service, |placer, now| placer.set_slowness(&entry.upstream, slowness, now));
    if slowness >= MIN_PUBLISHED_SLOWNESS {
        event::Line::new("engine_slow")
            .text("upstream", &entry.upstream)
            .number("times", slowness)
            .info();
        let upstream = entry.upstream.to_string();
        let what = message::Kind::Reported(message::SlownessReport { upstream, slowness });
        state.publish(message::Update::new(0, &service, what));
    }
}

/// Fetches the report of an engine, as a part of `work`.
///
/// # Errors
///
/// There is no answer in time, or it is not a report.
pub(crate) async fn fetch(
    state: &state::State,
    entry: &routing::Registration,
    work: routing::Work,
) -> Result<engine::Report, String> {
    state.record_call(entry);
    state.count_send(entry);
    let sent_at = state.clock.now();
    let request = hyper::Request::get(engine::REPORT_PATH)
        .header("host", entry.address.to_string())
        .body(payload::Payload::default())
        .map_err(|error| error.to_string())?;
    let connecting = path::connect(state, entry, path::Purpose::Call(work), REPORT_TIMEOUT);
    let call = exchange::call(connecting, request, REPORT_TIMEOUT, MAX_REPORT_BYTES).await;
    let reply = call.map_err(|failure| {
        state.record_violation("report", entry, &failure);
        failure.to_string()
    })?;
    state.observe_reply(entry, sent_at, &reply);
    engine::read_report(&reply.body).map_err(|error| error.to_string())
}
