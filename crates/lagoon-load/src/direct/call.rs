//! A single call, directly to an engine or through an entry host.

use std::net;
use std::sync;

use lagoonline::id;
use ntex::client;
use ntex::http;
use ntex::util;

/// Path of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Path {
    /// Directly to the engine at this address.
    Engine(net::SocketAddr),
    /// Through the entry host at this address.
    Entry(net::SocketAddr),
}

/// HTTP client with the key and model of its calls.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The HTTP client and its connections.
    pub client: client::Client,
    /// API key of the customer.
    pub key: sync::Arc<str>,
    /// Model of the calls.
    pub model: sync::Arc<str>,
}

/// Reason why a call has no complete response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// There was no response.
    #[error("no response: {0}")]
    NoResponse(String),
    /// The status is not 200.
    #[error("status {status}: {text}")]
    Status {
        /// Status of the response.
        status: http::StatusCode,
        /// Body of the response.
        text: String,
    },
    /// The connection failed after this many bytes of the body.
    #[error("response truncated after {0} bytes")]
    Truncated(usize),
}

impl Caller {
    /// Creates a caller that sets no timeouts.
    pub async fn new(key: &str, model: &str) -> Caller {
        let connector = client::Connector::new().limit(MAX_CONNECTIONS);
        let builder = client::Client::builder().connector::<()>(connector).disable_timeout();
        let client = match builder.build(ntex::SharedCfg::default()).await {
            Ok(client) => client,
            Err(error) => {
                log::error!("client settings were rejected; using the defaults: {error}");
                client::Client::new().await
            }
        };
        Caller { client, key: key.into(), model: model.into() }
    }

    /// Returns a request body with a prompt of about `bytes` bytes, for an answer of at most
    /// `answer_tokens` tokens. The prompt starts with a random id, so that no prefix is cached.
    pub fn body(&self, bytes: usize, answer_tokens: u64, stream: bool) -> util::Bytes {
        let start = id::Attempt(rand::random()).to_string();
        let rest = "tin ".repeat(bytes.saturating_sub(start.len()).div_ceil(4));
        util::Bytes::from(format!(
            r#"{{"model":"{}","max_tokens":{answer_tokens},"stream":{stream},"prompt":"{start}{rest}"}}"#,
            self.model
        ))
    }

    /// Sends a body and reads the response to the end; calls `on_chunk` for each received chunk.
    /// `answer_tokens` is sent to an engine as the length of the answer.
    ///
    /// # Errors
    ///
    /// There is no complete response with status 200.
    pub async fn send<OnChunk>(
        &self,
        path: Path,
        body: util::Bytes,
        answer_tokens: u64,
        mut on_chunk: OnChunk,
    ) -> Result<(), Error>
    where
        OnChunk: FnMut(&[u8]),
    {
        let response = match path {
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
                // A made-up owner, `HOST/INCARNATION`.
                let request = request.header("Lagoon-Owner", "load/1");
                let request = request.header("Lagoon-Zone", "load");
                let request = request.header("Lagoon-Deadline-Ms", DEADLINE_MS);
                // The middle of the range, 0 to 255.
                let request = request.header("Lagoon-Priority", 128);
                let request = request.header("Lagoon-Model", &*self.model);
                request.header("Lagoon-Answer-Tokens", answer_tokens).send_body(body).await
            }
        };
        let response = response.map_err(|error| Error::NoResponse(error.to_string()))?;
        if response.status() != http::StatusCode::OK {
            let status = response.status();
            let body = response.body().await.unwrap_or_default();
            return Err(Error::Status { status, text: String::from_utf8_lossy(&body).into() });
        }
        let mut payload = response.take_payload();
        let mut bytes = 0;
        while let Some(chunk) = payload.recv().await {
            let chunk = chunk.map_err(|_| Error::Truncated(bytes))?;
            bytes += chunk.len();
            on_chunk(&chunk);
        }
        Ok(())
    }
}

/// Maximum number of connections. It must not be 0: the HTTP client takes that as no limit, with
/// which calls can wait for a connection forever.
const MAX_CONNECTIONS: usize = 4_096;
/// Deadline sent to the engine, in milliseconds.
const DEADLINE_MS: u64 = 60_000;
