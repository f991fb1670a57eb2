//! The link to the steward, on the side of the entry process.

use std::sync;
use std::sync::atomic;

use lagoonline::clock;
use lagoonline::clock::Clock;
use lagoonline::control::document;
use lagoonline::control::platform;
use lagoonline::control::replication;
use lagoonline::id;
use lagoonline::view;
use tokio::sync::mpsc;
use tokio::time;

use super::channel;
use super::settings;
use crate::wire;

/// Outgoing messages that are queued. More are dropped: later reports and loads replace them, while
/// marks and spending are lost.
const MAX_QUEUED: usize = 256;

/// Maximum delay between two attempts to connect to the steward.
const MAX_RETRY_DELAY: clock::Span = clock::Span::from_secs(2);

/// Update received from the steward.
#[derive(Clone, Debug)]
pub enum Update {
    /// The sections in force, merged: the configuration of the whole fleet.
    Fleet {
        /// The merged sections.
        fleet: view::Shared,
        /// Whether the steward's document is complete: only then may an entry host become ready.
        /// Once true it stays true.
        complete: bool,
    },
    /// Loads of upstreams, with their age.
    Loads(Vec<wire::Load>),
    /// Upstreams that are leaving or in service.
    Marks(Vec<wire::Mark>),
    /// This entry host has to drain.
    Drain,
    /// Spending of customers at another entry host. An empty one only shows that other hosts are
    /// reachable.
    Spending(wire::Spending),
}

/// Consumer of updates. It is called on the link's thread, so it must not block.
pub trait Sink {
    /// Applies one update.
    fn apply(&mut self, update: Update);
}

/// State of the entry process, as reported to the steward in a [`wire::Status`]. The steward keeps
/// it as a `replication::Report`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct State {
    /// Whether load balancers may send requests to it.
    pub ready: bool,
    /// Whether it is shutting down.
    pub draining: bool,
    /// Requests in flight.
    pub in_flight: u64,
    /// Section versions that every thread of its data path uses.
    pub in_force: replication::Versions,
}

#[derive(Debug)]
struct Shared {
    clock: clock::System,
    last_frame_micros: atomic::AtomicU64,
    state: sync::Mutex<State>,
}

/// Handle by which the data path uses the link; clones share the link.
#[derive(Clone, Debug)]
pub struct Handle {
    shared: sync::Arc<Shared>,
    /// Messages to send; `None` stands for a report of the current state.
    outgoing: mpsc::Sender<Option<wire::Body>>,
}

impl Handle {
    /// Returns the age of this host's view of the fleet: the time since the last frame of the
    /// steward, or `None` if there was none.
    pub fn view_age(&self) -> Option<clock::Span> {
        match self.shared.last_frame_micros.load(atomic::Ordering::Relaxed) {
            0 => None,
            micros => Some(self.shared.clock.now().since(clock::Moment::from_micros(micros))),
        }
    }

    /// Replaces the state to report. It is sent at once if anything but the number of requests in
    /// flight has changed, and otherwise with the next periodic report.
    pub fn report(&self, state: State) {
        let mut known = self.shared.state.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let same = *known == State { in_flight: known.in_flight, ..state.clone() };
        *known = state;
        drop(known);
        if !same {
            // If the queue is full, a report is queued already or due within a second.
            let _ = self.outgoing.try_send(None);
        }
    }

    /// Sends loads that arrived with responses.
    pub fn loads(&self, loads: Vec<wire::Load>) {
        let _ = self.outgoing.try_send(Some(wire::Body::Loads(wire::Loads { loads })));
    }

    /// Reports that an upstream refused work because it is leaving.
    pub fn mark(&self, mark: wire::Mark) {
        let marks = wire::Marks { marks: vec![mark] };
        let _ = self.outgoing.try_send(Some(wire::Body::Marks(marks)));
    }

    /// Sends the spending of customers at this host.
    pub fn spending(&self, spending: wire::Spending) {
        let _ = self.outgoing.try_send(Some(wire::Body::Spending(spending)));
    }
}

/// The task that maintains the link, to be run on one thread's runtime.
#[derive(Debug)]
pub struct Task {
    settings: settings::Settings,
    shared: sync::Arc<Shared>,
    outgoing: mpsc::Receiver<Option<wire::Body>>,
    replica: replication::Replica,
    complete: bool,
}

/// Creates a link: its handle for the data path and its task.
///
/// ```
/// use lagoon_net::link;
/// let (handle, _task) = link::open(link::Settings::default());
/// assert_eq!(handle.view_age(), None);
/// ```
pub fn open(settings: settings::Settings) -> (Handle, Task) {
    let (sender, outgoing) = mpsc::channel(MAX_QUEUED);
    let shared = sync::Arc::new(Shared {
        clock: clock::System::default(),
        last_frame_micros: atomic::AtomicU64::new(0),
        state: sync::Mutex::default(),
    });
    let handle = Handle { shared: shared.clone(), outgoing: sender };
    let replica = replication::Replica::default();
    (handle, Task { settings, shared, outgoing, replica, complete: false })
}

impl Task {
    /// Maintains the link until every [`Handle`] is dropped; reconnects with backoff and jitter.
    pub async fn run<S>(mut self, mut sink: S)
    where
        S: Sink,
    {
        let backoff = platform::Backoff { base: self.settings.retry, limit: MAX_RETRY_DELAY };
        let mut failures = 0;
        while !self.outgoing.is_closed() {
            match channel::Channel::connect(self.settings.steward, &self.identity()).await {
                Ok((channel, _)) => {
                    failures = 0;
                    let ended = self.serve(channel, &mut sink).await;
                    if let Err(error) = ended {
                        log::warn!("link to the steward closed: {error}");
                    }
                }
                Err(error) => log::debug!("{error}"),
            }
            failures += 1;
            time::sleep(backoff.delay(failures, rand::random())).await;
        }
    }

    fn identity(&self) -> channel::Identity {
        channel::Identity {
            sender: self.settings.host.to_string(),
            incarnation: self.settings.incarnation,
            zone: self.settings.zone.clone(),
            role: wire::Role::Entry,
            key: self.settings.key.clone(),
        }
    }

    /// Runs an open connection until it fails or every [`Handle`] is dropped.
    async fn serve<S>(
        &mut self,
        mut channel: channel::Channel,
        sink: &mut S,
    ) -> Result<(), channel::Error>
    where
        S: Sink,
    {
        let mut reports = time::interval(self.settings.report);
        loop {
            let body = tokio::select! {
                frame = channel.receive() => {
                    let body = frame?.body;
                    self.record_contact();
                    let Some(reply) = body.and_then(|body| self.handle_message(body, sink)) else { continue };
                    reply
                }
                outgoing = self.outgoing.recv() => match outgoing {
                    Some(Some(body)) => body,
                    Some(None) => self.status(),
                    None => return Ok(()),
                },
                _ = reports.tick() => self.status(),
            };
            channel.send(body).await?;
        }
    }

    fn record_contact(&self) {
        let micros = self.shared.clock.now().as_micros().max(1);
        self.shared.last_frame_micros.store(micros, atomic::Ordering::Relaxed);
    }

    fn status(&self) -> wire::Body {
        let state = self.shared.state.lock().unwrap_or_else(sync::PoisonError::into_inner);
        wire::Body::Status(wire::Status {
            host: self.settings.host.to_string(),
            zone: self.settings.zone.to_string(),
            incarnation: self.settings.incarnation.0,
            ready: state.ready,
            draining: state.draining,
            in_flight: state.in_flight,
            in_force: wire::encode_versions(&state.in_force),
            ..wire::Status::default()
        })
    }

    /// Applies a message; returns the message to reply with, if any.
    fn handle_message<S>(&mut self, body: wire::Body, sink: &mut S) -> Option<wire::Body>
    where
        S: Sink,
    {
        match body {
            wire::Body::Sections(sections) => self.apply_sections(&sections, sink),
            wire::Body::Digest(digest) => return self.missing_sections(&digest),
            wire::Body::Loads(loads) => sink.apply(Update::Loads(loads.loads)),
            wire::Body::Marks(marks) => self.apply_marks(marks.marks, sink),
            wire::Body::Spending(spending) => sink.apply(Update::Spending(spending)),
            // Other messages are not addressed to entry processes.
            _ => {}
        }
        None
    }

    /// Puts received sections in force and passes the merged result to the sink.
    fn apply_sections<S>(&mut self, sections: &wire::Sections, sink: &mut S)
    where
        S: Sink,
    {
        let mut changed = false;
        for section in &sections.sections {
            let team = id::Team::from(section.team.as_str());
            let version = id::Version(section.version);
            match document::Section::parse(team, version, &section.text) {
                Ok(section) => changed |= self.replica.apply(section),
                Err(faults) => log::error!("section {} is invalid: {faults}", section.team),
            }
        }
        let completed = sections.complete && !self.complete;
        self.complete |= sections.complete;
        if changed || completed {
            let merged = view::Fleet::merge(self.replica.sections().map(sync::Arc::as_ref));
            let (fleet, complete) = (sync::Arc::new(merged), self.complete);
            sink.apply(Update::Fleet { fleet, complete });
        }
    }

    /// Returns the sections that the steward lacks. A steward that restarted during a platform
    /// outage may find no other process that has them.
    fn missing_sections(&self, digest: &wire::Digest) -> Option<wire::Body> {
        let lacking = self.replica.newer_than(&wire::decode_versions(&digest.versions));
        if lacking.is_empty() {
            return None;
        }
        let sections = lacking.iter().map(|section| wire::encode_section(section)).collect();
        Some(wire::Body::Sections(wire::Sections { sections, complete: false }))
    }

    /// Applies marks. A leaving mark on this or a later incarnation of this entry host is an
    /// operator's request to drain.
    fn apply_marks<S>(&self, marks: Vec<wire::Mark>, sink: &mut S)
    where
        S: Sink,
    {
        let own = |mark: &wire::Mark| mark.upstream == self.settings.host.as_str();
        let incarnation = self.settings.incarnation.0;
        let drains = |mark: &wire::Mark| mark.leaving && mark.incarnation >= incarnation;
        if marks.iter().any(|mark| own(mark) && drains(mark)) {
            sink.apply(Update::Drain);
        }
        let marks: Vec<_> = marks.into_iter().filter(|mark| !own(mark)).collect();
        if !marks.is_empty() {
            sink.apply(Update::Marks(marks));
        }
    }
}
