//! Handling of one caller's request: admission, attempts at upstreams, and the answer.

use std::net;
use std::sync;

use bytes::Bytes;
use lagoon_platform::{engine, head};
use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::life::{fingerprint, quarantine, request};
use lagoonline::load::placement;
use lagoonline::outcome::{Outcome, Reason, Step};
use lagoonline::routing;
use ntex::web;

use crate::admit;
use crate::answer;
use crate::attempt;
use crate::connection;
use crate::event;
use crate::exchange;
use crate::place;
use crate::reserve;
use crate::silence;
use crate::state;
use crate::stream;
use crate::underway;
use crate::word;

/// A caller's request with its complete body.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) method: String,
    /// Path and query as sent by the caller.
    pub(crate) target: String,
    pub(crate) path: String,
    pub(crate) host: String,
    pub(crate) fields: Vec<(String, Vec<u8>)>,
    pub(crate) body: Bytes,
    pub(crate) call: head::Call,
    pub(crate) arrived: clock::Moment,
}

impl Request {
    fn head(&self) -> impl Iterator<Item = (&str, &[u8])> + Clone {
        self.fields.iter().map(|(name, value)| (name.as_str(), value.as_slice()))
    }
}

/// The caller that waits for the answer; held until the last byte has been handed over.
#[derive(Debug)]
pub(crate) struct Caller {
    /// The caller's connection.
    pub(crate) io: Option<ntex::io::IoRef>,
    /// Keeps the connection from being closed as idle.
    pub(crate) _busy: Option<connection::Busy>,
    /// Keeps the process from shutting down.
    pub(crate) _active: state::Active,
}

/// Maximum size in bytes of an answer that is not streamed; it is buffered until complete.
const WHOLE: usize = 8 << 20;
/// Timeout for connecting to an upstream: zones are some milliseconds apart, and a lost packet is
/// retransmitted after 200 ms.
const CONNECT: clock::Span = clock::Span::from_millis(350);
/// Minimum time left before the deadline for another attempt.
pub(crate) const WORTH_TRYING: clock::Span = clock::Span::from_millis(40);
/// Retry time given to callers when nothing better is known: a restarted upstream or a new version
/// is seen within this.
pub(crate) const COME_BACK: clock::Span = clock::Span::from_millis(400);
/// Retry time given to a caller that only this host rejects: at once, at another host.
pub(crate) const ELSEWHERE: clock::Span = clock::Span::from_millis(20);
/// Prompt length in tokens from which a prompt ranks behind short ones in an engine.
const MEDIUM_PROMPT: u64 = 25_000;
/// Prompt length in tokens from which a prompt ranks behind medium ones.
const LONG_PROMPT: u64 = 110_000;
/// Refusals by upstreams that a request may meet in addition to its attempts.
const REFUSALS: u32 = 2;

/// An admitted request.
#[derive(Debug)]
pub(crate) struct Admitted {
    pub(crate) state: sync::Arc<state::State>,
    pub(crate) request: Request,
    pub(crate) route: sync::Arc<routing::Route>,
    pub(crate) service: id::Service,
    pub(crate) customer: Option<id::Customer>,
    pub(crate) deadline: clock::Moment,
    /// Computed on first use.
    pub(crate) fingerprint: sync::OnceLock<fingerprint::Fingerprint>,
}

/// An attempt whose answer has begun.
#[derive(Debug)]
pub(crate) struct Live {
    pub(crate) exchange: exchange::Exchange,
    pub(crate) answer: hyper::Response<hyper::body::Incoming>,
    pub(crate) underway: underway::Underway,
    pub(crate) upstream: id::Upstream,
    /// When the head of the answer arrived.
    pub(crate) began: clock::Moment,
}

/// Forwards `request` and returns the upstream's answer.
///
/// # Errors
///
/// Why there is no answer of an upstream.
pub(crate) async fn answer(
    state: &sync::Arc<state::State>,
    request: Request,
    caller: Caller,
) -> Result<web::HttpResponse, answer::Fault> {
    state.acquainted().await;
    let admitted = admit::admit(state, request)?;
    let deadline = admitted.deadline;
    let mut may_have_run = false;
    let left = deadline.since(state.clock.now());
    let work = attempts(admitted, caller, &mut may_have_run);
    match tokio::time::timeout(left, work).await {
        Ok(result) => result,
        Err(_) if may_have_run => Err(answer::Fault {
            outcome: Outcome::Unknown,
            ..answer::Fault::not_run(Reason::DeadlinePassed, Step::Stream, "no answer in time")
        }),
        Err(_) => {
            Err(answer::Fault::not_run(Reason::DeadlinePassed, Step::Route, "no place in time"))
        }
    }
}

async fn attempts(
    admitted: Admitted,
    caller: Caller,
    may_have_run: &mut bool,
) -> Result<web::HttpResponse, answer::Fault> {
    let mut held = request::Held::new(admitted.repeat());
    let mut avoid = Vec::new();
    let mut attempts = 0;
    let mut refusals = 0;
    let mut lost = false;
    loop {
        let secured = admitted.secure(&avoid).await.map_err(|fault| fault.if_lost(lost))?;
        let upstream = secured.placement.first.upstream.clone();
        // Upstreams identify a request by its caller's id, so an attempt needs no id of its own.
        let dispatched = held.dispatch(id::Attempt(0));
        attempts += 1;
        *may_have_run = true;
        let resume = admitted.request.call.last_event;
        let taken = match admitted.attempt(secured, resume, attempts).await {
            Ok(live) => admitted.take_answer(live, avoid.len()).await,
            Err(miss) => Err(miss),
        };
        let missed = match taken {
            Ok(taken) => return Ok(taken.deliver(admitted, caller)),
            Err(missed) => missed,
        };
        admitted.log_miss(&upstream, &missed);
        avoid.push(missed.at_fault().unwrap_or(&upstream).clone());
        held = match &missed {
            attempt::Miss::Unsent(_) => dispatched.refused(),
            attempt::Miss::Refused { .. } => {
                refusals += 1;
                dispatched.refused()
            }
            attempt::Miss::Lost(detail) => {
                lost = true;
                dispatched.lost().again().map_err(|outcome| attempt::failed(outcome, detail))?
            }
        };
        *may_have_run = lost;
        if !admitted.may_try_again(held.attempts(), refusals, &missed) {
            return Err(missed.give_up(held.end()));
        }
        admitted.state.metrics.repeats.inc();
    }
}

/// An upstream's answer, checked as far as needed before the caller sees any of it.
#[derive(Debug)]
pub(crate) enum Taken {
    /// A complete answer.
    Whole { status: u16, fields: Vec<head::Field>, body: Bytes },
    /// A stream that has begun.
    Stream { status: u16, fields: Vec<head::Field>, live: Box<Live> },
}

impl Taken {
    fn deliver(self, admitted: Admitted, caller: Caller) -> web::HttpResponse {
        let closing = admitted.state.phase() > state::Phase::Serving;
        match self {
            Taken::Whole { status, fields, body } => {
                let span = admitted.state.clock.now().since(admitted.request.arrived);
                admitted.state.metrics.first_event(0, span);
                admitted.state.metrics.answered(admitted.service.as_str(), None);
                admitted.log_end("whole", status);
                let mut builder = answer::pass_back(status, &fields, closing);
                builder.body(ntex::util::Bytes::copy_from_slice(&body))
            }
            Taken::Stream { status, fields, live } => {
                let mut builder = answer::pass_back(status, &fields, closing);
                let body = stream::start(admitted, *live, caller);
                builder.streaming(body)
            }
        }
    }
}

impl Admitted {
    fn repeat(&self) -> request::Repeat {
        if self.route.kind.may_repeat() { request::Repeat::Allowed } else { request::Repeat::Never }
    }

    /// Returns the time until the request's deadline.
    pub(crate) fn left(&self) -> clock::Span {
        self.deadline.since(self.state.clock.now())
    }

    pub(crate) fn gap(&self) -> clock::Span {
        match self.route.kind {
            routing::Kind::Stream { gap, .. } => gap,
            routing::Kind::Idempotent | routing::Kind::Once => clock::Span::ZERO,
        }
    }

    /// Whether another attempt is allowed and worthwhile. Takes it from the retry budget.
    pub(crate) fn may_try_again(
        &self,
        attempts: u32,
        refusals: u32,
        missed: &attempt::Miss,
    ) -> bool {
        let within = match missed {
            attempt::Miss::Unsent(_) => attempts < self.route.attempts + REFUSALS,
            attempt::Miss::Refused { .. } => refusals <= REFUSALS,
            attempt::Miss::Lost(_) => attempts < self.route.attempts + refusals,
        };
        if !within || self.left() < WORTH_TRYING {
            return false;
        }
        let unsent = matches!(missed, attempt::Miss::Unsent(_));
        let desk = self.state.desk(&self.service);
        unsent || desk.is_some_and(|desk| state::lock(&desk).budget.take())
    }

    /// Records activity of an upstream: bytes of an answer arrived.
    pub(crate) fn heard(&self, upstream: &id::Upstream) {
        self.state.with_board(&self.service, |board, now| board.heard(upstream, now));
    }

    /// Sends the request to an upstream and waits for the head of its answer.
    pub(crate) async fn attempt(
        &self,
        secured: place::Secured,
        last_event: Option<u64>,
        attempts: u32,
    ) -> Result<Live, attempt::Miss> {
        let place::Secured { placement, id: work_id, underway } = secured;
        let first = &placement.first;
        let connect = CONNECT.min(self.left());
        let opened = exchange::Exchange::open(first.address, connect).await;
        let mut exchange = opened.map_err(|failure| {
            self.suspect(&first.upstream);
            attempt::Miss::Unsent(format!("{}: {failure}", first.upstream))
        })?;
        let request = self.encode(&placement, underway.reserved(), last_event);
        let request = request.map_err(|error| attempt::Miss::Unsent(error.to_string()))?;
        self.log_dispatch(&placement, work_id.number);
        if let Some(desk) = self.state.desk(&self.service) {
            state::lock(&desk).budget.first_attempt();
        }
        let sent = self.state.clock.now();
        let answer = {
            let mut send = std::pin::pin!(exchange.send(request));
            loop {
                match tokio::time::timeout(silence::LOOK, &mut send).await {
                    Ok(Ok(answer)) => break answer,
                    Ok(Err(failure)) => {
                        self.suspect(&first.upstream);
                        self.broke(&first.upstream, self.before_answer());
                        return Err(attempt::Miss::Lost(format!("{}: {failure}", first.upstream)));
                    }
                    // The last upstream that may be tried is not abandoned: it may merely be busy.
                    Err(_) if !self.may_repeat(attempts) => {}
                    Err(_) => {
                        let silent = self.state.clock.now().since(sent);
                        if let Some(why) = self.give_up_after(&placement, work_id, silent) {
                            self.suspect(&first.upstream);
                            let detail = format!("{}: {why}, for {silent:?}", first.upstream);
                            return Err(attempt::Miss::Lost(detail));
                        }
                    }
                }
            }
        };
        let began = self.state.clock.now();
        Ok(Live { exchange, answer, underway, upstream: first.upstream.clone(), began })
    }

    fn encode(
        &self,
        placement: &placement::Placement,
        reserved: Option<&reserve::Held>,
        last_event: Option<u64>,
    ) -> Result<hyper::Request<exchange::Payload>, hyper::http::Error> {
        let helper = |helper: &placement::Helper| {
            let ticket = reserved.and_then(|held| held.on(&helper.entry.upstream));
            engine::helper(helper.entry.address, ticket)
        };
        let own = reserved.and_then(|held| held.on(&placement.first.upstream));
        let own = own.map(|ticket| engine::helper(placement.first.address, Some(ticket)));
        let dispatch = head::Dispatch {
            upstream: placement.first.upstream.clone(),
            customer: self.customer.clone(),
            time_left: self.left(),
            rank: self.rank(),
            helpers: own.into_iter().chain(placement.helpers.iter().map(helper)).collect(),
            last_event,
        };
        let mut request = hyper::Request::builder()
            .method(self.request.method.as_str())
            .uri(self.request.target.as_str());
        for field in head::forward(self.request.head(), &dispatch) {
            request = request.header(field.name, field.value);
        }
        request.body(exchange::Payload::new(self.request.body.clone()))
    }

    /// Returns the fingerprint of the request, which does not depend on its id.
    pub(crate) fn fingerprint(&self) -> fingerprint::Fingerprint {
        let customer = self.customer.as_ref().map_or("", id::Customer::as_str);
        let request = &self.request;
        let compute = || fingerprint::Fingerprint::new(customer, &request.target, &request.body);
        *self.fingerprint.get_or_init(compute)
    }

    /// Returns the known progress of an upstream that has not begun to answer. Only a streamed
    /// answer begins when the request starts to run.
    fn before_answer(&self) -> quarantine::Progress {
        match self.route.kind {
            routing::Kind::Stream { .. } => quarantine::Progress::Waiting,
            routing::Kind::Idempotent | routing::Kind::Once => quarantine::Progress::Unknown,
        }
    }

    /// Returns the request's rank in an engine: short prompts come first.
    fn rank(&self) -> Option<u8> {
        let prompt = self.request.call.prompt_tokens?;
        Some(match prompt {
            0..MEDIUM_PROMPT => 1,
            MEDIUM_PROMPT..LONG_PROMPT => 6,
            _ => 8,
        })
    }

    pub(crate) fn suspect(&self, upstream: &id::Upstream) {
        self.saw(upstream, word::Manner::Failed);
    }

    pub(crate) fn saw(&self, upstream: &id::Upstream, manner: word::Manner) {
        self.state.saw(&self.service, word::Seen::new(upstream, manner));
    }

    /// Checks the head of an answer, and reads its body unless it is a stream.
    pub(crate) async fn take_answer(
        &self,
        mut live: Live,
        earlier: usize,
    ) -> Result<Taken, attempt::Miss> {
        let status = live.answer.status().as_u16();
        let headers = live.answer.headers();
        let fields: Vec<_> =
            headers.iter().map(|(name, value)| (name.as_str(), value.as_bytes())).collect();
        let read = head::read_answer(status, fields.iter().copied());
        let passed = head::pass_back(fields.into_iter());
        let peer = &live.upstream;
        if read.not_run {
            let helper = read.at_fault.and_then(|address| self.blame(peer, address));
            let by = helper.as_ref().map(|helper| format!(" by {helper}")).unwrap_or_default();
            let detail = format!("{peer}: refused with status {status}{by}");
            return Err(attempt::Miss::Refused { helper, detail });
        }
        let other = read.request_id.as_deref().is_some_and(|id| id != self.request.call.request_id);
        let good = (200..300).contains(&status);
        if other || good && (!read.proven || read.encoded) {
            self.suspect(peer);
            return Err(attempt::Miss::Lost(format!("{peer}: not the answer to this request")));
        }
        let streams = matches!(self.route.kind, routing::Kind::Stream { .. });
        if good && streams {
            live.underway.first_token();
            return Ok(Taken::Stream { status, fields: passed, live: Box::new(live) });
        }
        let body = live.exchange.whole(live.answer.body_mut(), WHOLE).await;
        let body = body.map_err(|failure| {
            self.broke(peer, quarantine::Progress::Unknown);
            attempt::Miss::Lost(format!("{peer}: {failure}"))
        })?;
        if status >= 500 {
            self.saw(peer, word::Manner::Erred);
        }
        let repeatable = self.route.kind.may_repeat();
        let last = earlier + 1 >= self.route.attempts as usize || self.left() < WORTH_TRYING;
        if status >= 500 && repeatable && !last {
            return Err(attempt::Miss::Lost(format!("{peer}: answered with status {status}")));
        }
        if good {
            self.answered(peer);
            if !body.is_empty() {
                self.clear();
            }
        }
        Ok(Taken::Whole { status, fields: passed, body: body.freeze() })
    }

    /// Records that the engine at `address` failed to help `first`, so that it is avoided for a
    /// while. Returns its name if it is a known upstream other than `first`.
    fn blame(&self, first: &id::Upstream, address: net::SocketAddr) -> Option<id::Upstream> {
        let helper = self.state.with_board(&self.service, |board, _| board.at(address).cloned());
        let helper = helper.flatten().filter(|helper| helper != first)?;
        self.state.saw(&self.service, word::Seen::unhelped(first, &helper));
        Some(helper)
    }

    pub(crate) fn answered(&self, upstream: &id::Upstream) {
        self.saw(upstream, word::Manner::Answered);
    }

    fn log_dispatch(&self, placement: &placement::Placement, number: u64) {
        let helpers: Vec<_> =
            placement.helpers.iter().map(|helper| helper.entry.upstream.as_str()).collect();
        event::Line::new("dispatch")
            .text("request", &self.request.call.request_id)
            .text("route", &self.route.name)
            .text("upstream", &placement.first.upstream)
            .number("dispatch", number)
            .number("prompt_tokens", self.request.call.prompt_tokens.unwrap_or(0))
            .text("helpers", helpers.join(" "))
            .span("expected_ms", placement.expected)
            .span("left_ms", self.left())
            .text("believed", placement.belief)
            .text("believed_next", placement.next.map(|next| next.to_string()).unwrap_or_default())
            .info();
    }

    pub(crate) fn log_miss(&self, upstream: &id::Upstream, missed: &attempt::Miss) {
        event::Line::new("attempt_missed")
            .text("request", &self.request.call.request_id)
            .text("upstream", upstream)
            .text("outcome", missed.word())
            .text("detail", missed.detail())
            .text("fingerprint", self.fingerprint())
            .warn();
    }

    pub(crate) fn log_end(&self, how: &str, status: u16) {
        let span = self.state.clock.now().since(self.request.arrived);
        event::Line::new("answered")
            .text("request", &self.request.call.request_id)
            .text("route", &self.route.name)
            .text("how", how)
            .number("status", status)
            .span("after_ms", span)
            .info();
    }
}
