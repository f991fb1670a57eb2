//! Entry hosts as tasks that go on only when the fuzz says so.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::task::noop_waker;
use lagoonline::clock::{self, Clock as _};
use lagoonline::life::{claim, request, safeguard};
use lagoonline::{id, outcome};

use super::platform::{Platform, pause};
use super::upstream::{Failed, Upstream};

pub const HOSTS: usize = 3;
const DEADLINE: clock::Span = clock::Span::from_secs(10);

/// What a caller sends.
#[derive(Clone, Debug)]
pub struct Call {
    pub number: u32,
    pub customer: u8,
    pub key: Option<u8>,
    pub body: u8,
    pub never: bool,
}

/// What a caller heard.
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
    sent: Cell<bool>,
}

impl Case {
    /// The first word is the one that the caller hears.
    fn tell(&self, outcome: outcome::Outcome, answer: Option<Bytes>, replayed: bool) {
        self.told.borrow_mut().get_or_insert(Told { outcome, answer, replayed });
    }
}

type Claims = claim::Claims<Platform, Platform, clock::Fake>;

/// What the entry hosts share with the fuzz.
#[derive(Clone, Default)]
pub struct Outside {
    pub platform: Platform,
    pub upstream: Upstream,
    pub clock: clock::Fake,
    /// Claims that were dispatched.
    pub dispatched: Rc<RefCell<BTreeSet<id::Attempt>>>,
}

pub struct Task {
    pub case: Rc<Case>,
    pub token: id::Attempt,
    future: Option<Pin<Box<dyn Future<Output = ()>>>>,
    pub crashed: bool,
    /// Time passed by more than its patience before it ended.
    pub overslept: bool,
}

pub struct World {
    pub outside: Outside,
    pub tasks: Vec<Task>,
    pub incarnations: [u64; HOSTS],
    pub paused: [bool; HOSTS],
    /// Customer and key of calls that were let in, by token.
    pub tokens: BTreeMap<String, usize>,
    safeguards: safeguard::Set,
    sweeper: claim::Sweeper,
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
            sweeper: claim::Sweeper::new(claim::Sweep { batch: 2, ..claim::Sweep::default() }),
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
        let case = Rc::new(Case { call, host, deadline, told, sent: Cell::new(false) });
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

    /// Lets one of the unfinished tasks go on.
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
        self.end_overdue();
    }

    pub fn advance(&mut self, span: clock::Span) {
        self.outside.clock.advance(span);
        self.end_overdue();
    }

    /// The timer of each running host: a caller hears by its deadline what is known.
    fn end_overdue(&self) {
        let now = self.outside.clock.now();
        for task in &self.tasks {
            let case = &task.case;
            let due = now >= case.deadline && !self.paused[case.host] && !task.crashed;
            if due && case.sent.get() {
                case.tell(outcome::Outcome::Unknown, None, false);
            } else if due {
                case.tell(outcome::Outcome::NotRun, None, false);
            }
        }
    }

    pub fn oversleep(&mut self) {
        for task in &mut self.tasks {
            task.overslept |= task.future.is_some();
        }
    }

    /// Retention may remove the row that shuts out a late commit. The key is then held until
    /// retention ends once more: a stated limit, so these calls are excused from that check.
    fn excuse_late(&mut self) {
        if self.outside.platform.late() > 0 {
            for task in &mut self.tasks {
                task.overslept = true;
            }
        }
    }

    pub fn sweep(&mut self) {
        self.excuse_late();
        let now = self.outside.clock.wall_millis();
        let platform = self.outside.platform.clone();
        let mut step = Box::pin(self.sweeper.step(&platform, now));
        // A lost answer only delays the sweep.
        while poll(step.as_mut()).is_pending() {}
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

/// What the entry host's adapter does with one call.
async fn serve(claims: Claims, outside: Outside, case: Rc<Case>, token: id::Attempt) {
    let Some(key) = case.call.key else {
        let held = request::Held::new(repeat(&case.call));
        return unclaimed(&outside, &case, held).await;
    };
    let ask = claim::Ask {
        customer: id::Customer::from(format!("customer-{}", case.call.customer)),
        key: format!("key-{key}"),
        body: claim::body_hash("POST", "/", &[case.call.body, u8::from(case.call.never)]),
        repeat: repeat(&case.call),
        token,
        upstream: id::Upstream::from("upstream"),
        deadline: case.deadline,
        wall_ms: outside.clock.wall_millis(),
    };
    let mut begun = claims.begin(ask.clone()).await;
    if let Ok(claim::Begin::Running(running)) = &begun {
        // This fake engine keeps no streams to resume.
        begun = claims.take_over(ask, running).await;
    }
    match begun {
        Ok(claim::Begin::Run(ticket)) => claimed(&claims, &outside, &case, ticket).await,
        Ok(claim::Begin::Replay(answer)) => {
            case.tell(outcome::Outcome::Done, Some(answer.body), true);
        }
        Ok(claim::Begin::Unclaimed) => {
            unclaimed(&outside, &case, request::Held::new(repeat(&case.call))).await;
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

/// Goes on until the row is settled: the caller has its answer long before.
async fn settle(claims: &Claims, abandoned: Option<claim::Abandoned>) {
    while let Some(abandoned) = &abandoned {
        if claims.settle(abandoned).await {
            return;
        }
        pause().await;
    }
}

async fn claimed(claims: &Claims, outside: &Outside, case: &Case, mut ticket: claim::Ticket) {
    let mut held = request::Held::new(repeat(&case.call));
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
        case.sent.set(true);
        let attempt = id::Attempt(u128::from(held.attempts()));
        let dispatched = held.dispatch(attempt);
        match outside.upstream.call(&case.call, now).await {
            Ok(body) => {
                let outcome = dispatched.answering().complete();
                case.tell(outcome, Some(body.clone()), false);
                return finish(claims, sent, body).await;
            }
            Err(Failed::Refused) => {
                case.sent.set(false);
                held = dispatched.refused();
                ticket = sent.refused();
            }
            Err(Failed::Lost) => {
                case.tell(dispatched.lost().end(), None, false);
                return claims.lose(sent).await;
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

/// A call without a claim: once, or again where it may repeat.
async fn unclaimed(outside: &Outside, case: &Case, mut held: request::Held) {
    loop {
        let now = outside.clock.now();
        if now >= case.deadline || held.attempts() >= 2 {
            return case.tell(held.end(), None, false);
        }
        case.sent.set(true);
        let attempt = id::Attempt(u128::from(held.attempts()));
        let dispatched = held.dispatch(attempt);
        match outside.upstream.call(&case.call, now).await {
            Ok(body) => {
                return case.tell(dispatched.answering().complete(), Some(body), false);
            }
            Err(Failed::Refused) => {
                held = dispatched.refused();
                case.sent.set(held.attempts() > 1);
            }
            Err(Failed::Lost) => match dispatched.lost().again() {
                Ok(again) => held = again,
                Err(outcome) => return case.tell(outcome, None, false),
            },
        }
    }
}
