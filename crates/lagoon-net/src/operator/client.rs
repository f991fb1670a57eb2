//! Calls, tried at one steward after another.

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

/// Name under which operators' programs connect.
const SENDER: &str = "lagoonctl";

/// Why a call was not carried out.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Error {
    /// A steward refused it.
    #[error("{message}")]
    Refused {
        /// The kind, for programs.
        code: String,
        /// The reason, for people.
        message: String,
        /// More, by kind: `faults`, or `version` and `changes`.
        details: Value,
    },
    /// No steward answered in time; a put may have been stored.
    #[error("no steward answered: {0}")]
    NoAnswer(String),
}

/// What is asked for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// The call.
    pub verb: Option<wire::Verb>,
    /// The team.
    pub team: String,
    /// The version, where one is needed.
    pub version: u64,
    /// A section's text, or a name.
    pub text: String,
}

/// An operator's program.
#[derive(Clone, Debug)]
pub struct Client {
    settings: settings::Settings,
}

/// Where a version is in force.
#[derive(Clone, Debug, PartialEq)]
pub struct SectionStatus {
    /// The version asked for.
    pub version: u64,
    /// Whether every live entry host of every zone reports it in force.
    pub accepted: bool,
    /// What is missing: one line for each entry host, or for a zone that does not answer.
    pub missing: Vec<String>,
}

/// Which part of the idle ledger is summed, and by what.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageQuery {
    /// What it is summed by: a `ledger::Grouping`.
    pub by: String,
    /// First day, counted from the Unix epoch.
    pub from_day: u64,
    /// Last day.
    pub to_day: u64,
}

impl UsageQuery {
    /// As [`Request::text`].
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
    /// A client; nothing is connected yet.
    pub fn new(settings: settings::Settings) -> Self {
        Client { settings }
    }

    /// Carries out a call. A steward that does not answer, or whose platform does not, is asked
    /// again or another one is, for as long as patience lasts: reads have no effect, and a put
    /// keeps its id, by which a steward finds out that it is stored already.
    ///
    /// # Errors
    ///
    /// As [`Error`] says.
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
        let backoff = platform::Backoff { limit: RETRY_LIMIT, ..platform::Backoff::default() };
        let deadline = time::Instant::now() + self.settings.total_timeout;
        let mut last = Error::NoAnswer("none is in the settings".to_owned());
        let mut failures = 0;
        let first = rand::random_range(0..self.settings.stewards.len().max(1));
        for address in self.settings.stewards.iter().cycle().skip(first) {
            match self.ask(*address, &call).await {
                // A refusal after a lost answer says nothing of the call whose answer was lost.
                Err(error) if is_passing(&error) && failures > 0 && is_unsure(&last) => {
                    last = if is_unsure(&error) { error } else { last };
                }
                Err(error) if is_passing(&error) => last = error,
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

    async fn ask(&self, address: net::SocketAddr, call: &wire::Call) -> Result<Value, Error> {
        let silent = |why: String| Error::NoAnswer(format!("{address}: {why}"));
        match time::timeout(self.settings.timeout, self.exchange(address, call)).await {
            Err(_) => Err(silent("timed out".to_owned())),
            Ok(Err(error)) => Err(silent(error.to_string())),
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

    /// Where `version` of a team's section is in force; version 0 asks for the one in force at
    /// the steward.
    ///
    /// # Errors
    ///
    /// As [`Client::call`].
    pub async fn section_status(&self, team: &str, version: u64) -> Result<SectionStatus, Error> {
        let verb = Some(wire::Verb::SectionStatus);
        let team = team.to_owned();
        let request = Request { verb, team, version, ..Request::default() };
        let value = self.call(&request).await?;
        Ok(read_section_status(&value))
    }

    /// Asks again until the version is accepted or `limit` has passed; the last answer.
    ///
    /// # Errors
    ///
    /// As [`Client::call`].
    pub async fn wait_accepted(
        &self,
        team: &str,
        version: u64,
        limit: clock::Span,
    ) -> Result<SectionStatus, Error> {
        let deadline = time::Instant::now() + limit;
        loop {
            let standing = self.section_status(team, version).await?;
            if standing.accepted || time::Instant::now() >= deadline {
                return Ok(standing);
            }
            time::sleep(LOOK).await;
        }
    }
}

/// Longest wait between two tries.
///
/// Failure answered: the platform is out for 3 s during a put. Symptom: with waits that grow to
/// 5 s, one put in thirty was in force after 7.4 s. Operators are few: a try a second stampedes
/// nobody.
const RETRY_LIMIT: clock::Span = clock::Span::from_secs(1);

/// Time between two looks at where a version is in force.
const LOOK: clock::Span = clock::Span::from_millis(100);

/// Whether another try may help: nobody answered, or the platform did not answer the steward.
fn is_passing(error: &Error) -> bool {
    match error {
        Error::NoAnswer(_) => true,
        Error::Refused { code, .. } => matches!(code.as_str(), "unknown" | "platform" | "silent"),
    }
}

/// Whether a put may have been stored.
fn is_unsure(error: &Error) -> bool {
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
