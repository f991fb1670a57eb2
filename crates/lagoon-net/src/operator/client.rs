//! Calls to stewards, with retries over several stewards.

use std::net;

use lagoonline::clock;
use lagoonline::control::platform;
use lagoonline::id;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::time;

use super::settings;
use crate::link;
use crate::wire;

/// Sender name of operators' programs.
const SENDER: &str = "lagoonctl";

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Error {
    /// A steward rejected the call.
    #[error("{message}")]
    Refused {
        /// The error code, for programs.
        code: String,
        /// The reason, for people.
        message: String,
        /// Details that depend on the code: `faults`, or `version` and `changes`.
        details: Value,
    },
    /// No steward replied in time. A put may have been stored.
    #[error("no steward answered: {0}")]
    NoAnswer(String),
}

/// A call to make.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// The operation.
    pub verb: Option<wire::Verb>,
    /// The team.
    pub team: String,
    /// The version, for calls that need one.
    pub version: u64,
    /// A section's text, a name, or further arguments as JSON.
    pub text: String,
}

/// Client that calls stewards on behalf of an operator.
#[derive(Clone, Debug)]
pub struct Client {
    settings: settings::Settings,
}

/// Where a version of a section is in force.
#[derive(Clone, Debug, PartialEq)]
pub struct SectionStatus {
    /// The requested version.
    pub version: u64,
    /// Whether every live entry host of every zone reports it in force.
    pub accepted: bool,
    /// Where the version is missing: one string for each entry host, or for a zone without a reply.
    pub missing: Vec<String>,
}

/// Query of the idle ledger, which records how the time of engines is used: days and grouping.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageQuery {
    /// The grouping of the sums: a `ledger::Grouping`.
    pub by: String,
    /// First day, in days since the Unix epoch.
    pub from_day: u64,
    /// Last day, inclusive.
    pub to_day: u64,
}

impl UsageQuery {
    /// Returns the query as JSON, for [`Request::text`].
    ///
    /// ```
    /// use lagoon_net::operator;
    /// let days = operator::UsageQuery { by: "team".to_owned(), from_day: 20_000, to_day: 20_001 };
    /// assert_eq!(days.text(), r#"{"by":"team","from_day":20000,"to_day":20001}"#);
    /// ```
    pub fn text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

impl Client {
    /// Creates a client. It connects on each call.
    pub fn new(settings: settings::Settings) -> Self {
        Client { settings }
    }

    /// Makes a call. When a steward or its platform does not reply, the call is retried at the next
    /// steward until [`settings::Settings::total_timeout`]. Retries are safe: reads have no effect,
    /// and a put keeps its id, by which a steward detects that it is already stored.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn call(&self, request: &Request) -> Result<Value, Error> {
        let call = wire::Call {
            id: rand::random(),
            verb: request.verb.unwrap_or(wire::Verb::Unspecified).into(),
            team: request.team.clone(),
            key: self.settings.key.clone(),
            version: request.version,
            text: request.text.clone(),
            put: id::Attempt(rand::random()).to_string(),
        };
        let backoff = platform::Backoff { limit: MAX_RETRY_DELAY, ..platform::Backoff::default() };
        let deadline = time::Instant::now() + self.settings.total_timeout;
        let mut last = Error::NoAnswer("none is in the settings".to_owned());
        let mut failures = 0;
        let first = rand::random_range(0..self.settings.stewards.len().max(1));
        for address in self.settings.stewards.iter().cycle().skip(first) {
            match self.call_steward(*address, &call).await {
                // A refusal after a lost reply does not tell whether the call with the lost reply
                // took effect, so the uncertain error is kept.
                Err(error) if is_transient(&error) && failures > 0 && is_uncertain(&last) => {
                    last = if is_uncertain(&error) { error } else { last };
                }
                Err(error) if is_transient(&error) => last = error,
                outcome => return outcome,
            }
            failures += 1;
            let wait = backoff.delay(failures, rand::random());
            if time::Instant::now() + wait >= deadline {
                break;
            }
            time::sleep(wait).await;
        }
        Err(last)
    }

    async fn call_steward(
        &self,
        address: net::SocketAddr,
        call: &wire::Call,
    ) -> Result<Value, Error> {
        let no_answer = |why: String| Error::NoAnswer(format!("{address}: {why}"));
        match time::timeout(self.settings.timeout, self.exchange(address, call)).await {
            Err(_) => Err(no_answer("timed out".to_owned())),
            Ok(Err(error)) => Err(no_answer(error.to_string())),
            Ok(Ok(reply)) => read_reply(&reply),
        }
    }

    async fn exchange(
        &self,
        address: net::SocketAddr,
        call: &wire::Call,
    ) -> Result<wire::Reply, link::Error> {
        let identity = link::Identity {
            sender: SENDER.to_owned(),
            incarnation: id::Incarnation::default(),
            zone: id::Zone::default(),
            role: wire::Role::Operator,
            key: self.settings.fleet_key.clone(),
        };
        let (mut channel, _) = link::Channel::connect(address, &identity).await?;
        channel.send(wire::Body::Call(call.clone())).await?;
        loop {
            if let Some(wire::Body::Reply(reply)) = channel.receive().await?.body {
                return Ok(reply);
            }
        }
    }

    /// Returns where `version` of a team's section is in force; version 0 stands for the one in
    /// force at the steward.
    ///
    /// # Errors
    ///
    /// See [`Client::call`].
    pub async fn section_status(&self, team: &str, version: u64) -> Result<SectionStatus, Error> {
        let verb = Some(wire::Verb::SectionStatus);
        let team = team.to_owned();
        let request = Request { verb, team, version, ..Request::default() };
        let value = self.call(&request).await?;
        Ok(read_section_status(&value))
    }

    /// Polls until the version is accepted or `limit` has passed, and returns the last status.
    ///
    /// # Errors
    ///
    /// See [`Client::call`].
    pub async fn wait_accepted(
        &self,
        team: &str,
        version: u64,
        limit: clock::Span,
    ) -> Result<SectionStatus, Error> {
        let deadline = time::Instant::now() + limit;
        loop {
            let status = self.section_status(team, version).await?;
            if status.accepted || time::Instant::now() >= deadline {
                return Ok(status);
            }
            time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Maximum delay between two attempts.
///
/// Prevents this failure: the platform is unavailable for 3 s during a put. Symptom: with delays
/// that grow to 5 s, one put in thirty was in force only after 7.4 s. There are few operators, so
/// one attempt per second overloads no steward.
const MAX_RETRY_DELAY: clock::Span = clock::Span::from_secs(1);

/// Time between two polls of a section status.
const POLL_INTERVAL: clock::Span = clock::Span::from_millis(100);

/// Whether a retry may succeed: no steward replied, or the platform did not reply to it.
fn is_transient(error: &Error) -> bool {
    match error {
        Error::NoAnswer(_) => true,
        Error::Refused { code, .. } => matches!(code.as_str(), "unknown" | "platform" | "silent"),
    }
}

/// Whether a put may have been stored.
fn is_uncertain(error: &Error) -> bool {
    match error {
        Error::NoAnswer(_) => true,
        Error::Refused { code, .. } => code == "unknown",
    }
}

fn read_reply(reply: &wire::Reply) -> Result<Value, Error> {
    let value: Value = serde_json::from_str(&reply.text).unwrap_or_default();
    if reply.good {
        return Ok(value);
    }
    let error = &value["error"];
    let text = |name: &str| error[name].as_str().unwrap_or_default().to_owned();
    let details = error["details"].clone();
    Err(Error::Refused { code: text("code"), message: text("message"), details })
}

fn read_section_status(value: &Value) -> SectionStatus {
    let mut missing = Vec::new();
    for zone in value["zones"].as_array().into_iter().flatten() {
        let name = zone["zone"].as_str().unwrap_or_default();
        if zone["silent"].as_bool().unwrap_or(false) {
            missing.push(format!("zone {name}: no steward answers"));
        }
        for line in zone["missing"].as_array().into_iter().flatten() {
            let host = line[0].as_str().unwrap_or_default();
            missing.push(format!("zone {name}: {host} has version {}", line[1]));
        }
    }
    SectionStatus {
        version: value["version"].as_u64().unwrap_or_default(),
        accepted: value["accepted"].as_bool().unwrap_or(false),
        missing,
    }
}
