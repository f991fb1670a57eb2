//! A stand-in of a zone's scheduler that answers every question with the same upstream.

use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;

use prost::Message;
use serde_json::json;

use super::standin::Standin;

/// The messages between hosts, as far as questions and answers need them.
#[derive(Clone, PartialEq, prost::Message)]
struct Batch {
    #[prost(fixed64, tag = "1")]
    host: u64,
    #[prost(message, repeated, tag = "5")]
    questions: Vec<Question>,
    #[prost(message, repeated, tag = "6")]
    answers: Vec<Answer>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Question {
    #[prost(uint64, tag = "1")]
    number: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Answer {
    #[prost(uint64, tag = "1")]
    number: u64,
    #[prost(message, optional, tag = "2")]
    placed: Option<Placed>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Placed {
    #[prost(string, tag = "1")]
    first: String,
}

/// The stand-in scheduler.
#[derive(Debug)]
pub struct Scheduler {
    questions: sync::Arc<atomic::AtomicUsize>,
}

impl Scheduler {
    /// Registers as the host with the largest share of a core, which makes it the scheduler, and
    /// answers every question with `upstream`. Nobody listens at its relay address, so other hosts
    /// read the platform themselves.
    pub fn start(standin: &Standin, upstream: &str) -> Scheduler {
        let socket = net::UdpSocket::bind("127.0.0.1:0").unwrap();
        let reader = net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let address = socket.local_addr().unwrap().to_string();
        let row =
            json!({"address": address, "reader": reader.to_string(), "zone": "a", "cores": 0.9});
        standin.put("lagoon-hosts", "h0", &row);
        let questions = sync::Arc::new(atomic::AtomicUsize::new(0));
        let (counter, upstream) = (questions.clone(), upstream.to_owned());
        thread::spawn(move || {
            let mut buffer = [0; 4_096];
            while let Ok((length, from)) = socket.recv_from(&mut buffer) {
                let received = Batch::decode(&buffer[..length]).unwrap();
                counter.fetch_add(received.questions.len(), atomic::Ordering::SeqCst);
                let answer = |question: &Question| Answer {
                    number: question.number,
                    placed: Some(Placed { first: upstream.clone() }),
                };
                let answers = received.questions.iter().map(answer).collect();
                let reply = Batch { host: 9, answers, ..Batch::default() };
                socket.send_to(&reply.encode_to_vec(), from).unwrap();
            }
        });
        Scheduler { questions }
    }

    /// Returns the number of questions received.
    pub fn question_count(&self) -> usize {
        self.questions.load(atomic::Ordering::SeqCst)
    }
}
