//! A stand-in of the platform's store: rows of any table, and the feed of their changes.

use std::collections::BTreeMap;
use std::io::{self, BufReader};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// A row; the value is in base64, `None` if it was removed.
type Change = (u64, String, String, Option<String>);

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<(String, String), (String, u64, Instant)>,
    changes: Vec<Change>,
}

/// The store; clones share its rows.
#[derive(Clone)]
pub struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    began: Instant,
    pub port: u16,
}

impl Store {
    /// Starts a store in threads of this process. Entries of upstreams expire after `lifetime`.
    pub fn start(lifetime: Duration) -> io::Result<Store> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let port = listener.local_addr()?.port();
        let store = Store { rows: Arc::default(), began: Instant::now(), port };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expiring.expire(lifetime);
            }
        });
        Ok(store)
    }

    pub fn put(&self, table: &str, key: &str, text: &str) {
        self.write(table, key, Some(base64(text.as_bytes())));
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) {
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let name = (table.to_owned(), key.to_owned());
        match &value {
            Some(value) => drop(rows.rows.insert(name, (value.clone(), version, Instant::now()))),
            None => drop(rows.rows.remove(&name)),
        }
        rows.changes.push((version, table.to_owned(), key.to_owned(), value));
        changed.notify_all();
    }

    fn expire(&self, lifetime: Duration) {
        let rows = self.rows.0.lock().unwrap();
        let is_old = |at: &Instant| at.elapsed() > lifetime;
        let old =
            rows.rows.iter().filter(|((table, _), (_, _, at))| table == "servers" && is_old(at));
        let old: Vec<String> = old.map(|((_, key), _)| key.clone()).collect();
        drop(rows);
        for key in old {
            self.remove("servers", &key);
        }
    }

    fn serve(&self, stream: TcpStream) {
        drop(stream.set_nodelay(true));
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Ok(Some(request)) = http::read(&mut reader, false) {
            let body = self.handle(&request);
            let fields = [("Content-Type", "application/json")];
            if http::answer(&stream, "200 OK", &fields, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &http::Message) -> String {
        let (path, query) = request.word(1).split_once('?').unwrap_or((request.word(1), ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(known, _)| *known == name).map_or("", |(_, value)| value).to_owned()
        };
        let table = parameter("Table");
        let rows = match path {
            "/api/rows-get" => self.list(&table),
            "/api/rows-feed" => {
                let wait = parameter("WaitMs").parse().unwrap_or(0);
                self.feed(&table, parameter("After").parse().unwrap_or(0), wait)
            }
            "/api/rows-tx" => {
                self.commit(&String::from_utf8_lossy(&request.body));
                Vec::new()
            }
            _ => Vec::new(),
        };
        let version = self.rows.0.lock().unwrap().version;
        let now = self.began.elapsed().as_millis();
        let rows = rows.join(",");
        format!("{{\"Rows\":[{rows}],\"HasMore\":false,\"Ver\":{version},\"NowMs\":{now}}}")
    }

    fn list(&self, table: &str) -> Vec<String> {
        let rows = self.rows.0.lock().unwrap();
        let listed = rows.rows.iter().filter(|((name, _), _)| name == table);
        listed
            .map(|((_, key), (value, version, _))| row(table, key, Some(value), *version))
            .collect()
    }

    fn feed(&self, table: &str, after: u64, wait: u64) -> Vec<String> {
        let until = Instant::now() + Duration::from_millis(wait);
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        loop {
            let later = rows.changes.iter().filter(|change| change.0 > after && change.1 == table);
            let later: Vec<_> = later
                .map(|(version, table, key, value)| row(table, key, value.as_ref(), *version))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !later.is_empty() || left.is_zero() {
                return later;
            }
            rows = changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    /// Applies a transaction without conditions. Its texts have no escapes.
    fn commit(&self, body: &str) {
        let removed_at = body.find("\"Remove\"").unwrap_or(body.len());
        let writes_at = body.find("\"Writes\"").unwrap_or(body.len());
        for (at, _) in body.match_indices("\"Table\":\"") {
            let entry = &body[at..];
            let start = body[..at].rfind('{').unwrap_or(0);
            let object = &body[start..at + entry.find('}').unwrap_or(entry.len())];
            let text = |name: &str| {
                let label = format!("\"{name}\":\"");
                let rest = &object[object.find(&label)? + label.len()..];
                Some(rest[..rest.find('"')?].to_owned())
            };
            // The lists may stand in any order.
            let is_write = at > writes_at && (removed_at < writes_at || at < removed_at);
            match (text("Table"), text("Key")) {
                (Some(table), Some(key)) if is_write => self.write(&table, &key, text("Value")),
                (Some(table), Some(key)) if at > removed_at => self.write(&table, &key, None),
                _ => {}
            }
        }
    }
}

fn row(table: &str, key: &str, value: Option<&String>, version: u64) -> String {
    let value = match value {
        Some(value) => format!("\"Value\":\"{value}\""),
        None => "\"Removed\":true".to_owned(),
    };
    format!("{{\"Table\":\"{table}\",\"part\":\"\",\"Key\":\"{key}\",{value},\"Ver\":{version}}}")
}

/// Encodes `bytes` in base64.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(*group.get(index).unwrap_or(&0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for place in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * place) & 63) as usize];
            text.push(if place <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
