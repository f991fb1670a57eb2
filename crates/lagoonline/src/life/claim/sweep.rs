//! Removes claims whose retention has ended, a bounded number of rows at a time.
//!
//! Load pattern: millions of rows, of which a pass reads all. One steward that did so alone would
//! spend 80 KB a second on it. The rows are in [`SHARDS`] shards, each swept by a steward of its
//! own, and shards take turns by the wall clock, so that the fleet as a whole makes one read in
//! [`Sweep::pace`] with nothing agreed on. Two sweepers of a shard at once cost reads, never a row
//! that is still in use: each row is deleted only at the version that was read.

use super::record;
use super::settings;
use crate::clock;
use crate::port::table;

/// Shards of the claim rows.
pub const SHARDS: u64 = 256;

/// Limits of a sweep.
#[derive(Clone, Debug)]
pub struct Sweep {
    /// How long a claim is kept, at least [`settings::LEAST_RETENTION`]; a day covers a caller's
    /// retries after an outage.
    pub retention: clock::Span,
    /// Rows read and at most deleted in one step: one read and one write.
    pub batch: usize,
    /// Time between two steps of the whole fleet.
    pub pace: clock::Span,
}

/// One read and one commit of this many rows.
const BATCH: usize = 200;
/// Twice as many rows as are written at 90 keyed calls a second, for one read in 2,000.
const PACE: clock::Span = clock::Span::from_secs(1);

impl Default for Sweep {
    fn default() -> Self {
        Sweep { retention: settings::LEAST_RETENTION, batch: BATCH, pace: PACE }
    }
}

/// The shard whose turn it is, and the time until the next turn.
///
/// ```
/// use lagoonline::{clock::Span, life::claim::turn};
/// let pace = Span::from_secs(1);
/// assert_eq!(turn(257_400, pace), (1, Span::from_millis(600)));
/// ```
pub fn turn(wall_ms: u64, pace: clock::Span) -> (u8, clock::Span) {
    let pace = u64::try_from(pace.as_millis()).unwrap_or(u64::MAX).max(1);
    let shard = u8::try_from(wall_ms / pace % SHARDS).unwrap_or_default();
    (shard, clock::Span::from_millis(pace - wall_ms % pace))
}

/// Goes through the claim rows of a shard in the order of their keys, again and again.
#[derive(Clone, Debug)]
pub struct Sweeper {
    settings: Sweep,
    prefix: String,
    after: String,
}

impl Sweeper {
    /// Starts before the first row of `shard`.
    pub fn new(settings: Sweep, shard: u8) -> Self {
        Sweeper { settings, prefix: record::shard_prefix(shard), after: String::new() }
    }

    /// One read and at most one write; returns the rows deleted.
    ///
    /// # Errors
    ///
    /// Those of the table; the next step goes on from the same place.
    pub async fn step<T>(&mut self, table: &T, wall_ms: u64) -> Result<usize, table::Error>
    where
        T: table::Table,
    {
        let rows = table.scan(&self.prefix, &self.after, self.settings.batch).await?;
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
        Ok(old.len())
    }

    fn is_over(&self, row: &table::Row, wall_ms: u64) -> bool {
        let retention = u64::try_from(self.settings.retention.as_millis()).unwrap_or(u64::MAX);
        serde_json::from_str::<record::Record>(&row.value)
            .is_ok_and(|record| wall_ms.saturating_sub(record.written_ms) > retention)
    }
}
