//! Counters, gauges and histograms of the process.

use std::collections;
use std::io;
use std::sync;
use std::sync::atomic;

use lagoonline::clock;
use lagoonline::id;
use lagoonline::lifecycle::{completeness, quarantine};
use lagoonline::load::{placement, progress};
use lagoonline::outcome;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::shares;

/// Labels of the counter of answers.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct AnswerLabels {
    /// Name of the service; empty if no upstream's answer was forwarded.
    pub(crate) service: String,
    /// `done` for a complete answer, otherwise the reason of the failure.
    pub(crate) reason: &'static str,
}

/// Labels of the histogram of first events.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct FirstEventLabels {
    /// Length class of the prompt, one of those in [`Metrics::record_first_event`].
    pub(crate) length: &'static str,
}

/// Labels of the counter of upstreams' answers that have ended.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct EndLabels {
    /// How the end of the body is marked.
    pub(crate) framing: &'static str,
    /// Whether the answer is whole: `whole`, `broken` or `unknown`.
    pub(crate) end: &'static str,
}

/// Why a failed attempt is not followed by another one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RetryRefusal {
    /// The route allows no more attempts.
    Attempts,
    /// Too little time is left before the deadline.
    Deadline,
    /// No retry is left in the budget.
    Budget,
    /// The upstream that was given up may still read the request.
    Unread,
}

impl RetryRefusal {
    /// Returns the label in metrics and logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            RetryRefusal::Attempts => "attempts",
            RetryRefusal::Deadline => "deadline",
            RetryRefusal::Budget => "budget",
            RetryRefusal::Unread => "unread",
        }
    }
}

/// Labels of the counter of requests that are not sent again.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct RetryLabels {
    /// The [`RetryRefusal`].
    pub(crate) reason: &'static str,
}

/// Labels of the counter of requests that were at an upstream when it crashed.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct ProgressLabels {
    /// The name of the [`quarantine::Progress`].
    pub(crate) progress: &'static str,
}

/// Labels of the metrics of a service's retry budget.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct ServiceLabels {
    /// Name of the service.
    pub(crate) service: String,
}

/// Labels of the metrics of an upstream's limit.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct UpstreamLabels {
    /// Name of the upstream.
    pub(crate) upstream: String,
}

impl UpstreamLabels {
    fn new(upstream: &id::Upstream) -> UpstreamLabels {
        UpstreamLabels { upstream: upstream.to_string() }
    }
}

/// How a connection to an upstream came about, or not.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ConnectionOutcome {
    Opened,
    Refused,
    TimedOut,
    Failed,
}

impl ConnectionOutcome {
    /// Returns the outcome of `opened`.
    pub(crate) fn of<Connection>(opened: &io::Result<Connection>) -> ConnectionOutcome {
        match opened.as_ref().map_err(io::Error::kind) {
            Ok(_) => ConnectionOutcome::Opened,
            Err(io::ErrorKind::ConnectionRefused) => ConnectionOutcome::Refused,
            Err(io::ErrorKind::TimedOut) => ConnectionOutcome::TimedOut,
            Err(_) => ConnectionOutcome::Failed,
        }
    }

    fn as_str(self) -> &'static str {
        match self {
            ConnectionOutcome::Opened => "opened",
            ConnectionOutcome::Refused => "refused",
            ConnectionOutcome::TimedOut => "timed_out",
            ConnectionOutcome::Failed => "failed",
        }
    }
}

/// The way by which a connection to an upstream opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PathLabel {
    Direct,
    /// Through another host.
    Through,
    Failed,
}

/// Labels of the counter of ways to upstreams.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct PathLabels {
    /// The [`PathLabel`].
    pub(crate) path: &'static str,
}

/// Labels of the counter of connections through other hosts.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct TunnelLabels {
    /// `asked` by this host of another, or `served` by this host.
    pub(crate) side: &'static str,
    /// The answer.
    pub(crate) outcome: &'static str,
}

/// Labels of the counter of fields of answers that nobody reads.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct FieldLabels {
    /// Name of the field in lower case, or `other`.
    pub(crate) name: String,
}

/// Labels of the counter of departures of upstreams.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct DepartureLabels {
    /// The way by which this host learned of it.
    pub(crate) way: &'static str,
}

/// Labels of the counter of bytes that are no answer.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct ViolationLabels {
    /// What was asked for: `answer`, `order`, `report` or `store`.
    pub(crate) of: &'static str,
    /// The [`progress::Violation`].
    pub(crate) kind: &'static str,
}

/// Labels of the counter of connections to upstreams.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct ConnectionLabels {
    /// The [`ConnectionOutcome`].
    pub(crate) outcome: &'static str,
}

/// All metrics of the process.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    /// Answers by service and reason.
    pub(crate) answers: Family<AnswerLabels, Counter>,
    /// Seconds to the first event, or to the answer if it is not streamed, by prompt length.
    pub(crate) first_event_seconds: Family<FirstEventLabels, Histogram>,
    /// Upstreams' answers that have ended, by framing and end.
    answer_ends: Family<EndLabels, Counter>,
    /// Dispatches beyond a request's first one.
    pub(crate) retries: Counter,
    /// Failed attempts after which a request was not sent again, by reason.
    retry_refusals: Family<RetryLabels, Counter>,
    /// Retries that this host made in the last window of each service's budget.
    retries_in_window: Family<ServiceLabels, Gauge>,
    /// Retries left of each service's budget: of the zone, or of this host if it does not hear of
    /// the others.
    retries_left: Family<ServiceLabels, Gauge<f64, atomic::AtomicU64>>,
    /// Updates to other hosts that were dropped.
    pub(crate) updates_dropped: Counter,
    /// Questions that a scheduler did not answer, or answered without a decision.
    pub(crate) schedulers_skipped: Counter,
    /// Version of the desired state in force.
    pub(crate) desired_version: Gauge,
    /// Milliseconds since that version was last known to be the newest.
    pub(crate) confirmation_age_ms: Gauge,
    /// Era of the platform's store.
    pub(crate) store_era: Gauge,
    /// Rows of the platform's tables that were older than what this host knew.
    pub(crate) rows_ignored: Counter,
    /// Reservations of engine memory that have not been released yet.
    pub(crate) reservations: Gauge,
    /// Crashes of upstreams under requests of this host.
    pub(crate) crashes: Counter,
    /// Requests that were at an upstream when it crashed.
    requests_at_crashes: Family<ProgressLabels, Counter>,
    /// Requests in quarantine.
    pub(crate) quarantined: Gauge,
    /// Requests that were in flight when an upstream crashed.
    pub(crate) suspects: Gauge,
    /// Limits that upstreams name on their requests, in requests per second.
    upstream_limits: Family<UpstreamLabels, Gauge<f64, atomic::AtomicU64>>,
    /// Share of each limit that this host counts on.
    upstream_limit_shares: Family<UpstreamLabels, Gauge<f64, atomic::AtomicU64>>,
    /// Milliseconds since each limit was learned or changed.
    upstream_limit_ages_ms: Family<UpstreamLabels, Gauge>,
    /// Requests that this host sent under each limit.
    upstream_limit_sends: Family<UpstreamLabels, Counter>,
    /// Upstreams that had a limit when the metrics of limits were last set.
    limited_upstreams: sync::Arc<sync::Mutex<collections::BTreeSet<id::Upstream>>>,
    /// Tries to place a request that was held back because all upstreams limit their requests.
    pub(crate) held_for_limit: Counter,
    /// Requests that were refused because all upstreams limit their requests.
    pub(crate) refused_for_limit: Counter,
    /// Tries to place a request that was held back because upstreams were cold, and requests that
    /// were refused for it.
    pub(crate) held_for_cold: Counter,
    pub(crate) refused_for_cold: Counter,
    /// Upstreams that are cold.
    pub(crate) upstreams_cold: Gauge,
    /// Upstreams that are listed and get no new requests.
    pub(crate) upstreams_leaving: Gauge,
    /// Upstreams that vanished around an outage and are in use.
    pub(crate) upstreams_kept: Gauge,
    /// Milliseconds since the list of upstreams was last confirmed to be complete.
    pub(crate) list_age_ms: Gauge,
    /// Statements about upstreams that were older than what this host knew.
    pub(crate) older_statements: Counter,
    /// Requests that were placed again since an upstream had left before they were sent.
    pub(crate) sends_prevented: Counter,
    /// Departures of upstreams, by the way by which this host learned of them.
    departures: Family<DepartureLabels, Counter>,
    /// Answers of upstreams that say that these are leaving.
    pub(crate) leaving_answers: Counter,
    /// Upstreams that want no requests from this host now.
    pub(crate) backoffs: Gauge,
    /// Requests sent to such upstreams.
    pub(crate) sends_in_backoff: Counter,
    /// Requests refused because all upstreams had turned this host away.
    pub(crate) refused_for_backoff: Counter,
    /// Zones that are evacuated, as far as this host knows.
    pub(crate) evacuated_zones: Gauge,
    /// Requests refused because all upstreams are in zones that are evacuated or no homes.
    pub(crate) refused_for_zone: Counter,
    /// Refusals of upstreams that say when these want further requests.
    pub(crate) retry_after_answers: Counter,
    /// Fields of upstreams' answers that nobody reads, by name.
    unread_fields: Family<FieldLabels, Counter>,
    /// Direct connections to upstreams, by outcome.
    connections: Family<ConnectionLabels, Counter>,
    /// Bytes held for callers and upstreams.
    buffered_bytes: Gauge,
    /// Bytes that may be held for them.
    buffer_bound_bytes: Gauge,
    /// Slow callers that were cut off to free memory.
    pub(crate) slow_callers_cut: Counter,
    /// Requests and carried connections that were refused for lack of memory.
    pub(crate) refused_for_memory: Counter,
    /// Connections without a request that were closed to make room.
    pub(crate) connections_closed: Counter,
    /// Connections that were closed since their bytes became no answer, by kind.
    violations: Family<ViolationLabels, Counter>,
    /// Upstreams to which this host's own path is lost.
    pub(crate) paths_lost: Gauge,
    /// Connections to upstreams, by the way by which they opened.
    paths: Family<PathLabels, Counter>,
    /// Connections through other hosts, by side and answer.
    tunnels: Family<TunnelLabels, Counter>,
    /// Connections that this host carries for others.
    pub(crate) tunnels_carried: Gauge,
    /// Counters by urgency and customer.
    pub(crate) shares: shares::Shares,
    registry: sync::Arc<sync::Mutex<Registry>>,
}

/// Buckets from 5 ms to 20 s.
fn seconds() -> Histogram {
    Histogram::new(exponential_buckets(0.005, 2.0, 13))
}

impl Default for Metrics {
    fn default() -> Self {
        let metrics = Metrics {
            answers: Family::default(),
            first_event_seconds: Family::new_with_constructor(seconds),
            answer_ends: Family::default(),
            retries: Counter::default(),
            retry_refusals: Family::default(),
            retries_in_window: Family::default(),
            retries_left: Family::default(),
            updates_dropped: Counter::default(),
            schedulers_skipped: Counter::default(),
            desired_version: Gauge::default(),
            confirmation_age_ms: Gauge::default(),
            store_era: Gauge::default(),
            rows_ignored: Counter::default(),
            reservations: Gauge::default(),
            crashes: Counter::default(),
            requests_at_crashes: Family::default(),
            quarantined: Gauge::default(),
            suspects: Gauge::default(),
            upstream_limits: Family::default(),
            upstream_limit_shares: Family::default(),
            upstream_limit_ages_ms: Family::default(),
            upstream_limit_sends: Family::default(),
            limited_upstreams: sync::Arc::default(),
            held_for_limit: Counter::default(),
            refused_for_limit: Counter::default(),
            held_for_cold: Counter::default(),
            refused_for_cold: Counter::default(),
            upstreams_cold: Gauge::default(),
            upstreams_leaving: Gauge::default(),
            upstreams_kept: Gauge::default(),
            list_age_ms: Gauge::default(),
            older_statements: Counter::default(),
            sends_prevented: Counter::default(),
            departures: Family::default(),
            leaving_answers: Counter::default(),
            backoffs: Gauge::default(),
            sends_in_backoff: Counter::default(),
            refused_for_backoff: Counter::default(),
            evacuated_zones: Gauge::default(),
            refused_for_zone: Counter::default(),
            retry_after_answers: Counter::default(),
            unread_fields: Family::default(),
            connections: Family::default(),
            buffered_bytes: Gauge::default(),
            buffer_bound_bytes: Gauge::default(),
            slow_callers_cut: Counter::default(),
            refused_for_memory: Counter::default(),
            connections_closed: Counter::default(),
            violations: Family::default(),
            paths_lost: Gauge::default(),
            paths: Family::default(),
            tunnels: Family::default(),
            tunnels_carried: Gauge::default(),
            shares: shares::Shares::default(),
            registry: sync::Arc::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&self) {
        let mut registry = crate::state::lock(&self.registry);
        let registry = registry.sub_registry_with_prefix("lagoon_gateway");
        registry.register("answers", "answers by service and reason", self.answers.clone());
        registry.register(
            "first_seconds",
            "time to the first event",
            self.first_event_seconds.clone(),
        );
        let help = "answers of upstreams that ended, by framing and end";
        registry.register("answer_ends", help, self.answer_ends.clone());
        registry.register("repeats", "dispatches beyond the first", self.retries.clone());
        let help = "failed attempts after which a request was not sent again, by reason";
        registry.register("retries_refused", help, self.retry_refusals.clone());
        let help = "dispatches beyond the first in the last window of a service's retry budget";
        registry.register("retries_in_window", help, self.retries_in_window.clone());
        let help = "retries left of a service's budget";
        registry.register("retries_left", help, self.retries_left.clone());
        registry.register("words_lost", "words to hosts dropped", self.updates_dropped.clone());
        let help = "questions that a scheduling host left unanswered or turned down";
        registry.register("schedulers_passed", help, self.schedulers_skipped.clone());
        registry.register("desired_version", "version in force", self.desired_version.clone());
        let help = "milliseconds since the version in force was known to be the newest";
        registry.register("confirmation_age_ms", help, self.confirmation_age_ms.clone());
        let help = "era of the platform's store, which rises when it is restored";
        registry.register("store_era", help, self.store_era.clone());
        let help = "rows of the platform's tables that were older than what was known";
        registry.register("rows_ignored", help, self.rows_ignored.clone());
        let help = "reservations of engine memory not released yet";
        registry.register("reservations", help, self.reservations.clone());
        let help = "crashes of upstreams under requests of this host";
        registry.register("upstream_crashes", help, self.crashes.clone());
        let help = "requests of this host at upstreams that crashed, by how far they had come";
        registry.register("requests_at_crashes", help, self.requests_at_crashes.clone());
        registry.register("quarantined", "requests in quarantine", self.quarantined.clone());
        registry.register("suspects", "requests that were at crashes", self.suspects.clone());
        self.register_limits(registry);
        self.register_departures(registry);
        self.register_paths(registry);
        self.register_heads(registry);
        self.register_buffers(registry);
        self.shares.register(registry);
    }

    fn register_buffers(&self, registry: &mut Registry) {
        let help = "bytes held for callers and upstreams";
        registry.register("buffered_bytes", help, self.buffered_bytes.clone());
        let help = "bytes that may be held for callers and upstreams";
        registry.register("buffer_bound_bytes", help, self.buffer_bound_bytes.clone());
        let help = "slow callers cut off to free memory";
        registry.register("slow_callers_cut", help, self.slow_callers_cut.clone());
        let help = "requests and carried connections refused for lack of memory";
        registry.register("memory_refused", help, self.refused_for_memory.clone());
        let help = "connections without a request closed to make room";
        registry.register("connections_closed", help, self.connections_closed.clone());
    }

    /// Sets the number of bytes that are held.
    pub(crate) fn set_buffered(&self, bytes: usize) {
        self.buffered_bytes.set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    /// Sets the number of bytes that may be held.
    pub(crate) fn set_buffer_bound(&self, bytes: usize) {
        self.buffer_bound_bytes.set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    fn register_heads(&self, registry: &mut Registry) {
        let help = "departures of upstreams, by the way by which this host learned of them";
        registry.register("upstream_departures", help, self.departures.clone());
        let help = "answers of upstreams that say that these are leaving";
        registry.register("leaving_answers", help, self.leaving_answers.clone());
        let help = "upstreams that want no requests from this host now";
        registry.register("upstream_backoffs", help, self.backoffs.clone());
        let help = "requests sent to upstreams that want none from this host";
        registry.register("sends_in_backoff", help, self.sends_in_backoff.clone());
        let help = "requests refused because all upstreams had turned this host away";
        registry.register("backoff_refused", help, self.refused_for_backoff.clone());
        let help = "zones that are evacuated, as far as this host knows";
        registry.register("evacuated_zones", help, self.evacuated_zones.clone());
        let help = "requests refused because all upstreams are in zones evacuated or not allowed";
        registry.register("zone_refused", help, self.refused_for_zone.clone());
        let help = "refusals of upstreams that say when these want further requests";
        registry.register("retry_after_answers", help, self.retry_after_answers.clone());
        let help = "fields of upstreams' answers that nobody reads, by name";
        registry.register("unread_answer_fields", help, self.unread_fields.clone());
        let help = "connections closed since their bytes became no answer, by what was asked for";
        registry.register("answer_violations", help, self.violations.clone());
    }

    /// Counts a connection that was closed because of `violation` while `of` was asked for.
    pub(crate) fn count_violation(&self, of: &'static str, violation: progress::Violation) {
        self.violations.get_or_create(&ViolationLabels { of, kind: violation.as_str() }).inc();
    }

    /// Counts a departure of an upstream.
    pub(crate) fn count_departure(&self, way: &'static str) {
        self.departures.get_or_create(&DepartureLabels { way }).inc();
    }

    /// Counts a field of an answer that nobody reads.
    pub(crate) fn count_unread_field(&self, name: &str) {
        self.unread_fields.get_or_create(&FieldLabels { name: name.to_owned() }).inc();
    }

    fn register_departures(&self, registry: &mut Registry) {
        let help = "listed upstreams that get no new requests";
        registry.register("upstreams_leaving", help, self.upstreams_leaving.clone());
        let help = "upstreams in use that vanished around an outage of the platform";
        registry.register("upstreams_kept", help, self.upstreams_kept.clone());
        let help = "milliseconds since the list of upstreams was known to be complete";
        registry.register("upstreams_list_age_ms", help, self.list_age_ms.clone());
        let help = "statements about upstreams that were older than what was known";
        registry.register("older_words_ignored", help, self.older_statements.clone());
        let help = "requests placed again since their upstream had left before they were sent";
        registry.register("sends_prevented", help, self.sends_prevented.clone());
    }

    fn register_paths(&self, registry: &mut Registry) {
        let help = "direct connections to upstreams, by outcome";
        registry.register("upstream_connections", help, self.connections.clone());
        let help = "upstreams to which this host's own path is lost";
        registry.register("paths_lost", help, self.paths_lost.clone());
        let help = "connections to upstreams, by the way by which they opened";
        registry.register("paths", help, self.paths.clone());
        let help = "connections through other hosts, by side and answer";
        registry.register("tunnels", help, self.tunnels.clone());
        let help = "connections carried for other hosts";
        registry.register("tunnels_carried", help, self.tunnels_carried.clone());
    }

    /// Counts a connection to an upstream, or that none opened.
    pub(crate) fn count_path(&self, path: PathLabel) {
        let path = match path {
            PathLabel::Direct => "direct",
            PathLabel::Through => "through",
            PathLabel::Failed => "failed",
        };
        self.paths.get_or_create(&PathLabels { path }).inc();
    }

    /// Counts the answer to a request for a connection through another host.
    pub(crate) fn count_tunnel(&self, side: &'static str, outcome: &'static str) {
        self.tunnels.get_or_create(&TunnelLabels { side, outcome }).inc();
    }

    /// Counts a direct connection to an upstream.
    pub(crate) fn count_connection(&self, outcome: ConnectionOutcome) {
        let outcome = outcome.as_str();
        self.connections.get_or_create(&ConnectionLabels { outcome }).inc();
    }

    fn register_limits(&self, registry: &mut Registry) {
        let help = "requests a second that an upstream takes from all hosts";
        registry.register("upstream_limit", help, self.upstream_limits.clone());
        let help = "share of an upstream's limit that this host counts on";
        registry.register("upstream_limit_share", help, self.upstream_limit_shares.clone());
        let help = "milliseconds since an upstream's limit was learned or changed";
        registry.register("upstream_limit_age_ms", help, self.upstream_limit_ages_ms.clone());
        let help = "requests sent under an upstream's limit";
        registry.register("upstream_limit_sends", help, self.upstream_limit_sends.clone());
        let help = "tries to place requests held back for limits of upstreams";
        registry.register("limit_held", help, self.held_for_limit.clone());
        let help = "requests refused for limits of upstreams";
        registry.register("limit_refused", help, self.refused_for_limit.clone());
        let help = "cold upstreams";
        registry.register("upstreams_cold", help, self.upstreams_cold.clone());
        let help = "tries to place requests held back while upstreams were cold";
        registry.register("cold_held", help, self.held_for_cold.clone());
        let help = "requests refused while upstreams were cold";
        registry.register("cold_refused", help, self.refused_for_cold.clone());
    }

    /// Sets the metrics of the limits in force, and removes those of limits that ended.
    pub(crate) fn set_limits(&self, limits: &[placement::AppliedLimit], now: clock::Moment) {
        let limited = limits.iter().map(|limit| limit.upstream.clone()).collect();
        let mut known = crate::state::lock(&self.limited_upstreams);
        for upstream in std::mem::replace(&mut *known, limited).difference(&known) {
            let labels = UpstreamLabels::new(upstream);
            self.upstream_limits.remove(&labels);
            self.upstream_limit_shares.remove(&labels);
            self.upstream_limit_ages_ms.remove(&labels);
            self.upstream_limit_sends.remove(&labels);
        }
        drop(known);
        for limit in limits {
            let labels = UpstreamLabels::new(&limit.upstream);
            let age = i64::try_from(now.since(limit.since).as_millis()).unwrap_or(i64::MAX);
            self.upstream_limits.get_or_create(&labels).set(limit.rate);
            self.upstream_limit_shares.get_or_create(&labels).set(limit.share);
            self.upstream_limit_ages_ms.get_or_create(&labels).set(age);
        }
    }

    /// Counts a request that is sent under the limit of `upstream`.
    pub(crate) fn count_limited_send(&self, upstream: &id::Upstream) {
        self.upstream_limit_sends.get_or_create(&UpstreamLabels::new(upstream)).inc();
    }

    /// Sets the retries that this host made of the budget of `service`, and those that are left.
    pub(crate) fn set_retries(&self, service: &id::Service, made: u32, left: f64) {
        let labels = ServiceLabels { service: service.to_string() };
        self.retries_in_window.get_or_create(&labels).set(i64::from(made));
        self.retries_left.get_or_create(&labels).set(left);
    }

    /// Counts a failed attempt that is not followed by another one.
    pub(crate) fn count_retry_refusal(&self, reason: RetryRefusal) {
        self.retry_refusals.get_or_create(&RetryLabels { reason: reason.as_str() }).inc();
    }

    /// Counts an answer of `service`, complete or with the `reason` of its failure.
    pub(crate) fn count_answer(&self, service: &str, reason: Option<outcome::Reason>) {
        let reason = reason.map_or("done", outcome::Reason::as_str);
        self.answers.get_or_create(&AnswerLabels { service: service.to_owned(), reason }).inc();
    }

    /// Counts an upstream's answer whose body has ended.
    pub(crate) fn count_answer_end(
        &self,
        framing: completeness::Framing,
        completeness: completeness::Completeness,
    ) {
        let labels = EndLabels { framing: framing.as_str(), end: completeness.as_str() };
        self.answer_ends.get_or_create(&labels).inc();
    }

    /// Counts a request that was at an upstream when it crashed.
    pub(crate) fn count_request_at_crash(&self, progress: quarantine::Progress) {
        let progress = match progress {
            quarantine::Progress::Unknown => "unknown",
            quarantine::Progress::Waiting => "waiting",
            quarantine::Progress::Answering { events: 0, .. } => "begun",
            quarantine::Progress::Answering { .. } => "running",
        };
        self.requests_at_crashes.get_or_create(&ProgressLabels { progress }).inc();
    }

    /// Records that the first event of an answer to a prompt of `tokens` tokens was sent after
    /// `span`. Zero tokens, the label `none`, stand for an answer that is not streamed or a prompt
    /// of unknown length.
    pub(crate) fn record_first_event(&self, tokens: u64, span: std::time::Duration) {
        let length = match tokens {
            0 => "none",
            1..10_000 => "short",
            10_000..100_000 => "medium",
            _ => "long",
        };
        self.first_event_seconds
            .get_or_create(&FirstEventLabels { length })
            .observe(span.as_secs_f64());
    }

    /// Encodes the metrics as text.
    ///
    /// # Errors
    ///
    /// A value cannot be encoded.
    pub(crate) fn encode(&self) -> Result<String, std::fmt::Error> {
        let mut text = String::new();
        let registry = crate::state::lock(&self.registry);
        prometheus_client::encoding::text::encode(&mut text, &registry)?;
        Ok(text)
    }
}
