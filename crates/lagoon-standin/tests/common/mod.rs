//! HTTP client helpers for the tests of the stand-ins.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::net;

use ntex::client;
use serde_json::Value;

/// Runs `test` on its own runtime.
pub fn run<F>(test: F)
where
    F: Future<Output = ()> + 'static,
{
    ntex::rt::System::new("test", ntex::rt::DefaultRuntime).block_on(test);
}

/// Returns the attempt id of this number, as 32 hex digits.
pub fn attempt(number: u128) -> String {
    format!("{number:032x}")
}

/// Returns whether connections to `address` are refused.
pub fn refuses(address: net::SocketAddr) -> bool {
    net::TcpStream::connect(address)
        .is_err_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused)
}

/// Sends JSON. Returns the status and JSON body of the response: status 0 without a response, and
/// null for a body that is not JSON.
pub async fn post(address: net::SocketAddr, path: &str, body: Value) -> (u16, Value) {
    let client = client::Client::new().await;
    let sent = client.post(format!("http://{address}{path}")).send_json(&body).await;
    read_json(sent).await
}

/// Fetches JSON; returns the same as [`post`].
pub async fn get(address: net::SocketAddr, path: &str) -> (u16, Value) {
    let client = client::Client::new().await;
    read_json(client.get(format!("http://{address}{path}")).send().await).await
}

async fn read_json<E: std::fmt::Debug>(sent: Result<client::ClientResponse, E>) -> (u16, Value) {
    let Ok(response) = sent.inspect_err(|error| eprintln!("no response: {error:?}")) else {
        return (0, Value::Null);
    };
    let status = response.status().as_u16();
    (status, response.json().limit(64 << 20).await.unwrap_or(Value::Null))
}

/// The response to a generate or resume call, whose body is not read yet.
pub struct Reader {
    pub status: u16,
    response: Option<client::ClientResponse>,
}

/// A generated answer, as parsed from the events of a response body.
#[derive(Debug, Default)]
pub struct Answer {
    pub status: u16,
    /// Text of all chunks, concatenated.
    pub text: String,
    /// Numbers of the chunks, in the order of arrival.
    pub numbers: Vec<u64>,
    /// Attempt ids of the chunks, in the order of arrival.
    pub attempts: Vec<String>,
    pub end: Option<Value>,
    pub error: Option<Value>,
    /// Whether the connection broke before the end of the body.
    pub aborted: bool,
}

/// Starts a generate call. `headers` are added to those of the attempt, model and owner.
pub async fn generate(
    address: net::SocketAddr,
    attempt: &str,
    prompt: &str,
    headers: &[(&str, &str)],
) -> Reader {
    let client = client::Client::builder()
        .disable_timeout()
        .response_payload_timeout(ntex::time::Millis(0))
        .build(ntex::SharedCfg::default())
        .await
        .unwrap();
    let mut request = client.post(format!("http://{address}/generate"));
    let common_headers =
        [("Lagoon-Attempt", attempt), ("Lagoon-Model", "model"), ("Lagoon-Owner", "a/1")];
    for (name, value) in common_headers.iter().chain(headers) {
        request = request.set_header(*name, *value);
    }
    let sent = request.send_json(&serde_json::json!({"prompt": prompt})).await;
    start_reading(sent.inspect_err(|error| eprintln!("no response: {error:?}")).ok())
}

/// Resumes a stream from chunk `from`.
pub async fn resume(address: net::SocketAddr, attempt: &str, from: u64) -> Reader {
    let client = client::Client::new().await;
    let uri = format!("http://{address}/streams/{attempt}?from={from}");
    start_reading(client.get(uri).send().await.ok())
}

fn start_reading(response: Option<client::ClientResponse>) -> Reader {
    Reader { status: response.as_ref().map_or(0, |response| response.status().as_u16()), response }
}

impl Reader {
    /// Reads the body to its end, or until the connection breaks.
    pub async fn all(self) -> Answer {
        let mut result = Answer { status: self.status, ..Answer::default() };
        let Some(response) = self.response else { return result };
        let mut payload = response.take_payload();
        let mut buffer = String::new();
        while let Some(piece) = payload.recv().await {
            let Ok(piece) = piece else {
                result.aborted = true;
                break;
            };
            buffer.push_str(std::str::from_utf8(&piece).unwrap());
            while let Some(at) = buffer.find("\n\n") {
                let event: String = buffer.drain(..at + 2).collect();
                result.add(event.trim().trim_start_matches("data: "));
            }
        }
        result
    }
}

impl Answer {
    fn add(&mut self, event: &str) {
        let event: Value = serde_json::from_str(event).unwrap();
        if event.get("end").is_some() {
            self.end = Some(event);
        } else if event.get("error").is_some() {
            self.error = Some(event);
        } else {
            self.numbers.push(event["n"].as_u64().unwrap());
            self.attempts.push(event["a"].as_str().unwrap().to_owned());
            self.text.push_str(event["t"].as_str().unwrap());
        }
    }
}
