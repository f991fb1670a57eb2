//! Reads and writes claim rows through the ports. Each await is a single port call.

use bytes::Bytes;

use super::decision;
use super::record;
use super::settings;
use super::ticket;
use crate::clock;
use crate::id;
use crate::lifecycle::request;
use crate::lifecycle::safeguard;
use crate::outcome;
use crate::port::objects;
use crate::port::table;

/// Result of [`Claims::begin`]: how the entry host proceeds with a keyed request.
#[derive(Debug)]
pub enum Begin {
    /// The request holds the key and may be dispatched.
    Run(ticket::Ticket),
    /// The request is repeatable and the platform is unreachable: run it without a claim.
    Unclaimed,
    /// A repeatable request with this key is running elsewhere: resume its stream, or call
    /// [`Claims::take_over`].
    Running(ticket::Running),
    /// The request ran before; this is its complete answer.
    Replay(record::Answer),
}

/// A claim that was given up but whose commit may have been applied, or may be applied later. Its
/// request is not running and cannot be dispatched any more, as its ticket no longer exists. Call
/// [`Claims::settle`] until it returns `true`.
#[derive(Clone, Debug, PartialEq)]
pub struct Abandoned {
    row_key: String,
    record: record::Record,
    deadline: clock::Moment,
    /// The highest row version that one of its pending commits may still match.
    last_version: u64,
}

/// Why a keyed request was not run.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// The failure reported to the caller.
    pub failure: outcome::Failure,
    /// A claim to settle in the background.
    pub abandoned: Option<Abandoned>,
}

impl From<outcome::Failure> for Box<Refusal> {
    fn from(failure: outcome::Failure) -> Self {
        Box::new(Refusal { failure, abandoned: None })
    }
}

/// An answer that could not be stored. Pass its parts to [`Claims::finish`] again.
#[derive(Debug)]
pub struct Unstored {
    /// The claim that the answer belongs to.
    pub sent: ticket::Sent,
    /// The answer, already delivered to the claim's own caller.
    pub answer: record::Answer,
}

/// The result of rewriting a claim row owned by this host.
enum RewriteResult {
    Written,
    /// The row is gone or holds another claim.
    Superseded,
    /// The row must no longer be written.
    TooLate,
    /// No commit was confirmed; one that got no reply may still be applied.
    Unknown {
        last_version: u64,
    },
}

/// Manages the idempotency keys of one entry host.
#[derive(Clone, Debug)]
pub struct Claims<T, O, C> {
    table: T,
    objects: O,
    clock: C,
    settings: settings::Settings,
}

impl<T, O, C> Claims<T, O, C>
where
    T: table::Table,
    O: objects::Objects,
    C: clock::Clock,
{
    /// Creates the manager on top of the given ports.
    pub fn new(table: T, objects: O, clock: C, settings: settings::Settings) -> Self {
        Claims { table, objects, clock, settings }
    }

    /// Claims the key of `request`, or reports why it cannot. A new key takes one write.
    ///
    /// # Errors
    ///
    /// `KeyReused`, `EarlierUnknown` or `PlatformDown`. The request itself did not run in any of
    /// these cases; the outcome is `unknown` if an earlier request with the same key may have run.
    pub async fn begin(&self, request: record::Request) -> Result<Begin, Box<Refusal>> {
        self.claim(request, 0, 0).await
    }

    /// Takes over the key of a repeatable request whose stream cannot be resumed.
    ///
    /// # Errors
    ///
    /// Same as [`Claims::begin`].
    pub async fn take_over(
        &self,
        request: record::Request,
        running: &ticket::Running,
    ) -> Result<Begin, Box<Refusal>> {
        let replaceable_version = match request.repeat {
            request::Repeat::Allowed => running.version,
            request::Repeat::Never => 0,
        };
        self.claim(request, replaceable_version, replaceable_version).await
    }

    /// Claims the key of `request` by a commit over the row version `base_version`, where 0 means
    /// that the row does not exist yet. A running claim is replaced only at the row version
    /// `replaceable_version`; 0 matches none.
    async fn claim(
        &self,
        request: record::Request,
        mut base_version: u64,
        replaceable_version: u64,
    ) -> Result<Begin, Box<Refusal>> {
        let row_key = self.row_key(&request);
        let record = self.record(&request, claimed(&request, request.token));
        let mut unconfirmed = None;
        let mut refused = false;
        for _ in 0..self.settings.max_commits {
            match self.commit(&row_key, &record, base_version).await {
                Ok(version) => return Ok(Begin::Run(self.ticket(request, row_key, version))),
                // Reads may still work, and the row may hold the answer.
                Err(table::Error::Refused { .. }) => refused = true,
                Err(table::Error::Conflict { .. }) => {}
                Err(table::Error::Unknown { .. }) => {
                    unconfirmed = Some(base_version.max(unconfirmed.unwrap_or(0)));
                    if !self.settings.safeguards.has(safeguard::Safeguard::ReadBack) {
                        return Ok(Begin::Run(self.ticket(request, row_key, base_version + 1)));
                    }
                }
            }
            let Ok(found) = self.table.read(&row_key).await else {
                continue;
            };
            match decision::decide(found.as_ref(), &request, self.settings.safeguards) {
                // After a commit was refused, in this round or before, the row is read only to find
                // the claim of an earlier request, and there is none.
                decision::Decision::Free(_) if refused => break,
                decision::Decision::Free(version) => base_version = version,
                decision::Decision::Own(version) => {
                    return Ok(Begin::Run(self.ticket(request, row_key, version)));
                }
                decision::Decision::Running(running) if running.version == replaceable_version => {
                    base_version = replaceable_version
                }
                decision => return self.resolve_held_key(decision).await,
            }
        }
        self.give_up(&request, row_key, record, unconfirmed)
    }

    /// Handles a key that is held by another request.
    async fn resolve_held_key(&self, decision: decision::Decision) -> Result<Begin, Box<Refusal>> {
        match decision {
            decision::Decision::RequestMismatch => {
                Err(failure(outcome::Reason::KeyReused, outcome::Outcome::NotRun).into())
            }
            decision::Decision::Running(running) => Ok(Begin::Running(running)),
            decision::Decision::Replay(record) => self.replay(record).await,
            _ => {
                let failure = failure(outcome::Reason::EarlierUnknown, outcome::Outcome::Unknown);
                Err(failure.retry_after(self.settings.retry_after).into())
            }
        }
    }

    /// A commit without a reply may still be applied later. The claim is given up without a ticket,
    /// so the request cannot be dispatched and `not-run` stays true.
    fn give_up(
        &self,
        request: &record::Request,
        row_key: String,
        record: record::Record,
        unconfirmed: Option<u64>,
    ) -> Result<Begin, Box<Refusal>> {
        if request.repeat == request::Repeat::Allowed {
            return Ok(Begin::Unclaimed);
        }
        let failure = failure(outcome::Reason::PlatformDown, outcome::Outcome::NotRun)
            .retry_after(self.settings.retry_after);
        let abandoned = unconfirmed.map(|last_version| Abandoned {
            row_key,
            record,
            deadline: request.deadline,
            last_version,
        });
        Err(Box::new(Refusal { failure, abandoned }))
    }

    async fn replay(&self, record: record::Record) -> Result<Begin, Box<Refusal>> {
        let record::State::Done { status, content_type, kept, bytes, sha256 } = record.state else {
            return Err(failure(outcome::Reason::Internal, outcome::Outcome::Unknown).into());
        };
        let body = match kept {
            record::BodyLocation::Inline(text) => Bytes::from(text),
            record::BodyLocation::Object(key) => match self.objects.get(&key).await {
                Ok(body) => body.unwrap_or_default(),
                Err(_) => {
                    let failure = failure(outcome::Reason::PlatformDown, outcome::Outcome::Unknown);
                    return Err(failure.retry_after(self.settings.retry_after).into());
                }
            },
        };
        // The object may be gone because its retention ended after the row was read. The hash also
        // detects an object with another body.
        let is_complete = body.len() as u64 == bytes && record::sha256(&body) == sha256;
        if !is_complete && self.settings.safeguards.has(safeguard::Safeguard::AnswerCheck) {
            return Err(failure(outcome::Reason::EarlierUnknown, outcome::Outcome::Unknown).into());
        }
        Ok(Begin::Replay(record::Answer { status, content_type, body }))
    }

    /// Records the upstream and attempt that a repeatable request was redirected to, so that its
    /// stream can be taken over.
    pub async fn retarget(
        &self,
        ticket: &mut ticket::Ticket,
        upstream: id::Upstream,
        attempt: id::Attempt,
    ) {
        ticket.request.upstream = upstream;
        let state = claimed(&ticket.request, attempt);
        // An unconfirmed write is harmless: later writes look up the current version by the claim's
        // token.
        self.rewrite(ticket, state).await;
    }

    /// Frees the key of a request that did not run and never will.
    ///
    /// The caller may be told `not-run` before this completes, because the ticket is consumed.
    /// Returns a claim to settle in the background if the key could not be freed for certain, or
    /// `None` if nothing is left to do.
    pub async fn release(&self, ticket: ticket::Ticket) -> Option<Abandoned> {
        match self.rewrite(&ticket, record::State::Released).await {
            RewriteResult::Written | RewriteResult::Superseded | RewriteResult::TooLate => None,
            RewriteResult::Unknown { last_version } => {
                let record = self.record(&ticket.request, record::State::Released);
                Some(Abandoned {
                    row_key: ticket.row_key,
                    record,
                    deadline: ticket.request.deadline,
                    last_version,
                })
            }
        }
    }

    /// Records that the request may have run and that its answer is lost. If the write fails the
    /// row stays `claimed`, which other hosts treat the same way.
    pub async fn mark_unknown(&self, sent: ticket::Sent) {
        let keeps_key = self.settings.safeguards.has(safeguard::Safeguard::UnknownKept);
        let state = if keeps_key { record::State::Unknown } else { record::State::Released };
        self.rewrite(&sent.0, state).await;
    }

    /// Stores the answer for replay. A long body is stored as an object before the row refers to
    /// it.
    ///
    /// # Errors
    ///
    /// Returns the parts to retry with. Until the answer is stored, requests with this key get
    /// `EarlierUnknown`.
    pub async fn finish(
        &self,
        sent: ticket::Sent,
        answer: record::Answer,
    ) -> Result<(), Box<Unstored>> {
        let Some(kept) = self.store_body(&sent, &answer).await else {
            return Err(Box::new(Unstored { sent, answer }));
        };
        let state = record::State::Done {
            status: answer.status,
            content_type: answer.content_type.clone(),
            kept,
            bytes: answer.body.len() as u64,
            sha256: record::sha256(&answer.body),
        };
        match self.rewrite(&sent.0, state).await {
            RewriteResult::Written | RewriteResult::Superseded | RewriteResult::TooLate => Ok(()),
            RewriteResult::Unknown { .. } => Err(Box::new(Unstored { sent, answer })),
        }
    }

    async fn store_body(
        &self,
        sent: &ticket::Sent,
        answer: &record::Answer,
    ) -> Option<record::BodyLocation> {
        let is_short = answer.body.len() <= self.settings.inline_bytes;
        if let (true, Ok(text)) = (is_short, std::str::from_utf8(&answer.body)) {
            return Some(record::BodyLocation::Inline(text.to_owned()));
        }
        let key = format!("answer/{}/{}", sent.0.row_key, sent.0.request.token);
        self.objects.put(&key, answer.body.clone()).await.ok()?;
        Some(record::BodyLocation::Object(key))
    }

    /// Tries once to free the key of an abandoned claim; returns `true` when nothing is left to do.
    /// Call it about once a second.
    ///
    /// Without this, a delayed commit could still be applied and the key would answer 409 until its
    /// retention ends. A `released` row with a version above every version that the commit can
    /// match blocks it.
    pub async fn settle(&self, abandoned: &Abandoned) -> bool {
        if !self.settings.safeguards.has(safeguard::Safeguard::Settle) {
            return true;
        }
        if self.is_too_late(abandoned.deadline) {
            return true;
        }
        let Ok(found) = self.table.read(&abandoned.row_key).await else {
            return false;
        };
        let version = found.as_ref().map_or(0, |row| row.version);
        let done = match found.map(|row| serde_json::from_str::<record::Record>(&row.value)) {
            None => false,
            Some(Ok(record)) if record.state == record::State::Released => {
                version > abandoned.last_version
            }
            Some(Ok(record)) => record.token != abandoned.record.token,
            Some(Err(_)) => true,
        };
        if done {
            return true;
        }
        let tombstone =
            record::Record { state: record::State::Released, ..abandoned.record.clone() };
        self.commit(&abandoned.row_key, &tombstone, version).await.is_ok()
    }

    /// Overwrites this claim's own row; returns `Unknown` if no commit was confirmed.
    async fn rewrite(&self, ticket: &ticket::Ticket, state: record::State) -> RewriteResult {
        let record = self.record(&ticket.request, state);
        let mut base_version = ticket.version;
        for _ in 0..self.settings.max_commits {
            if self.is_too_late(ticket.request.deadline) {
                return RewriteResult::TooLate;
            }
            match self.commit(&ticket.row_key, &record, base_version).await {
                Ok(_) => return RewriteResult::Written,
                Err(table::Error::Refused { .. }) => continue,
                Err(table::Error::Conflict { .. } | table::Error::Unknown { .. }) => {}
            }
            let Ok(found) = self.table.read(&ticket.row_key).await else {
                continue;
            };
            let Some(found) = found else {
                return RewriteResult::Superseded;
            };
            match serde_json::from_str::<record::Record>(&found.value) {
                Ok(current) if current == record => return RewriteResult::Written,
                Ok(current) if current.token == record.token => base_version = found.version,
                _ => return RewriteResult::Superseded,
            }
        }
        RewriteResult::Unknown { last_version: base_version }
    }

    /// Returns whether the row must no longer be written. If a host pauses for longer than the
    /// retention, its row is deleted and another host's claim may have the same version number; on
    /// resuming, the first host would free that key and a third host would run the request again.
    /// After the grace time a host writes nothing, and its row counts as one that may have run
    /// until its retention ends.
    fn is_too_late(&self, deadline: clock::Moment) -> bool {
        self.clock.now() >= deadline + self.settings.write_grace
            && self.settings.safeguards.has(safeguard::Safeguard::WriteDeadline)
    }

    async fn commit(
        &self,
        row_key: &str,
        record: &record::Record,
        base_version: u64,
    ) -> Result<u64, table::Error> {
        let value = serde_json::to_string(record).unwrap_or_default();
        let check = table::Check { key: row_key.to_owned(), version: base_version };
        let has_check = self.settings.safeguards.has(safeguard::Safeguard::VersionCheck);
        let transaction = table::Transaction {
            checks: has_check.then_some(check).into_iter().collect(),
            changes: vec![table::Change::Put { key: row_key.to_owned(), value }],
        };
        let versions = self.table.commit(transaction).await?;
        Ok(versions.first().copied().unwrap_or(base_version + 1))
    }

    fn row_key(&self, request: &record::Request) -> String {
        if self.settings.safeguards.has(safeguard::Safeguard::CustomerScope) {
            record::row_key(&request.customer, &request.key)
        } else {
            record::row_key(&id::Customer::default(), &request.key)
        }
    }

    fn record(&self, request: &record::Request, state: record::State) -> record::Record {
        record::Record {
            token: request.token.to_string(),
            body: request.request_hash.clone(),
            holder: self.settings.owner.to_string(),
            written_ms: request.wall_ms,
            state,
        }
    }

    fn ticket(&self, request: record::Request, row_key: String, version: u64) -> ticket::Ticket {
        ticket::Ticket { request, row_key, version, safeguards: self.settings.safeguards }
    }
}

fn claimed(request: &record::Request, attempt: id::Attempt) -> record::State {
    record::State::Claimed { attempt: attempt.to_string(), upstream: request.upstream.clone() }
}

fn failure(reason: outcome::Reason, outcome: outcome::Outcome) -> outcome::Failure {
    outcome::Failure::new(reason, outcome::Step::Claim, outcome)
}
