//! Messages between hosts of a zone about the requests and retries of each.

use lagoonline::id;
use lagoonline::load::retry;

use crate::message;

/// What the sender used of a service's retry budget in the last window.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Used {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub(crate) service: String,
    /// Requests of callers.
    #[prost(uint32, tag = "2")]
    requests: u32,
    /// Sends to upstreams beyond the first of each request.
    #[prost(uint32, tag = "3")]
    retries: u32,
    /// Retries that upstreams may still read.
    #[prost(uint32, tag = "4")]
    unread: u32,
}

impl Used {
    pub(super) fn new(service: &id::Service, report: &retry::Report) -> Used {
        let retry::Report { usage: retry::Usage { requests, retries }, unread, .. } = *report;
        Used { service: service.to_string(), requests, retries, unread }
    }

    /// Returns the report of the incarnation `host` that sent this now.
    pub(super) fn report(&self, host: u64) -> retry::Report {
        let usage = retry::Usage { requests: self.requests, retries: self.retries };
        retry::Report { host, usage, unread: self.unread, ..retry::Report::default() }
    }
}

/// A report that has arrived, as its sender tells it from others.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(crate) struct Arrived {
    /// Number of the incarnation that sent it.
    #[prost(fixed64, tag = "1")]
    pub(crate) host: u64,
    /// Clock of that incarnation when it sent it, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub(crate) reported_ms: u64,
}

/// What the hosts of a zone used of the retry budgets, told to a host that starts.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Usages {
    /// Milliseconds before now, the window at most, for which the sender knows everything that the
    /// zone used.
    #[prost(uint32, tag = "1")]
    pub(super) known_ms: u32,
    /// What each incarnation used that made a retry, also those that have ended.
    #[prost(message, repeated, tag = "2")]
    pub(super) reports: Vec<Report>,
}

/// What an incarnation used of a service's retry budget in the window before its report.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Report {
    /// Number of the incarnation.
    #[prost(fixed64, tag = "1")]
    host: u64,
    /// What it used.
    #[prost(message, optional, tag = "2")]
    used: Option<Used>,
    /// Milliseconds since the report.
    #[prost(uint32, tag = "3")]
    age_ms: u32,
    /// Whether the incarnation has ended.
    #[prost(bool, tag = "4")]
    has_ended: bool,
}

impl Report {
    pub(super) fn new(service: &id::Service, report: &retry::Report) -> Report {
        Report {
            host: report.host,
            used: Some(Used::new(service, report)),
            age_ms: message::to_millis(report.age),
            has_ended: report.has_ended,
        }
    }

    /// Decodes the report and the service that it is about; `None` if it says nothing.
    pub(super) fn decode(&self) -> Option<(id::Service, retry::Report)> {
        let used = self.used.as_ref()?;
        let report = used.report(self.host);
        let service = id::Service::from(used.service.as_str());
        let age = message::from_millis(self.age_ms);
        Some((service, retry::Report { age, has_ended: self.has_ended, ..report }))
    }
}
