//! As much of HTTP/1.1 as the stand-ins need.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// A request or an answer.
#[derive(Debug, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    /// Fields, names in lower case.
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_whole: bool,
}

impl Message {
    pub fn field(&self, name: &str) -> &str {
        let found = self.fields.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    /// Returns a word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or("")
    }
}

/// Reads a message; `None` if the connection ended before its head. The body of an answer without
/// a length ends with the connection.
pub fn read(reader: &mut BufReader<TcpStream>, is_answer: bool) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if reader.read_line(&mut message.start)? == 0 {
        return Ok(None);
    }
    message.start = message.start.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            message.fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    if message.field("transfer-encoding") == "chunked" {
        message.is_whole = read_chunks(reader, &mut message.body).unwrap_or(false);
    } else if let Ok(length) = message.field("content-length").parse::<u64>() {
        // A connection that breaks leaves what has arrived.
        drop(reader.by_ref().take(length).read_to_end(&mut message.body));
        message.is_whole = message.body.len() as u64 == length;
    } else if is_answer {
        message.is_whole = reader.read_to_end(&mut message.body).is_ok();
    } else {
        message.is_whole = true;
    }
    Ok(Some(message))
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> io::Result<bool> {
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let Ok(length) = u64::from_str_radix(line.trim(), 16) else { return Ok(false) };
        let before = body.len() as u64;
        reader.by_ref().take(length).read_to_end(body)?;
        if body.len() as u64 != before + length {
            return Ok(false);
        }
        reader.read_line(&mut line)?;
        if length == 0 {
            return Ok(true);
        }
    }
}

/// Sends an answer with a length.
pub fn answer(
    mut stream: &TcpStream,
    status: &str,
    fields: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in fields {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    stream.write_all(&[head.as_bytes(), body].concat())
}

/// Longest time without a byte of an answer; every deadline of a request is shorter.
const SILENCE: Duration = Duration::from_secs(20);

/// Sends a request on a connection of its own and reads the answer.
pub fn call(port: u16, request: &[u8]) -> io::Result<Option<Message>> {
    let mut stream = TcpStream::connect(("127.0.0.1", port))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(SILENCE))?;
    stream.write_all(request)?;
    read(&mut BufReader::new(stream), true)
}
