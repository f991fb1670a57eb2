//! A stand-in of a host that carries connections for others, and dies while it does.

use std::io::{Read, Write};
use std::net;
use std::thread;

use prost::Message;
use serde_json::json;

use super::standin::Standin;

/// The request for a connection, as far as the stand-in needs it.
#[derive(Clone, PartialEq, prost::Message)]
struct Request {
    #[prost(message, optional, tag = "4")]
    open: Option<Open>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Open {
    #[prost(string, tag = "1")]
    upstream: String,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Response {
    #[prost(message, optional, tag = "2")]
    opened: Option<Answer>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Answer {
    /// 1 if the connection is open.
    #[prost(int32, tag = "1")]
    outcome: i32,
}

/// Registers a host that opens every connection and dies after it has passed `limit` bytes of the
/// answer on, which it does not mark as the end.
pub fn start(standin: &Standin, limit: usize) {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let datagrams = net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let row = json!({"address": datagrams.local_addr().unwrap().to_string(),
        "reader": listener.local_addr().unwrap().to_string(), "zone": "a", "cores": 0.25});
    standin.put("lagoon-hosts", "h0", &row);
    let standin = standin.clone();
    thread::spawn(move || {
        // Held so that its address stays its own.
        let _datagrams = datagrams;
        for stream in listener.incoming() {
            let standin = standin.clone();
            thread::spawn(move || carry(&standin, stream.unwrap(), limit));
        }
    });
}

/// Reads one message; `None` once the connection is closed.
fn read(stream: &mut net::TcpStream) -> Option<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let mut message = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut message).ok()?;
    Some(message)
}

fn write(stream: &mut net::TcpStream, message: &[u8]) {
    let length = u32::try_from(message.len()).unwrap().to_be_bytes();
    stream.write_all(&[&length, message].concat()).unwrap();
}

fn carry(standin: &Standin, mut host: net::TcpStream, limit: usize) {
    let Some(message) = read(&mut host) else { return };
    let Some(open) = Request::decode(&message[..]).unwrap().open else { return };
    let mut upstream = net::TcpStream::connect(standin.address(&open.upstream)).unwrap();
    let opened = Response { opened: Some(Answer { outcome: 1 }) };
    write(&mut host, &opened.encode_to_vec());
    let (mut requests, mut to_upstream) =
        (host.try_clone().unwrap(), upstream.try_clone().unwrap());
    thread::spawn(move || {
        while let Some(message) = read(&mut requests) {
            if to_upstream.write_all(&message).is_err() {
                return;
            }
        }
    });
    let mut left = limit;
    let mut buffer = [0; 4096];
    while left > 0 {
        let length = upstream.read(&mut buffer).unwrap_or(0).min(left);
        if length == 0 {
            break;
        }
        write(&mut host, &buffer[..length]);
        left -= length;
    }
    host.shutdown(net::Shutdown::Both).ok();
    upstream.shutdown(net::Shutdown::Both).ok();
}
