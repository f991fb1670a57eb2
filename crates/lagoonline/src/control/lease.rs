//! Leases with fencing numbers, stored in rows of the platform's table.
//!
//! A lease ensures that only one steward at a time sends commands to an engine, even though
//! processes may be paused, answers may be lost and the table may be unavailable for longer than a
//! lease. Without it, two stewards that both consider themselves responsible could alternately load
//! two models on the same engine.
//!
//! The clocks of different hosts are never compared. The holder measures the lease from before it
//! sent the write that acquired or renewed it; a contender measures from when it first saw the row
//! version of that write. The contender waits for the whole duration plus
//! [`Settings::max_command_delay`], the longest time that a command may be in flight, so that the
//! last command of the old holder has arrived before the new holder sends its first one.

use serde::{Deserialize, Serialize};

use crate::clock;
use crate::id;
use crate::port::table;

/// Timing of a lease.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Duration of a lease, measured from when the write that acquired or renewed it was sent.
    pub duration: clock::Span,
    /// Age at which the holder renews the lease.
    pub renew_after: clock::Span,
    /// Longest time that a command may be in flight to the engine; enforced by the timeout of the
    /// sender.
    pub max_command_delay: clock::Span,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            duration: clock::Span::from_secs(10),
            renew_after: clock::Span::from_secs(3),
            max_command_delay: clock::Span::from_secs(2),
        }
    }
}

/// Value of a lease row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Row {
    /// Holder as `HOST/INCARNATION`; empty if the lease was released.
    holder: String,
    /// Fencing number; raised each time the lease is acquired, not when it is renewed.
    fence: id::Fence,
    /// Expiry by the holder's wall clock; informational, for operators only.
    expires_wall_ms: u64,
}

/// Returns the key of a lease row.
///
/// ```
/// use lagoonline::control::lease;
/// assert_eq!(lease::key("orders/engine-1"), "lease/orders/engine-1");
/// ```
pub fn key(name: &str) -> String {
    format!("lease/{name}")
}

/// What a contender knows of the lease.
#[derive(Clone, Debug, Eq, PartialEq)]
enum State {
    /// The state of the row is not known.
    Unknown,
    /// Another contender holds the lease; this row version was first seen at `since`. A renewal
    /// changes the version and restarts the wait.
    Watching { version: u64, since: clock::Moment },
    /// Held by this contender; the last write was sent at `sent`.
    Held { fence: id::Fence, version: u64, sent: clock::Moment },
}

/// Result of [`Lease::step`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// Held by this contender, with this fencing number.
    Held(id::Fence),
    /// Held by another contender, not yet known to be free, or the row is malformed.
    Waiting,
}

/// Permission to send one command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Permit {
    /// Fencing number that the command carries.
    pub fence: id::Fence,
    /// Time by which the command must have been sent; one sent later is counted as late.
    pub until: clock::Moment,
}

/// One contender's handle for a lease, by which it acquires, renews and releases it. The lease
/// itself is the row in the table, which all contenders share.
#[derive(Clone, Debug)]
pub struct Lease<C> {
    name: String,
    /// Host and incarnation of this contender, written to the row when it holds the lease. Here
    /// `Owner` is a process, not the team that owns an upstream or section.
    own: id::Owner,
    settings: Settings,
    clock: C,
    state: State,
    late_commands: u64,
}

impl<C> Lease<C>
where
    C: clock::Clock,
{
    /// Creates the handle of a contender that does not hold the lease yet.
    ///
    /// ```
    /// use lagoonline::{clock, control::lease, id};
    /// let clock = clock::Fake::default();
    /// let lease = lease::Lease::new("n", id::Owner::default(), Default::default(), clock);
    /// assert_eq!(lease.permit(), None);
    /// ```
    pub fn new(name: &str, own: id::Owner, settings: Settings, clock: C) -> Self {
        let (name, state, late_commands) = (name.to_owned(), State::Unknown, 0);
        Lease { name, own, settings, clock, state, late_commands }
    }

    /// Returns the permission to send a command now; `None` if the lease is not held or has
    /// expired.
    ///
    /// Call this right before the command is written to its connection, because the process may
    /// have been paused since any earlier check. A pause between this call and the write is not
    /// prevented, but detected and counted afterwards by [`Lease::record_sent`].
    pub fn permit(&self) -> Option<Permit> {
        let State::Held { fence, sent, .. } = self.state else { return None };
        let until = sent + self.settings.duration;
        (self.clock.now() < until).then_some(Permit { fence, until })
    }

    /// Records that the command under `permit` has been written. Returns false and counts the
    /// command as late if the lease had expired by then. An engine that checks fencing numbers
    /// rejects a late command once the next holder has sent one; on other engines the next holder
    /// repairs the effect.
    pub fn record_sent(&mut self, permit: &Permit) -> bool {
        let in_time = self.clock.now() < permit.until;
        if !in_time {
            self.late_commands += 1;
        }
        in_time
    }

    /// Returns the number of commands that were written after the lease had expired.
    pub fn late_commands(&self) -> u64 {
        self.late_commands
    }

    /// Acquires or renews the lease, or monitors its current holder. To be called regularly.
    ///
    /// # Errors
    ///
    /// Returns the error of the table. A lease that is held remains valid until it expires.
    pub async fn step<T>(&mut self, table: &T) -> Result<Status, table::Error>
    where
        T: table::Table,
    {
        let now = self.clock.now();
        if let State::Held { fence, version, sent } = self.state {
            let age = now.since(sent);
            if age < self.settings.renew_after {
                return Ok(Status::Held(fence));
            }
            if age < self.settings.duration {
                return self.write(table, fence, version).await;
            }
        }
        self.read_and_acquire(table).await
    }

    /// Releases the lease, so that the next holder need not wait for its expiry. No command may be
    /// in flight any more.
    ///
    /// # Errors
    ///
    /// Returns the error of the table; the lease then expires.
    pub async fn release<T>(&mut self, table: &T) -> Result<(), table::Error>
    where
        T: table::Table,
    {
        let State::Held { fence, version, .. } = self.state else { return Ok(()) };
        self.state = State::Unknown;
        let row = Row { holder: String::new(), fence, expires_wall_ms: 0 };
        table.commit(self.transaction(&row, version)).await.map(|_| ())
    }

    /// Reads the row and acquires the lease if it is free, released or expired.
    async fn read_and_acquire<T>(&mut self, table: &T) -> Result<Status, table::Error>
    where
        T: table::Table,
    {
        let Some(row) = table.read(&key(&self.name)).await? else {
            // Version 0 requires that the row does not exist.
            return self.write(table, id::Fence(1), 0).await;
        };
        let Ok(value) = serde_json::from_str::<Row>(&row.value) else {
            // The lease of a malformed row is never acquired: its fencing number is not known.
            return Ok(Status::Waiting);
        };
        let seen = self.clock.now();
        let next = id::Fence(value.fence.0 + 1);
        if value.holder.is_empty() || value.holder == self.own.to_string() {
            return self.write(table, next, row.version).await;
        }
        match self.state {
            State::Watching { version, since } if version == row.version => {
                let wait = self.settings.duration + self.settings.max_command_delay;
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

    /// Builds the transaction that replaces version `version` of the row.
    fn transaction(&self, row: &Row, version: u64) -> table::Transaction {
        let key = key(&self.name);
        let value = serde_json::to_string(row).unwrap_or_default();
        table::Transaction {
            checks: vec![table::Check { key: key.clone(), version }],
            changes: vec![table::Change::Put { key, value }],
        }
    }

    /// Writes the row with this contender as the holder. The lease is measured from before the
    /// write is sent, because the write may take effect immediately and be answered late.
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
        let duration_ms = u64::try_from(self.settings.duration.as_millis()).unwrap_or(u64::MAX);
        let expires_wall_ms = self.clock.wall_millis().saturating_add(duration_ms);
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

    /// Determines whether a write whose answer was lost took effect: the row is then at the next
    /// version, with this holder and fencing number. Returns `None` if it did not or that cannot be
    /// determined; the lease is then not extended.
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
