//! What one worker thread has of its own: its connections to upstreams.

use std::sync;

use ntex::SharedCfg;
use ntex::client;

use super::claims;
use super::state;

/// One worker thread.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) state: sync::Arc<state::State>,
    /// Connections that are used again.
    pub(crate) client: client::Client,
    /// A new connection for each call.
    ///
    /// Failure answered: a call that may not repeat goes out on a connection that the service is
    /// just closing, and ends as unknown though nothing is wrong.
    pub(crate) once: client::Client,
    /// Idempotency keys, when there is a platform.
    pub(crate) claims: Option<claims::Claims>,
}

impl Worker {
    pub(crate) async fn new(state: sync::Arc<state::State>) -> Worker {
        let (client, once) = (new_client(15).await, new_client(0).await);
        let claims = claims::open(&state).await;
        Worker { state, client, once, claims }
    }
}

/// Most connections of one worker's pool.
///
/// Not 0, which means no limit: ntex then never wakes the calls that wait while another connection
/// to the same upstream is being opened, and they hang until their deadline.
const CONNECTIONS: usize = 1 << 20;

/// A client without limits of its own: deadlines and queues are ours.
pub(crate) async fn new_client(keep_alive: u16) -> client::Client {
    let connector = client::Connector::new().limit(CONNECTIONS);
    let connector = connector.keep_alive(ntex::time::Seconds(keep_alive));
    let builder = client::Client::builder().connector::<()>(connector);
    let builder = builder.disable_timeout().disable_redirects().no_default_headers();
    match builder.build(SharedCfg::default()).await {
        Ok(client) => client,
        Err(error) => {
            log::error!("client settings were refused, usual ones are used: {error}");
            client::Client::new().await
        }
    }
}
