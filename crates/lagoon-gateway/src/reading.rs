//! Calls that upstreams may read late.
//!
//! A process that is frozen keeps the requests that it gets and reads them when it goes on, and so does one
//! behind a connection that stalls. It then works on a call for all the time that was left when the call was
//! sent, though its caller has gone. Nothing takes back a request that was sent, so calls that are sent more
//! than once keep two rules:
//!
//! - A call is sent once more only on a connection on which its upstream has just answered a health check.
//! - A call that was given up on a connection that shows nothing is not sent once more, since its upstream may
//!   read it after the other one has answered. Its caller learns at once that it failed, and may return.
//!
//! Streams are not covered: an upstream stops a stream whose connection is closed, and [`crate::retries`]
//! bounds how many may be read late.

use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::routing;

use crate::attempt;
use crate::exchange;
use crate::forward;
use crate::payload;

/// Time for the answer to a health check. Zones are some milliseconds apart, and a lost packet is
/// retransmitted after 200 ms.
const CHECK_TIMEOUT: clock::Span = clock::Span::from_millis(300);

/// Maximum size in bytes of the answer to a health check.
const MAX_CHECK_BYTES: usize = 16 << 10;

impl forward::Admitted {
    /// Whether the request is answered at once and not by a stream.
    pub(crate) fn is_call(&self) -> bool {
        match self.route.kind {
            routing::Kind::Idempotent | routing::Kind::Once => true,
            routing::Kind::Stream { .. } => false,
        }
    }

    /// Lets `entry` answer a health check on `exchange`, which shows that it reads what is sent there. Its
    /// status does not matter: an upstream that is full may have room when the request arrives.
    ///
    /// # Errors
    ///
    /// The upstream does not answer, or no request may follow. Nothing of the request was sent.
    pub(crate) async fn check_reading(
        &self,
        entry: &routing::Registration,
        exchange: &mut exchange::Exchange,
        through: Option<&id::Host>,
    ) -> Result<(), attempt::Failure> {
        let unsent =
            |detail: &str| attempt::Failure::Unsent(format!("{}: {detail}", entry.upstream));
        let table = self.state.routing_table();
        let service = table.as_ref().and_then(|table| table.service(&entry.service));
        let service = service.ok_or_else(|| unsent("its service was taken away"))?;
        let request = hyper::Request::get(service.health_path.as_str())
            .header("host", entry.address.to_string())
            .body(payload::Payload::default())
            .map_err(|error| unsent(&error.to_string()))?;
        self.state.record_call(entry);
        self.state.count_send(entry);
        let sent_at = self.state.clock.now();
        // A caller is told before its deadline that its request was not sent.
        let timeout = CHECK_TIMEOUT.min(self.time_left().saturating_sub(forward::MIN_TIME_LEFT));
        let fetching = exchange.fetch(request, through.cloned(), MAX_CHECK_BYTES);
        let reply = match tokio::time::timeout(timeout, fetching).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(failure)) => {
                self.state.record_violation("health check", entry, &failure);
                self.record_unresponsive(&entry.upstream);
                return Err(unsent(&failure.to_string()));
            }
            Err(_) => {
                self.record_unresponsive(&entry.upstream);
                return Err(unsent("no answer to a health check"));
            }
        };
        self.state.observe_reply(entry, sent_at, &reply);
        self.record_activity(&entry.upstream);
        if exchange.wait_reusable().await { Ok(()) } else { Err(unsent("its connection ended")) }
    }
}
