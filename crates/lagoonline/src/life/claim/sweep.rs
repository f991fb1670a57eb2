//! Removes claims whose retention has ended, a bounded number of rows at a time.
//!
//! One sweeper a region suffices; two at once cost reads, never a row that is still in use: each
//! row is deleted only at the version that was read.

use super::record;
use crate::clock;
use crate::port::table;

/// Limits of a sweep.
#[derive(Clone, Debug)]
pub struct Sweep {
    /// How long a claim is kept; hours longer than the longest deadline, which keeps a paused
    /// holder from dispatching without its row.
    pub retention: clock::Span,
    /// Rows read and at most deleted in one step: one read and one write.
    pub batch: usize,
    /// Time between two steps of a pass over all rows.
    pub pace: clock::Span,
    /// Time between two passes, and after an error.
    pub rest: clock::Span,
}

/// A day covers a caller's retries after an outage.
const RETENTION: clock::Span = clock::Span::from_secs(24 * 3_600);
/// One read and one commit of this many rows.
const BATCH: usize = 200;
/// A steward may make 20 reads and 5 writes a second, which its leases and ledger need as well.
const PACE: clock::Span = clock::Span::from_secs(1);
/// An idle site reads one empty page in this time.
const REST: clock::Span = clock::Span::from_secs(600);

impl Default for Sweep {
    fn default() -> Self {
        Sweep { retention: RETENTION, batch: BATCH, pace: PACE, rest: REST }
    }
}

/// Goes through all claim rows in the order of their keys, again and again.
#[derive(Clone, Debug, Default)]
pub struct Sweeper {
    settings: Sweep,
    after: String,
    resting: bool,
}

impl Sweeper {
    /// Starts before the first row.
    pub fn new(settings: Sweep) -> Self {
        Sweeper { settings, after: String::new(), resting: true }
    }

    /// Time to wait before the next step; a new sweeper rests first.
    pub fn wait(&self) -> clock::Span {
        if self.resting { self.settings.rest } else { self.settings.pace }
    }

    /// Rests before the next step, as after an error.
    pub fn rest(&mut self) {
        self.resting = true;
    }

    /// One read and at most one write; returns the rows deleted. Wait for [`Sweeper::wait`] first.
    ///
    /// # Errors
    ///
    /// Those of the table; the next step goes on from the same place.
    pub async fn step<T>(&mut self, table: &T, wall_ms: u64) -> Result<usize, table::Error>
    where
        T: table::Table,
    {
        let rows = table.scan("claim/", &self.after, self.settings.batch).await?;
        let old: Vec<_> = rows.iter().filter(|row| self.is_over(row, wall_ms)).collect();
        if !old.is_empty() {
            let check =
                |row: &&table::Row| table::Check { key: row.key.clone(), version: row.version };
            let delete = |row: &&table::Row| table::Change::Delete { key: row.key.clone() };
            table
                .commit(table::Transaction {
                    checks: old.iter().map(check).collect(),
                    changes: old.iter().map(delete).collect(),
                })
                .await?;
        }
        self.after = match rows.last() {
            Some(last) if rows.len() == self.settings.batch => last.key.clone(),
            _ => String::new(),
        };
        self.resting = self.after.is_empty();
        Ok(old.len())
    }

    fn is_over(&self, row: &table::Row, wall_ms: u64) -> bool {
        let retention = u64::try_from(self.settings.retention.as_millis()).unwrap_or(u64::MAX);
        serde_json::from_str::<record::Record>(&row.value)
            .is_ok_and(|record| wall_ms.saturating_sub(record.written_ms) > retention)
    }
}
