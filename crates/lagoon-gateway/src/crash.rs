//! Whether an upstream crashed under requests, or only their connections broke.
//!
//! Failure answered: a connection ends for many reasons (resets, answers that are broken off, lost
//! answers, an upstream that leaves), and only one of them is that the process behind it ended. So
//! an upstream whose connection broke is connected to once: a process that ended refuses, one that
//! lives accepts, and a host that is dark or cut off does neither.

use std::collections;
use std::fmt;
use std::io;
use std::sync;

use lagoonline::clock;
use lagoonline::id;
use lagoonline::lifecycle::{fingerprint, quarantine};

use crate::event;
use crate::forward;
use crate::link;
use crate::state;

/// Longest time for a connection that tells whether an upstream ended: some round trips between
/// zones.
const PROBE: clock::Span = clock::Span::from_millis(350);

/// Requests whose connections broke, by upstream, while it is found out whether that one ended.
#[derive(Debug, Default)]
pub(crate) struct Breaks(sync::Mutex<collections::HashMap<id::Upstream, Vec<Request>>>);

/// A request whose connection broke.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    /// What it is, whatever its id.
    pub(crate) fingerprint: fingerprint::Fingerprint,
    /// How far the upstream was with it.
    pub(crate) progress: quarantine::Progress,
}

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ", self.fingerprint)?;
        match self.progress {
            quarantine::Progress::Unknown => f.write_str("under way"),
            quarantine::Progress::Waiting => f.write_str("before its answer"),
            quarantine::Progress::Begun { span, events } => {
                write!(f, "after {}ms and {events} events", span.as_millis())
            }
        }
    }
}

/// What a connection told of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Probed {
    Ended,
    Alive,
    Unknown,
}

impl Probed {
    fn as_str(self) -> &'static str {
        match self {
            Probed::Ended => "ended",
            Probed::Alive => "alive",
            Probed::Unknown => "unknown",
        }
    }
}

impl forward::Admitted {
    /// The connection to `upstream` broke under this request.
    pub(crate) fn broke(&self, upstream: &id::Upstream, progress: quarantine::Progress) {
        let request = Request { fingerprint: self.fingerprint(), progress };
        let mut breaks = state::lock(&self.state.breaks.0);
        let waiting = breaks.entry(upstream.clone()).or_default();
        waiting.push(request);
        let is_first = waiting.len() == 1;
        drop(breaks);
        if is_first {
            drop(ntex::rt::spawn(find_out(
                self.state.clone(),
                self.service.clone(),
                upstream.clone(),
            )));
        }
    }
}

async fn find_out(state: sync::Arc<state::State>, service: id::Service, upstream: id::Upstream) {
    let probed = probe(&state, &service, &upstream).await;
    let requests = state::lock(&state.breaks.0).remove(&upstream).unwrap_or_default();
    let listed: Vec<_> = requests.iter().map(ToString::to_string).collect();
    if probed == Probed::Ended {
        state.crashed(&service, &upstream, &requests);
    }
    event::Line::new("upstream_probed")
        .text("upstream", &upstream)
        .text("probed", probed.as_str())
        .text("requests", listed.join(", "))
        .info();
}

/// Whether `upstream` ended, as a connection tells. One that leaves ends as planned, and one that
/// is no longer listed may be gone for long.
async fn probe(state: &state::State, service: &id::Service, upstream: &id::Upstream) -> Probed {
    let entry = state.with_board(service, |board, _| board.entry(upstream.as_str()).cloned());
    let Some(entry) = entry.flatten().filter(|entry| !entry.leaving) else {
        return Probed::Unknown;
    };
    match link::connect(entry.address, PROBE).await {
        Ok(_) => Probed::Alive,
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => Probed::Ended,
        Err(_) => Probed::Unknown,
    }
}
