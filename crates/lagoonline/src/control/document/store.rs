//! Storage of sections in the platform's table.
//!
//! A put is one transaction that writes the section's row, a history row of the new version and the
//! head row of the document. If the table's answer is lost, the history row tells whether the put
//! took effect.

use std::collections;

use serde::{Deserialize, Serialize};

use super::consistency;
use super::diff;
use super::section;
use crate::check;
use crate::id;
use crate::port::table;

/// Key of the head row, which holds the versions of all sections; each put checks and writes it.
///
/// The head row serializes the puts of all teams. Otherwise two teams could add the same name
/// concurrently, each checked against a document without the other's change, and the name would
/// have two owners.
pub const HEAD_KEY: &str = "document";

/// Maximum number of attempts of a put that conflicts with concurrent puts of other teams. After
/// that, [`table::Error::Conflict`] is returned.
const MAX_ATTEMPTS: usize = 16;

/// Value of the head row: the versions of all sections and the put that wrote them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// Version of each section.
    pub versions: collections::BTreeMap<id::Team, id::Version>,
    /// Id of the last put.
    pub put: String,
}

/// Value of a section's row and of its history rows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stored {
    /// Id of the put that wrote it.
    pub put: String,
    /// JSON text of the section.
    pub text: String,
}

/// Returns the key of a team's section row.
///
/// ```
/// use lagoonline::{control::document, id};
/// assert_eq!(document::section_key(&id::Team::from("a")), "section/a");
/// ```
pub fn section_key(team: &id::Team) -> String {
    format!("section/{team}")
}

/// Returns the key of a history row; the version is zero-padded so that keys sort numerically.
///
/// ```
/// use lagoonline::{control::document, id};
/// let key = document::history_key(&id::Team::from("a"), id::Version(12));
/// assert_eq!(key, "history/a/0000000012");
/// ```
pub fn history_key(team: &id::Team, version: id::Version) -> String {
    format!("history/{team}/{:010}", version.0)
}

/// A request to store a new version of a section.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Put {
    /// Team that owns the section.
    pub team: id::Team,
    /// Version that the new text was edited from; 0 if the section does not exist yet.
    pub base: id::Version,
    /// Unique id of the put; a retry uses the same id.
    pub id: String,
    /// New JSON text.
    pub text: String,
}

/// Reason why a section was not stored.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum StoreError {
    /// The section is invalid, either on its own or together with the other sections.
    #[error("{0}")]
    Invalid(check::Faults),
    /// The section was changed concurrently, after the version that the put was edited from.
    #[error("version {} is in the table now", version.0)]
    Conflict {
        /// Current version in the table.
        version: id::Version,
        /// Differences from the edited version to the current one.
        changes: Vec<diff::Difference>,
    },
    /// The table service failed; after `Unknown`, retry with the same put id.
    #[error(transparent)]
    Table(#[from] table::Error),
}

/// Head of the document with its version in the table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VersionedHead {
    /// Versions of all sections.
    pub head: Head,
    /// Version of the head row, which is the version of the whole document.
    pub version: u64,
}

/// Builds the error for a row that cannot be parsed. It is `Refused`, the error of a call that
/// certainly had no effect, because a read never has one.
fn malformed(step: &'static str, error: &serde_json::Error) -> table::Error {
    table::Error::Refused { step, peer: "table".to_owned(), why: error.to_string() }
}

/// Reads the head row; returns the default if no section has been stored yet.
///
/// # Errors
///
/// Those of [`table::Table::read`], or `Refused` if the row cannot be parsed.
pub async fn read_head<T>(table: &T) -> Result<VersionedHead, table::Error>
where
    T: table::Table,
{
    let Some(row) = table.read(HEAD_KEY).await? else { return Ok(VersionedHead::default()) };
    let head = serde_json::from_str(&row.value).map_err(|error| malformed("read head", &error))?;
    Ok(VersionedHead { head, version: row.version })
}

/// Reads the section row of `team` with its version; returns `None` if there is none.
///
/// # Errors
///
/// Those of [`table::Table::read`], or `Refused` if the row cannot be parsed.
pub async fn read_section<T>(
    table: &T,
    team: &id::Team,
) -> Result<Option<(id::Version, Stored)>, table::Error>
where
    T: table::Table,
{
    let Some(row) = table.read(&section_key(team)).await? else { return Ok(None) };
    let stored =
        serde_json::from_str(&row.value).map_err(|error| malformed("read section", &error))?;
    Ok(Some((id::Version(row.version), stored)))
}

async fn read_history<T>(
    table: &T,
    team: &id::Team,
    version: id::Version,
) -> Result<Option<Stored>, table::Error>
where
    T: table::Table,
{
    let row = table.read(&history_key(team, version)).await?;
    Ok(row.and_then(|row| serde_json::from_str(&row.value).ok()))
}

/// Validates a put against the document in the table without storing it.
///
/// # Errors
///
/// Those of [`store`].
pub async fn validate<T>(table: &T, put: &Put) -> Result<(), StoreError>
where
    T: table::Table,
{
    prepare(table, put).await.map(|_| ())
}

/// Stores `put` as the next version of its section, exactly once.
///
/// A put whose answer was lost is recognized by its id in the history row of the version that it
/// creates: that row is written together with the section and never overwritten. A delayed
/// transaction that is still in flight cannot take effect after another one for the same version,
/// because both check the version of the head row.
///
/// # Errors
///
/// Returns the faults of the section, a conflict with a concurrent put, or the error of the table.
/// After [`table::Error::Unknown`] the same put can be retried; it is not stored twice.
pub async fn store<T>(table: &T, put: &Put) -> Result<id::Version, StoreError>
where
    T: table::Table,
{
    let next = id::Version(put.base.0 + 1);
    // Error of an attempt whose answer was lost.
    let mut lost = None;
    for _ in 0..MAX_ATTEMPTS {
        match try_store(table, put, next).await {
            Ok(version) => return Ok(version),
            Err(StoreError::Table(table::Error::Conflict { .. })) => {}
            Err(StoreError::Table(error @ table::Error::Unknown { .. })) => lost = Some(error),
            // An error after a lost answer does not tell whether the earlier call took effect.
            Err(StoreError::Table(error)) => return Err(StoreError::Table(lost.unwrap_or(error))),
            Err(error) => return Err(error),
        }
    }
    let conflict = table::Error::Conflict { step: "store section" };
    Err(StoreError::Table(lost.unwrap_or(conflict)))
}

async fn try_store<T>(table: &T, put: &Put, next: id::Version) -> Result<id::Version, StoreError>
where
    T: table::Table,
{
    let transaction = match prepare(table, put).await {
        Ok(transaction) => transaction,
        // The conflicting version may be this put itself, stored by an earlier attempt.
        Err(StoreError::Conflict { .. }) if is_written(table, put, next).await? => return Ok(next),
        Err(error) => return Err(error),
    };
    table.commit(transaction).await?;
    Ok(next)
}

/// Returns whether the history row of version `next` was written by `put`.
async fn is_written<T>(table: &T, put: &Put, next: id::Version) -> Result<bool, table::Error>
where
    T: table::Table,
{
    let written = read_history(table, &put.team, next).await?;
    Ok(written.is_some_and(|stored| stored.put == put.id))
}

/// Validates `put` against the current document and builds the transaction that stores it.
async fn prepare<T>(table: &T, put: &Put) -> Result<table::Transaction, StoreError>
where
    T: table::Table,
{
    let next = id::Version(put.base.0 + 1);
    let candidate =
        section::Section::parse(put.team.clone(), next, &put.text).map_err(StoreError::Invalid)?;
    let mut stored_head = read_head(table).await?;
    let current = stored_head.head.versions.get(&put.team).copied().unwrap_or_default();
    if current != put.base {
        return Err(conflict_error(table, put, current).await?);
    }
    let mut others = Vec::new();
    for team in stored_head.head.versions.keys().filter(|team| **team != put.team) {
        let Some((version, stored)) = read_section(table, team).await? else { continue };
        others.extend(section::Section::parse(team.clone(), version, &stored.text));
    }
    consistency::check_document(&others, &candidate).map_err(StoreError::Invalid)?;
    stored_head.head.versions.insert(put.team.clone(), next);
    stored_head.head.put.clone_from(&put.id);
    Ok(transaction(put, next, &stored_head))
}

fn transaction(put: &Put, next: id::Version, stored_head: &VersionedHead) -> table::Transaction {
    let text = |value: serde_json::Result<String>| value.unwrap_or_default();
    let stored = Stored { put: put.id.clone(), text: put.text.clone() };
    let row = text(serde_json::to_string(&stored));
    let head = text(serde_json::to_string(&stored_head.head));
    let (section, history) = (section_key(&put.team), history_key(&put.team, next));
    table::Transaction {
        checks: vec![
            table::Check { key: HEAD_KEY.to_owned(), version: stored_head.version },
            table::Check { key: section.clone(), version: put.base.0 },
        ],
        changes: vec![
            table::Change::Put { key: section, value: row.clone() },
            table::Change::Put { key: history, value: row },
            table::Change::Put { key: HEAD_KEY.to_owned(), value: head },
        ],
    }
}

/// Builds the conflict error, with the differences from the edited version to the current one.
async fn conflict_error<T>(
    table: &T,
    put: &Put,
    version: id::Version,
) -> Result<StoreError, table::Error>
where
    T: table::Table,
{
    let old = read_history(table, &put.team, put.base).await?;
    let new = read_history(table, &put.team, version).await?;
    let text = |stored: Option<Stored>| stored.map_or_else(|| "{}".to_owned(), |s| s.text);
    let changes = diff::diff(&text(old), &text(new));
    Ok(StoreError::Conflict { version, changes })
}
