//! Entry hosts as tasks that make progress only when the test polls them.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::future::{self, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::task::noop_waker;
use lagoonline::clock::{self, Clock as _};
use lagoonline::lifecycle::{claim, request, safeguard};
use lagoonline::{id, outcome};

use super::platform::{Fault, Platform, yield_once};
use super::upstream::{CallError, Upstream};

pub const HOSTS: usize = 3;
/// Number of polls after which an undisturbed call has run but its answer is not stored yet.
const POLLS: usize = 4;
const DEADLINE: clock::Span = clock::Span::from_secs(10);

/// A call sent by a caller.
#[derive(Clone, Debug)]
pub struct Call {
    pub number: u32,
    pub customer: u8,
    pub key: Option<u8>,
    pub body: u8,
    pub at_most_once: bool,
}

/// The answer that a caller received.
#[derive(Clone, Debug)]
pub struct Response {
    pub outcome: outcome::Outcome,
    pub answer: Option<Bytes>,
    pub replayed: bool,
}

/// One call at one entry host.
pub struct Exchange {
    pub call: Call,
    pub host: usize,
    pub deadline: clock::Moment,
    pub response: RefCell<Option<Response>>,
}

impl Exchange {
    /// Records the answer for the caller; only the first one counts.
    fn respond(&self, outcome: outcome::Outcome, answer: Option<Bytes>, replayed: bool) {
        self.response.borrow_mut().get_or_insert(Response { outcome, answer, replayed });
    }
}

type Claims = claim::Claims<Platform, Platform, clock::Fake>;

/// External systems shared by the entry hosts and the test.
#[derive(Clone, Default)]
pub struct Environment {
    pub platform: Platform,
    pub upstream: Upstream,
    pub clock: clock::Fake,
    /// Tokens of the claims that were dispatched.
    pub dispatched: Rc<RefCell<BTreeSet<id::Attempt>>>,
}

pub struct Task {
    pub exchange: Rc<Exchange>,
    pub token: id::Attempt,
    future: Option<Pin<Box<dyn Future<Output = ()>>>>,
    pub crashed: bool,
    /// Whether its claim may hold the key although its call was never dispatched, because its write
    /// grace passed before it ended, or a sweep deleted the row that blocked its delayed commit.
    pub may_hold_key: bool,
}

pub struct World {
    pub environment: Environment,
    pub tasks: Vec<Task>,
    pub incarnations: [u64; HOSTS],
    pub paused: [bool; HOSTS],
    /// Index of each call's task, by claim token.
    pub tokens: BTreeMap<String, usize>,
    safeguards: safeguard::Set,
    sweepers: [claim::Sweeper; 2],
}

impl World {
    pub fn new(safeguards: safeguard::Set) -> Self {
        World {
            environment: Environment::default(),
            tasks: Vec::new(),
            incarnations: [1; HOSTS],
            paused: [false; HOSTS],
            tokens: BTreeMap::new(),
            safeguards,
            sweepers: ["key-0", "key-1"].map(|key| {
                let settings = claim::SweepSettings { batch: 2, ..claim::SweepSettings::default() };
                claim::Sweeper::new(settings, claim::shard(key))
            }),
        }
    }

    pub fn call(&mut self, host: usize, call: Call) {
        let token = id::Attempt(u128::from(call.number) + 1);
        let deadline = self.environment.clock.now() + DEADLINE;
        let owner = id::Owner {
            host: id::Host::from(format!("host-{host}")),
            incarnation: id::Incarnation(self.incarnations[host]),
        };
        let settings = claim::Settings {
            owner,
            inline_bytes: 30,
            safeguards: self.safeguards,
            ..claim::Settings::default()
        };
        let environment = self.environment.clone();
        let ports =
            (environment.platform.clone(), environment.platform.clone(), environment.clock.clone());
        let claims = claim::Claims::new(ports.0, ports.1, ports.2, settings);
        let response = RefCell::new(None);
        let exchange = Rc::new(Exchange { call, host, deadline, response });
        let future = Box::pin(serve(claims, environment, Rc::clone(&exchange), token));
        self.tokens.insert(token.to_string(), self.tasks.len());
        self.tasks.push(Task {
            exchange,
            token,
            future: Some(future),
            crashed: false,
            may_hold_key: false,
        });
    }

    /// Polls one of the unfinished tasks.
    pub fn poll(&mut self, pick: usize, times: usize) {
        let paused = self.paused;
        let ready = |task: &Task| task.future.is_some() && !paused[task.exchange.host];
        let open: Vec<_> = (0..self.tasks.len()).filter(|n| ready(&self.tasks[*n])).collect();
        if open.is_empty() {
            return;
        }
        let task = &mut self.tasks[open[pick % open.len()]];
        for _ in 0..times {
            task.step();
        }
    }

    /// Retries a call of the paused `host` at the next host. While that one serves the call, `host`
    /// resumes and learns that the upstream refused its own attempt.
    pub fn retry_elsewhere(&mut self, host: usize) {
        let open = |task: &&Task| task.future.is_some() && task.exchange.host == host;
        let Some(call) = self.tasks.iter().find(open).map(|task| task.exchange.call.clone()) else {
            return;
        };
        let number = u32::try_from(self.tasks.len()).expect("few calls");
        self.call((host + 1) % HOSTS, Call { number, ..call });
        if !self.paused[(host + 1) % HOSTS] {
            (0..POLLS).for_each(|_| self.tasks[number as usize].step());
        }
        self.environment.upstream.inject(Fault::Refuse);
        self.resume(host);
    }

    pub fn is_idle(&self) -> bool {
        self.tasks.iter().all(|task| task.future.is_none())
    }

    pub fn crash(&mut self, host: usize) {
        self.incarnations[host] += 1;
        self.paused[host] = false;
        for task in self.tasks.iter_mut().filter(|task| task.exchange.host == host) {
            task.crashed |= task.future.take().is_some();
        }
    }

    pub fn resume(&mut self, host: usize) {
        self.paused[host] = false;
        self.poll_overdue();
    }

    pub fn advance(&mut self, span: clock::Span) {
        self.environment.clock.advance(span);
        self.poll_overdue();
    }

    /// Polls overdue tasks, as the timers of running hosts would.
    fn poll_overdue(&mut self) {
        let (now, paused) = (self.environment.clock.now(), self.paused);
        let due = |task: &&mut Task| now >= task.exchange.deadline && !paused[task.exchange.host];
        self.tasks.iter_mut().filter(due).for_each(Task::step);
    }

    /// Allows the claims of all unfinished tasks to hold their keys, as their write grace is about
    /// to pass.
    pub fn let_unfinished_hold_keys(&mut self) {
        for task in &mut self.tasks {
            task.may_hold_key |= task.future.is_some();
        }
    }

    /// A sweep may delete the row that blocks a delayed commit of a claim, so that the commit holds
    /// the key for one more retention. This is a known limit; only the claims of the affected
    /// calls may hold their keys.
    pub fn sweep(&mut self) {
        let before = self.environment.platform.delayed_with_row();
        let now = self.environment.clock.wall_millis();
        let platform = self.environment.platform.clone();
        for sweeper in &mut self.sweepers {
            let mut step = Box::pin(sweeper.step(&platform, now));
            // A lost answer only delays the sweep.
            while poll(step.as_mut()).is_pending() {}
        }
        let after = platform.delayed_with_row();
        for token in before.difference(&after) {
            self.tasks[self.tokens[token]].may_hold_key = true;
        }
    }
}

impl Task {
    fn step(&mut self) {
        let done = self.future.as_mut().is_some_and(|future| poll(future.as_mut()).is_ready());
        if done {
            self.future = None;
        }
    }
}

fn poll<F>(future: Pin<&mut F>) -> Poll<F::Output>
where
    F: Future + ?Sized,
{
    future.poll(&mut Context::from_waker(&noop_waker()))
}

/// The entry host's timer: returns the result of `work`, or `None` if it is still pending at the
/// deadline.
async fn until_deadline<F>(
    environment: &Environment,
    exchange: &Exchange,
    mut work: Pin<&mut F>,
) -> Option<F::Output>
where
    F: Future,
{
    let timed = future::poll_fn(|context| match work.as_mut().poll(context) {
        Poll::Ready(output) => Poll::Ready(Some(output)),
        Poll::Pending if environment.clock.now() >= exchange.deadline => Poll::Ready(None),
        Poll::Pending => Poll::Pending,
    });
    timed.await
}

/// Handles one call as the entry host's adapter does.
async fn serve(
    claims: Claims,
    environment: Environment,
    exchange: Rc<Exchange>,
    token: id::Attempt,
) {
    let Some(key) = exchange.call.key else {
        let pending = request::Pending::new(repeat(&exchange.call));
        return run_unclaimed(&environment, &exchange, pending).await;
    };
    let request = claim::Request {
        customer: id::Customer::from(format!("customer-{}", exchange.call.customer)),
        key: format!("key-{key}"),
        request_hash: claim::request_hash(
            "POST",
            "/",
            &[exchange.call.body, u8::from(exchange.call.at_most_once)],
        ),
        repeat: repeat(&exchange.call),
        token,
        upstream: id::Upstream::from("upstream"),
        deadline: exchange.deadline,
        wall_ms: environment.clock.wall_millis(),
    };
    let mut begin = Box::pin(async {
        match claims.begin(request.clone()).await {
            // This fake engine has no streams that could be resumed.
            Ok(claim::Begin::Running(running)) => claims.take_over(request, &running).await,
            begun => begun,
        }
    });
    let mut begun = until_deadline(&environment, &exchange, begin.as_mut()).await;
    if begun.is_none() {
        exchange.respond(request::Pending::new(repeat(&exchange.call)).end(), None, false);
        begun = Some(begin.as_mut().await);
    }
    drop(begin);
    let Some(begun) = begun else { return };
    match begun {
        Ok(claim::Begin::Run(ticket)) => {
            run_claimed(&claims, &environment, &exchange, ticket).await
        }
        Ok(claim::Begin::Replay(answer)) => {
            exchange.respond(outcome::Outcome::Done, Some(answer.body), true);
        }
        Ok(claim::Begin::Unclaimed) => {
            run_unclaimed(&environment, &exchange, request::Pending::new(repeat(&exchange.call)))
                .await;
        }
        Ok(claim::Begin::Running(_)) => exchange.respond(outcome::Outcome::Unknown, None, false),
        Err(refusal) => {
            exchange.respond(refusal.failure.outcome, None, false);
            settle(&claims, refusal.abandoned).await;
        }
    }
}

fn repeat(call: &Call) -> request::Repeat {
    if call.at_most_once { request::Repeat::Never } else { request::Repeat::Allowed }
}

/// Retries until the row is settled; the caller was answered long before.
async fn settle(claims: &Claims, abandoned: Option<claim::Abandoned>) {
    while let Some(abandoned) = &abandoned {
        if claims.settle(abandoned).await {
            return;
        }
        yield_once().await;
    }
}

async fn run_claimed(
    claims: &Claims,
    environment: &Environment,
    exchange: &Exchange,
    mut ticket: claim::Ticket,
) {
    let mut pending = request::Pending::new(repeat(&exchange.call));
    loop {
        let now = environment.clock.now();
        let is_exhausted = pending.attempts() >= 2;
        let sent = match ticket.dispatch(now) {
            Ok(sent) if !is_exhausted => sent,
            Ok(sent) => return release(claims, exchange, sent.refused(), pending.end()).await,
            Err(claim::Expired(ticket)) => {
                return release(claims, exchange, *ticket, pending.end()).await;
            }
        };
        environment.dispatched.borrow_mut().insert(sent.token());
        // The fake upstream ignores attempt ids, so they need not be unique.
        let attempt = id::Attempt(u128::from(pending.attempts()));
        let dispatched = pending.dispatch(attempt);
        let mut call = Box::pin(environment.upstream.call(&exchange.call, now));
        let Some(result) = until_deadline(environment, exchange, call.as_mut()).await else {
            exchange.respond(dispatched.lost().end(), None, false);
            return match call.await {
                Ok(body) => finish(claims, sent, body).await,
                Err(CallError::Refused) => {
                    settle(claims, claims.release(sent.refused()).await).await
                }
                Err(CallError::Lost) => claims.mark_unknown(sent).await,
            };
        };
        match result {
            Ok(body) => {
                let outcome = dispatched.answering().complete();
                exchange.respond(outcome, Some(body.clone()), false);
                return finish(claims, sent, body).await;
            }
            Err(CallError::Refused) => {
                pending = dispatched.refused();
                ticket = sent.refused();
            }
            Err(CallError::Lost) => {
                exchange.respond(dispatched.lost().end(), None, false);
                return claims.mark_unknown(sent).await;
            }
        }
    }
}

async fn release(
    claims: &Claims,
    exchange: &Exchange,
    ticket: claim::Ticket,
    outcome: outcome::Outcome,
) {
    exchange.respond(outcome, None, false);
    let abandoned = claims.release(ticket).await;
    settle(claims, abandoned).await;
}

async fn finish(claims: &Claims, sent: claim::Sent, body: Bytes) {
    let answer = claim::Answer { status: 200, content_type: "text/plain".into(), body };
    let mut result = claims.finish(sent, answer).await;
    while let Err(unstored) = result {
        yield_once().await;
        result = claims.finish(unstored.sent, unstored.answer).await;
    }
}

/// Runs a call without a claim: once, or again if it may repeat.
async fn run_unclaimed(
    environment: &Environment,
    exchange: &Exchange,
    mut pending: request::Pending,
) {
    loop {
        let now = environment.clock.now();
        if now >= exchange.deadline || pending.attempts() >= 2 {
            return exchange.respond(pending.end(), None, false);
        }
        // The fake upstream ignores attempt ids, so they need not be unique.
        let attempt = id::Attempt(u128::from(pending.attempts()));
        let dispatched = pending.dispatch(attempt);
        let mut call = Box::pin(environment.upstream.call(&exchange.call, now));
        let Some(result) = until_deadline(environment, exchange, call.as_mut()).await else {
            exchange.respond(dispatched.lost().end(), None, false);
            // The upstream does not notice that its caller has left.
            return drop(call.await);
        };
        match result {
            Ok(body) => {
                return exchange.respond(dispatched.answering().complete(), Some(body), false);
            }
            Err(CallError::Refused) => pending = dispatched.refused(),
            Err(CallError::Lost) => match dispatched.lost().retry() {
                Ok(again) => pending = again,
                Err(outcome) => return exchange.respond(outcome, None, false),
            },
        }
    }
}
