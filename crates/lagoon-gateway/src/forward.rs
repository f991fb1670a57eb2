//! Handling of one caller's request: admission, attempts at upstreams, and the answer.

use std::cell;
use std::net;
use std::sync;
use std::sync::atomic;

use bytes::Bytes;
use lagoon_platform::{engine, head};
use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::lifecycle::{attempts, completeness, fingerprint, quarantine, request};
use lagoonline::load::{placement, progress};
use lagoonline::outcome::{Outcome, Reason, Step};
use lagoonline::routing;
use ntex::web;

use crate::admit;
use crate::answer;
use crate::attempt;
use crate::body;
use crate::buffers;
use crate::conclude;
use crate::connection;
use crate::event;
use crate::exchange;
use crate::in_flight;
use crate::message;
use crate::metrics;
use crate::path;
use crate::payload;
use crate::place;
use crate::reserve;
use crate::retries;
use crate::silence;
use crate::state;
use crate::stream;
use crate::tables;

/// A caller's request with its complete body.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) method: String,
    /// Path and query as sent by the caller.
    pub(crate) target: String,
    pub(crate) path: String,
    pub(crate) host: String,
    pub(crate) headers: Vec<(String, Vec<u8>)>,
    pub(crate) body: payload::Content,
    pub(crate) head: head::Request,
    /// What this host holds for the request.
    pub(crate) account: buffers::Account,
    pub(crate) arrived: clock::Moment,
}

impl Request {
    fn header_pairs(&self) -> impl Iterator<Item = (&str, &[u8])> + Clone {
        self.headers.iter().map(|(name, value)| (name.as_str(), value.as_slice()))
    }
}

/// The caller that waits for the answer; held until the last byte has been handed over.
#[derive(Debug)]
pub(crate) struct Caller {
    /// Whether it reads bodies in chunks, which HTTP/1.0 does not have.
    pub(crate) reads_chunks: bool,
    /// The caller's connection.
    pub(crate) io: Option<ntex::io::IoRef>,
    /// Keeps the connection from being closed as idle.
    pub(crate) _busy: Option<connection::RequestGuard>,
    /// Keeps the process from shutting down.
    pub(crate) _active: state::ActiveRequest,
}

/// Maximum size in bytes of an answer that is not streamed; it is buffered until complete.
pub(crate) const MAX_BUFFERED_BODY: usize = 8 << 20;
/// Timeout for connecting to an upstream: zones are some milliseconds apart, and a lost packet is
/// retransmitted after 200 ms.
const CONNECT_TIMEOUT: clock::Span = clock::Span::from_millis(350);
/// Minimum time left before the deadline for another attempt.
pub(crate) const MIN_TIME_LEFT: clock::Span = clock::Span::from_millis(40);
/// Retry time given to callers when nothing better is known: a restarted upstream or a new version
/// is seen within this.
pub(crate) const RETRY_AFTER: clock::Span = clock::Span::from_millis(400);
/// Retry time given to a caller that only this host rejects: at once, at another host.
pub(crate) const RETRY_ELSEWHERE_AFTER: clock::Span = clock::Span::from_millis(20);
/// Prompt length in tokens from which a prompt is queued behind short ones in an engine. The
/// metrics classify prompts by other lengths, see [`crate::metrics::Metrics::record_first_event`].
const MEDIUM_PROMPT_TOKENS: u64 = 25_000;
/// Prompt length in tokens from which a prompt is queued behind medium ones.
const LONG_PROMPT_TOKENS: u64 = 110_000;
/// Priority in an engine's queue of short, medium and long prompts if all are equally urgent.
const LENGTH_PRIORITIES: [u8; 3] = [1, 6, 8];
/// Attempts beyond the route's limit that are allowed because upstreams refused the request or
/// could not be reached.
const MAX_REFUSALS: u32 = 2;

/// An admitted request.
#[derive(Debug)]
pub(crate) struct Admitted {
    pub(crate) state: sync::Arc<state::State>,
    pub(crate) request: Request,
    pub(crate) route: sync::Arc<routing::Route>,
    pub(crate) service: id::Service,
    pub(crate) customer: Option<id::Customer>,
    /// Priority of the request, as [`routing::Route::urgency`].
    pub(crate) urgency: u32,
    /// Where it may be processed.
    pub(crate) homes: routing::Homes,
    pub(crate) deadline: clock::Moment,
    /// Computed on first use.
    pub(crate) fingerprint: sync::OnceLock<fingerprint::Fingerprint>,
    /// Whether its last connection broke in a way in which lethal requests break theirs.
    pub(crate) was_at_crash: atomic::AtomicBool,
    /// What was sent of it.
    pub(crate) sends: retries::Sends,
}

/// An attempt whose answer has begun.
#[derive(Debug)]
pub(crate) struct OpenAnswer {
    pub(crate) exchange: exchange::Exchange,
    pub(crate) answer: hyper::Response<hyper::body::Incoming>,
    pub(crate) in_flight: in_flight::Guard,
    pub(crate) upstream: id::Upstream,
    /// When the request was sent.
    pub(crate) sent_at: clock::Moment,
    /// When the head of the answer arrived.
    pub(crate) head_at: clock::Moment,
    /// How the end of its body is marked.
    pub(crate) framing: completeness::Framing,
    /// The upstream as it was listed when it was chosen.
    pub(crate) entry: routing::Registration,
    /// Whether the upstream had a limit on its requests when it was chosen.
    pub(crate) limited: bool,
    /// The host that carries the connection, if it is not direct.
    pub(crate) through: Option<id::Host>,
}

/// Forwards `request` and returns the upstream's answer.
///
/// # Errors
///
/// Why there is no answer of an upstream.
pub(crate) async fn handle(
    state: &sync::Arc<state::State>,
    request: Request,
    caller: Caller,
) -> Result<web::HttpResponse, answer::Fault> {
    state.wait_for_dispatches().await;
    let admitted = admit::admit(state, request)?;
    let deadline = admitted.deadline;
    let mut may_have_run = false;
    let left = deadline.since(state.clock.now());
    let work = attempts(admitted, caller, &mut may_have_run);
    let reason = tokio::select! {
        biased;
        result = work => return result,
        () = tokio::time::sleep(left) => Reason::DeadlinePassed,
        () = state.wait_for_phase(state::Phase::Ending) => Reason::Draining,
    };
    if may_have_run {
        let fault = answer::Fault::not_run(reason, Step::Stream, "no answer in time");
        return Err(fault.or_unknown(true));
    }
    let fault = answer::Fault::not_run(reason, Step::Route, "no place in time");
    let is_stopping = reason == Reason::Draining;
    Err(if is_stopping { fault.with_retry_after(RETRY_ELSEWHERE_AFTER) } else { fault })
}

/// Tries one upstream after another until one answers or no further attempt is allowed. Sets
/// `may_have_run` while an attempt may have run the request.
async fn attempts(
    admitted: Admitted,
    caller: Caller,
    may_have_run: &mut bool,
) -> Result<web::HttpResponse, answer::Fault> {
    let mut pending = request::Pending::new(admitted.repeat_rule());
    let mut avoid = Vec::new();
    let mut attempts = admitted.no_attempts();
    let mut last_failure: Option<attempt::Failure> = None;
    loop {
        let allocation = match (admitted.allocate(&avoid, attempts.is_sent()).await, last_failure) {
            (Ok(allocation), _) => allocation,
            (Err(place::Refusal::NoRetry), Some(failed)) => {
                admitted.record_retry_refusal(metrics::RetryRefusal::Budget);
                return Err(failed.to_fault(pending.end()));
            }
            (Err(refusal), _) => return Err(refusal.into_fault().or_unknown(attempts.runs() > 0)),
        };
        let upstream = allocation.placement.primary.upstream.clone();
        // Upstreams identify a request by the id that its caller gave it, so an attempt needs no id
        // of its own.
        let dispatched = pending.dispatch(id::Attempt(0));
        *may_have_run = true;
        let resume = admitted.request.head.last_event;
        let checked = match admitted.attempt(allocation, resume, &attempts).await {
            Ok(open) => admitted.check_answer(open, &attempts).await,
            Err(failed) => Err(failed),
        };
        let failed = match checked {
            Ok(checked) => return checked.deliver(admitted, caller, attempts).await,
            Err(failed) => failed,
        };
        admitted.log_failure(&upstream, &failed);
        if !failed.is_withheld() {
            avoid.push(failed.at_fault().unwrap_or(&upstream).clone());
        }
        if let Some(kind) = failed.kind() {
            attempts.record(kind);
        }
        pending = match &failed {
            attempt::Failure::Unsent(_) | attempt::Failure::Refused { .. } => dispatched.refused(),
            attempt::Failure::Withheld(_) => dispatched.withheld(),
            attempt::Failure::Lost(detail) => dispatched
                .lost()
                .retry()
                .map_err(|outcome| attempt::upstream_fault(outcome, detail))?,
        };
        *may_have_run = attempts.runs() > 0;
        let may_follow = admitted.may_retry(&attempts, &failed);
        if !may_follow || !admitted.cannot_read_late(&upstream).await {
            return Err(failed.to_fault(pending.end()));
        }
        last_failure = Some(failed);
    }
}

/// Bytes of an answer that is being buffered; they are released if it is not forwarded.
#[derive(Debug)]
pub(crate) struct Held<'a> {
    account: &'a buffers::Account,
    bytes: cell::Cell<usize>,
}

impl Held<'_> {
    pub(crate) fn new(account: &buffers::Account) -> Held<'_> {
        Held { account, bytes: cell::Cell::new(0) }
    }

    /// Adds `bytes`; returns false if this host cannot hold them.
    pub(crate) fn add(&self, bytes: usize) -> bool {
        self.bytes.set(self.bytes.get() + bytes);
        self.account.keep(bytes)
    }

    /// Keeps them until the caller takes them.
    fn keep(self) {
        self.bytes.set(0);
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.account.release(self.bytes.get());
    }
}

/// Returns what the body of an answer that is not streamed shows about its end. A body whose end is
/// marked is forwarded whatever it holds.
fn plain_content(
    framing: completeness::Framing,
    is_json: bool,
    body: &[u8],
) -> completeness::Content {
    if is_json && !framing.marks_end() {
        completeness::json(body)
    } else {
        completeness::Content::Silent
    }
}

/// An upstream's answer, checked as far as needed before the caller sees any of it.
#[derive(Debug)]
pub(crate) enum CheckedAnswer {
    /// An answer that was read to its end and is whole.
    Complete { status: u16, headers: Vec<head::Header>, body: Bytes },
    /// A stream that has begun.
    Stream { status: u16, headers: Vec<head::Header>, open: Box<OpenAnswer> },
}

impl CheckedAnswer {
    /// Turns the answer into the response to the caller; a stream goes on in a task of its own.
    /// `attempts` are those before it.
    async fn deliver(
        self,
        admitted: Admitted,
        caller: Caller,
        attempts: attempts::Attempts,
    ) -> Result<web::HttpResponse, answer::Fault> {
        let closing = admitted.state.phase() > state::Phase::Serving;
        match self {
            CheckedAnswer::Complete { status, headers, body } => {
                let span = admitted.state.clock.now().since(admitted.request.arrived);
                // Answers that are not streamed are recorded without a prompt length.
                admitted.state.metrics.record_first_event(0, span);
                admitted.state.metrics.count_answer(admitted.service.as_str(), None);
                admitted.log_end("whole", status);
                let mut builder = answer::forward_head(status, &headers, closing);
                let body = ntex::util::Bytes::copy_from_slice(&body);
                let account = admitted.request.account;
                // From here on it waits for the caller.
                account.release(body.len());
                body::watch(body.len(), caller, account);
                Ok(builder.body(body))
            }
            CheckedAnswer::Stream { status, headers, open } => {
                let mut builder = answer::forward_head(status, &headers, closing);
                if caller.reads_chunks {
                    let body = stream::start(admitted, *open, caller, attempts);
                    return Ok(builder.streaming(body));
                }
                let body = stream::collect(admitted, *open, caller, attempts).await;
                body.map(|body| builder.body(body)).ok_or_else(|| {
                    attempt::upstream_fault(Outcome::Unknown, "the stream was broken off")
                })
            }
        }
    }
}

impl Admitted {
    /// Returns whether the request may run more than once. If not, it is retried only after
    /// attempts that certainly did not run it.
    fn repeat_rule(&self) -> request::Repeat {
        if self.route.kind.may_repeat() { request::Repeat::Allowed } else { request::Repeat::Never }
    }

    /// Returns the time until the request's deadline.
    pub(crate) fn time_left(&self) -> clock::Span {
        self.deadline.since(self.state.clock.now())
    }

    /// Returns the target for the longest gap between events; zero if the answer is not streamed.
    pub(crate) fn gap_target(&self) -> clock::Span {
        match self.route.kind {
            routing::Kind::Stream { max_gap, .. } => max_gap,
            routing::Kind::Idempotent | routing::Kind::Once => clock::Span::ZERO,
        }
    }

    /// Returns the count of attempts of a request that was not sent.
    fn no_attempts(&self) -> attempts::Attempts {
        let runs = self.route.max_attempts;
        attempts::Attempts::new(attempts::Limits {
            runs,
            refusals: MAX_REFUSALS,
            unsent: runs + MAX_REFUSALS,
        })
    }

    /// Whether another attempt is worthwhile and within the limits of the request. `attempts` are
    /// those that ended, the one that `failed` included. Whether the retry budget allows it is asked
    /// when it is placed.
    pub(crate) fn may_retry(
        &self,
        attempts: &attempts::Attempts,
        failed: &attempt::Failure,
    ) -> bool {
        let within_limits = match failed.kind() {
            Some(kind) => attempts.may_follow(kind),
            None => attempts.runs_left() > 0,
        };
        if !within_limits {
            self.record_retry_refusal(metrics::RetryRefusal::Attempts);
            return false;
        }
        let is_in_time = self.time_left() >= MIN_TIME_LEFT;
        if !is_in_time {
            self.record_retry_refusal(metrics::RetryRefusal::Deadline);
        }
        is_in_time
    }

    /// Counts and logs that the request is not sent again.
    pub(crate) fn record_retry_refusal(&self, reason: metrics::RetryRefusal) {
        self.state.metrics.count_retry_refusal(reason);
        event::Line::new("retry_refused")
            .text("request", &self.request.head.request_id)
            .text("reason", reason.as_str())
            .number("retries_left", self.state.retries_left(&self.service))
            .info();
    }

    /// Records for placement that bytes of an answer arrived from `upstream`, which shows that it
    /// is alive.
    pub(crate) fn record_activity(&self, upstream: &id::Upstream) {
        self.state.with_placer(&self.service, |placer, now| placer.record_activity(upstream, now));
    }

    /// Sends the request to an upstream and waits for the head of its answer. `attempts` are those
    /// before this one.
    pub(crate) async fn attempt(
        &self,
        allocation: place::Allocation,
        last_event: Option<u64>,
        attempts: &attempts::Attempts,
    ) -> Result<OpenAnswer, attempt::Failure> {
        let place::Allocation { placement, id: dispatch_id, in_flight, leave, placed_at } =
            allocation;
        let primary = &placement.primary;
        let connect = CONNECT_TIMEOUT.min(self.time_left());
        let purpose = path::Purpose::Request(self.admission(), self.homes.clone());
        let unsent = |failure: exchange::Failure| {
            attempt::Failure::Unsent(format!("{}: {failure}", primary.upstream))
        };
        let connection = match path::connect(&self.state, primary, purpose, connect).await {
            Ok(connection) => connection,
            Err(failure) => {
                if failure.verdict.is_down() {
                    self.record_failure(&primary.upstream);
                }
                return Err(unsent(failure.into()));
            }
        };
        let through = connection.through().cloned();
        let mut exchange = exchange::Exchange::open(connection).await.map_err(unsent)?;
        if self.is_call() && attempts.is_sent() {
            self.check_reading(primary, &mut exchange, through.as_ref()).await?;
        }
        let withheld = self.withhold_reason(&placement);
        if let Some(detail) = withheld.or_else(|| self.stale_permit(&placement, placed_at)) {
            self.state.metrics.sends_prevented.inc();
            return Err(attempt::Failure::Withheld(detail));
        }
        let request = self.encode(&placement, in_flight.reservations(), last_event);
        let request = request.map_err(|error| attempt::Failure::Unsent(error.to_string()))?;
        self.log_dispatch(&placement, dispatch_id.number, attempts, through.as_ref());
        if placement.limited {
            self.state.metrics.count_limited_send(&primary.upstream);
        }
        let mut sent = self.record_send(leave, attempts, &mut exchange);
        self.state.count_send(primary);
        let sent_at = self.state.clock.now();
        let answer = {
            let mut send = std::pin::pin!(sent.send(request));
            loop {
                match tokio::time::timeout(silence::CHECK_INTERVAL, &mut send).await {
                    Ok(Ok(answer)) => break answer,
                    Ok(Err(failure)) => {
                        let progress = self.progress_before_answer();
                        if matches!(failure, exchange::Failure::Lost(_)) {
                            self.record_unresponsive(&primary.upstream);
                        }
                        self.record_broken_answer(&primary.upstream, &failure, progress);
                        return Err(attempt::Failure::Lost(format!(
                            "{}: {failure}",
                            primary.upstream
                        )));
                    }
                    // The last upstream that may be tried is not abandoned: it may merely be busy.
                    Err(_) if !self.may_run_elsewhere(attempts) => {}
                    Err(_) => {
                        let silent = self.state.clock.now().since(sent_at);
                        if let Some(why) = self.abandon_reason(&placement, dispatch_id, silent) {
                            self.record_unresponsive(&primary.upstream);
                            let detail = format!("{}: {why}, for {silent:?}", primary.upstream);
                            return Err(attempt::Failure::Lost(detail));
                        }
                    }
                }
            }
        };
        sent.read();
        Ok(OpenAnswer {
            framing: exchange::framing(&answer),
            exchange,
            answer,
            in_flight,
            upstream: primary.upstream.clone(),
            sent_at,
            head_at: self.state.clock.now(),
            entry: primary.clone(),
            limited: placement.limited,
            through,
        })
    }

    /// Returns why a placed request must not be sent now, and because of which upstream; `None` if it
    /// may be.
    fn withhold_reason(&self, placement: &placement::Placement) -> Option<String> {
        let helpers = placement.helpers.iter().map(|helper| &helper.entry);
        let mut placed = std::iter::once(&placement.primary).chain(helpers);
        placed.find_map(|entry| {
            let why = self.state.exclusion(entry, &self.homes, routing::Work::New)?;
            Some(format!("{}: {why}", entry.upstream))
        })
    }

    /// Records that a dispatch is sent on `exchange` now, after `attempts`.
    fn record_send<'a>(
        &'a self,
        leave: place::Leave,
        attempts: &attempts::Attempts,
        exchange: &'a mut exchange::Exchange,
    ) -> retries::Sent<'a> {
        match leave {
            place::Leave::First => return retries::Sent::new(self, exchange, false),
            place::Leave::Own(charge) => charge.send(),
            place::Leave::Scheduler => self.state.record_granted_retry(&self.service),
        }
        self.state.count_retry(&self.service, attempts.last_sent());
        self.state.metrics.retries.inc();
        retries::Sent::new(self, exchange, true)
    }

    /// Returns how the request was admitted, for a host that carries its connection.
    fn admission(&self) -> path::message::Admission {
        path::message::Admission {
            version: self.state.routing_table().map_or(0, |table| table.version()),
            host: self.request.host.clone(),
            path: self.request.path.clone(),
            key: self.request.head.key.clone(),
            customer: self.customer.as_ref().map(ToString::to_string),
            request: self.request.head.request_id.clone(),
        }
    }

    /// Builds the request to the upstream of `placement`. The header for helpers also names the
    /// answering engine if it has a reservation.
    fn encode(
        &self,
        placement: &placement::Placement,
        reservations: Option<&reserve::Reservations>,
        last_event: Option<u64>,
    ) -> Result<hyper::Request<payload::Payload>, hyper::http::Error> {
        let helper = |helper: &placement::Helper| {
            let reservation =
                reservations.and_then(|reservations| reservations.id_on(&helper.entry.upstream));
            engine::format_helper(helper.entry.address, reservation)
        };
        let own =
            reservations.and_then(|reservations| reservations.id_on(&placement.primary.upstream));
        let own = own
            .map(|reservation| engine::format_helper(placement.primary.address, Some(reservation)));
        let dispatch = head::Dispatch {
            upstream: placement.primary.upstream.clone(),
            customer: self.customer.clone(),
            time_left: self.time_left(),
            priority: self.queue_priority(),
            helpers: own.into_iter().chain(placement.helpers.iter().map(helper)).collect(),
            last_event,
        };
        let mut request = hyper::Request::builder()
            .method(self.request.method.as_str())
            .uri(self.request.target.as_str());
        for field in head::forward_request(self.request.header_pairs(), &dispatch) {
            request = request.header(field.name, field.value);
        }
        request.body(payload::Payload::new(self.request.body.clone()))
    }

    /// Returns the fingerprint of the request, which does not depend on its id.
    pub(crate) fn fingerprint(&self) -> fingerprint::Fingerprint {
        let request = &self.request;
        let customer = self.customer_name();
        let compute = || {
            let segments = request.body.segments();
            fingerprint::Fingerprint::of_segments(customer, &request.target, segments)
        };
        *self.fingerprint.get_or_init(compute)
    }

    /// Returns the known progress of an upstream that has not begun to answer. Only a streamed
    /// answer begins when the request starts to run.
    fn progress_before_answer(&self) -> quarantine::Progress {
        match self.route.kind {
            routing::Kind::Stream { .. } => quarantine::Progress::Waiting,
            routing::Kind::Idempotent | routing::Kind::Once => quarantine::Progress::Unknown,
        }
    }

    /// Returns the request's priority in an engine's queue, from 0, first, to 9, last: urgent
    /// requests come first if the service has some, then short prompts.
    fn queue_priority(&self) -> Option<u8> {
        let prompt = self.request.head.prompt_tokens?;
        let length = match prompt {
            0..MEDIUM_PROMPT_TOKENS => 0,
            MEDIUM_PROMPT_TOKENS..LONG_PROMPT_TOKENS => 1,
            _ => 2,
        };
        let table = self.state.routing_table();
        let urgencies = table.as_ref().and_then(|table| table.urgencies(&self.service));
        let by_urgency = urgencies.and_then(|urgencies| {
            urgencies.queue_priority(self.urgency, length, LENGTH_PRIORITIES.len())
        });
        Some(by_urgency.unwrap_or(LENGTH_PRIORITIES[length]))
    }

    /// Records that an upstream failed: no host reaches it, or its answer is not a valid answer to
    /// the request.
    pub(crate) fn record_failure(&self, upstream: &id::Upstream) {
        self.record_outcome(upstream, message::UpstreamOutcome::Failed);
    }

    /// Records that an answer of `upstream` was broken off after `progress`, by the upstream or, if
    /// its bytes became no answer, by this host.
    pub(crate) fn record_broken_answer(
        &self,
        upstream: &id::Upstream,
        failure: &exchange::Failure,
        progress: quarantine::Progress,
    ) {
        if let exchange::Failure::Violated(violation) = failure {
            self.record_violation(upstream, *violation);
        } else {
            self.record_broken_connection(upstream, progress);
        }
    }

    /// Records that the connection to `upstream` is closed because of `violation`. Its process has
    /// not ended, so this is no evidence of a request that crashes upstreams.
    pub(crate) fn record_violation(&self, upstream: &id::Upstream, violation: progress::Violation) {
        self.record_failure(upstream);
        self.state.metrics.count_violation("answer", violation);
        event::Line::new("answer_violation")
            .text("request", &self.request.head.request_id)
            .text("upstream", upstream)
            .text("kind", violation.as_str())
            .warn();
    }

    /// Records and publishes how an upstream handled the request.
    pub(crate) fn record_outcome(
        &self,
        upstream: &id::Upstream,
        outcome: message::UpstreamOutcome,
    ) {
        self.state.record_observation(&self.service, message::Observation::new(upstream, outcome));
    }

    /// Checks the head of an answer, and reads its body unless it is a stream. `attempts` are those
    /// before it.
    pub(crate) async fn check_answer(
        &self,
        mut open: OpenAnswer,
        attempts: &attempts::Attempts,
    ) -> Result<CheckedAnswer, attempt::Failure> {
        let status = open.answer.status().as_u16();
        let headers = open.answer.headers();
        let fields: Vec<_> =
            headers.iter().map(|(name, value)| (name.as_str(), value.as_bytes())).collect();
        let read = head::read_answer(status, fields.iter().copied());
        let forwarded = head::forward_answer(fields.into_iter());
        let peer = &open.upstream;
        let wrong_request =
            read.request_id.as_deref().is_some_and(|id| id != self.request.head.request_id);
        self.observe_head(&open, &read);
        if read.not_run {
            let failed_helper =
                read.at_fault.and_then(|address| self.record_failed_helper(peer, address));
            let by =
                failed_helper.as_ref().map(|helper| format!(" by {helper}")).unwrap_or_default();
            let detail = format!("{peer}: refused with status {status}{by}");
            return Err(attempt::Failure::Refused { failed_helper, detail });
        }
        let success = (200..300).contains(&status);
        if wrong_request || success && (!read.signed || read.encoded) {
            self.record_failure(peer);
            return Err(attempt::Failure::Lost(format!("{peer}: not the answer to this request")));
        }
        let streams = matches!(self.route.kind, routing::Kind::Stream { .. });
        if success && streams {
            open.in_flight.record_first_token();
            return Ok(CheckedAnswer::Stream { status, headers: forwarded, open: Box::new(open) });
        }
        let held = Held::new(&self.request.account);
        let body = open
            .exchange
            .read_body(open.answer.body_mut(), MAX_BUFFERED_BODY, |length| held.add(length))
            .await;
        let body = body.map_err(|failure| {
            self.state.metrics.count_answer_end(open.framing, completeness::Completeness::Broken);
            self.record_broken_answer(peer, &failure, quarantine::Progress::Unknown);
            attempt::Failure::Lost(format!("{peer}: {failure}"))
        })?;
        let content = plain_content(open.framing, read.json, &body);
        let received = conclude::Received { bytes: body.len(), ..Default::default() };
        let conclusion = self.conclude(&open, content, received).await;
        if !conclusion.is_deliverable() {
            if conclusion.completeness == completeness::Completeness::Broken {
                self.record_broken_connection(peer, quarantine::Progress::Unknown);
            }
            return Err(attempt::Failure::Lost(format!("{peer}: the answer ended early")));
        }
        if status >= 500 {
            self.record_outcome(peer, message::UpstreamOutcome::Erred);
        }
        let repeatable = self.route.kind.may_repeat();
        let is_last = attempts.runs_left() <= 1 || self.time_left() < MIN_TIME_LEFT;
        if status >= 500 && repeatable && !is_last {
            return Err(attempt::Failure::Lost(format!("{peer}: answered with status {status}")));
        }
        if success && conclusion.is_outlived() {
            self.record_success(peer);
            if !body.is_empty() {
                self.clear();
                self.record_begun(open.head_at);
            }
        }
        let body = body.freeze();
        held.keep();
        Ok(CheckedAnswer::Complete { status, headers: forwarded, body })
    }

    /// Records that the engine at `address` failed to help `primary`, so that it is avoided for a
    /// while. Returns its name if it is a known upstream other than `primary`.
    fn record_failed_helper(
        &self,
        primary: &id::Upstream,
        address: net::SocketAddr,
    ) -> Option<id::Upstream> {
        let helper =
            self.state.with_placer(&self.service, |placer, _| placer.upstream_at(address).cloned());
        let helper = helper.flatten().filter(|helper| helper != primary)?;
        self.state.record_observation(
            &self.service,
            message::Observation::helper_failed(primary, &helper),
        );
        Some(helper)
    }

    /// Records that an upstream answered the request.
    pub(crate) fn record_success(&self, upstream: &id::Upstream) {
        self.record_outcome(upstream, message::UpstreamOutcome::Answered);
    }

    fn log_dispatch(
        &self,
        placement: &placement::Placement,
        number: u64,
        attempts: &attempts::Attempts,
        through: Option<&id::Host>,
    ) {
        let helpers: Vec<_> =
            placement.helpers.iter().map(|helper| helper.entry.upstream.as_str()).collect();
        let tables = &self.state.tables;
        let list = state::lock(&tables.upstreams).revision().unwrap_or_default();
        let list_age = tables::age(&self.state, tables.upstreams_confirmed_at());
        let backoff_ended = self.state.backoff_ended(&placement.primary.upstream);
        let backoff_ended = backoff_ended.map(|span| span.as_millis().to_string());
        event::Line::new("dispatch")
            .text("request", &self.request.head.request_id)
            .text("route", &self.route.name)
            .text("customer", self.customer_name())
            .text("parts", self.listed_parts())
            .text("upstream", &placement.primary.upstream)
            .number("dispatch", number)
            .number("attempt", attempts.total() + 1)
            // What the attempt that was sent before ended as; empty for the first.
            .text("after", attempts.last_sent().map_or("", attempts::Kind::as_str))
            // The host that carries the connection, if it is not direct.
            .text("through", through.map_or("", id::Host::as_str))
            .number("prompt_tokens", self.request.head.prompt_tokens.unwrap_or(0))
            .text("helpers", helpers.join(" "))
            .span("expected_ms", placement.expected)
            .span("left_ms", self.time_left())
            .number("limited", placement.limited)
            // Since when the upstream, after it turned this host away, wants requests again.
            .text("backoff_ended_ms", backoff_ended.unwrap_or_default())
            .number("list_version", list.version)
            .number("list_era", list.era)
            .span("list_age_ms", list_age.unwrap_or_default())
            // Estimated load of the chosen upstream and of the next best one.
            .text("believed", placement.estimate)
            .text(
                "believed_next",
                placement.runner_up.map(|next| next.to_string()).unwrap_or_default(),
            )
            .info();
    }

    pub(crate) fn log_failure(&self, upstream: &id::Upstream, failed: &attempt::Failure) {
        // An attempt failed.
        event::Line::new("attempt_missed")
            .text("request", &self.request.head.request_id)
            .text("upstream", upstream)
            .text("outcome", failed.label())
            .text("detail", failed.detail())
            .text("fingerprint", self.fingerprint())
            .text("customer", self.customer_name())
            .text("parts", self.listed_parts())
            .warn();
    }

    /// Returns the name of the customer, empty if there is none.
    pub(crate) fn customer_name(&self) -> &str {
        self.customer.as_ref().map_or("", id::Customer::as_str)
    }

    /// Returns the shared parts of the prompt for the log.
    pub(crate) fn listed_parts(&self) -> String {
        let parts: Vec<_> = self.request.head.shared_parts.iter().map(id::Part::as_str).collect();
        parts.join(" ")
    }

    pub(crate) fn log_end(&self, how: &str, status: u16) {
        let span = self.state.clock.now().since(self.request.arrived);
        event::Line::new("answered")
            .text("request", &self.request.head.request_id)
            .text("route", &self.route.name)
            .text("how", how)
            .number("status", status)
            .span("after_ms", span)
            .info();
    }
}
