//! Deletes claims past their retention time, a bounded number of rows at a time.
//!
//! The table holds millions of rows and one sweep reads them all; a single steward doing so would
//! carry a constant load of 80 KB per second. Rows are therefore divided into [`SHARDS`] shards,
//! each swept by one steward, which the caller of [`Sweeper`] chooses. The shards are scheduled by
//! the wall clock, so that the whole fleet makes one read per [`SweepSettings::interval`] without
//! coordination. Two stewards sweeping the same shard cost extra reads but never delete a row that
//! is in use: each row is deleted only at the version that was read.

use super::record;
use super::settings;
use crate::clock;
use crate::port::table;

/// Number of shards that claim rows are divided into.
pub const SHARDS: u64 = 256;

/// Limits of a sweep.
#[derive(Clone, Debug)]
pub struct SweepSettings {
    /// How long a claim is kept, at least [`settings::MIN_RETENTION`]; one day covers a caller's
    /// retries after an outage.
    pub retention: clock::Span,
    /// Most rows read and deleted in one step, which is one read and one write.
    pub batch: usize,
    /// Time between two steps across the whole fleet.
    pub interval: clock::Span,
}

/// Rows per read and commit.
const BATCH: usize = 200;
/// With [`BATCH`] rows per step, scans rows at twice the rate at which 90 keyed requests per second
/// add them. This takes one of the 2,000 reads per second that the platform supports.
const INTERVAL: clock::Span = clock::Span::from_secs(1);

impl Default for SweepSettings {
    fn default() -> Self {
        SweepSettings { retention: settings::MIN_RETENTION, batch: BATCH, interval: INTERVAL }
    }
}

/// Returns the shard to sweep at this wall time, and the time until the next one.
///
/// ```
/// use lagoonline::{clock::Span, lifecycle::claim::scheduled_shard};
/// let interval = Span::from_secs(1);
/// assert_eq!(scheduled_shard(257_400, interval), (1, Span::from_millis(600)));
/// ```
pub fn scheduled_shard(wall_ms: u64, interval: clock::Span) -> (u8, clock::Span) {
    let interval = u64::try_from(interval.as_millis()).unwrap_or(u64::MAX).max(1);
    let shard = u8::try_from(wall_ms / interval % SHARDS).unwrap_or_default();
    (shard, clock::Span::from_millis(interval - wall_ms % interval))
}

/// Scans the claim rows of one shard in key order, repeatedly.
#[derive(Clone, Debug)]
pub struct Sweeper {
    settings: SweepSettings,
    prefix: String,
    cursor: String,
}

impl Sweeper {
    /// Creates a sweeper positioned before the first row of `shard`.
    pub fn new(settings: SweepSettings, shard: u8) -> Self {
        Sweeper { settings, prefix: record::shard_prefix(shard), cursor: String::new() }
    }

    /// Makes one read and at most one write; returns the number of deleted rows.
    ///
    /// # Errors
    ///
    /// Returns the table's error; the next step resumes from the same position.
    pub async fn step<T>(&mut self, table: &T, wall_ms: u64) -> Result<usize, table::Error>
    where
        T: table::Table,
    {
        let rows = table.scan(&self.prefix, &self.cursor, self.settings.batch).await?;
        let expired: Vec<_> = rows.iter().filter(|row| self.is_expired(row, wall_ms)).collect();
        if !expired.is_empty() {
            let check =
                |row: &&table::Row| table::Check { key: row.key.clone(), version: row.version };
            let delete = |row: &&table::Row| table::Change::Delete { key: row.key.clone() };
            table
                .commit(table::Transaction {
                    checks: expired.iter().map(check).collect(),
                    changes: expired.iter().map(delete).collect(),
                })
                .await?;
        }
        self.cursor = match rows.last() {
            Some(last) if rows.len() == self.settings.batch => last.key.clone(),
            _ => String::new(),
        };
        Ok(expired.len())
    }

    fn is_expired(&self, row: &table::Row, wall_ms: u64) -> bool {
        let retention = u64::try_from(self.settings.retention.as_millis()).unwrap_or(u64::MAX);
        serde_json::from_str::<record::Record>(&row.value)
            .is_ok_and(|record| wall_ms.saturating_sub(record.written_ms) > retention)
    }
}
