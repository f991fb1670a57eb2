//! Per-thread state of a worker: its connections to upstreams.

use std::sync;

use ntex::SharedCfg;
use ntex::client;

use super::claims;
use super::state;

/// State of one worker thread.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) state: sync::Arc<state::State>,
    /// Client with a connection pool.
    pub(crate) client: client::Client,
    /// Client that opens a new connection for each call.
    ///
    /// Guards against a call that may not be repeated going out on a pooled connection which the
    /// service is just closing: it would end as unknown although nothing is wrong.
    pub(crate) unpooled_client: client::Client,
    /// Idempotency claims; `None` without a platform.
    pub(crate) claims: Option<claims::Claims>,
}

impl Worker {
    pub(crate) async fn new(state: sync::Arc<state::State>) -> Worker {
        let (client, unpooled_client) = (new_client(15).await, new_client(0).await);
        let claims = claims::open(&state).await;
        Worker { state, client, unpooled_client, claims }
    }
}

/// Most connections of one worker's pool.
///
/// Not 0, which means no limit: in that case ntex never wakes calls that wait while another
/// connection to the same upstream is being opened, and they hang until their deadline.
const MAX_CONNECTIONS: usize = 1 << 20;

/// Creates a client without timeouts: deadlines and queues are enforced by this crate. Idle
/// connections are kept for `keep_alive_seconds`; with 0 none is reused.
pub(crate) async fn new_client(keep_alive_seconds: u16) -> client::Client {
    let connector = client::Connector::new().limit(MAX_CONNECTIONS);
    let connector = connector.keep_alive(ntex::time::Seconds(keep_alive_seconds));
    let builder = client::Client::builder().connector::<()>(connector);
    let builder = builder.disable_timeout().disable_redirects().no_default_headers();
    match builder.build(SharedCfg::default()).await {
        Ok(client) => client,
        Err(error) => {
            log::error!("invalid HTTP client settings, using the defaults: {error}");
            client::Client::new().await
        }
    }
}
