//! A dispatch in flight, as this host and the others count it in the load of its upstreams.

use std::sync;

use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::load::placement;

use crate::forward;
use crate::mesh;
use crate::message;
use crate::reserve;
use crate::state;

/// The host that placed a dispatch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Decider {
    /// This host, which publishes it to the others.
    Own,
    /// The zone's scheduler, which has published it already.
    Scheduler,
}

/// A dispatch that is counted in the load of its upstreams until it is dropped.
#[derive(Debug)]
pub(crate) struct Guard {
    state: sync::Arc<state::State>,
    service: id::Service,
    id: placement::DispatchId,
    has_first_token: bool,
    /// Memory reservations, released when the dispatch ends.
    reservations: Option<reserve::Reservations>,
}

impl Guard {
    /// Returns the reservations of the dispatch, if any.
    pub(crate) fn reservations(&self) -> Option<&reserve::Reservations> {
        self.reservations.as_ref()
    }

    /// Sets the reservations, which are kept until the dispatch ends.
    pub(crate) fn set_reservations(&mut self, reservations: Option<reserve::Reservations>) {
        self.reservations = reservations;
    }

    /// Begins the dispatch `id`, placed by `decider` as `placement`.
    pub(crate) fn begin(
        admitted: &forward::Admitted,
        id: placement::DispatchId,
        placement: &placement::Placement,
        decider: Decider,
    ) -> Guard {
        let now = admitted.state.clock.now();
        let prompt = admitted.request.head.prompt_tokens.unwrap_or(0);
        let deadline = admitted.deadline;
        let customer = placement::customer_number(admitted.customer.as_ref());
        let dispatch =
            placement::Dispatch::new(id, placement, prompt, admitted.gap_target(), deadline)
                .charged_to(admitted.urgency, customer);
        let sent = message::Dispatch::new(&dispatch, now);
        let engine_ms = admitted.state.with_placer(&admitted.service, |placer, _| {
            if decider == Decider::Own {
                placer.record_placing_host(admitted.state.incarnation, now);
            }
            let engine_ms = placer.charged_ms(&dispatch);
            placer.record_dispatch(dispatch, now);
            engine_ms
        });
        if let Some(engine_ms) = engine_ms.filter(|engine_ms| *engine_ms > 0.0) {
            let (urgency, customer) = (admitted.urgency, admitted.customer.as_ref());
            admitted.state.metrics.shares.count_engine_ms(urgency, customer, engine_ms);
        }
        let in_flight = Guard {
            state: admitted.state.clone(),
            service: admitted.service.clone(),
            id,
            has_first_token: false,
            reservations: None,
        };
        if decider == Decider::Own {
            let update =
                message::Update::new(id.number, &admitted.service, message::Kind::Sent(sent));
            admitted.state.queue_update(update, mesh::Audience::AllZones);
        }
        in_flight
    }

    /// Records that the first token arrived. The head of a streamed answer counts as its first
    /// token.
    pub(crate) fn record_first_token(&mut self) {
        if std::mem::replace(&mut self.has_first_token, true) {
            return;
        }
        self.state
            .with_placer(&self.service, |placer, now| placer.record_first_token(self.id, now));
        self.publish(message::Kind::First(message::Empty {}));
    }

    /// Records for the reservations that bytes of the answer arrived, so that they are renewed.
    pub(crate) fn keep_reservations(&self) {
        if let Some(reservations) = &self.reservations {
            reservations.record_activity();
        }
    }

    fn publish(&self, what: message::Kind) {
        self.state.publish(message::Update::new(self.id.number, &self.service, what));
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.state.with_placer(&self.service, |placer, now| placer.record_end(self.id, now));
        self.publish(message::Kind::Ended(message::Empty {}));
    }
}
