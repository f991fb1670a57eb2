//! Metrics of an entry host; docs/METRICS.md lists them.
//!
//! The number of label sets is bounded: models and zones come from the document, customers beyond a
//! fixed number share the label `other`, and no histogram has a customer label.

use std::collections;
use std::fmt;
use std::sync;
use std::sync::atomic;

use lagoonline::clock;
use lagoonline::control::document;
use lagoonline::id;
use lagoonline::load;
use lagoonline::load::slowdown;
use lagoonline::outcome;
use prometheus_client::encoding;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter;
use prometheus_client::metrics::family;
use prometheus_client::metrics::gauge;
use prometheus_client::metrics::histogram;
use prometheus_client::registry;

/// Number of customers that get a label value of their own.
const MAX_CUSTOMER_LABELS: usize = 20;
/// Upper bounds of latency buckets, in seconds: 10 ms to 10 minutes.
const LATENCY_BOUNDS: [f64; 18] = [
    0.01, 0.02, 0.035, 0.058, 0.1, 0.2, 0.35, 0.49, 0.75, 1.0, 2.0, 5.0, 10.0, 20.0, 60.0, 120.0,
    300.0, 600.0,
];

/// Upper bounds of the slowdown buckets.
const SLOWDOWN_BOUNDS: [f64; 12] =
    [1.05, 1.1, 1.2, 1.3, 1.5, 2.0, 3.0, 5.0, 8.0, 15.0, 30.0, 100.0];

fn new_histogram() -> histogram::Histogram {
    histogram::Histogram::new(LATENCY_BOUNDS)
}

/// Labels of ended requests.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct RequestLabels {
    kind: &'static str,
    name: String,
    outcome: &'static str,
    reason: &'static str,
}

/// Labels of the time to the first token.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct FirstLabels {
    class: &'static str,
    model: String,
    zone: String,
}

/// Labels of the time to the end of a response.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct CompletionLabels {
    class: &'static str,
    model: String,
}

/// Label of metrics by model.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ModelLabels {
    model: String,
}

/// Labels of a customer's ended requests; beyond the limit the customer is `other`.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct CustomerLabels {
    customer: String,
    outcome: &'static str,
    reason: &'static str,
}

/// Labels under which a request is counted when it ends, for [`RequestLabels`] and
/// [`CustomerLabels`].
#[derive(Clone, Debug, Default)]
pub(crate) struct CallLabels {
    kind: &'static str,
    /// Name of the model or service; empty until it is known to exist.
    name: String,
    customer: Option<id::Customer>,
}

impl CallLabels {
    /// Labels of a request of which only the path is known.
    pub(crate) fn new(kind: &'static str) -> CallLabels {
        CallLabels { kind, ..CallLabels::default() }
    }

    /// Labels of a request for an existing model or service from a known customer.
    pub(crate) fn of(kind: &'static str, name: &str, customer: &id::Customer) -> CallLabels {
        CallLabels { kind, name: name.to_owned(), customer: Some(customer.clone()) }
    }
}

/// Label of metrics by team.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct TeamLabels {
    team: String,
}

/// Label of counters by cause or by result.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct CauseLabels {
    cause: &'static str,
}

type Counters<L> = family::Family<L, counter::Counter>;
type Histograms<L> = family::Family<L, histogram::Histogram, fn() -> histogram::Histogram>;

fn create_counters(family: &Counters<CauseLabels>, causes: &[&'static str]) {
    for &cause in causes {
        drop(family.get_or_create(&CauseLabels { cause }));
    }
}

/// All metrics of an entry host.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: registry::Registry,
    requests: Counters<RequestLabels>,
    refusals: Counters<CauseLabels>,
    attempts: Counters<CauseLabels>,
    retries: Counters<CauseLabels>,
    resumes: Counters<CauseLabels>,
    chunks_refused: Counters<CauseLabels>,
    cancels: Counters<CauseLabels>,
    claims: Counters<CauseLabels>,
    pub(crate) cancels_pending: gauge::Gauge,
    pub(crate) active: gauge::Gauge,
    pub(crate) draining: gauge::Gauge,
    waiting: family::Family<ModelLabels, gauge::Gauge>,
    section_version: family::Family<TeamLabels, gauge::Gauge>,
    pub(crate) view_age: gauge::Gauge<f64, atomic::AtomicU64>,
    customers: Counters<CustomerLabels>,
    /// Customers that have a label value of their own.
    labelled_customers: sync::Mutex<collections::HashSet<id::Customer>>,
    tokens: Counters<ModelLabels>,
    prompt_tokens: Counters<ModelLabels>,
    cached_tokens: Counters<ModelLabels>,
    believed_cached_tokens: Counters<ModelLabels>,
    first_token: Histograms<FirstLabels>,
    between_tokens: Histograms<ModelLabels>,
    completion: Histograms<CompletionLabels>,
    short_slowdown: Histograms<ModelLabels>,
    /// Learned minimum overhead of a first token beyond its prefill time.
    baseline: sync::Mutex<slowdown::Overhead>,
}

impl Metrics {
    /// Creates and registers the metrics of an entry host in `zone`.
    pub(crate) fn new(zone: &id::Zone) -> Self {
        let histograms = new_histogram as fn() -> histogram::Histogram;
        let mut metrics = Metrics {
            registry: registry::Registry::with_prefix("lagoon"),
            requests: family::Family::default(),
            refusals: family::Family::default(),
            attempts: family::Family::default(),
            retries: family::Family::default(),
            resumes: family::Family::default(),
            chunks_refused: family::Family::default(),
            cancels: family::Family::default(),
            claims: family::Family::default(),
            cancels_pending: gauge::Gauge::default(),
            active: gauge::Gauge::default(),
            draining: gauge::Gauge::default(),
            waiting: family::Family::default(),
            section_version: family::Family::default(),
            view_age: gauge::Gauge::default(),
            customers: family::Family::default(),
            labelled_customers: sync::Mutex::default(),
            tokens: family::Family::default(),
            prompt_tokens: family::Family::default(),
            cached_tokens: family::Family::default(),
            believed_cached_tokens: family::Family::default(),
            first_token: family::Family::new_with_constructor(histograms),
            between_tokens: family::Family::new_with_constructor(histograms),
            completion: family::Family::new_with_constructor(histograms),
            short_slowdown: family::Family::new_with_constructor(|| {
                histogram::Histogram::new(SLOWDOWN_BOUNDS)
            }),
            baseline: sync::Mutex::default(),
        };
        metrics.register_counters(zone);
        metrics.register_gauges_and_histograms();
        metrics.create_known_counters();
        metrics
    }

    /// Registers the counters. Only `requests` has a `zone` label.
    fn register_counters(&mut self, zone: &id::Zone) {
        let Metrics { registry, .. } = self;
        let in_zone = ("zone".into(), zone.to_string().into());
        let requests = self.requests.clone();
        registry.sub_registry_with_label(in_zone).register("requests", "Requests ended", requests);
        registry.register("refusals", "Requests refused or failed", self.refusals.clone());
        registry.register("attempts", "Dispatches to upstreams", self.attempts.clone());
        registry.register("retries", "Further dispatches of a request", self.retries.clone());
        registry.register("resumes", "Streams taken up again", self.resumes.clone());
        let chunks = self.chunks_refused.clone();
        registry.register("chunks_refused", "Chunks never delivered", chunks);
        registry.register("claims", "Idempotency keys", self.claims.clone());
        registry.register("cancels", "Cancels of attempts", self.cancels.clone());
        registry.register("customer_requests", "Requests of a customer", self.customers.clone());
        registry.register("tokens", "Answer tokens delivered", self.tokens.clone());
        registry.register("prompt_tokens", "Prompt tokens", self.prompt_tokens.clone());
        registry.register(
            "cached_tokens",
            "Prompt tokens found cached",
            self.cached_tokens.clone(),
        );
        registry.register(
            "believed_cached_tokens",
            "Prompt tokens believed cached at dispatch",
            self.believed_cached_tokens.clone(),
        );
    }

    fn register_gauges_and_histograms(&mut self) {
        let Metrics { registry, .. } = self;
        registry.register("cancels_pending", "Unacknowledged", self.cancels_pending.clone());
        registry.register("active_requests", "Requests under way", self.active.clone());
        registry.register("draining", "1 while draining", self.draining.clone());
        registry.register("waiting_requests", "Requests queued", self.waiting.clone());
        registry.register("section_version", "In force", self.section_version.clone());
        let seconds = registry::Unit::Seconds;
        let age = self.view_age.clone();
        registry.register_with_unit("view_age", "Since the last change", seconds, age);
        let seconds = || registry::Unit::Seconds;
        let first = self.first_token.clone();
        registry.register_with_unit("first_token", "To the first token", seconds(), first);
        let between = self.between_tokens.clone();
        registry.register_with_unit("between_tokens", "Between tokens", seconds(), between);
        let completion = self.completion.clone();
        let slowdown = self.short_slowdown.clone();
        let ratios = registry::Unit::Ratios;
        registry.register_with_unit("short_slowdown", "Beside that alone", ratios, slowdown);
        registry.register_with_unit("completion", "To the whole answer", seconds(), completion);
    }

    /// Creates the counters of the causes below, so that a rate includes their first increment.
    fn create_known_counters(&self) {
        let reasons = outcome::Reason::ALL.map(outcome::Reason::as_str);
        create_counters(&self.refusals, &reasons);
        create_counters(
            &self.attempts,
            &["answered", "unsent", "lost", "refused", "full", "leaving"],
        );
        create_counters(&self.attempts, &["unknown_model", "too_long", "attempt_exists"]);
        create_counters(&self.retries, &["unsent", "lost", "full", "leaving", "broken", "service"]);
        create_counters(
            &self.retries,
            &["unknown_model", "attempt_exists", "unknown_upstream", "group"],
        );
        create_counters(&self.resumes, &["resumed", "failed", "taken_over"]);
        create_counters(
            &self.chunks_refused,
            &["crossed", "repeated", "gap", "count", "after_end"],
        );
        create_counters(&self.claims, &["claimed", "replayed", "refused", "released", "lost"]);
        create_counters(&self.claims, &["stored", "unstored"]);
        create_counters(&self.cancels, &["acknowledged", "repeated", "given_up", "dropped"]);
    }

    /// Returns all metrics as OpenMetrics text.
    pub(crate) fn encode(&self) -> Result<String, fmt::Error> {
        let mut text = String::new();
        encoding::text::encode(&mut text, &self.registry)?;
        Ok(text)
    }

    /// Counts a request that ended with a response.
    pub(crate) fn count_done(&self, call: &CallLabels, outcome: outcome::Outcome) {
        self.count_request(call, outcome.as_str(), "");
    }

    /// Counts a request that ended with a failure.
    pub(crate) fn count_failed(&self, call: &CallLabels, failure: &outcome::Failure) {
        let cause = failure.reason.as_str();
        self.count_request(call, failure.outcome.as_str(), cause);
        self.refusals.get_or_create(&CauseLabels { cause }).inc();
    }

    fn count_request(&self, call: &CallLabels, outcome: &'static str, reason: &'static str) {
        let (kind, name) = (call.kind, call.name.clone());
        let labels = RequestLabels { kind, name, outcome, reason };
        self.requests.get_or_create(&labels).inc();
        if let Some(customer) = &call.customer {
            let customer = self.customer_label(customer);
            let labels = CustomerLabels { customer, outcome, reason };
            self.customers.get_or_create(&labels).inc();
        }
    }

    /// Returns the customer's own label value, or `other` beyond the limit.
    fn customer_label(&self, customer: &id::Customer) -> String {
        let labelled = &self.labelled_customers;
        let mut labelled = labelled.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let known = labelled.contains(customer);
        if !known && labelled.len() < MAX_CUSTOMER_LABELS {
            labelled.insert(customer.clone());
        }
        if labelled.contains(customer) { customer.to_string() } else { "other".to_owned() }
    }

    /// Records the slowdown of a short prompt: its first token arrived after `span` from an engine
    /// that prefills `rate` tokens per second.
    pub(crate) fn observe_short_slowdown(
        &self,
        request: &load::Request,
        span: clock::Span,
        rate: f64,
    ) {
        let mut baseline = self.baseline.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let ratio = baseline.record(span, request.prompt_tokens, rate);
        drop(baseline);
        let labels = ModelLabels { model: request.model.to_string() };
        self.short_slowdown.get_or_create(&labels).observe(ratio);
    }

    /// Counts a dispatch by its result.
    pub(crate) fn count_attempt(&self, cause: &'static str) {
        self.attempts.get_or_create(&CauseLabels { cause }).inc();
    }

    /// Counts a further dispatch of a request by its reason.
    pub(crate) fn count_retry(&self, cause: &'static str) {
        self.retries.get_or_create(&CauseLabels { cause }).inc();
    }

    /// Counts a resumption of a stream by its result.
    pub(crate) fn count_resume(&self, cause: &'static str) {
        self.resumes.get_or_create(&CauseLabels { cause }).inc();
    }

    /// Counts a chunk that was not delivered, by what was wrong with it.
    pub(crate) fn count_refused_chunk(&self, cause: &'static str) {
        self.chunks_refused.get_or_create(&CauseLabels { cause }).inc();
    }

    /// Counts a cancel by its result.
    pub(crate) fn count_cancel(&self, cause: &'static str) {
        self.cancels.get_or_create(&CauseLabels { cause }).inc();
    }

    /// Counts the prompt tokens of a whole answer that its upstream was believed to have cached, to
    /// compare with those found cached.
    pub(crate) fn count_believed_cached(&self, model: &id::Model, tokens: u64) {
        let labels = ModelLabels { model: model.to_string() };
        self.believed_cached_tokens.get_or_create(&labels).inc_by(tokens);
    }

    /// Counts an idempotency key by what was done with it.
    pub(crate) fn count_claim(&self, cause: &'static str) {
        self.claims.get_or_create(&CauseLabels { cause }).inc();
    }

    pub(crate) fn set_waiting(&self, model: &id::Model, count: usize) {
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.waiting.get_or_create(&ModelLabels { model: model.to_string() }).set(count);
    }

    pub(crate) fn set_version(&self, team: &id::Team, version: id::Version) {
        let version = i64::try_from(version.0).unwrap_or(i64::MAX);
        self.section_version.get_or_create(&TeamLabels { team: team.to_string() }).set(version);
    }

    /// Records the time from the arrival of a request to its first token.
    pub(crate) fn observe_first_token(
        &self,
        class: document::Class,
        model: &id::Model,
        zone: &id::Zone,
        span: clock::Span,
    ) {
        let (model, zone) = (model.to_string(), zone.to_string());
        let labels = FirstLabels { class: class.as_str(), model, zone };
        self.first_token.get_or_create(&labels).observe(span.as_secs_f64());
    }

    /// Records `count` tokens that arrived together, `span` after the previous ones.
    pub(crate) fn observe_tokens(&self, model: &id::Model, count: u64, span: Option<clock::Span>) {
        let labels = ModelLabels { model: model.to_string() };
        self.tokens.get_or_create(&labels).inc_by(count);
        let Some(span) = span else { return };
        let between = self.between_tokens.get_or_create(&labels);
        for _ in 0..count {
            between.observe(span.as_secs_f64() / count as f64);
        }
    }

    /// Records the time from the arrival of a request to the end of its response. `prompt` is the
    /// number of prompt tokens and of those found in the cache.
    pub(crate) fn observe_completion(
        &self,
        class: document::Class,
        model: &id::Model,
        span: clock::Span,
        prompt: (u64, u64),
    ) {
        let labels = ModelLabels { model: model.to_string() };
        self.prompt_tokens.get_or_create(&labels).inc_by(prompt.0);
        self.cached_tokens.get_or_create(&labels).inc_by(prompt.1);
        let labels = CompletionLabels { class: class.as_str(), model: labels.model };
        self.completion.get_or_create(&labels).observe(span.as_secs_f64());
    }
}
