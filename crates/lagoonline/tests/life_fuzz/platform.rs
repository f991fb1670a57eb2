//! A fake table and object store whose calls can be interrupted before and after they take effect.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::future;
use std::rc::Rc;
use std::task::Poll;

use bytes::Bytes;
use lagoonline::lifecycle::claim;
use lagoonline::port::{objects, table};

/// A fault injected into the next call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    LoseAnswer,
    LoseRequest,
    /// A commit takes effect later and its answer is lost. Any other call is lost.
    Delay,
    Refuse,
}

/// Queued faults, and the number of faults already injected.
#[derive(Default)]
pub struct Faults {
    pub queue: VecDeque<Fault>,
    pub injected: u64,
}

impl Faults {
    pub fn next(&mut self) -> Option<Fault> {
        let fault = self.queue.pop_front();
        self.injected += u64::from(fault.is_some());
        fault
    }
}

/// Removes one of the delayed effects.
pub fn take_delayed<T>(delayed: &mut Vec<T>, pick: usize) -> Option<T> {
    (!delayed.is_empty()).then(|| delayed.remove(pick % delayed.len()))
}

#[derive(Default)]
struct State {
    rows: BTreeMap<String, table::Row>,
    objects: BTreeMap<String, Bytes>,
    delayed: Vec<table::Transaction>,
    faults: Faults,
    down: bool,
    /// Incremented to fail all calls that are pending.
    epoch: u64,
}

#[derive(Clone, Default)]
pub struct Platform(Rc<RefCell<State>>);

/// Yields to other calls once.
pub async fn yield_once() {
    let mut paused = false;
    future::poll_fn(|_| {
        let ready = if paused { Poll::Ready(()) } else { Poll::Pending };
        paused = true;
        ready
    })
    .await;
}

fn refused() -> table::Error {
    table::Error::Refused { step: "fuzz", peer: "fake".into(), why: "refused".into() }
}

fn unknown() -> table::Error {
    table::Error::Unknown { step: "fuzz", peer: "fake".into(), why: "lost".into() }
}

impl State {
    fn apply(&mut self, transaction: &table::Transaction) -> Result<Vec<u64>, table::Error> {
        let version = |state: &State, key: &str| state.rows.get(key).map_or(0, |row| row.version);
        if transaction.checks.iter().any(|check| version(self, &check.key) != check.version) {
            return Err(table::Error::Conflict { step: "fuzz" });
        }
        let mut versions = Vec::new();
        for change in &transaction.changes {
            match change {
                table::Change::Put { key, value } => {
                    let version = version(self, key) + 1;
                    let row = table::Row { key: key.clone(), value: value.clone(), version };
                    self.rows.insert(key.clone(), row);
                    versions.push(version);
                }
                table::Change::Delete { key } => {
                    self.rows.remove(key);
                    versions.push(0);
                }
            }
        }
        Ok(versions)
    }

    fn next_fault(&mut self) -> Option<Fault> {
        if self.down { Some(Fault::Refuse) } else { self.faults.next() }
    }
}

impl Platform {
    pub fn inject(&self, fault: Fault) {
        self.0.borrow_mut().faults.queue.push_back(fault);
    }

    pub fn set_down(&self, down: bool) {
        self.0.borrow_mut().down = down;
    }

    pub fn clear_faults(&self) {
        let mut state = self.0.borrow_mut();
        state.down = false;
        state.faults.queue.clear();
    }

    /// Applies a delayed transaction if its checks still hold.
    pub fn apply_delayed(&self, pick: usize) {
        let mut state = self.0.borrow_mut();
        if let Some(transaction) = take_delayed(&mut state.delayed, pick) {
            // The checks are supposed to reject transactions that are outdated by now.
            let _ = state.apply(&transaction);
        }
    }

    /// Drops delayed transactions and fails pending calls, for when more than an hour passes: what
    /// was sent before has been applied by then or never will be.
    pub fn drop_delayed(&self) {
        let mut state = self.0.borrow_mut();
        state.delayed.clear();
        state.epoch += 1;
    }

    pub fn corrupt(&self, pick: usize) {
        let mut state = self.0.borrow_mut();
        let count = state.objects.len().max(1);
        if let Some(body) = state.objects.values_mut().nth(pick % count) {
            *body = Bytes::from_static(b"another");
        }
    }

    pub fn delayed_count(&self) -> usize {
        self.0.borrow().delayed.len()
    }

    /// Returns the tokens of delayed claims whose keys currently have a row.
    pub fn delayed_with_row(&self) -> BTreeSet<String> {
        let state = self.0.borrow();
        let changes = state.delayed.iter().flat_map(|transaction| &transaction.changes);
        let token = |change: &table::Change| match change {
            table::Change::Put { key, value } if state.rows.contains_key(key) => {
                let record: claim::Record = serde_json::from_str(value).expect("a claim row");
                Some(record.token)
            }
            _ => None,
        };
        changes.filter_map(token).collect()
    }

    pub fn injected_count(&self) -> u64 {
        self.0.borrow().faults.injected
    }

    pub fn values(&self) -> Vec<String> {
        self.0.borrow().rows.values().map(|row| row.value.clone()).collect()
    }

    async fn call<A, F>(&self, effect: F) -> Result<A, table::Error>
    where
        F: FnOnce(&mut State) -> Result<A, table::Error>,
    {
        let epoch = self.0.borrow().epoch;
        yield_once().await;
        let answer = {
            let mut state = self.0.borrow_mut();
            if state.epoch != epoch {
                return Err(unknown());
            }
            match state.next_fault() {
                None => effect(&mut state),
                Some(Fault::Refuse) => Err(refused()),
                Some(Fault::LoseAnswer) => {
                    let _ = effect(&mut state);
                    Err(unknown())
                }
                Some(Fault::LoseRequest | Fault::Delay) => Err(unknown()),
            }
        };
        yield_once().await;
        answer
    }
}

impl table::Table for Platform {
    async fn read(&self, key: &str) -> Result<Option<table::Row>, table::Error> {
        self.call(|state| Ok(state.rows.get(key).cloned())).await
    }

    async fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<table::Row>, table::Error> {
        self.call(|state| {
            let rows = state.rows.values();
            let wanted = rows.filter(|row| row.key.starts_with(prefix) && row.key.as_str() > after);
            Ok(wanted.take(limit).cloned().collect())
        })
        .await
    }

    async fn commit(&self, transaction: table::Transaction) -> Result<Vec<u64>, table::Error> {
        let delayed = {
            let mut state = self.0.borrow_mut();
            let delayed = !state.down && state.faults.queue.front() == Some(&Fault::Delay);
            if delayed {
                state.faults.next();
                state.delayed.push(transaction.clone());
            }
            delayed
        };
        if delayed {
            yield_once().await;
            return Err(unknown());
        }
        self.call(|state| state.apply(&transaction)).await
    }
}

impl objects::Objects for Platform {
    async fn put(&self, key: &str, body: Bytes) -> Result<(), table::Error> {
        self.call(|state| {
            state.objects.insert(key.to_owned(), body.clone());
            Ok(())
        })
        .await
    }

    async fn get(&self, key: &str) -> Result<Option<Bytes>, table::Error> {
        self.call(|state| Ok(state.objects.get(key).cloned())).await
    }
}
