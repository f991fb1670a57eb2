//! Callers: make each call at its time, read the answer, and note what they were told.

use std::io::{Read, Write};
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use lagoon_standin::{answer, prompt};
use ntex::client;
use serde_json::Value;

use super::plan;

/// Longest wait beyond a call's deadline: a call that has not ended by then has no clear end.
const PATIENCE: time::Duration = time::Duration::from_secs(5);
/// Longest wait for a readiness check.
const CHECK: time::Duration = time::Duration::from_millis(500);
/// Longest answer that is read whole.
const ANSWER_LIMIT: usize = 1 << 20;

/// What callers ask for, and as whom.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Target {
    /// Keys of the customers.
    pub(crate) keys: Vec<String>,
    /// The model.
    pub(crate) model: String,
    /// Path of the service call that may not run twice.
    pub(crate) booking: String,
    /// Whether a caller with an idempotency key that was told nothing asks once more elsewhere.
    pub(crate) again: bool,
}

/// Stands for the platform's balancer: sends calls to the entry hosts that say they are ready.
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

    /// Checks each host's readiness.
    pub(crate) fn look(&self) {
        for (address, ready) in &self.hosts {
            ready.store(is_ready(*address), atomic::Ordering::Relaxed);
        }
    }

    fn pick(&self, draw: u32) -> net::SocketAddr {
        let ready =
            |host: &&(net::SocketAddr, atomic::AtomicBool)| host.1.load(atomic::Ordering::Relaxed);
        let count = self.hosts.iter().filter(ready).count().max(1);
        let mut chosen = self.hosts.iter().filter(ready).map(|host| host.0);
        chosen.nth(draw as usize % count).unwrap_or(self.hosts[0].0)
    }
}

/// Whether the entry host at `address` says that it is ready.
pub(crate) fn is_ready(address: net::SocketAddr) -> bool {
    let ask = || {
        let mut stream = net::TcpStream::connect_timeout(&address, CHECK)?;
        stream.set_read_timeout(Some(CHECK))?;
        stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")?;
        let mut head = [0; 12];
        stream.read_exact(&mut head)?;
        Ok::<_, std::io::Error>(head.ends_with(b"200"))
    };
    ask().unwrap_or(false)
}

/// How what came compares with the answer that belongs to the call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Content {
    /// All of it.
    Whole,
    /// Its beginning, or nothing.
    Part,
    /// Something else.
    Foreign,
}

/// What a caller saw of one call.
#[derive(Clone, Debug)]
pub(crate) struct Told {
    pub(crate) call: plan::Call,
    /// Entry host that it was asked at last.
    pub(crate) host: net::SocketAddr,
    /// When the call was made.
    pub(crate) made: time::SystemTime,
    /// What was seen of a first try that told nothing, where the caller asked again.
    pub(crate) first: Option<Box<Told>>,
    /// The outcome, when the caller was told one.
    pub(crate) outcome: Option<String>,
    /// The error's code, or what the caller saw instead.
    pub(crate) code: String,
    pub(crate) content: Content,
    /// Time to first token, of streamed answers.
    pub(crate) first_token: Option<time::Duration>,
    /// Times between tokens, of streamed answers.
    pub(crate) gaps: Vec<time::Duration>,
    pub(crate) took: time::Duration,
}

/// Makes `calls`, each at its time after `began`; returns when all have ended.
pub(crate) fn run(began: time::Instant, balancer: &Balancer, calls: Vec<plan::Call>) -> Vec<Told> {
    let hosts: Vec<_> = balancer.hosts.iter().map(|host| host.0).collect();
    let system = ntex::rt::System::new("callers", ntex::rt::DefaultRuntime);
    // What runs on the system must own what it uses; the balancer's view is read when a call is
    // made, on this thread, and only the address chosen then moves into the call's task.
    let (sender, receiver) = std::sync::mpsc::channel::<(plan::Call, [net::SocketAddr; 2])>();
    let target = balancer.target.clone();
    std::thread::scope(|scope| {
        scope.spawn(move || {
            for call in calls {
                let wait = (began + call.at).saturating_duration_since(time::Instant::now());
                std::thread::sleep(wait);
                let customers = u32::try_from(balancer.target.keys.len()).unwrap_or(1);
                let draw = call.draw / customers.max(1);
                let hosts = [balancer.pick(draw), balancer.pick(draw.wrapping_add(1))];
                if sender.send((call, hosts)).is_err() {
                    return;
                }
            }
        });
        system.block_on(serve(receiver, target, hosts.len()))
    })
}

/// Time between two looks for calls that are due.
const TICK: time::Duration = time::Duration::from_millis(1);

async fn serve(
    due: std::sync::mpsc::Receiver<(plan::Call, [net::SocketAddr; 2])>,
    target: sync::Arc<Target>,
    hosts: usize,
) -> Vec<Told> {
    let client = new_client(hosts).await;
    let mut tasks = Vec::new();
    loop {
        match due.try_recv() {
            Ok((call, hosts)) => {
                let (client, target) = (client.clone(), target.clone());
                tasks.push(ntex::rt::spawn(async move { ask(client, target, hosts, call).await }));
            }
            Err(std::sync::mpsc::TryRecvError::Empty) => ntex::time::sleep(TICK).await,
            Err(std::sync::mpsc::TryRecvError::Disconnected) => break,
        }
    }
    let mut told = Vec::with_capacity(tasks.len());
    for task in tasks {
        told.extend(task.await.ok());
    }
    told
}

/// Connections to each entry host: more than a run ever has open.
const CONNECTIONS: usize = 4_096;

async fn new_client(hosts: usize) -> client::Client {
    let connector = client::Connector::new().limit(CONNECTIONS * hosts);
    let builder = client::Client::builder().connector::<()>(connector).disable_timeout();
    match builder.build(ntex::SharedCfg::default()).await {
        Ok(client) => client,
        Err(error) => {
            log::error!("client settings were refused, usual ones are used: {error}");
            client::Client::new().await
        }
    }
}

async fn ask(
    client: client::Client,
    target: sync::Arc<Target>,
    [host, other]: [net::SocketAddr; 2],
    call: plan::Call,
) -> Told {
    let keyed = matches!(call.ask, plan::Ask::Booking { keyed: true });
    let told = make(&client, &target, host, call).await;
    if told.outcome.is_some() || !keyed || !target.again {
        return told;
    }
    let again = make(&client, &target, other, told.call.clone()).await;
    Told { first: Some(Box::new(told)), ..again }
}

async fn make(
    client: &client::Client,
    target: &Target,
    address: net::SocketAddr,
    call: plan::Call,
) -> Told {
    let began = time::Instant::now();
    let mut told = Told {
        host: address,
        made: time::SystemTime::now(),
        first: None,
        outcome: None,
        code: "no_end".to_owned(),
        content: Content::Part,
        first_token: None,
        gaps: Vec::new(),
        took: time::Duration::ZERO,
        call,
    };
    let patience = told.call.deadline + PATIENCE;
    let ended = tokio::time::timeout(patience, exchange(client, target, &mut told, began)).await;
    if let Ok(Err(seen)) = ended {
        told.code = seen;
    }
    told.took = began.elapsed();
    told
}

fn request(
    client: &client::Client,
    target: &Target,
    address: net::SocketAddr,
    call: &plan::Call,
) -> client::ClientRequest {
    let path = match call.ask {
        plan::Ask::Model { .. } => "v1/completions",
        plan::Ask::Booking { .. } => &target.booking,
    };
    let key = &target.keys[call.draw as usize % target.keys.len()];
    let request = client
        .post(format!("http://{address}/{path}"))
        .header("Content-Type", "application/json")
        .header("Authorization", format!("Bearer {key}"))
        .header("Lagoon-Deadline-Ms", call.deadline.as_millis().to_string());
    match call.ask {
        plan::Ask::Booking { keyed: true } => {
            request.header("Idempotency-Key", format!("booking-{}", call.number))
        }
        plan::Ask::Model { .. } | plan::Ask::Booking { .. } => request,
    }
}

fn body(target: &Target, call: &plan::Call, prompt: &str) -> String {
    match call.ask {
        plan::Ask::Model { answer, stream, .. } => format!(
            "{{\"model\":\"{}\",\"max_tokens\":{answer},\"stream\":{stream},\"prompt\":\"{prompt}\"}}",
            target.model
        ),
        plan::Ask::Booking { .. } => call.booking(),
    }
}

/// Makes the call and fills in `told`.
///
/// # Errors
///
/// What the caller saw in place of an HTTP answer.
async fn exchange(
    client: &client::Client,
    target: &Target,
    told: &mut Told,
    began: time::Instant,
) -> Result<(), String> {
    let prompt = told.call.prompt();
    let expected = prompt::Prompt::new(&prompt).hash;
    let request = request(client, target, told.host, &told.call);
    let answer = request.send_body(body(target, &told.call, &prompt)).await;
    drop(prompt);
    let answer = answer.map_err(|error| format!("no_answer: {error}"))?;
    let header = answer.headers().get("lagoon-outcome").and_then(|value| value.to_str().ok());
    let header = header.map(str::to_owned);
    let good = answer.status().is_success();
    let stream = matches!(told.call.ask, plan::Ask::Model { stream: true, .. });
    if good && stream {
        return read_stream(answer, told, expected, began).await;
    }
    let body = answer.body().limit(ANSWER_LIMIT).await;
    let body = body.map_err(|error| format!("broken_answer: {error}"))?;
    told.outcome = header;
    let json: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
    if !good {
        told.code = json["error"]["code"].as_str().unwrap_or("no_code").to_owned();
        return Ok(());
    }
    told.code = "none".to_owned();
    told.content = match told.call.ask {
        plan::Ask::Model { answer, .. } => {
            compare(json["choices"][0]["text"].as_str().unwrap_or(""), expected, answer)
        }
        plan::Ask::Booking { .. } => Content::Whole,
    };
    Ok(())
}

fn compare(text: &str, expected: u64, count: u64) -> Content {
    let whole = answer::text(expected, 0, count);
    match whole.strip_prefix(text) {
        Some("") => Content::Whole,
        Some(_) => Content::Part,
        None => Content::Foreign,
    }
}

/// What is read of a streamed answer.
#[derive(Debug, Default)]
struct Stream {
    pending: Vec<u8>,
    text: String,
    tokens: u32,
    done: bool,
    error: Option<Value>,
}

impl Stream {
    /// Takes in what came; returns the tokens in it.
    fn read(&mut self, bytes: &[u8]) -> u32 {
        self.pending.extend_from_slice(bytes);
        let before = self.tokens;
        while let Some(end) = self.pending.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = self.pending.drain(..end + 2).collect();
            self.event(&String::from_utf8_lossy(&event));
        }
        self.tokens - before
    }

    fn event(&mut self, event: &str) {
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

async fn read_stream(
    mut answer: client::ClientResponse,
    told: &mut Told,
    expected: u64,
    began: time::Instant,
) -> Result<(), String> {
    use futures_util::StreamExt as _;
    let mut stream = Stream::default();
    let mut last = None;
    while let Some(chunk) = answer.next().await {
        let chunk = chunk.map_err(|error| format!("broken_stream: {error}"))?;
        let came = stream.read(&chunk);
        if came == 0 {
            continue;
        }
        let now = time::Instant::now();
        match last.replace(now) {
            None => told.first_token = Some(now - began),
            Some(last) => {
                let each = (now - last) / came;
                told.gaps.extend(std::iter::repeat_n(each, came as usize));
            }
        }
    }
    let plan::Ask::Model { answer: count, .. } = told.call.ask else { return Ok(()) };
    told.content = compare(&stream.text, expected, count);
    match (stream.done, &stream.error) {
        (true, _) => {
            told.outcome = Some("done".to_owned());
            told.code = "none".to_owned();
        }
        (false, Some(error)) => {
            told.outcome = error["error"]["outcome"].as_str().map(str::to_owned);
            told.code = error["error"]["code"].as_str().unwrap_or("no_code").to_owned();
        }
        (false, None) => return Err("stream_without_end".to_owned()),
    }
    Ok(())
}
