//! Requests that crash upstreams, called lethal: records crashes, exchanges evidence and verdicts
//! with other hosts, and checks each request before it is sent. The verdicts themselves are made by
//! [`lagoonline::lifecycle::quarantine`], whose `Record` is a verdict.

mod message;
mod operator;
mod parts;
mod rows;

use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;

use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::lifecycle::{fingerprint, quarantine};
use lagoonline::outcome::{Reason, Step};
use rand::seq::IndexedRandom;

use crate::answer;
use crate::crash;
use crate::event;
use crate::forward;
use crate::mesh;
use crate::message as datagram;
use crate::server;
use crate::state;

pub(crate) use message::{Begun, Cleared, Crashed, Identity, Verdict};
pub(crate) use operator::handle_operator_call;
pub(crate) use rows::run;

/// Minimum time between two transfers of verdicts to the same host.
const RESEND_INTERVAL: clock::Span = clock::Span::from_millis(200);
/// Maximum number of verdicts in one transfer; if there are more, a random selection is sent.
const MAX_VERDICTS_SENT: usize = 256;

/// The quarantine, shared by the threads of the process.
#[derive(Debug, Default)]
pub(crate) struct SharedQuarantine {
    pub(crate) inner: sync::Mutex<quarantine::Quarantine>,
    /// Checksum of the verdicts, sent with each batch of updates.
    checksum: atomic::AtomicU64,
    /// When verdicts were last sent to each host.
    last_sent: sync::Mutex<collections::HashMap<net::SocketAddr, clock::Moment>>,
    doubts: sync::Mutex<parts::Doubts>,
}

impl forward::Admitted {
    /// Allows the request to be sent unless it is in quarantine, alone or for a part of its prompt.
    /// Waits if a verdict on it is due.
    ///
    /// # Errors
    ///
    /// The request is in quarantine.
    pub(crate) async fn check_quarantine(&self) -> Result<(), answer::Fault> {
        loop {
            match self.quarantine_status() {
                quarantine::Status::Allowed => return Ok(()),
                quarantine::Status::Pending(span) => {
                    // The verdict is made by the first evaluation after `span`.
                    tokio::time::sleep(span + server::EXPIRY_INTERVAL).await;
                }
                quarantine::Status::Quarantined(record) => {
                    return Err(quarantine_fault(&record, self.state.clock.now()));
                }
            }
        }
    }

    fn quarantine_status(&self) -> quarantine::Status {
        let now = self.state.clock.now();
        if !self.request.head.shared_parts.is_empty() {
            let quarantine = state::lock(&self.state.quarantine.inner);
            if quarantine.has_parts() {
                let status = quarantine.prompt_status(&self.prompt(), now);
                if status != quarantine::Status::Allowed {
                    return status;
                }
            }
        }
        if !self.may_be_known() {
            return quarantine::Status::Allowed;
        }
        let fingerprint = self.fingerprint();
        state::lock(&self.state.quarantine.inner).status(&fingerprint, now)
    }

    /// Waits before the request is sent once more until other hosts have reported on the crash that
    /// it was at, if a part of its prompt is suspected: sent at once, a lethal prompt would crash
    /// another upstream before anyone can know.
    pub(crate) async fn wait_for_crash_reports(&self) {
        if !self.was_at_crash.swap(false, atomic::Ordering::Relaxed) {
            return;
        }
        let delay = {
            let quarantine = state::lock(&self.state.quarantine.inner);
            if !quarantine.has_parts() {
                return;
            }
            quarantine.retry_delay(&self.fingerprint(), &self.prompt())
        };
        if !delay.is_zero() {
            event::Line::new("retry_held")
                .text("request", &self.request.head.request_id)
                .text("parts", self.listed_parts())
                .span("for_ms", delay + server::EXPIRY_INTERVAL)
                .info();
            tokio::time::sleep(delay + server::EXPIRY_INTERVAL).await;
        }
    }

    /// Whether evidence or a verdict on the request may exist, judged by the length of its body.
    fn may_be_known(&self) -> bool {
        let length = u64::try_from(self.request.body.len()).unwrap_or(u64::MAX);
        state::lock(&self.state.quarantine.inner).has_length(length)
    }

    /// Records that the request was answered completely, which clears it of suspicion.
    pub(crate) fn clear(&self) {
        if !self.may_be_known() {
            return;
        }
        let fingerprint = self.fingerprint();
        let was_suspect = self.state.clear_suspect(&fingerprint);
        if was_suspect {
            event::Line::new("suspect_cleared")
                .text("request", &self.request.head.request_id)
                .text("fingerprint", fingerprint)
                .info();
            let cleared = Cleared { request: Some(message::Identity::new(&fingerprint)) };
            let what = datagram::Kind::Cleared(cleared);
            self.state.publish(datagram::Update::new(0, &self.service, what));
        }
    }
}

/// Returns the fault for a request in quarantine.
fn quarantine_fault(record: &quarantine::Record, now: clock::Moment) -> answer::Fault {
    let left = record.expires_at.since(now);
    let (fingerprint, crashes) = (&record.fingerprint, record.crashes);
    let cause = match &record.pattern {
        Some(pattern) => format!("prompts with the parts {}", listed(pattern)),
        None => "this request".to_owned(),
    };
    let detail = format!("{fingerprint}: {crashes} upstreams crashed under {cause}");
    answer::Fault::not_run(Reason::Quarantined, Step::Admit, detail).with_retry_after(left)
}

/// Returns the parts of a pattern for the log.
fn listed(pattern: &quarantine::Pattern) -> String {
    let parts: Vec<_> = pattern.parts.iter().map(id::Part::as_str).collect();
    parts.join(" ")
}

/// Adds what a verdict refuses to a log line about it.
fn describe(line: event::Line, record: &quarantine::Record) -> event::Line {
    let line = line.text("fingerprint", record.fingerprint);
    let Some(pattern) = &record.pattern else { return line };
    let customer = pattern.customer.as_ref().map_or("", id::Customer::as_str);
    line.text("parts", listed(pattern)).text("customer", customer)
}

impl state::State {
    /// Records that `upstream` crashed while it had `requests` of this host, and publishes it.
    pub(crate) fn record_crash(
        &self,
        service: &id::Service,
        upstream: &id::Upstream,
        requests: &[crash::BrokenRequest],
    ) {
        self.metrics.crashes.inc();
        for request in requests {
            self.metrics.count_request_at_crash(request.progress);
        }
        let mut quarantine = state::lock(&self.quarantine.inner);
        let suspect = |request: &crash::BrokenRequest| {
            let weight = quarantine.weight(request.progress)?;
            let crash::BrokenRequest { fingerprint, prompt, .. } = request.clone();
            Some(quarantine::Suspect { fingerprint, weight, prompt })
        };
        let suspects: Vec<_> = requests.iter().filter_map(suspect).collect();
        quarantine.record_crash(upstream, &suspects, self.clock.now());
        drop(quarantine);
        for report in Crashed::reports(upstream, &suspects) {
            let what = datagram::Kind::Crashed(report);
            self.publish(datagram::Update::new(0, service, what));
        }
    }

    /// Applies another host's report of a crash.
    pub(crate) fn apply_crash(&self, crashed: &Crashed) {
        match crashed.suspects() {
            Ok(suspects) => {
                let upstream = id::Upstream::from(crashed.upstream.as_str());
                let now = self.clock.now();
                state::lock(&self.quarantine.inner).record_crash(&upstream, &suspects, now);
            }
            Err(error) => log_unreadable(error),
        }
    }

    /// Applies another host's report that a suspect was answered.
    pub(crate) fn apply_cleared(&self, cleared: &Cleared) {
        match cleared.request.as_ref().map(message::Identity::fingerprint) {
            Some(Ok(fingerprint)) => {
                self.clear_suspect(&fingerprint);
            }
            Some(Err(error)) => log_unreadable(error),
            None => log_unreadable(fingerprint::Malformed),
        }
    }

    /// Applies another host's verdict.
    pub(crate) fn apply_verdict(&self, verdict: &Verdict) {
        match verdict.record(self.clock.now()) {
            Ok(record) => self.merge_verdict(record, "host"),
            Err(error) => log_unreadable(error),
        }
    }

    /// Merges a verdict that came from `source`.
    pub(crate) fn merge_verdict(&self, record: quarantine::Record, source: &str) {
        let now = self.clock.now();
        if !state::lock(&self.quarantine.inner).merge(record.clone(), now) {
            return;
        }
        describe(event::Line::new("quarantine_learned"), &record)
            .text("source", source)
            .number("version", record.version)
            .number("released", record.released)
            .span("left_ms", record.expires_at.since(now))
            .info();
        self.update_checksum_and_metrics();
    }

    /// Clears a request that was answered. Returns whether it was a suspect.
    fn clear_suspect(&self, fingerprint: &fingerprint::Fingerprint) -> bool {
        let now = self.clock.now();
        let (was_suspect, released) =
            state::lock(&self.quarantine.inner).record_answer(fingerprint, now);
        if let Some(record) = released {
            self.publish_verdict(&record);
        }
        was_suspect
    }

    /// Ends the quarantine of a request. Returns whether it was in quarantine.
    fn release(&self, fingerprint: &fingerprint::Fingerprint) -> bool {
        let now = self.clock.now();
        let released = state::lock(&self.quarantine.inner).release(fingerprint, now);
        if let Some(record) = &released {
            self.publish_verdict(record);
        }
        released.is_some()
    }

    /// Returns the verdicts that have not expired, including those that were released early.
    pub(crate) fn verdicts(&self) -> Vec<quarantine::Record> {
        let now = self.clock.now();
        state::lock(&self.quarantine.inner).records(now).cloned().collect()
    }

    /// Evaluates the suspects on which a verdict is due, and drops expired evidence. Only a host
    /// that receives the crash reports of all hosts does so: one host's crashes alone give the same
    /// evidence against every request that ran beside a lethal one.
    pub(crate) fn update_quarantine(&self) {
        let now = self.clock.now();
        let evaluates = state::lock(&self.peers).roster.tracks_in_flight(now);
        let mut quarantine = state::lock(&self.quarantine.inner);
        quarantine.expire(now);
        let verdicts = if evaluates { quarantine.evaluate(now) } else { Vec::new() };
        drop(quarantine);
        self.update_doubts(evaluates);
        for verdict in &verdicts {
            log_verdict(verdict, now);
            self.publish_verdict(&verdict.record);
        }
        self.update_checksum_and_metrics();
    }

    /// Publishes a verdict of this host to all hosts.
    fn publish_verdict(&self, record: &quarantine::Record) {
        self.queue_update(verdict_update(record, self.clock.now()), mesh::Audience::AllZones);
        self.update_checksum_and_metrics();
    }

    /// Updates the checksum and the metrics after a change.
    fn update_checksum_and_metrics(&self) {
        let now = self.clock.now();
        let quarantine = state::lock(&self.quarantine.inner);
        let checksum = quarantine.checksum(now);
        let active = quarantine.records(now).filter(|record| record.is_active(now)).count();
        let suspects = quarantine.suspect_count();
        drop(quarantine);
        self.quarantine.checksum.store(checksum, atomic::Ordering::Relaxed);
        self.metrics.quarantined.set(i64::try_from(active).unwrap_or(i64::MAX));
        self.metrics.suspects.set(i64::try_from(suspects).unwrap_or(i64::MAX));
    }

    /// Returns the checksum of this host's verdicts.
    pub(crate) fn verdicts_checksum(&self) -> u64 {
        self.quarantine.checksum.load(atomic::Ordering::Relaxed)
    }

    /// Sends this host's verdicts to the host at `address` if its checksum differs.
    ///
    /// Without this, a host that was starting, paused or cut off when a verdict was published, or
    /// that lost the datagram, would go on sending a lethal request.
    pub(crate) fn compare_verdicts(&self, address: net::SocketAddr, checksum: u64) {
        if checksum == self.verdicts_checksum() {
            return;
        }
        let now = self.clock.now();
        let mut last_sent = state::lock(&self.quarantine.last_sent);
        last_sent.retain(|_, at| now.since(*at) < RESEND_INTERVAL);
        if last_sent.contains_key(&address) {
            return;
        }
        last_sent.insert(address, now);
        drop(last_sent);
        let verdicts = self.verdicts();
        let selected = verdicts.choose_multiple(&mut rand::rng(), MAX_VERDICTS_SENT);
        let updates = selected.map(|record| verdict_update(record, now)).collect();
        self.send(address, &self.encode_updates(updates));
    }
}

fn log_verdict(verdict: &quarantine::Verdict, now: clock::Moment) {
    let record = &verdict.record;
    if record.released {
        // Another part explains the crashes, or an answer to a prompt with it went on.
        describe(event::Line::new("quarantine_withdrawn"), record).warn();
        return;
    }
    let upstreams: Vec<_> = verdict.upstreams.iter().map(id::Upstream::as_str).collect();
    describe(event::Line::new("quarantined"), record)
        .text("upstreams", upstreams.join(" "))
        .number("crashes", record.crashes)
        .number("times", record.occurrences)
        .span("left_ms", record.expires_at.since(now))
        .warn();
}

fn verdict_update(record: &quarantine::Record, now: clock::Moment) -> datagram::Update {
    let what = datagram::Kind::Verdict(Verdict::new(record, now));
    datagram::Update::new(0, &id::Service::default(), what)
}

/// Logs a message about a request whose fingerprint cannot be decoded.
fn log_unreadable(error: fingerprint::Malformed) {
    event::Line::new("quarantine_unreadable").text("error", error).warn();
}
