//! The entry process's side of the link.

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

/// Messages that may wait for the steward; more are dropped, since the next ones replace them.
const OUTGOING: usize = 256;

/// Longest wait between two tries to connect.
const RETRY_LIMIT: clock::Span = clock::Span::from_secs(2);

/// What the steward says.
#[derive(Clone, Debug)]
pub enum Update {
    /// The sections in force, merged.
    Fleet {
        /// All of them.
        fleet: view::Shared,
        /// Whether the steward has the highest versions that it can reach: only then may an entry
        /// host become ready. It stays true.
        complete: bool,
    },
    /// Lagging loads of upstreams.
    Loads(Vec<wire::Load>),
    /// Upstreams that leave, or are in service.
    Marks(Vec<wire::Mark>),
    /// This entry host is to drain.
    Drain,
    /// What customers used at another entry host.
    Spending(wire::Spending),
}

/// Takes updates; called on the link's thread, so it must not block.
pub trait Sink {
    /// Takes one update.
    fn apply(&mut self, update: Update);
}

/// State of the entry process that it reports.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct State {
    /// Whether it takes requests.
    pub ready: bool,
    /// Whether it is shutting down.
    pub draining: bool,
    /// Requests under way.
    pub in_flight: u64,
    /// Versions that its data path works with, on every thread.
    pub in_force: replication::Versions,
}

#[derive(Debug)]
struct Shared {
    clock: clock::System,
    heard_micros: atomic::AtomicU64,
    state: sync::Mutex<State>,
}

/// The data path's hold of the link; clones share it.
#[derive(Clone, Debug)]
pub struct Handle {
    shared: sync::Arc<Shared>,
    outgoing: mpsc::Sender<Option<wire::Body>>,
}

impl Handle {
    /// Time since the steward was last heard of; `None` when it never was.
    pub fn view_age(&self) -> Option<clock::Span> {
        match self.shared.heard_micros.load(atomic::Ordering::Relaxed) {
            0 => None,
            micros => Some(self.shared.clock.now().since(clock::Moment::from_micros(micros))),
        }
    }

    /// Replaces the state that is reported, and reports it now if it differs in more than the
    /// number of requests under way.
    pub fn report(&self, state: State) {
        let mut known = self.shared.state.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let same = *known == State { in_flight: known.in_flight, ..state.clone() };
        *known = state;
        drop(known);
        if !same {
            // A full queue means that a report is under way or due within a second.
            let _ = self.outgoing.try_send(None);
        }
    }

    /// Passes on loads that came with answers.
    pub fn loads(&self, loads: Vec<wire::Load>) {
        let _ = self.outgoing.try_send(Some(wire::Body::Loads(wire::Loads { loads })));
    }

    /// Says that an upstream refused work because it leaves.
    pub fn mark(&self, mark: wire::Mark) {
        let marks = wire::Marks { marks: vec![mark] };
        let _ = self.outgoing.try_send(Some(wire::Body::Marks(marks)));
    }

    /// Says what customers used here.
    pub fn spending(&self, spending: wire::Spending) {
        let _ = self.outgoing.try_send(Some(wire::Body::Spending(spending)));
    }
}

/// The link itself, to be run on one thread's runtime.
#[derive(Debug)]
pub struct Task {
    settings: settings::Settings,
    shared: sync::Arc<Shared>,
    outgoing: mpsc::Receiver<Option<wire::Body>>,
    replica: replication::Replica,
    complete: bool,
}

/// A link and the data path's hold of it.
///
/// ```
/// use lagoon_net::link;
/// let (handle, _task) = link::open(link::Settings::default());
/// assert_eq!(handle.view_age(), None);
/// ```
pub fn open(settings: settings::Settings) -> (Handle, Task) {
    let (sender, outgoing) = mpsc::channel(OUTGOING);
    let shared = sync::Arc::new(Shared {
        clock: clock::System::default(),
        heard_micros: atomic::AtomicU64::new(0),
        state: sync::Mutex::default(),
    });
    let handle = Handle { shared: shared.clone(), outgoing: sender };
    let replica = replication::Replica::default();
    (handle, Task { settings, shared, outgoing, replica, complete: false })
}

impl Task {
    /// Keeps the link until every [`Handle`] is gone; connects again with jitter.
    pub async fn run<S>(mut self, mut sink: S)
    where
        S: Sink,
    {
        let backoff = platform::Backoff { base: self.settings.retry, limit: RETRY_LIMIT };
        let mut failures = 0;
        while !self.outgoing.is_closed() {
            match channel::Channel::connect(self.settings.steward, &self.identity()).await {
                Ok((channel, _)) => {
                    failures = 0;
                    let ended = self.serve(channel, &mut sink).await;
                    if let Err(error) = ended {
                        log::warn!("link to steward ended: {error}");
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
                    self.heard();
                    let Some(reply) = body.and_then(|body| self.take(body, sink)) else { continue };
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

    fn heard(&self) {
        let micros = self.shared.clock.now().as_micros().max(1);
        self.shared.heard_micros.store(micros, atomic::Ordering::Relaxed);
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
            in_force: wire::team_versions(&state.in_force),
            ..wire::Status::default()
        })
    }

    /// Takes a message; what is to be answered.
    fn take<S>(&mut self, body: wire::Body, sink: &mut S) -> Option<wire::Body>
    where
        S: Sink,
    {
        match body {
            wire::Body::Sections(sections) => self.take_sections(&sections, sink),
            wire::Body::Digest(digest) => return self.give_back(&digest),
            wire::Body::Loads(loads) => sink.apply(Update::Loads(loads.loads)),
            wire::Body::Marks(marks) => self.take_marks(marks.marks, sink),
            wire::Body::Spending(spending) => sink.apply(Update::Spending(spending)),
            // Nothing else is meant for an entry process.
            _ => {}
        }
        None
    }

    fn take_sections<S>(&mut self, sections: &wire::Sections, sink: &mut S)
    where
        S: Sink,
    {
        let mut changed = false;
        for section in &sections.sections {
            let team = id::Team::from(section.team.as_str());
            let version = id::Version(section.version);
            match document::Section::parse(team, version, &section.text) {
                Ok(section) => changed |= self.replica.apply(section),
                Err(faults) => log::error!("section {} is not understood: {faults}", section.team),
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

    /// A steward that started anew during an outage may find nobody else who has the sections.
    fn give_back(&self, digest: &wire::Digest) -> Option<wire::Body> {
        let lacking = self.replica.newer_than(&wire::versions(&digest.versions));
        if lacking.is_empty() {
            return None;
        }
        let sections = lacking.iter().map(|section| wire::section(section)).collect();
        Some(wire::Body::Sections(wire::Sections { sections, complete: false }))
    }

    /// A mark on this entry host itself, in this life, is an operator's word to drain.
    fn take_marks<S>(&self, marks: Vec<wire::Mark>, sink: &mut S)
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
