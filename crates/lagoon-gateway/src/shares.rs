//! Metrics and log lines by urgency and customer: who waited for engines, who was refused, and who
//! got how much engine time.

use std::collections;
use std::sync;
use std::sync::atomic;

use lagoonline::clock;
use lagoonline::id;
use lagoonline::load::placement;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

use crate::event;
use crate::forward;
use crate::state;

/// Customers that have a label of their own; the first ones to be counted.
const MAX_CUSTOMERS: usize = 32;
/// Label of the customers beyond that.
const OTHER: &str = "other";
/// Largest urgency that has a label of its own; less urgent requests share it.
const MAX_URGENCY: u32 = 9;

/// Labels of the counters by urgency and customer.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Labels {
    /// Priority of the requests, at most [`MAX_URGENCY`].
    urgency: u32,
    /// Name of the customer; empty if there is none.
    customer: String,
}

/// Counters by urgency and customer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shares {
    /// Requests that waited for room on engines.
    waited: Family<Labels, Counter>,
    /// Requests that were refused for lack of it.
    refused: Family<Labels, Counter>,
    /// Milliseconds of engine time charged for dispatches of this host.
    engine_ms: Family<Labels, Counter<f64, atomic::AtomicU64>>,
    /// Customers with a label of their own.
    customers: sync::Arc<sync::Mutex<collections::BTreeSet<id::Customer>>>,
}

impl Shares {
    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "requests that waited for room on engines, by urgency and customer";
        registry.register("room_waited", help, self.waited.clone());
        let help = "requests refused for lack of room on engines, by urgency and customer";
        registry.register("room_refused", help, self.refused.clone());
        let help = "milliseconds of engine time charged, by urgency and customer";
        registry.register("engine_ms", help, self.engine_ms.clone());
    }

    fn labels(&self, urgency: u32, customer: Option<&id::Customer>) -> Labels {
        Labels { urgency: urgency.min(MAX_URGENCY), customer: self.customer_label(customer) }
    }

    fn customer_label(&self, customer: Option<&id::Customer>) -> String {
        let Some(customer) = customer else { return String::new() };
        let mut known = state::lock(&self.customers);
        if known.len() < MAX_CUSTOMERS && !known.contains(customer) {
            known.insert(customer.clone());
        }
        let name = if known.contains(customer) { customer.as_str() } else { OTHER };
        name.to_owned()
    }

    /// Counts the engine time of a dispatch.
    pub(crate) fn count_engine_ms(
        &self,
        urgency: u32,
        customer: Option<&id::Customer>,
        engine_ms: f64,
    ) {
        self.engine_ms.get_or_create(&self.labels(urgency, customer)).inc_by(engine_ms);
    }
}

impl forward::Admitted {
    /// Logs that the request waits, at the first shortage and whenever the shortage changes. Counts
    /// it if `is_first`.
    pub(crate) fn record_wait(
        &self,
        shortage: placement::Shortage,
        waited: clock::Span,
        is_first: bool,
    ) {
        let shares = &self.state.metrics.shares;
        if is_first {
            shares.waited.get_or_create(&shares.labels(self.urgency, self.customer.as_ref())).inc();
        }
        event::Line::new("waits")
            .text("request", &self.request.head.request_id)
            .text("route", &self.route.name)
            .number("prompt_tokens", self.request.head.prompt_tokens.unwrap_or(0))
            .text("engines", shortage)
            .span("waited_ms", waited)
            .number("urgency", self.urgency)
            .text("customer", self.customer_name())
            .info();
    }

    /// Logs and counts that the request is refused for lack of room on engines.
    pub(crate) fn record_room_refusal(&self, refusal: &placement::Refusal, waited: clock::Span) {
        let (shortage, span) = match refusal {
            placement::Refusal::Deferred(shortage) => (*shortage, forward::RETRY_AFTER),
            placement::Refusal::Rejected(shortage, span) => (*shortage, *span),
            placement::Refusal::NoUpstream | placement::Refusal::TooLong => return,
        };
        if matches!(shortage, placement::Shortage::Permit | placement::Shortage::Backoff) {
            return;
        }
        let shares = &self.state.metrics.shares;
        shares.refused.get_or_create(&shares.labels(self.urgency, self.customer.as_ref())).inc();
        event::Line::new("room_refused")
            .text("request", &self.request.head.request_id)
            .text("engines", shortage)
            .span("waited_ms", waited)
            .span("room_after_ms", span)
            .number("urgency", self.urgency)
            .text("customer", self.customer_name())
            .info();
    }
}
