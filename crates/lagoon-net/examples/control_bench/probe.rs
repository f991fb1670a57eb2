//! Reads processor time and memory of this process, and network traffic of its stewards.

use std::fs;
use std::sync::atomic;

use lagoon_net::steward;
use serde_json::json;

/// Bytes of IP and UDP headers.
const UDP_HEADER: u64 = 28;

/// Bytes of IP and TCP headers, including timestamps. Each frame is counted as one segment that is
/// acknowledged by one empty segment, which is the maximum it can cost.
const TCP_HEADER: u64 = 52;

/// Returns the processor time of this process's threads whose names start with `prefix`, in ticks
/// of 10 ms.
fn thread_ticks(prefix: &str) -> u64 {
    let tasks = fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
    let ticks = tasks.filter_map(|task| {
        let name = fs::read_to_string(task.path().join("comm")).ok()?;
        let text = fs::read_to_string(task.path().join("stat")).ok()?;
        let fields: Vec<&str> = text.rsplit(')').next()?.split_whitespace().collect();
        let sum = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        name.starts_with(prefix).then_some(sum)
    });
    ticks.sum()
}

/// Returns the resident memory of this process.
pub fn resident_kb() -> u64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn load(counter: &atomic::AtomicU64) -> u64 {
    counter.load(atomic::Ordering::Relaxed)
}

/// Traffic of one steward in bytes, headers included.
#[derive(Clone, Default)]
struct Node {
    datagrams_sent: u64,
    datagrams_received: u64,
    links_sent: u64,
    links_received: u64,
    kinds: Vec<u64>,
}

impl Node {
    fn read(counters: &steward::Counters) -> Node {
        let (out, back) = (load(&counters.peer_frames_sent), load(&counters.peer_frames_received));
        let both = TCP_HEADER * (out + back);
        Node {
            datagrams_sent: load(&counters.datagram_bytes_sent)
                + UDP_HEADER * load(&counters.datagrams_sent),
            datagrams_received: load(&counters.datagram_bytes_received)
                + UDP_HEADER * load(&counters.datagrams_received),
            links_sent: load(&counters.peer_bytes_sent) + both,
            links_received: load(&counters.peer_bytes_received) + both,
            kinds: counters.kind_bytes_sent.iter().map(load).collect(),
        }
    }

    fn sum(&self) -> u64 {
        self.datagrams_sent + self.datagrams_received + self.links_sent + self.links_received
    }
}

/// Costs since the start of the process.
pub struct Costs {
    nodes: Vec<Node>,
    ticks: u64,
}

impl Costs {
    /// Reads the current costs.
    pub fn read(stewards: &[steward::Running]) -> Costs {
        let nodes = stewards.iter().map(|steward| Node::read(steward.counters())).collect();
        Costs { nodes, ticks: thread_ticks("steward-") }
    }

    /// Returns the costs per second and steward since `before`; `core_share` is the share of one
    /// CPU core.
    pub fn since(&self, before: &Costs, seconds: f64) -> serde_json::Value {
        let count = self.nodes.len() as f64;
        let mean = |pick: fn(&Node) -> u64| {
            let sum = |nodes: &[Node]| nodes.iter().map(pick).sum::<u64>();
            ((sum(&self.nodes) - sum(&before.nodes)) as f64 / seconds / count).round()
        };
        let pairs = self.nodes.iter().zip(&before.nodes);
        let most = pairs.map(|(now, then)| now.sum() - then.sum()).max().unwrap_or(0);
        let kind = |(index, name): (usize, &&str)| {
            let sum = |nodes: &[Node]| nodes.iter().map(|node| node.kinds[index]).sum::<u64>();
            let bytes = (sum(&self.nodes) - sum(&before.nodes)) as f64 / seconds / count;
            ((*name).to_owned(), json!(bytes.round()))
        };
        let kinds: serde_json::Map<_, _> =
            steward::PEER_MESSAGE_KINDS.iter().enumerate().map(kind).collect();
        json!({
            "datagrams_sent": mean(|node| node.datagrams_sent),
            "datagrams_received": mean(|node| node.datagrams_received),
            "links_sent": mean(|node| node.links_sent),
            "links_received": mean(|node| node.links_received),
            "sent_and_received": mean(Node::sum),
            "sent_and_received_at_the_costliest": (most as f64 / seconds).round(),
            "frames_sent_by_kind": kinds,
            "core_share": (self.ticks - before.ticks) as f64 / 100.0 / seconds / count,
        })
    }
}
