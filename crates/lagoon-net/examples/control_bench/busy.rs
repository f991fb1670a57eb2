//! Stand-in for busy engines: consecutive reads of a load differ enough to be sent to other hosts.
//! One listener serves all engines.

use std::io;
use std::io::{BufRead, Write};
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;

/// Starts the listener and returns its address.
pub fn start() -> io::Result<net::SocketAddr> {
    let listener = net::TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let sequence = sync::Arc::new(atomic::AtomicU64::new(0));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let sequence = sequence.clone();
            thread::spawn(move || serve(&stream, &sequence));
        }
    });
    Ok(address)
}

fn serve(mut stream: &net::TcpStream, sequence: &atomic::AtomicU64) -> io::Result<()> {
    for line in io::BufReader::new(stream).lines() {
        if !line?.is_empty() {
            continue;
        }
        let sequence = sequence.fetch_add(1, atomic::Ordering::Relaxed);
        let random = |limit: u64| rand::random_range(0..limit);
        let body = serde_json::json!({
            "running": random(64), "waiting": random(32), "prefill_tokens": random(200_000),
            "kv_free_tokens": random(1_000_000), "kv_tokens": 1_000_000,
            "prefill_rate": 10_000.0, "sequence": sequence, "incarnation": 1_790_000_000_000_000_u64,
        });
        let body = body.to_string();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n", body.len());
        stream
            .write_all(format!("{head}content-type: application/json\r\n\r\n{body}").as_bytes())?;
    }
    Ok(())
}
