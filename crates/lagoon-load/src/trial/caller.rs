//! Callers: make each call at its time, read the response, and record its result.

use std::io::{Read, Write};
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use lagoon_standin::{answer, prompt};
use ntex::client;
use serde_json::Value;

use super::plan;

/// Time beyond a call's deadline after which the caller gives up; the result then has no outcome
/// and the code `no_end`.
const DEADLINE_GRACE: time::Duration = time::Duration::from_secs(5);
/// Timeout of a readiness check.
const READINESS_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Maximum size of a response that is not streamed, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Model and service that callers use, and their API keys.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Target {
    /// API keys of the customers.
    pub(crate) keys: Vec<String>,
    /// Model of the model calls.
    pub(crate) model: String,
    /// Path of the bookings, which must not run twice.
    pub(crate) booking_path: String,
    /// Whether a call with an idempotency key that got no outcome is retried once at another host.
    pub(crate) retry_elsewhere: bool,
}

/// Simulates the load balancer before the entry hosts: chooses among those that report ready.
#[derive(Debug)]
pub(crate) struct Balancer {
    hosts: Vec<(net::SocketAddr, atomic::AtomicBool)>,
    target: sync::Arc<Target>,
}

impl Balancer {
    pub(crate) fn new(hosts: Vec<net::SocketAddr>, target: Target) -> Self {
        let ready = |address| (address, atomic::AtomicBool::new(true));
        Balancer { hosts: hosts.into_iter().map(ready).collect(), target: sync::Arc::new(target) }
    }

    /// Checks the readiness of each host and stores the result.
    pub(crate) fn check_readiness(&self) {
        for (address, ready) in &self.hosts {
            ready.store(is_ready(*address), atomic::Ordering::Relaxed);
        }
    }

    /// Returns one of the ready hosts, or the first host if none is ready.
    fn pick(&self, selector: u32) -> net::SocketAddr {
        let ready =
            |host: &&(net::SocketAddr, atomic::AtomicBool)| host.1.load(atomic::Ordering::Relaxed);
        let count = self.hosts.iter().filter(ready).count().max(1);
        let mut chosen = self.hosts.iter().filter(ready).map(|host| host.0);
        chosen.nth(selector as usize % count).unwrap_or(self.hosts[0].0)
    }
}

/// Returns whether the entry host at `address` reports ready.
pub(crate) fn is_ready(address: net::SocketAddr) -> bool {
    let check = || {
        let mut stream = net::TcpStream::connect_timeout(&address, READINESS_TIMEOUT)?;
        stream.set_read_timeout(Some(READINESS_TIMEOUT))?;
        stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")?;
        // The status line up to the status code, `HTTP/1.1 200`.
        let mut head = [0; 12];
        stream.read_exact(&mut head)?;
        Ok::<_, std::io::Error>(head.ends_with(b"200"))
    };
    check().unwrap_or(false)
}

/// How the received answer compares with the expected one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Content {
    /// The complete answer; also a successful booking, whose body is not compared.
    Whole,
    /// A prefix of the answer, possibly empty; also a failed call.
    Part,
    /// Text of another answer.
    Foreign,
}

/// Result of one call as its caller saw it.
#[derive(Clone, Debug)]
pub(crate) struct CallResult {
    /// The call.
    pub(crate) call: plan::Call,
    /// Entry host of the last attempt.
    pub(crate) host: net::SocketAddr,
    /// Time at which the last attempt was sent.
    pub(crate) started: time::SystemTime,
    /// Result of the first attempt, if it got no outcome and the call was retried.
    pub(crate) first_attempt: Option<Box<CallResult>>,
    /// The outcome, if the caller received one.
    pub(crate) outcome: Option<String>,
    /// The code of the error, or `no_code` if the error has none; `none` for a success, `no_end` if
    /// the caller gave up; otherwise a description of the transport failure.
    pub(crate) code: String,
    /// Comparison of the received answer with the expected one.
    pub(crate) content: Content,
    /// Time to first token of a streamed answer.
    pub(crate) first_token: Option<time::Duration>,
    /// Times between the tokens of a streamed answer.
    pub(crate) token_intervals: Vec<time::Duration>,
    /// Duration of the last attempt.
    pub(crate) elapsed: time::Duration,
}

/// Makes `calls`, each at its time after `start_time`, the start of the run; returns when all have
/// ended.
pub(crate) fn run(
    start_time: time::Instant,
    balancer: &Balancer,
    calls: Vec<plan::Call>,
) -> Vec<CallResult> {
    let hosts: Vec<_> = balancer.hosts.iter().map(|host| host.0).collect();
    let system = ntex::rt::System::new("callers", ntex::rt::DefaultRuntime);
    // Tasks on the runtime must own their data, but the balancer is borrowed. A scoped thread
    // therefore reads the balancer's view when a call is due, and sends the chosen addresses to the
    // runtime.
    let (sender, receiver) = std::sync::mpsc::channel::<(plan::Call, [net::SocketAddr; 2])>();
    let target = balancer.target.clone();
    std::thread::scope(|scope| {
        scope.spawn(move || {
            for call in calls {
                let wait = (start_time + call.at).saturating_duration_since(time::Instant::now());
                std::thread::sleep(wait);
                let customers = u32::try_from(balancer.target.keys.len()).unwrap_or(1);
                let selector = call.selector / customers.max(1);
                let addresses = [balancer.pick(selector), balancer.pick(selector.wrapping_add(1))];
                if sender.send((call, addresses)).is_err() {
                    return;
                }
            }
        });
        system.block_on(run_calls(receiver, target, hosts.len()))
    })
}

/// Interval at which the runtime polls for calls that are due.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(1);

/// Starts each due call as a task, and collects the results.
async fn run_calls(
    due: std::sync::mpsc::Receiver<(plan::Call, [net::SocketAddr; 2])>,
    target: sync::Arc<Target>,
    host_count: usize,
) -> Vec<CallResult> {
    let client = new_client(host_count).await;
    let mut tasks = Vec::new();
    loop {
        match due.try_recv() {
            Ok((call, addresses)) => {
                let (client, target) = (client.clone(), target.clone());
                tasks.push(ntex::rt::spawn(async move {
                    make_call(client, target, addresses, call).await
                }));
            }
            Err(std::sync::mpsc::TryRecvError::Empty) => ntex::time::sleep(POLL_INTERVAL).await,
            Err(std::sync::mpsc::TryRecvError::Disconnected) => break,
        }
    }
    let mut results = Vec::with_capacity(tasks.len());
    for task in tasks {
        results.extend(task.await.ok());
    }
    results
}

/// Maximum number of connections per entry host, more than a run ever has open.
const CONNECTIONS_PER_HOST: usize = 4_096;

async fn new_client(host_count: usize) -> client::Client {
    let connector = client::Connector::new().limit(CONNECTIONS_PER_HOST * host_count);
    let builder = client::Client::builder().connector::<()>(connector).disable_timeout();
    match builder.build(ntex::SharedCfg::default()).await {
        Ok(client) => client,
        Err(error) => {
            log::error!("client settings were rejected; using the defaults: {error}");
            client::Client::new().await
        }
    }
}

/// Makes a call, with a retry at the other host if it may be retried and got no outcome.
async fn make_call(
    client: client::Client,
    target: sync::Arc<Target>,
    [host, other]: [net::SocketAddr; 2],
    call: plan::Call,
) -> CallResult {
    let keyed = matches!(call.request, plan::Request::Booking { keyed: true });
    let result = attempt(&client, &target, host, call).await;
    if result.outcome.is_some() || !keyed || !target.retry_elsewhere {
        return result;
    }
    let retry = attempt(&client, &target, other, result.call.clone()).await;
    CallResult { first_attempt: Some(Box::new(result)), ..retry }
}

/// Makes one attempt of a call at one entry host.
async fn attempt(
    client: &client::Client,
    target: &Target,
    address: net::SocketAddr,
    call: plan::Call,
) -> CallResult {
    let attempt_start = time::Instant::now();
    let mut result = CallResult {
        host: address,
        started: time::SystemTime::now(),
        first_attempt: None,
        outcome: None,
        code: "no_end".to_owned(),
        content: Content::Part,
        first_token: None,
        token_intervals: Vec::new(),
        elapsed: time::Duration::ZERO,
        call,
    };
    let timeout = result.call.deadline + DEADLINE_GRACE;
    let ended =
        tokio::time::timeout(timeout, send_and_read(client, target, &mut result, attempt_start))
            .await;
    if let Ok(Err(failure)) = ended {
        result.code = failure;
    }
    result.elapsed = attempt_start.elapsed();
    result
}

fn build_request(
    client: &client::Client,
    target: &Target,
    address: net::SocketAddr,
    call: &plan::Call,
) -> client::ClientRequest {
    let path = match call.request {
        plan::Request::Model { .. } => "v1/completions",
        plan::Request::Booking { .. } => &target.booking_path,
    };
    let key = &target.keys[call.selector as usize % target.keys.len()];
    let request = client
        .post(format!("http://{address}/{path}"))
        .header("Content-Type", "application/json")
        .header("Authorization", format!("Bearer {key}"))
        .header("Lagoon-Deadline-Ms", call.deadline.as_millis().to_string());
    match call.request {
        plan::Request::Booking { keyed: true } => {
            request.header("Idempotency-Key", format!("booking-{}", call.number))
        }
        plan::Request::Model { .. } | plan::Request::Booking { .. } => request,
    }
}

fn build_body(target: &Target, call: &plan::Call, prompt: &str) -> String {
    match call.request {
        plan::Request::Model { answer, stream, .. } => format!(
            "{{\"model\":\"{}\",\"max_tokens\":{answer},\"stream\":{stream},\"prompt\":\"{prompt}\"}}",
            target.model
        ),
        plan::Request::Booking { .. } => call.booking(),
    }
}

/// Sends the call and fills in `result`.
///
/// # Errors
///
/// A description of the failure if there is no complete HTTP response.
async fn send_and_read(
    client: &client::Client,
    target: &Target,
    result: &mut CallResult,
    attempt_start: time::Instant,
) -> Result<(), String> {
    let prompt = result.call.prompt();
    let prompt_hash = prompt::Prompt::new(&prompt).hash;
    let request = build_request(client, target, result.host, &result.call);
    let response = request.send_body(build_body(target, &result.call, &prompt)).await;
    drop(prompt);
    let response = response.map_err(|error| format!("no_answer: {error}"))?;
    let header = response.headers().get("lagoon-outcome").and_then(|value| value.to_str().ok());
    let header = header.map(str::to_owned);
    let is_success = response.status().is_success();
    let stream = matches!(result.call.request, plan::Request::Model { stream: true, .. });
    if is_success && stream {
        return read_stream(response, result, prompt_hash, attempt_start).await;
    }
    let body = response.body().limit(MAX_RESPONSE_BYTES).await;
    let body = body.map_err(|error| format!("broken_answer: {error}"))?;
    result.outcome = header;
    let json: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
    if !is_success {
        result.code = json["error"]["code"].as_str().unwrap_or("no_code").to_owned();
        return Ok(());
    }
    result.code = "none".to_owned();
    result.content = match result.call.request {
        plan::Request::Model { answer, .. } => {
            compare(json["choices"][0]["text"].as_str().unwrap_or(""), prompt_hash, answer)
        }
        plan::Request::Booking { .. } => Content::Whole,
    };
    Ok(())
}

/// Compares received text with the answer of `count` tokens that the stand-ins generate for a
/// prompt with this hash.
fn compare(text: &str, prompt_hash: u64, count: u64) -> Content {
    let whole = answer::text(prompt_hash, 0, count);
    match whole.strip_prefix(text) {
        Some("") => Content::Whole,
        Some(_) => Content::Part,
        None => Content::Foreign,
    }
}

/// Parser of a streamed answer, server-sent events.
#[derive(Debug, Default)]
struct Stream {
    /// Received bytes of an incomplete event.
    pending: Vec<u8>,
    text: String,
    tokens: u32,
    /// Whether the final `[DONE]` event was received.
    done: bool,
    /// Data of the last error event.
    error: Option<Value>,
}

impl Stream {
    /// Parses received bytes; returns the number of tokens completed by them.
    fn push(&mut self, bytes: &[u8]) -> u32 {
        self.pending.extend_from_slice(bytes);
        let before = self.tokens;
        while let Some(end) = self.pending.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = self.pending.drain(..end + 2).collect();
            self.handle_event(&String::from_utf8_lossy(&event));
        }
        self.tokens - before
    }

    fn handle_event(&mut self, event: &str) {
        let is_error = event.lines().any(|line| line == "event: error");
        let Some(data) = event.lines().find_map(|line| line.strip_prefix("data: ")) else { return };
        if data == "[DONE]" {
            self.done = true;
            return;
        }
        let json: Value = serde_json::from_str(data).unwrap_or(Value::Null);
        if is_error {
            self.error = Some(json);
        } else if let Some(text) = json["choices"][0]["text"].as_str().filter(|t| !t.is_empty()) {
            self.text.push_str(text);
            self.tokens += 1;
        }
    }
}

/// Reads a streamed answer to its end and fills in `result`. Tokens received in one chunk share the
/// time since the previous token equally.
///
/// # Errors
///
/// A description of the failure if the stream breaks or has no final event.
async fn read_stream(
    mut response: client::ClientResponse,
    result: &mut CallResult,
    prompt_hash: u64,
    attempt_start: time::Instant,
) -> Result<(), String> {
    use futures_util::StreamExt as _;
    let mut stream = Stream::default();
    let mut last_token = None;
    while let Some(chunk) = response.next().await {
        let chunk = chunk.map_err(|error| format!("broken_stream: {error}"))?;
        let tokens = stream.push(&chunk);
        if tokens == 0 {
            continue;
        }
        let now = time::Instant::now();
        match last_token.replace(now) {
            None => result.first_token = Some(now - attempt_start),
            Some(last_token) => {
                let each = (now - last_token) / tokens;
                result.token_intervals.extend(std::iter::repeat_n(each, tokens as usize));
            }
        }
    }
    let plan::Request::Model { answer: count, .. } = result.call.request else { return Ok(()) };
    result.content = compare(&stream.text, prompt_hash, count);
    match (stream.done, &stream.error) {
        (true, _) => {
            result.outcome = Some("done".to_owned());
            result.code = "none".to_owned();
        }
        (false, Some(error)) => {
            result.outcome = error["error"]["outcome"].as_str().map(str::to_owned);
            result.code = error["error"]["code"].as_str().unwrap_or("no_code").to_owned();
        }
        (false, None) => return Err("stream_without_end".to_owned()),
    }
    Ok(())
}
