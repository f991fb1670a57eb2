//! One call of the platform: budget, breaker, deadline, and what its answer means.

use std::sync;

use lagoonline::clock;
use lagoonline::clock::Clock;
use lagoonline::control::platform;
use lagoonline::port::table;
use ntex::client;
use ntex::http;
use ntex::time;
use ntex::util;

use super::settings;

/// Seconds' worth of calls that may be made at once after a quiet time.
const BURST_SECONDS: f64 = 5.0;

/// Largest answer that is read, in bytes.
const ANSWER_LIMIT: usize = 64 << 20;

/// Kind of a call: each has its own budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Kind {
    Read,
    Write,
}

#[derive(Debug)]
struct Rules {
    reads: platform::Budget,
    writes: platform::Budget,
    breaker: platform::Breaker,
}

/// Budget and breaker that all threads of a process share.
#[derive(Debug)]
pub struct Limits {
    settings: settings::Settings,
    clock: clock::System,
    rules: sync::Mutex<Rules>,
}

impl Limits {
    /// Full budgets and a closed breaker.
    ///
    /// ```
    /// use lagoon_net::platform;
    /// let limits = platform::Limits::new(platform::Settings::default());
    /// assert!(!limits.is_breaker_open());
    /// ```
    pub fn new(settings: settings::Settings) -> sync::Arc<Self> {
        let clock = clock::System::default();
        let budget = |rate: f64| {
            platform::Budget::new(rate, (rate * BURST_SECONDS).max(1.0), clock::Moment::START)
        };
        let rules = Rules {
            reads: budget(settings.reads_per_second),
            writes: budget(settings.writes_per_second),
            breaker: platform::Breaker::new(settings.breaker_pause),
        };
        sync::Arc::new(Limits { settings, clock, rules: sync::Mutex::new(rules) })
    }

    fn rules(&self) -> sync::MutexGuard<'_, Rules> {
        self.rules.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Whether calls are held back because the platform failed lately.
    pub fn is_breaker_open(&self) -> bool {
        !self.rules().breaker.clone().admit(self.clock.now())
    }

    fn admit(&self, kind: Kind) -> Result<(), &'static str> {
        let now = self.clock.now();
        let mut rules = self.rules();
        if !rules.breaker.admit(now) {
            return Err("not called: it failed lately");
        }
        let budget = match kind {
            Kind::Read => &mut rules.reads,
            Kind::Write => &mut rules.writes,
        };
        if budget.take(now) { Ok(()) } else { Err("not called: over this process's budget") }
    }

    fn answered(&self) {
        self.rules().breaker.record_answer();
    }

    fn failed(&self) {
        let now = self.clock.now();
        self.rules().breaker.record_failure(now, rand::random());
    }
}

/// The platform, as one worker thread reaches it.
#[derive(Clone, Debug)]
pub struct Client {
    http: client::Client,
    limits: sync::Arc<Limits>,
    peer: String,
    zone: String,
}

/// An answer: its status and body.
pub(super) struct Answer {
    pub(super) status: http::StatusCode,
    pub(super) body: util::Bytes,
}

/// One call, before it is sent.
pub(super) struct Call<'a> {
    pub(super) step: &'static str,
    pub(super) kind: Kind,
    pub(super) method: http::Method,
    pub(super) path: String,
    pub(super) query: &'a [(&'a str, &'a str)],
    pub(super) body: Option<util::Bytes>,
}

impl Client {
    /// A client that names `zone` in its calls. Must be made within a running ntex system.
    pub async fn new(limits: sync::Arc<Limits>, zone: &str) -> Self {
        let http = client::Client::new().await;
        let peer = limits.settings.address.to_string();
        Client { http, limits, peer, zone: zone.to_owned() }
    }

    /// The limits that it keeps.
    pub fn limits(&self) -> &sync::Arc<Limits> {
        &self.limits
    }

    pub(super) fn refused<W>(&self, step: &'static str, why: W) -> table::Error
    where
        W: ToString,
    {
        table::Error::Refused { step, peer: self.peer.clone(), why: why.to_string() }
    }

    fn unknown<W>(&self, step: &'static str, why: W) -> table::Error
    where
        W: ToString,
    {
        table::Error::Unknown { step, peer: self.peer.clone(), why: why.to_string() }
    }

    /// Makes a call. An answer of 200 or 404 comes back; 409 is a conflict; 429 and 503 say that
    /// nothing was written; anything else leaves that open.
    pub(super) async fn call(&self, call: Call<'_>) -> Result<Answer, table::Error> {
        let step = call.step;
        self.limits.admit(call.kind).map_err(|why| self.refused(step, why))?;
        let timeout = self.limits.settings.timeout;
        let millis = u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX);
        let result = time::timeout(time::Millis(millis), self.send(call)).await;
        let answer = match result {
            Ok(result) => result,
            Err(()) => Err(self.unknown(step, "timed out")),
        };
        match &answer {
            Ok(answer) if answer.status.is_server_error() => self.limits.failed(),
            Ok(_) => self.limits.answered(),
            Err(_) => self.limits.failed(),
        }
        self.judge(step, answer?)
    }

    async fn send(&self, call: Call<'_>) -> Result<Answer, table::Error> {
        let step = call.step;
        let url = format!("http://{}{}", self.peer, call.path);
        let request = self.http.request(call.method, url);
        let request = request.set_header("Lagoon-Zone", self.zone.as_str());
        let request = request.timeout(time::Millis::ZERO);
        let request = match call.query {
            [] => request,
            query => request.query(&query).map_err(|error| self.refused(step, error))?,
        };
        let sent = match call.body {
            Some(body) => request.content_type("application/json").send_body(body).await,
            None => request.send().await,
        };
        let response = sent.map_err(|error| match error {
            // Nothing was sent on a connection that was never made.
            client::error::ClientError::Connect(error) => self.refused(step, error),
            client::error::ClientError::Url(error) => self.refused(step, error),
            error => self.unknown(step, error),
        })?;
        let body = response.body().limit(ANSWER_LIMIT).timeout(time::Millis::ZERO).await;
        let body = body.map_err(|error| self.unknown(step, error))?;
        Ok(Answer { status: response.status(), body })
    }

    fn judge(&self, step: &'static str, answer: Answer) -> Result<Answer, table::Error> {
        match answer.status {
            http::StatusCode::OK | http::StatusCode::NOT_FOUND => Ok(answer),
            http::StatusCode::CONFLICT => Err(table::Error::Conflict { step }),
            http::StatusCode::TOO_MANY_REQUESTS | http::StatusCode::SERVICE_UNAVAILABLE => {
                Err(self.refused(step, answer.status))
            }
            status if status.is_client_error() => Err(self.refused(step, status)),
            status => Err(self.unknown(step, status)),
        }
    }

    /// Reads an answer's JSON.
    pub(super) fn parse<T>(&self, step: &'static str, body: &[u8]) -> Result<T, table::Error>
    where
        T: serde::de::DeserializeOwned,
    {
        serde_json::from_slice(body).map_err(|error| self.unknown(step, error))
    }
}
