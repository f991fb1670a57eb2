//! Leases with fencing numbers, in rows of the table.
//!
//! Load pattern: orders to one engine come from one steward at a time, though processes pause,
//! answers are lost and the table is out for longer than a lease. Without it two stewards that
//! each hold themselves the owner would load two models in turn on the same engine.
//!
//! Clocks of hosts are never compared. The holder counts from before it sent the write that the
//! lease rests on; a contender counts from when it first saw that write's row version. It waits
//! the whole duration and then [`Settings::flight`], the longest time that an order may be under
//! way, so the last order of the old holder has arrived before the first one of the new.

use serde::{Deserialize, Serialize};

use crate::clock;
use crate::id;
use crate::port::table;

/// Times of a lease.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time that a lease holds after the write that it rests on was sent.
    pub duration: clock::Span,
    /// Age at which a lease is renewed.
    pub renew: clock::Span,
    /// Longest time that an order may be under way.
    pub flight: clock::Span,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            duration: clock::Span::from_secs(10),
            renew: clock::Span::from_secs(3),
            flight: clock::Span::from_secs(2),
        }
    }
}

/// Value of a lease's row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Row {
    /// `HOST/INCARNATION`; empty when the lease was given back.
    holder: String,
    fence: id::Fence,
    /// When the lease ends by the holder's wall clock: for operators only.
    expires_wall_ms: u64,
}

/// Key of a lease's row.
///
/// ```
/// use lagoonline::control::lease;
/// assert_eq!(lease::key("orders/engine-1"), "lease/orders/engine-1");
/// ```
pub fn key(name: &str) -> String {
    format!("lease/{name}")
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum State {
    /// Nothing is known of the row.
    Unknown,
    /// Another holds it, as of this row version, since this moment at the latest.
    Watching { version: u64, since: clock::Moment },
    /// Held here.
    Held { fence: id::Fence, version: u64, sent: clock::Moment },
}

/// What a step found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// Held here, with this fencing number.
    Held(id::Fence),
    /// Held by another, or not free yet.
    Waiting,
}

/// Leave to send one order, checked last.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Permit {
    /// The number that the order carries.
    pub fence: id::Fence,
    /// The order must have been sent before this moment; one sent later is counted as late.
    pub until: clock::Moment,
}

/// One contender for one lease.
#[derive(Clone, Debug)]
pub struct Lease<C> {
    name: String,
    own: id::Owner,
    settings: Settings,
    clock: C,
    state: State,
    late: u64,
}

impl<C> Lease<C>
where
    C: clock::Clock,
{
    /// A contender that holds nothing yet.
    ///
    /// ```
    /// use lagoonline::{clock, control::lease, id};
    /// let clock = clock::Fake::default();
    /// let lease = lease::Lease::new("n", id::Owner::default(), Default::default(), clock);
    /// assert_eq!(lease.permit(), None);
    /// ```
    pub fn new(name: &str, own: id::Owner, settings: Settings, clock: C) -> Self {
        let (name, state, late) = (name.to_owned(), State::Unknown, 0);
        Lease { name, own, settings, clock, state, late }
    }

    /// Leave to send an order now, if enough of the lease is left.
    ///
    /// Ask right before the order is written to its connection: the process may have been paused
    /// since anything else was checked. What is left open is a pause between this call and the
    /// write; [`Lease::sent`] counts it afterwards.
    pub fn permit(&self) -> Option<Permit> {
        let State::Held { fence, sent, .. } = self.state else { return None };
        let until = sent + self.settings.duration;
        (self.clock.now() < until).then_some(Permit { fence, until })
    }

    /// Tells that the order under `permit` has been written; false, and counted, when that was
    /// after the lease had ended. An engine that checks fencing numbers refuses such an order
    /// once the next holder has sent one; for others the next holder repairs it.
    pub fn sent(&mut self, permit: &Permit) -> bool {
        let in_time = self.clock.now() < permit.until;
        if !in_time {
            self.late += 1;
        }
        in_time
    }

    /// Orders that were written after the lease had ended.
    pub fn late(&self) -> u64 {
        self.late
    }

    /// Takes, renews or watches the lease.
    ///
    /// # Errors
    ///
    /// The table's. A lease that is held goes on until it ends by itself.
    pub async fn step<T>(&mut self, table: &T) -> Result<Status, table::Error>
    where
        T: table::Table,
    {
        let now = self.clock.now();
        if let State::Held { fence, version, sent } = self.state {
            let age = now.since(sent);
            if age < self.settings.renew {
                return Ok(Status::Held(fence));
            }
            if age < self.settings.duration {
                return self.write(table, fence, version).await;
            }
        }
        self.look(table).await
    }

    /// Gives the lease back, so that the next holder need not wait. Orders under way must have
    /// ended.
    ///
    /// # Errors
    ///
    /// The table's; the lease then ends by itself.
    pub async fn release<T>(&mut self, table: &T) -> Result<(), table::Error>
    where
        T: table::Table,
    {
        let State::Held { fence, version, .. } = self.state else { return Ok(()) };
        self.state = State::Unknown;
        let row = Row { holder: String::new(), fence, expires_wall_ms: 0 };
        table.commit(self.transaction(&row, version)).await.map(|_| ())
    }

    async fn look<T>(&mut self, table: &T) -> Result<Status, table::Error>
    where
        T: table::Table,
    {
        let Some(row) = table.read(&key(&self.name)).await? else {
            return self.write(table, id::Fence(1), 0).await;
        };
        let Ok(value) = serde_json::from_str::<Row>(&row.value) else {
            // A row that nobody can read is never taken: its fencing number is not known.
            return Ok(Status::Waiting);
        };
        let seen = self.clock.now();
        let next = id::Fence(value.fence.0 + 1);
        if value.holder.is_empty() || value.holder == self.own.to_string() {
            return self.write(table, next, row.version).await;
        }
        match self.state {
            State::Watching { version, since } if version == row.version => {
                let wait = self.settings.duration + self.settings.flight;
                if seen.since(since) < wait {
                    return Ok(Status::Waiting);
                }
                self.write(table, next, row.version).await
            }
            _ => {
                self.state = State::Watching { version: row.version, since: seen };
                Ok(Status::Waiting)
            }
        }
    }

    fn transaction(&self, row: &Row, version: u64) -> table::Transaction {
        let key = key(&self.name);
        let value = serde_json::to_string(row).unwrap_or_default();
        table::Transaction {
            checks: vec![table::Check { key: key.clone(), version }],
            changes: vec![table::Change::Put { key, value }],
        }
    }

    /// Writes the row as the holder. The lease counts from before the write was sent: it may take
    /// effect at once and be answered late.
    async fn write<T>(
        &mut self,
        table: &T,
        fence: id::Fence,
        version: u64,
    ) -> Result<Status, table::Error>
    where
        T: table::Table,
    {
        let sent = self.clock.now();
        let ends = u64::try_from(self.settings.duration.as_millis()).unwrap_or(u64::MAX);
        let expires_wall_ms = self.clock.wall_millis().saturating_add(ends);
        let row = Row { holder: self.own.to_string(), fence, expires_wall_ms };
        match table.commit(self.transaction(&row, version)).await {
            Ok(versions) => {
                let version = versions.first().copied().unwrap_or(version + 1);
                self.state = State::Held { fence, version, sent };
                Ok(Status::Held(fence))
            }
            Err(table::Error::Conflict { .. }) => {
                self.state = State::Unknown;
                Ok(Status::Waiting)
            }
            Err(error @ table::Error::Refused { .. }) => Err(error),
            Err(error) => {
                self.read_back(table, &row, version + 1, sent).await.unwrap_or(Err(error))
            }
        }
    }

    /// Finds out whether a write whose answer was lost took effect: the row is then at the next
    /// version, with this holder and number. `None` when that cannot be told now; the lease is
    /// then no longer than it was.
    async fn read_back<T>(
        &mut self,
        table: &T,
        written: &Row,
        version: u64,
        sent: clock::Moment,
    ) -> Option<Result<Status, table::Error>>
    where
        T: table::Table,
    {
        let row = table.read(&key(&self.name)).await.ok()??;
        let value: Row = serde_json::from_str(&row.value).ok()?;
        let is_own = row.version == version && value == *written;
        if !is_own {
            return None;
        }
        let fence = written.fence;
        self.state = State::Held { fence, version, sent };
        Some(Ok(Status::Held(fence)))
    }
}
