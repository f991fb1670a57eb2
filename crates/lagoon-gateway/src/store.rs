//! Calls of the platform's store over one connection.

use std::net;
use std::time;

use lagoon_platform::store;

use crate::exchange;

/// Longest time for a connection to the store: three round trips between zones and a lost packet.
const CONNECT: time::Duration = time::Duration::from_millis(1_000);
/// Longest answer: 1 MB of rows, and their JSON form.
const ANSWER: usize = 4 << 20;

/// Why a call was not answered.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Trouble {
    /// The connection failed.
    #[error("{0}")]
    Failed(#[from] exchange::Failure),
    /// No answer in time.
    #[error("no answer within {0:?}")]
    Silent(time::Duration),
    /// An answer that is none of the store's.
    #[error("{0}")]
    Unreadable(#[from] lagoon_platform::Unreadable),
    /// The store refused the call; nothing was done.
    #[error("refused with status {0}")]
    Refused(u16),
}

/// One connection to the store, opened when it is needed.
#[derive(Debug)]
pub(crate) struct Client {
    address: net::SocketAddr,
    exchange: Option<exchange::Exchange>,
}

impl Client {
    /// A client of the store at `address`.
    pub(crate) fn new(address: net::SocketAddr) -> Client {
        Client { address, exchange: None }
    }

    /// Makes one call. After any trouble the connection is given up: an answer that comes late
    /// must not be taken for the next call's.
    ///
    /// # Errors
    ///
    /// Why there is no answer. A write may have been done all the same.
    pub(crate) async fn call(
        &mut self,
        call: &store::Call,
        timeout: time::Duration,
    ) -> Result<store::Reply, Trouble> {
        let kept = self.exchange.take();
        let work = tokio::time::timeout(timeout, self.make(kept, call));
        let (exchange, reply) = work.await.map_err(|_| Trouble::Silent(timeout))??;
        self.exchange = Some(exchange);
        match reply {
            store::Reply::Refused(status) => Err(Trouble::Refused(status)),
            reply => Ok(reply),
        }
    }

    async fn make(
        &self,
        kept: Option<exchange::Exchange>,
        call: &store::Call,
    ) -> Result<(exchange::Exchange, store::Reply), Trouble> {
        let mut usable = None;
        if let Some(mut kept) = kept
            && kept.settle().await
        {
            usable = Some(kept);
        }
        let mut exchange = match usable {
            Some(kept) => kept,
            None => exchange::Exchange::open(self.address, CONNECT).await?,
        };
        let mut answer = exchange.send(self.request(call)?).await?;
        let status = answer.status().as_u16();
        let body = exchange.whole(answer.body_mut(), ANSWER).await?;
        Ok((exchange, store::read(status, &body)?))
    }

    fn request(
        &self,
        call: &store::Call,
    ) -> Result<hyper::Request<exchange::Payload>, exchange::Failure> {
        let body = exchange::Payload::new(hyper::body::Bytes::from(call.body.clone()));
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
