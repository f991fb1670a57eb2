//! Connections to upstreams, and what they show of this host's paths.

use std::io;
use std::time;

use lagoonline::clock::Clock as _;
use lagoonline::routing;
use tokio::net::TcpStream;

use crate::event;
use crate::metrics;
use crate::state;
use crate::tcp;

/// Connects to the upstream `entry` within `timeout`.
///
/// # Errors
///
/// The connection failed; nothing was sent.
pub(crate) async fn connect(
    state: &state::State,
    entry: &routing::Registration,
    timeout: time::Duration,
) -> io::Result<TcpStream> {
    let opened = tcp::connect(entry.address, timeout).await;
    record_direct(state, entry, &opened);
    opened
}

/// Counts a direct connection to `entry`, and logs when it shows that this host's paths were lost or
/// regained.
fn record_direct(
    state: &state::State,
    entry: &routing::Registration,
    opened: &io::Result<TcpStream>,
) {
    state.metrics.count_connection(metrics::ConnectionOutcome::of(opened));
    let now = state.clock.now();
    let mut paths = state::lock(&state.paths);
    let change = match opened {
        Ok(_) => paths.record_opened(now),
        Err(_) => paths.record_failed(&entry.upstream, now),
    };
    state.metrics.paths_lost.set(i64::try_from(paths.lost()).unwrap_or(i64::MAX));
    drop(paths);
    match change {
        Some(routing::PathChange::Lost { upstreams }) => {
            // No connection opened since those to this many upstreams failed.
            event::Line::new("paths_lost").number("upstreams", upstreams).warn();
        }
        Some(routing::PathChange::Regained { after }) => {
            event::Line::new("paths_regained").span("after_ms", after).info();
        }
        None => {}
    }
}
