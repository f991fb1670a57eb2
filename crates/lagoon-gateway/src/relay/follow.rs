//! The asking side of the relay: polls the host that reads for the zone, and decides when this host
//! has to read the platform itself.

use std::collections;
use std::io;
use std::net;
use std::sync;

use futures_util::{SinkExt, StreamExt};
use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::routing;
use prost::Message;

use super::message;
use crate::event;
use crate::hosts;
use crate::state;
use crate::tables;
use crate::tcp;

/// Timeout for connecting to another host of the zone: a lost packet is retransmitted within it.
const CONNECT_TIMEOUT: clock::Span = clock::Span::from_millis(350);
/// Time that an answer may take beyond the reader's hold time: a lost packet is retransmitted
/// within it, and a change of the desired state is still applied in time.
const ANSWER_SLACK: clock::Span = clock::Span::from_millis(350);
/// Interval between searches for a reader while this host reads the platform itself.
const SEARCH_INTERVAL: clock::Span = clock::Span::from_millis(1_000);
/// Time for which a host follows a reader before it asks the hosts ranked before that one again. One
/// of those may have lost the platform, and then tells so each time.
const MIN_FOLLOW_TIME: clock::Span = clock::Span::from_secs(2);
/// Pause before the hosts ranked before this one are asked again when none of them reads yet. Hosts
/// rank by their share of a processor core, as [`crate::mesh`] explains.
const NOT_READING_PAUSE: clock::Span = clock::Span::from_millis(150);

/// Another host of the zone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Member {
    /// Address at which it answers relay requests.
    pub(crate) address: net::SocketAddr,
    pub(crate) peer: routing::Peer,
}

/// The other hosts of the zone.
pub(crate) type Members = sync::Mutex<MemberMap>;

type MemberMap = collections::BTreeMap<id::Host, Member>;

/// Follows the reader of the zone for as long as the process runs.
pub(crate) async fn run(state: sync::Arc<state::State>) {
    let node = &state.settings.node;
    let settings = routing::SourceSettings {
        min_hosts: state.settings.tuning.relay_hosts,
        ..routing::SourceSettings::default()
    };
    let mut sources = routing::SourceSelector::new(settings, node.host.clone(), node.cpu_share);
    let mut known = collections::BTreeMap::new();
    loop {
        update_members(&mut sources, &mut known, &state.members);
        // Age of the tables beyond which this host reads the platform itself.
        let max_age = sources.search_span(node.bounds.apply);
        match sources.next(state.clock.now()) {
            // The hosts ranked before this one do not read yet, but one of them soon will.
            routing::Source::Platform
                if is_fresh(&state, max_age) && !sources.must_read_platform(state.clock.now()) =>
            {
                tokio::time::sleep(NOT_READING_PAUSE).await;
            }
            routing::Source::Platform => {
                state.tables.set_reads_platform(true);
                tokio::time::sleep(SEARCH_INTERVAL).await;
                // Without a recent success another host may have better access to the platform.
                let age = tables::age(&state, state.tables.upstreams_confirmed_at());
                if age.is_none_or(|age| age > super::MAX_ANSWER_AGE) {
                    sources.record_platform_failure(state.clock.now());
                }
            }
            routing::Source::Peer(host) => {
                let member = known.get(&host).copied();
                let reason = match member {
                    Some(member) => {
                        follow_reader(&state, &mut sources, &mut known, &host, member).await
                    }
                    None => LeaveReason::Failed("its address is unknown".to_owned()),
                };
                record_leave(&state, &mut sources, &host, &reason);
                // A reader that was left for a better one did answer, and the better one is asked
                // at once.
                if !matches!(reason, LeaveReason::Outranked) && !is_fresh(&state, max_age) {
                    state.tables.set_reads_platform(true);
                }
                // This host stopped following the reader.
                event::Line::new("reader_left").text("host", &host).text("why", reason).info();
            }
        }
    }
}

/// Records why this host stopped following a reader.
fn record_leave(
    state: &state::State,
    sources: &mut routing::SourceSelector,
    host: &id::Host,
    reason: &LeaveReason,
) {
    let now = state.clock.now();
    match reason {
        LeaveReason::Outranked => {}
        LeaveReason::NotReading => sources.record_idle(host, now),
        LeaveReason::Failed(_) => sources.record_failure(host, now),
    }
}

/// Whether this host's knowledge of the tables is no older than `span`, so that there is time to
/// ask other hosts.
///
/// When the host that reads for forty others ends, the platform would get a hundred calls in place
/// of one if each of them read the platform itself until it had found the next reader. Beyond this
/// age a host does read it, whatever the others report: the platform may be refusing just the hosts
/// that it asks.
fn is_fresh(state: &state::State, span: clock::Span) -> bool {
    let ages = [state.tables.desired_read_at(), state.tables.upstreams_confirmed_at()];
    let ages = ages.map(|at| tables::age(state, at));
    ages.iter().all(|age| age.is_some_and(|age| age <= span))
}

/// Updates `known` and `sources` from the current members of the zone.
fn update_members(sources: &mut routing::SourceSelector, known: &mut MemberMap, members: &Members) {
    let now = state::lock(members).clone();
    for removed in known.keys().filter(|host| !now.contains_key(*host)) {
        sources.remove_peer(removed);
    }
    for (host, member) in &now {
        sources.set_peer(host.clone(), member.peer);
    }
    *known = now;
}

/// Why this host stopped following a reader.
#[derive(Debug, thiserror::Error)]
enum LeaveReason {
    #[error("it does not read the platform")]
    NotReading,
    #[error("another host ranks before it")]
    Outranked,
    #[error("{0}")]
    Failed(String),
}

impl From<io::Error> for LeaveReason {
    fn from(error: io::Error) -> LeaveReason {
        LeaveReason::Failed(error.to_string())
    }
}

/// Asks one host repeatedly and applies its answers, until it fails or another host ranks before
/// it.
///
/// Hosts that start together do not all know of each other at first, so the highest-ranked host may
/// follow one that it met earlier. If it kept following, every host that asks it would be told that
/// it does not read.
async fn follow_reader(
    state: &state::State,
    sources: &mut routing::SourceSelector,
    known: &mut MemberMap,
    host: &id::Host,
    member: Member,
) -> LeaveReason {
    let mut connection = match open(member.address).await {
        Ok(connection) => connection,
        Err(reason) => return reason,
    };
    let followed_since = state.clock.now();
    loop {
        if let Err(reason) = poll(state, &mut connection).await {
            return reason;
        }
        update_members(sources, known, &state.members);
        if state.clock.now().since(followed_since) < MIN_FOLLOW_TIME {
            continue;
        }
        if sources.next(state.clock.now()) != routing::Source::Peer(host.clone()) {
            return LeaveReason::Outranked;
        }
    }
}

async fn open(address: net::SocketAddr) -> Result<super::Connection, LeaveReason> {
    Ok(super::framed(tcp::connect(address, CONNECT_TIMEOUT).await?))
}

/// Sends one request and applies the answer.
async fn poll(state: &state::State, connection: &mut super::Connection) -> Result<(), LeaveReason> {
    let asked_at = state.clock.now();
    let known = message::Known {
        desired: state::lock(&state.tables.desired).revision(),
        upstreams: state::lock(&state.tables.upstreams).revision(),
        hosts: state::lock(&state.tables.hosts).revision(),
    };
    let request = message::Request::new(known);
    connection.send(bytes::Bytes::from(request.encode_to_vec())).await?;
    let response = tokio::time::timeout(super::HOLD_TIME + ANSWER_SLACK, connection.next()).await;
    let response = response.map_err(|_| LeaveReason::Failed("no answer in time".to_owned()))?;
    let frame = response.ok_or_else(|| LeaveReason::Failed("connection closed".to_owned()))??;
    let response = message::Response::decode(frame).map_err(io::Error::from)?;
    let changes = response.news.ok_or(LeaveReason::NotReading)?;
    apply(state, changes, known, asked_at);
    state.tables.set_reads_platform(false);
    Ok(())
}

/// Applies a reader's answer to a request that named the `known` revisions. The ages in it count from
/// `asked_at`, the time of the request, and can only be too old.
fn apply(
    state: &state::State,
    changes: message::Changes,
    known: message::Known,
    asked_at: clock::Moment,
) {
    let moment = |age_ms| state.clock.now().saturating_sub(clock::Span::from_millis(age_ms));
    if let Some(failed_ms) = changes.failed_ms {
        state.tables.record_failure(moment(failed_ms));
    }
    if let Some(recovered_ms) = changes.returned_ms {
        tables::platform_recovered(state, moment(recovered_ms));
    }
    // A table of an earlier era than this host knows says nothing, and confirms nothing.
    if let Some(table) = changes.desired {
        let at = asked_at.saturating_sub(clock::Span::from_millis(table.age_ms));
        let delta = table.into_delta(known.desired, state.era.get().number());
        if let Some(applied) = apply_delta(state, "desired state", &state.tables.desired, delta) {
            tables::apply_desired(state, &applied.rows, at, tables::Way::Relay);
        }
    }
    if let Some(table) = changes.upstreams {
        let at = asked_at.saturating_sub(clock::Span::from_millis(table.age_ms));
        let delta = table.into_delta(known.upstreams, state.era.get().number());
        if let Some(applied) = apply_delta(state, "upstreams", &state.tables.upstreams, delta) {
            tables::apply_upstreams(state, &applied, at, tables::Way::Relay);
        }
    }
    if let Some(table) = changes.hosts {
        let delta = table.into_delta(known.hosts, state.era.get().number());
        if let Some(applied) = apply_delta(state, "entry hosts", &state.tables.hosts, delta) {
            hosts::apply_rows(state, &applied, tables::Way::Relay);
        }
    }
}

/// Applies a reader's changes to the copy of the table called `name` in logs. Returns `None` if they do
/// not follow what is known.
fn apply_delta(
    state: &state::State,
    name: &'static str,
    table: &tables::SharedTable,
    delta: routing::Delta,
) -> Option<tables::Applied> {
    state.era.observe(delta.revision.era, state.clock.now());
    tables::apply_delta(state, name, table, delta)
}
