//! One call, to an engine itself or to an entry host.

use std::net;
use std::sync;

use lagoonline::id;
use ntex::client;
use ntex::http;
use ntex::util;

/// Where a call goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Path {
    /// To the engine itself.
    Engine(net::SocketAddr),
    /// Through an entry host.
    Entry(net::SocketAddr),
}

/// What every call has in common.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Its connections.
    pub client: client::Client,
    /// The caller key.
    pub key: sync::Arc<str>,
    /// The model asked for.
    pub model: sync::Arc<str>,
}

/// Why a call has no whole answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No answer began.
    #[error("no answer: {0}")]
    None(String),
    /// Its status is not 200.
    #[error("status {status}: {text}")]
    Status {
        /// The status.
        status: http::StatusCode,
        /// The body.
        text: String,
    },
    /// It broke off.
    #[error("broke off after {0} bytes")]
    Broken(usize),
}

impl Caller {
    /// A caller without time limits of its own.
    pub async fn new(key: &str, model: &str) -> Caller {
        let connector = client::Connector::new().limit(CONNECTIONS);
        let builder = client::Client::builder().connector::<()>(connector).disable_timeout();
        let client = match builder.build(ntex::SharedCfg::default()).await {
            Ok(client) => client,
            Err(error) => {
                log::error!("client settings were refused, usual ones are used: {error}");
                client::Client::new().await
            }
        };
        Caller { client, key: key.into(), model: model.into() }
    }

    /// A body whose prompt has `bytes` bytes and begins like no other.
    pub fn body(&self, bytes: usize, tokens: u64, stream: bool) -> util::Bytes {
        let start = id::Attempt(rand::random()).to_string();
        let rest = "tin ".repeat(bytes.saturating_sub(start.len()).div_ceil(4));
        util::Bytes::from(format!(
            r#"{{"model":"{}","max_tokens":{tokens},"stream":{stream},"prompt":"{start}{rest}"}}"#,
            self.model
        ))
    }

    /// Sends a body and reads its answer to the end; calls `seen` for each piece.
    ///
    /// # Errors
    ///
    /// There is no whole answer.
    pub async fn send<Seen>(
        &self,
        path: Path,
        body: util::Bytes,
        tokens: u64,
        mut seen: Seen,
    ) -> Result<(), Error>
    where
        Seen: FnMut(&[u8]),
    {
        let answer = match path {
            Path::Entry(address) => {
                let request = self.client.post(format!("http://{address}/v1/completions"));
                let request = request.header("Authorization", format!("Bearer {}", self.key));
                request.header("Content-Type", "application/json").send_body(body).await
            }
            Path::Engine(address) => {
                let attempt = id::Attempt(rand::random()).to_string();
                let request = self.client.post(format!("http://{address}/generate"));
                let request = request.header("Content-Type", "application/json");
                let request = request.header("Lagoon-Attempt", attempt);
                let request = request.header("Lagoon-Owner", "load/1");
                let request = request.header("Lagoon-Zone", "load");
                let request = request.header("Lagoon-Deadline-Ms", DEADLINE_MS);
                let request = request.header("Lagoon-Priority", 128);
                let request = request.header("Lagoon-Model", &*self.model);
                request.header("Lagoon-Answer-Tokens", tokens).send_body(body).await
            }
        };
        let answer = answer.map_err(|error| Error::None(error.to_string()))?;
        if answer.status() != http::StatusCode::OK {
            let status = answer.status();
            let body = answer.body().await.unwrap_or_default();
            return Err(Error::Status { status, text: String::from_utf8_lossy(&body).into() });
        }
        let mut payload = answer.take_payload();
        let mut bytes = 0;
        while let Some(piece) = payload.recv().await {
            let piece = piece.map_err(|_| Error::Broken(bytes))?;
            bytes += piece.len();
            seen(&piece);
        }
        Ok(())
    }
}

/// Most connections; 0 would mean no limit, with which calls can wait for ever.
const CONNECTIONS: usize = 4_096;
/// Deadline told to the engine.
const DEADLINE_MS: u64 = 60_000;
