//! Second look at an upstream whose open connection failed, before other hosts are told.

use std::sync;

use lagoonline::clock;
use lagoonline::id;
use lagoonline::load::placement;

use super::Connection;
use crate::forward;
use crate::message;
use crate::state;

/// Timeout for the connection that is opened to look.
const LOOK_TIMEOUT: clock::Span = clock::Span::from_millis(350);

impl forward::Admitted {
    /// Records that `upstream` stopped responding on an open connection, or broke it off. This host
    /// avoids it at once. The hosts that place requests for others are told once it is clear that
    /// neither this host's own path nor a host in between is at fault.
    pub(crate) fn record_unresponsive(&self, upstream: &id::Upstream) {
        let avoid = |placer: &mut placement::Placer, now| placer.record_unreachable(upstream, now);
        self.state.with_placer(&self.service, avoid);
        let is_told = state::lock(&self.state.peers).roster.own_zone_has_scheduler();
        let makes_detours = state::lock(&self.state.paths).is_avoided(upstream);
        if (is_told || makes_detours) && state::lock(&self.state.looked_at).insert(upstream.clone())
        {
            let (state, service) = (self.state.clone(), self.service.clone());
            drop(ntex::rt::spawn(look(state, service, upstream.clone())));
        }
    }
}

/// Connects to `upstream` and tells the zone that it failed. If only another host reaches it, this
/// host's path was lost meanwhile, or a host in between broke off, and the upstream is used again.
async fn look(state: sync::Arc<state::State>, service: id::Service, upstream: id::Upstream) {
    let entry = state.with_placer(&service, |placer, _| placer.entry(upstream.as_str()).cloned());
    if let Some(entry) = entry.flatten() {
        let failed = match super::connect(&state, &entry, super::Purpose::RUNNING, LOOK_TIMEOUT)
            .await
        {
            Ok(Connection::Direct(_)) => true,
            Ok(Connection::Tunnel(_)) => {
                let forget = |placer: &mut placement::Placer, _| placer.forget_failure(&upstream);
                state.with_placer(&service, forget);
                false
            }
            Err(failure) => failure.verdict.is_down(),
        };
        if failed {
            let outcome = message::UpstreamOutcome::Failed;
            state.publish_observation(&service, message::Observation::new(&upstream, outcome));
        }
    }
    state::lock(&state.looked_at).remove(&upstream);
}
