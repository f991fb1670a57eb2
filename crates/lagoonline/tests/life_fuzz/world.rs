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

use super::platform::{Fault, Platform, pause};
use super::upstream::{Failed, Upstream};

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
    pub never: bool,
}

/// The answer that a caller received.
#[derive(Clone, Debug)]
pub struct Told {
    pub outcome: outcome::Outcome,
    pub answer: Option<Bytes>,
    pub replayed: bool,
}

/// One call at one entry host.
pub struct Case {
    pub call: Call,
    pub host: usize,
    pub deadline: clock::Moment,
    pub told: RefCell<Option<Told>>,
}

impl Case {
    /// Records the answer for the caller; only the first one counts.
    fn tell(&self, outcome: outcome::Outcome, answer: Option<Bytes>, replayed: bool) {
        self.told.borrow_mut().get_or_insert(Told { outcome, answer, replayed });
    }
}

type Claims = claim::Claims<Platform, Platform, clock::Fake>;

/// External systems shared by the entry hosts and the test.
#[derive(Clone, Default)]
pub struct Outside {
    pub platform: Platform,
    pub upstream: Upstream,
    pub clock: clock::Fake,
    /// Tokens of the claims that were dispatched.
    pub dispatched: Rc<RefCell<BTreeSet<id::Attempt>>>,
}

pub struct Task {
    pub case: Rc<Case>,
    pub token: id::Attempt,
    future: Option<Pin<Box<dyn Future<Output = ()>>>>,
    pub crashed: bool,
    /// Whether its write grace passed before it ended, or the retention passed before its delayed
    /// commit was applied.
    pub overslept: bool,
}

pub struct World {
    pub outside: Outside,
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
            outside: Outside::default(),
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
        let deadline = self.outside.clock.now() + DEADLINE;
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
        let outside = self.outside.clone();
        let ports = (outside.platform.clone(), outside.platform.clone(), outside.clock.clone());
        let claims = claim::Claims::new(ports.0, ports.1, ports.2, settings);
        let told = RefCell::new(None);
        let case = Rc::new(Case { call, host, deadline, told });
        let future = Box::pin(serve(claims, outside, Rc::clone(&case), token));
        self.tokens.insert(token.to_string(), self.tasks.len());
        self.tasks.push(Task {
            case,
            token,
            future: Some(future),
            crashed: false,
            overslept: false,
        });
    }

    /// Polls one of the unfinished tasks.
    pub fn poll(&mut self, pick: usize, times: usize) {
        let paused = self.paused;
        let ready = |task: &Task| task.future.is_some() && !paused[task.case.host];
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
    pub fn ask_again(&mut self, host: usize) {
        let open = |task: &&Task| task.future.is_some() && task.case.host == host;
        let Some(call) = self.tasks.iter().find(open).map(|task| task.case.call.clone()) else {
            return;
        };
        let number = u32::try_from(self.tasks.len()).expect("few calls");
        self.call((host + 1) % HOSTS, Call { number, ..call });
        if !self.paused[(host + 1) % HOSTS] {
            (0..POLLS).for_each(|_| self.tasks[number as usize].step());
        }
        self.outside.upstream.fault(Fault::Refuse);
        self.resume(host);
    }

    pub fn is_idle(&self) -> bool {
        self.tasks.iter().all(|task| task.future.is_none())
    }

    pub fn crash(&mut self, host: usize) {
        self.incarnations[host] += 1;
        self.paused[host] = false;
        for task in self.tasks.iter_mut().filter(|task| task.case.host == host) {
            task.crashed |= task.future.take().is_some();
        }
    }

    pub fn resume(&mut self, host: usize) {
        self.paused[host] = false;
        self.wake_overdue();
    }

    pub fn advance(&mut self, span: clock::Span) {
        self.outside.clock.advance(span);
        self.wake_overdue();
    }

    /// Polls overdue tasks, as the timers of running hosts would.
    fn wake_overdue(&mut self) {
        let (now, paused) = (self.outside.clock.now(), self.paused);
        let due = |task: &&mut Task| now >= task.case.deadline && !paused[task.case.host];
        self.tasks.iter_mut().filter(due).for_each(Task::step);
    }

    pub fn oversleep(&mut self) {
        for task in &mut self.tasks {
            task.overslept |= task.future.is_some();
        }
    }

    /// A sweep may delete the row that blocks a delayed commit of a claim, so that the commit holds
    /// the key for one more retention. This is a documented limit; only the affected calls are
    /// exempt.
    pub fn sweep(&mut self) {
        let before = self.outside.platform.late_over_rows();
        let now = self.outside.clock.wall_millis();
        let platform = self.outside.platform.clone();
        for sweeper in &mut self.sweepers {
            let mut step = Box::pin(sweeper.step(&platform, now));
            // A lost answer only delays the sweep.
            while poll(step.as_mut()).is_pending() {}
        }
        let after = platform.late_over_rows();
        for token in before.difference(&after) {
            self.tasks[self.tokens[token]].overslept = true;
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
async fn within<F>(outside: &Outside, case: &Case, mut work: Pin<&mut F>) -> Option<F::Output>
where
    F: Future,
{
    let timed = future::poll_fn(|context| match work.as_mut().poll(context) {
        Poll::Ready(output) => Poll::Ready(Some(output)),
        Poll::Pending if outside.clock.now() >= case.deadline => Poll::Ready(None),
        Poll::Pending => Poll::Pending,
    });
    timed.await
}

/// Handles one call as the entry host's adapter does.
async fn serve(claims: Claims, outside: Outside, case: Rc<Case>, token: id::Attempt) {
    let Some(key) = case.call.key else {
        let held = request::Pending::new(repeat(&case.call));
        return unclaimed(&outside, &case, held).await;
    };
    let ask = claim::Request {
        customer: id::Customer::from(format!("customer-{}", case.call.customer)),
        key: format!("key-{key}"),
        body_hash: claim::body_hash("POST", "/", &[case.call.body, u8::from(case.call.never)]),
        repeat: repeat(&case.call),
        token,
        upstream: id::Upstream::from("upstream"),
        deadline: case.deadline,
        wall_ms: outside.clock.wall_millis(),
    };
    let mut begin = Box::pin(async {
        match claims.begin(ask.clone()).await {
            // This fake engine has no streams that could be resumed.
            Ok(claim::Begin::Running(running)) => claims.take_over(ask, &running).await,
            begun => begun,
        }
    });
    let mut begun = within(&outside, &case, begin.as_mut()).await;
    if begun.is_none() {
        case.tell(request::Pending::new(repeat(&case.call)).end(), None, false);
        begun = Some(begin.as_mut().await);
    }
    drop(begin);
    let Some(begun) = begun else { return };
    match begun {
        Ok(claim::Begin::Run(ticket)) => claimed(&claims, &outside, &case, ticket).await,
        Ok(claim::Begin::Replay(answer)) => {
            case.tell(outcome::Outcome::Done, Some(answer.body), true);
        }
        Ok(claim::Begin::Unclaimed) => {
            unclaimed(&outside, &case, request::Pending::new(repeat(&case.call))).await;
        }
        Ok(claim::Begin::Running(_)) => case.tell(outcome::Outcome::Unknown, None, false),
        Err(refusal) => {
            case.tell(refusal.failure.outcome, None, false);
            settle(&claims, refusal.abandoned).await;
        }
    }
}

fn repeat(call: &Call) -> request::Repeat {
    if call.never { request::Repeat::Never } else { request::Repeat::Allowed }
}

/// Retries until the row is settled; the caller was answered long before.
async fn settle(claims: &Claims, abandoned: Option<claim::Abandoned>) {
    while let Some(abandoned) = &abandoned {
        if claims.settle(abandoned).await {
            return;
        }
        pause().await;
    }
}

async fn claimed(claims: &Claims, outside: &Outside, case: &Case, mut ticket: claim::Ticket) {
    let mut held = request::Pending::new(repeat(&case.call));
    loop {
        let now = outside.clock.now();
        let over = held.attempts() >= 2;
        let sent = match ticket.dispatch(now) {
            Ok(sent) if !over => sent,
            Ok(sent) => return release(claims, case, sent.refused(), held.end()).await,
            Err(claim::Expired(ticket)) => {
                return release(claims, case, *ticket, held.end()).await;
            }
        };
        outside.dispatched.borrow_mut().insert(sent.token());
        let attempt = id::Attempt(u128::from(held.attempts()));
        let dispatched = held.dispatch(attempt);
        let mut call = Box::pin(outside.upstream.call(&case.call, now));
        let Some(result) = within(outside, case, call.as_mut()).await else {
            case.tell(dispatched.lost().end(), None, false);
            return match call.await {
                Ok(body) => finish(claims, sent, body).await,
                Err(Failed::Refused) => settle(claims, claims.release(sent.refused()).await).await,
                Err(Failed::Lost) => claims.mark_unknown(sent).await,
            };
        };
        match result {
            Ok(body) => {
                let outcome = dispatched.answering().complete();
                case.tell(outcome, Some(body.clone()), false);
                return finish(claims, sent, body).await;
            }
            Err(Failed::Refused) => {
                held = dispatched.refused();
                ticket = sent.refused();
            }
            Err(Failed::Lost) => {
                case.tell(dispatched.lost().end(), None, false);
                return claims.mark_unknown(sent).await;
            }
        }
    }
}

async fn release(claims: &Claims, case: &Case, ticket: claim::Ticket, outcome: outcome::Outcome) {
    case.tell(outcome, None, false);
    let abandoned = claims.release(ticket).await;
    settle(claims, abandoned).await;
}

async fn finish(claims: &Claims, sent: claim::Sent, body: Bytes) {
    let answer = claim::Answer { status: 200, content_type: "text/plain".into(), body };
    let mut result = claims.finish(sent, answer).await;
    while let Err(unstored) = result {
        pause().await;
        result = claims.finish(unstored.sent, unstored.answer).await;
    }
}

/// Runs a call without a claim: once, or again if it may repeat.
async fn unclaimed(outside: &Outside, case: &Case, mut held: request::Pending) {
    loop {
        let now = outside.clock.now();
        if now >= case.deadline || held.attempts() >= 2 {
            return case.tell(held.end(), None, false);
        }
        let attempt = id::Attempt(u128::from(held.attempts()));
        let dispatched = held.dispatch(attempt);
        let mut call = Box::pin(outside.upstream.call(&case.call, now));
        let Some(result) = within(outside, case, call.as_mut()).await else {
            case.tell(dispatched.lost().end(), None, false);
            // The upstream does not notice that its caller has left.
            return drop(call.await);
        };
        match result {
            Ok(body) => {
                return case.tell(dispatched.answering().complete(), Some(body), false);
            }
            Err(Failed::Refused) => held = dispatched.refused(),
            Err(Failed::Lost) => match dispatched.lost().retry() {
                Ok(again) => held = again,
                Err(outcome) => return case.tell(outcome, None, false),
            },
        }
    }
}
