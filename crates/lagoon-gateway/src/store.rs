//! Client of the platform's store.

use std::net;
use std::time;

use lagoon_platform::store;
use lagoonline::clock::Clock as _;

use crate::era;
use crate::event;
use crate::exchange;
use crate::metrics;
use crate::path;
use crate::payload;
use crate::state;
use crate::tcp;

/// Timeout for connecting to the store: three round trips between zones and a lost packet.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);
/// Maximum size of an answer in bytes: 1 MB of rows, plus what their JSON form adds.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The connection failed.
    #[error("{0}")]
    Failed(#[from] exchange::Failure),
    /// There was no answer in time.
    #[error("no answer within {0:?}")]
    TimedOut(time::Duration),
    /// The answer is not one of the store's.
    #[error("{0}")]
    Invalid(#[from] lagoon_platform::DecodeError),
    /// The store refused the call and did nothing.
    #[error("refused with status {0}")]
    Refused(u16),
    /// The answer was made before the store was restored, or names no era though others do.
    #[error("answer of era {answered}, the store is in {latest}")]
    EarlierEra {
        /// Era of the answer; 0 if it names none.
        answered: u64,
        /// The latest known era.
        latest: u64,
    },
}

/// A client with one connection to the store, opened when it is needed.
#[derive(Debug)]
pub(crate) struct Client {
    address: net::SocketAddr,
    clock: crate::BootClock,
    era: era::SharedEra,
    metrics: metrics::Metrics,
    exchange: Option<exchange::Exchange>,
}

impl Client {
    /// Creates a client of the platform's store.
    pub(crate) fn new(state: &state::State) -> Client {
        Client {
            address: state.settings.node.store,
            clock: state.clock,
            era: state.era.clone(),
            metrics: state.metrics.clone(),
            exchange: None,
        }
    }

    /// Makes one call. After a failure the connection is closed, so that a late answer is not taken
    /// for the answer to the next call.
    ///
    /// # Errors
    ///
    /// Why there is no answer. A write may have been performed all the same.
    pub(crate) async fn call(
        &mut self,
        call: &store::Call,
        timeout: time::Duration,
    ) -> Result<store::Answer, Error> {
        let idle = self.exchange.take();
        let work = tokio::time::timeout(timeout, self.call_on(idle, call));
        let result = work.await.map_err(|_| Error::TimedOut(timeout))?;
        if let Err(Error::Failed(exchange::Failure::Violated(violation))) = &result {
            self.metrics.count_violation("store", *violation);
            event::Line::new("answer_violation")
                .text("dependency", "store")
                .text("kind", violation.as_str())
                .warn();
        }
        let (exchange, answer) = result?;
        self.exchange = Some(exchange);
        if let store::Reply::Refused(status) = answer.reply {
            return Err(Error::Refused(status));
        }
        let answered = answer.era.unwrap_or_default();
        match self.era.observe(answered, self.clock.now()) {
            latest if latest == answered => Ok(answer),
            latest => Err(Error::EarlierEra { answered, latest }),
        }
    }

    /// Makes one call on the idle connection if it is still usable, otherwise on a new one.
    async fn call_on(
        &self,
        idle: Option<exchange::Exchange>,
        call: &store::Call,
    ) -> Result<(exchange::Exchange, store::Answer), Error> {
        let mut usable = None;
        if let Some(mut idle) = idle
            && idle.wait_reusable().await
        {
            usable = Some(idle);
        }
        let mut exchange = match usable {
            Some(idle) => idle,
            None => {
                let stream = tcp::connect(self.address, CONNECT_TIMEOUT).await;
                let stream =
                    stream.map_err(|error| exchange::Failure::Unsent(error.to_string()))?;
                exchange::Exchange::open(path::Connection::Direct(stream)).await?
            }
        };
        let mut answer = exchange.send(self.request(call)?).await?;
        let status = answer.status().as_u16();
        let era = answer.headers().get(store::ERA).cloned();
        let body = exchange.read_body(answer.body_mut(), MAX_ANSWER_BYTES, |_| true).await?;
        Ok((exchange, store::read(status, era.as_ref().map(|era| era.as_bytes()), &body)?))
    }

    fn request(
        &self,
        call: &store::Call,
    ) -> Result<hyper::Request<payload::Payload>, exchange::Failure> {
        let body = payload::Payload::new(hyper::body::Bytes::from(call.body.clone()));
        let mut request = hyper::Request::builder()
            .method(call.method)
            .uri(&call.path)
            .header("host", self.address.to_string());
        if !call.body.is_empty() {
            request = request.header("content-type", "application/json");
        }
        request.body(body).map_err(|error| exchange::Failure::Unsent(error.to_string()))
    }
}
