//! Placement on upstreams that limit their requests; see [`upstream_limit`] for the permits.

use super::{DispatchId, Placer, Refusal, Request, Shortage, UpstreamState};
use crate::clock;
use crate::id;
use crate::lifecycle::fingerprint;
use crate::load::upstream_limit;

/// An upstream's limit as this host applies it, for logs and metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct AppliedLimit {
    /// The upstream.
    pub upstream: id::Upstream,
    /// When its lifetime began, as [`crate::routing::Registration::started_ms`].
    pub started_ms: u64,
    /// Requests per second for all hosts together.
    pub rate: f64,
    /// Share of them that this host counts on.
    pub share: f64,
    /// Permits left; negative for a debt.
    pub permits: f64,
    /// When it was learned or last changed.
    pub since: clock::Moment,
    /// What the last answer said that named it.
    pub last: upstream_limit::Observation,
}

/// Who wants a permit for `request`.
pub(super) fn requester(request: &Request<'_>) -> upstream_limit::Requester<DispatchId> {
    upstream_limit::Requester { waiter: request.waiter, identity: request.identity }
}

impl Placer {
    /// Records what an answer of `upstream` in the lifetime that began at `started_ms` says about
    /// its limit. An answer of another lifetime has no effect.
    pub fn observe_limit(
        &mut self,
        upstream: &id::Upstream,
        started_ms: u64,
        answer: &upstream_limit::Observation,
        now: clock::Moment,
    ) -> Option<upstream_limit::Change> {
        let state = self.upstreams.get_mut(upstream)?;
        if state.entry().started_ms != started_ms {
            return None;
        }
        let change = state.limit_mut().observe(answer, now);
        state.set_limit_share(self.share, now);
        change
    }

    /// Records that `host` placed a request, its own or that of another host.
    pub fn record_placing_host(&mut self, host: u64, now: clock::Moment) {
        if self.has_limits() || self.has_cold_start() {
            self.turns.record(host, now);
        }
    }

    /// Records a call to an upstream that is not a dispatch: a report about memory in use, or an
    /// order, which are never held back. Its next requests have to wait for it.
    pub fn record_call(&mut self, upstream: &id::Upstream, now: clock::Moment) {
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.take_permit(now);
        }
    }

    /// Records that `upstream` named a limit that cannot be read. Returns whether it is the first
    /// time in its lifetime.
    pub fn record_unreadable_limit(&mut self, upstream: &id::Upstream) -> bool {
        self.upstreams.get_mut(upstream).is_some_and(UpstreamState::record_unreadable_limit)
    }

    /// Sets this host's share of the limits of upstreams, from 0 to 1.
    pub fn set_share(&mut self, share: f64, now: clock::Moment) {
        self.share = share;
        for state in self.upstreams.values_mut() {
            state.set_limit_share(share, now);
        }
    }

    /// Whether any upstream limits its requests.
    pub fn has_limits(&self) -> bool {
        self.upstreams.values().any(UpstreamState::is_limited)
    }

    /// Whether this upstream limits its requests.
    pub fn is_limited(&self, upstream: &id::Upstream) -> bool {
        self.upstreams.get(upstream).is_some_and(UpstreamState::is_limited)
    }

    /// The limits of upstreams.
    pub fn limits(&self) -> impl Iterator<Item = AppliedLimit> {
        self.upstreams.values().filter_map(|state| {
            let last = state.limit().observation()?;
            Some(AppliedLimit {
                upstream: state.entry().upstream.clone(),
                started_ms: state.entry().started_ms,
                rate: last.rate?,
                share: self.share,
                permits: state.limit().bucket()?.level(),
                since: state.limit().since(),
                last,
            })
        })
    }

    /// Whether requests should be placed with [`Request::identity`]: a permit is kept for a caller
    /// that comes back when told to.
    pub fn wants_identity(&self) -> bool {
        let mut upstreams = self.upstreams.values();
        self.permit_queue.has_promises()
            || !self.upstreams.is_empty() && upstreams.all(UpstreamState::needs_permits)
    }

    /// Time since an answer last named the limit of `upstream`; `None` if it has none.
    pub fn limit_age(&self, upstream: &id::Upstream, now: clock::Moment) -> Option<clock::Span> {
        let last = self.upstreams.get(upstream)?.limit().observation()?;
        Some(now.since(last.seen))
    }

    /// Records that another host told the caller of the request `identity` to come back after
    /// `span`.
    pub fn record_promise(
        &mut self,
        identity: fingerprint::Fingerprint,
        span: clock::Span,
        now: clock::Moment,
    ) {
        self.permit_queue.promise(identity, span, now);
    }

    /// Checks that an upstream without a limit that is not cold may be used, or that there is a
    /// permit for `request`.
    ///
    /// # Errors
    ///
    /// All of `usable` limit their requests or are cold, and their permits go to others first.
    pub(super) fn check_permits(
        &self,
        request: &Request<'_>,
        usable: &[&UpstreamState],
        now: clock::Moment,
    ) -> Result<(), Refusal> {
        if usable.iter().any(|state| !state.needs_permits()) {
            return Ok(());
        }
        let requester = requester(request);
        let open = usable.iter().filter(|state| state.is_open());
        let permits: f64 = open
            .filter_map(|state| state.bucket())
            .map(|bucket| bucket.level().floor().max(1.0))
            .sum();
        if permits >= self.permit_queue.ahead(&requester, now) as f64 + 1.0 {
            return Ok(());
        }
        let buckets = usable.iter().filter_map(|state| state.bucket());
        let own_share = self.turns.own_share(now);
        let supply = upstream_limit::Supply::new(buckets.copied().collect(), own_share);
        let until_warm = Self::time_until_warm(usable, now);
        let first = |span: clock::Span| until_warm.map_or(span, |warm| span.min(warm));
        let wait = first(self.permit_queue.wait(&requester, &supply, now));
        // Without its identity, no permit could be kept for the caller until it comes back.
        let is_known = requester.identity.is_some();
        if wait <= request.target || self.permit_queue.is_due(&requester, now) || !is_known {
            return Err(Refusal::Deferred(Shortage::Permit));
        }
        let spread = request.random as f64 / u64::MAX as f64;
        let span = first(self.permit_queue.return_time(&requester, &supply, spread, now));
        Err(Refusal::Rejected(Shortage::Permit, span.max(self.settings.full_span)))
    }

    /// Records that `request` waits for a permit, or that its caller is told to come back.
    pub(super) fn record_refusal(
        &mut self,
        request: &Request<'_>,
        refusal: Refusal,
        now: clock::Moment,
    ) {
        match refusal {
            Refusal::Deferred(_) => self.permit_queue.record_try(request.waiter, now),
            Refusal::Rejected(_, span) => {
                self.permit_queue.stop_waiting(request.waiter);
                if let Some(identity) = request.identity {
                    self.permit_queue.promise(identity, span, now);
                }
            }
            Refusal::NoUpstream | Refusal::TooLong => {}
        }
    }
}
