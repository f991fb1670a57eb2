//! Calls that upstreams may read late.
//!
//! A process that is frozen keeps the requests that it gets and reads them when it goes on, and so does one
//! behind a connection that stalls. It then works on a call for all the time that was left when the call was
//! sent, though its caller has gone. Nothing takes back a request that was sent, so calls that are sent more
//! than once keep two rules:
//!
//! - A call is sent once more only on a connection on which its upstream has just answered a health check.
//! - A call is not sent once more while its upstream may read it: if it was given up on a connection that
//!   shows nothing, or if that was reset and the upstream neither has ended nor answers a health check. Its
//!   caller learns at once that it failed, and may return.
//!
//! Streams are not covered: an upstream stops a stream whose connection is closed, and [`crate::retries`]
//! bounds how many may be read late.

use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::load::placement;
use lagoonline::routing;

use crate::attempt;
use crate::exchange;
use crate::forward;
use crate::metrics;
use crate::path;
use crate::payload;
use crate::retries;

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

    /// Whether `upstream`, to which a call was sent last, cannot read it later than now, so that it may be
    /// sent once more. Always true for streams.
    pub(crate) async fn cannot_read_late(&self, upstream: &id::Upstream) -> bool {
        let cannot = match self.sends.take_unread_end().filter(|_| self.is_call()) {
            None => true,
            Some(retries::UnreadEnd::GivenUp) => false,
            Some(retries::UnreadEnd::Reset) => self.runs_or_ended(upstream).await,
        };
        if !cannot {
            self.record_retry_refusal(metrics::RetryRefusal::Unread);
        }
        cannot
    }

    /// Whether the process of `upstream` reads what it has, or has ended.
    async fn runs_or_ended(&self, upstream: &id::Upstream) -> bool {
        let entry = |placer: &mut placement::Placer, _| placer.entry(upstream.as_str()).cloned();
        let Some(entry) = self.state.with_placer(&self.service, entry).flatten() else {
            return true;
        };
        let timeout = CHECK_TIMEOUT.min(self.time_left());
        let opened = path::connect(&self.state, &entry, path::Purpose::RUNNING, timeout).await;
        let connection = match opened {
            Ok(connection) => connection,
            Err(failure) => return failure.verdict == path::Verdict::Refused,
        };
        let through = connection.through().cloned();
        let Ok(mut exchange) = exchange::Exchange::open(connection).await else { return false };
        self.check_reading(&entry, &mut exchange, through.as_ref()).await.is_ok()
    }

    /// Lets `entry` answer a health check on `exchange`, which shows that it reads what is sent there.
    ///
    /// # Errors
    ///
    /// The upstream does not answer with success, or nothing may be sent to it. Nothing of the request was sent.
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
        // An upstream may send an answer twice. Another status than success could pass for that of the
        // request, which needs a signature to succeed.
        if !(200..300).contains(&reply.status) {
            return Err(unsent(&format!("its health check has status {}", reply.status)));
        }
        if exchange.wait_reusable().await { Ok(()) } else { Err(unsent("its connection ended")) }
    }
}
