//! In-memory table service with fault injection, shared by the control plane tests.

#![allow(dead_code, reason = "each test file uses a different part")]

use std::cell;
use std::collections;
use std::future;
use std::pin;
use std::rc;
use std::task;

use lagoonline::port::table;

/// Fault that is injected into a commit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The commit takes effect, but its answer is lost.
    LoseAnswer,
    /// The answer is lost; the commit takes effect later, by [`FakeTable::apply_delayed`].
    Delay,
    /// The commit is refused and nothing is written.
    Refuse,
}

#[derive(Debug, Default)]
struct Inner {
    rows: collections::BTreeMap<String, table::Row>,
    unavailable: bool,
    faults: collections::VecDeque<Fault>,
    delayed: Vec<table::Transaction>,
    commits: usize,
}

/// Table service with rows in memory, which clones share. Every call first yields once, so that
/// the steps of concurrent callers interleave.
#[derive(Clone, Debug, Default)]
pub struct FakeTable {
    inner: rc::Rc<cell::RefCell<Inner>>,
}

impl FakeTable {
    /// Queues a fault for the next commit that reaches the table.
    pub fn fail_next(&self, fault: Fault) {
        self.inner.borrow_mut().faults.push_back(fault);
    }

    /// Starts or ends an outage, during which every call is refused.
    pub fn set_unavailable(&self, unavailable: bool) {
        self.inner.borrow_mut().unavailable = unavailable;
    }

    /// Applies the delayed commits whose checks still hold.
    pub fn apply_delayed(&self) {
        let delayed = std::mem::take(&mut self.inner.borrow_mut().delayed);
        for transaction in delayed {
            let _ = self.inner.borrow_mut().apply(&transaction);
        }
    }

    /// Returns all rows whose key starts with `prefix`.
    pub fn rows(&self, prefix: &str) -> Vec<table::Row> {
        let inner = self.inner.borrow();
        inner.rows.values().filter(|row| row.key.starts_with(prefix)).cloned().collect()
    }

    /// Returns the number of commits that took effect.
    pub fn commits(&self) -> usize {
        self.inner.borrow().commits
    }

    fn check_available(&self) -> Result<(), table::Error> {
        if self.inner.borrow().unavailable {
            return Err(refused());
        }
        Ok(())
    }
}

fn refused() -> table::Error {
    table::Error::Refused { step: "call", peer: "fake".to_owned(), why: "unavailable".to_owned() }
}

fn unknown() -> table::Error {
    table::Error::Unknown { step: "commit", peer: "fake".to_owned(), why: "answer lost".to_owned() }
}

impl Inner {
    fn version(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |row| row.version)
    }

    fn commit(&mut self, transaction: table::Transaction) -> Result<Vec<u64>, table::Error> {
        match self.faults.pop_front() {
            None => self.apply(&transaction),
            Some(Fault::Refuse) => Err(refused()),
            Some(Fault::Delay) => {
                self.delayed.push(transaction);
                Err(unknown())
            }
            Some(Fault::LoseAnswer) => {
                let _ = self.apply(&transaction);
                Err(unknown())
            }
        }
    }

    fn apply(&mut self, transaction: &table::Transaction) -> Result<Vec<u64>, table::Error> {
        let holds = |check: &table::Check| self.version(&check.key) == check.version;
        if !transaction.checks.iter().all(holds) {
            return Err(table::Error::Conflict { step: "commit" });
        }
        self.commits += 1;
        let mut versions = Vec::new();
        for change in &transaction.changes {
            match change {
                table::Change::Put { key, value } => {
                    let version = self.version(key) + 1;
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
}

/// Future that is pending at its first poll and ready at the second.
#[derive(Default)]
struct Yield {
    yielded: bool,
}

impl future::Future for Yield {
    type Output = ();

    fn poll(mut self: pin::Pin<&mut Self>, _: &mut task::Context<'_>) -> task::Poll<()> {
        if self.yielded {
            return task::Poll::Ready(());
        }
        self.yielded = true;
        task::Poll::Pending
    }
}

impl table::Table for FakeTable {
    async fn read(&self, key: &str) -> Result<Option<table::Row>, table::Error> {
        Yield::default().await;
        self.check_available()?;
        Ok(self.inner.borrow().rows.get(key).cloned())
    }

    async fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<table::Row>, table::Error> {
        Yield::default().await;
        self.check_available()?;
        let rows = self.rows(prefix).into_iter().filter(|row| row.key.as_str() > after);
        Ok(rows.take(limit).collect())
    }

    async fn commit(&self, transaction: table::Transaction) -> Result<Vec<u64>, table::Error> {
        Yield::default().await;
        self.check_available()?;
        let answer = self.inner.borrow_mut().commit(transaction);
        // The answer is in transit.
        Yield::default().await;
        answer
    }
}

/// Polls a future to completion; it must not wait for anything but a [`FakeTable`].
pub fn block_on<F>(future: F) -> F::Output
where
    F: future::Future,
{
    let mut future = pin::pin!(future);
    loop {
        if let Some(output) = poll_once(future.as_mut()) {
            return output;
        }
    }
}

/// Polls a future once.
pub fn poll_once<F>(future: pin::Pin<&mut F>) -> Option<F::Output>
where
    F: future::Future + ?Sized,
{
    let mut context = task::Context::from_waker(task::Waker::noop());
    match future.poll(&mut context) {
        task::Poll::Ready(output) => Some(output),
        task::Poll::Pending => None,
    }
}
