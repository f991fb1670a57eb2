//! Calls to the platform: rate budget, circuit breaker, timeout, and interpretation of responses.

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
use crate::framing;

/// Burst size of a budget, in seconds of its rate.
const BURST_SECONDS: f64 = 5.0;

/// Maximum size of a response body, in bytes.
const RESPONSE_LIMIT: usize = 64 << 20;

/// Kind of a call; reads and writes have separate budgets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Kind {
    Read,
    Write,
}

#[derive(Debug)]
struct State {
    reads: platform::Budget,
    writes: platform::Budget,
    breaker: platform::Breaker,
}

/// Limits on the calls to the platform: the budgets and the circuit breaker, with the settings and
/// the clock that they need. Shared by all threads of a process.
#[derive(Debug)]
pub struct Limits {
    settings: settings::Settings,
    clock: clock::System,
    state: sync::Mutex<State>,
}

impl Limits {
    /// Creates full budgets and a closed breaker.
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
        let state = State {
            reads: budget(settings.reads_per_second),
            writes: budget(settings.writes_per_second),
            breaker: platform::Breaker::new(settings.breaker_pause),
        };
        sync::Arc::new(Limits { settings, clock, state: sync::Mutex::new(state) })
    }

    fn state(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Whether the breaker currently blocks calls because several in a row have failed.
    pub fn is_breaker_open(&self) -> bool {
        !self.state().breaker.clone().admit(self.clock.now())
    }

    /// Checks the breaker and takes one call from the budget.
    fn admit(&self, kind: Kind) -> Result<(), &'static str> {
        let now = self.clock.now();
        let mut state = self.state();
        if !state.breaker.admit(now) {
            return Err("not called: it failed lately");
        }
        let budget = match kind {
            Kind::Read => &mut state.reads,
            Kind::Write => &mut state.writes,
        };
        if budget.take(now) { Ok(()) } else { Err("not called: over this process's budget") }
    }

    fn record_answer(&self) {
        self.state().breaker.record_answer();
    }

    fn record_failure(&self) {
        let now = self.clock.now();
        self.state().breaker.record_failure(now, rand::random());
    }
}

/// Client of the platform for one worker thread.
#[derive(Clone, Debug)]
pub struct Client {
    http: client::Client,
    limits: sync::Arc<Limits>,
    /// Address of the platform, for URLs and errors.
    address: String,
    zone: String,
}

/// Status and body of a response.
pub(super) struct Response {
    pub(super) status: http::StatusCode,
    pub(super) body: util::Bytes,
}

/// Parameters of a call.
pub(super) struct Call<'a> {
    /// Name of the operation, for errors.
    pub(super) step: &'static str,
    pub(super) kind: Kind,
    pub(super) method: http::Method,
    pub(super) path: String,
    pub(super) query: &'a [(&'a str, &'a str)],
    pub(super) body: Option<util::Bytes>,
}

impl Client {
    /// Creates a client that sends `zone` with each call. Must be called within a running ntex
    /// system.
    pub async fn new(limits: sync::Arc<Limits>, zone: &str) -> Self {
        let http = client::Client::new().await;
        let address = limits.settings.address.to_string();
        Client { http, limits, address, zone: zone.to_owned() }
    }

    /// Returns the limits that its calls are subject to.
    pub fn limits(&self) -> &sync::Arc<Limits> {
        &self.limits
    }

    pub(super) fn refused<W>(&self, step: &'static str, why: W) -> table::Error
    where
        W: ToString,
    {
        table::Error::Refused { step, peer: self.address.clone(), why: why.to_string() }
    }

    fn unknown<W>(&self, step: &'static str, why: W) -> table::Error
    where
        W: ToString,
    {
        table::Error::Unknown { step, peer: self.address.clone(), why: why.to_string() }
    }

    /// Makes a call. Returns responses with status 200 or 404. 409 is a conflict; with 429, 503 and
    /// any other 4xx nothing was written; after any other failure it is unknown whether something
    /// was.
    pub(super) async fn call(&self, call: Call<'_>) -> Result<Response, table::Error> {
        let step = call.step;
        self.limits.admit(call.kind).map_err(|why| self.refused(step, why))?;
        let timeout = self.limits.settings.timeout;
        let millis = u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX);
        let result = time::timeout(time::Millis(millis), self.send(call)).await;
        let response = match result {
            Ok(result) => result,
            Err(()) => Err(self.unknown(step, "timed out")),
        };
        match &response {
            Ok(response) if response.status.is_server_error() => self.limits.record_failure(),
            Ok(_) => self.limits.record_answer(),
            Err(_) => self.limits.record_failure(),
        }
        self.check_status(step, response?)
    }

    async fn send(&self, call: Call<'_>) -> Result<Response, table::Error> {
        let step = call.step;
        let url = format!("http://{}{}", self.address, call.path);
        let request = self.http.request(call.method.clone(), url);
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
            // Without a connection nothing was sent.
            client::error::ClientError::Connect(error) => self.refused(step, error),
            client::error::ClientError::Url(error) => self.refused(step, error),
            error => self.unknown(step, error),
        })?;
        framing::check(&call.method, &response).map_err(|error| self.unknown(step, error))?;
        let body = response.body().limit(RESPONSE_LIMIT).timeout(time::Millis::ZERO).await;
        let body = body.map_err(|error| self.unknown(step, error))?;
        Ok(Response { status: response.status(), body })
    }

    /// Maps the status of a response to the error that it stands for.
    fn check_status(
        &self,
        step: &'static str,
        response: Response,
    ) -> Result<Response, table::Error> {
        match response.status {
            http::StatusCode::OK | http::StatusCode::NOT_FOUND => Ok(response),
            http::StatusCode::CONFLICT => Err(table::Error::Conflict { step }),
            http::StatusCode::TOO_MANY_REQUESTS | http::StatusCode::SERVICE_UNAVAILABLE => {
                Err(self.refused(step, response.status))
            }
            status if status.is_client_error() => Err(self.refused(step, status)),
            status => Err(self.unknown(step, status)),
        }
    }

    /// Parses the JSON body of a response.
    pub(super) fn parse<T>(&self, step: &'static str, body: &[u8]) -> Result<T, table::Error>
    where
        T: serde::de::DeserializeOwned,
    {
        serde_json::from_slice(body).map_err(|error| self.unknown(step, error))
    }
}
