//! Storing a section: compare-and-set on the document, history, and reading back a lost answer.

use std::collections;

use serde::{Deserialize, Serialize};

use super::diff;
use super::section;
use super::whole;
use crate::check;
use crate::id;
use crate::port::table;

/// Key of the row that has every section's version; each put checks and writes it.
///
/// Failure answered: two teams add the same name at once, each checked against a document without
/// the other. Symptom: one name with two owners. Every put is ordered by this one row.
pub const HEAD_KEY: &str = "document";

/// Times that a put starts again because another team's put came between.
const ATTEMPTS: usize = 16;

/// The head row: versions of all sections, and the put that wrote them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// Version of each section.
    pub versions: collections::BTreeMap<id::Team, id::Version>,
    /// The last put.
    pub put: String,
}

/// Value of a section's row and of its history rows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stored {
    /// The put that wrote it.
    pub put: String,
    /// The section's text.
    pub text: String,
}

/// Key of a team's section row.
///
/// ```
/// use lagoonline::{control::document, id};
/// assert_eq!(document::section_key(&id::Team::from("a")), "section/a");
/// ```
pub fn section_key(team: &id::Team) -> String {
    format!("section/{team}")
}

/// Key of a history row; versions sort as numbers.
///
/// ```
/// use lagoonline::{control::document, id};
/// let key = document::history_key(&id::Team::from("a"), id::Version(12));
/// assert_eq!(key, "history/a/0000000012");
/// ```
pub fn history_key(team: &id::Team, version: id::Version) -> String {
    format!("history/{team}/{:010}", version.0)
}

/// A section that a team wants stored.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Put {
    /// Whose section.
    pub team: id::Team,
    /// The version it was edited from.
    pub from: id::Version,
    /// Names this put.
    pub put: String,
    /// The text.
    pub text: String,
}

/// Why a section was not stored.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// The section, or the document with it, has faults.
    #[error("{0}")]
    Faulty(check::Faults),
    /// The section was changed since the version that was edited.
    #[error("version {} is in the table now", version.0)]
    Raced {
        /// The version in the table.
        version: id::Version,
        /// What changed since the version that was edited.
        changes: Vec<diff::Line>,
    },
    /// The table service failed; after `Unknown`, ask again with the same put id.
    #[error(transparent)]
    Table(#[from] table::Error),
}

/// The document as it stands in the table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Whole {
    /// The head.
    pub head: Head,
    /// The head row's version: the document's.
    pub version: u64,
}

fn malformed(step: &'static str, error: &serde_json::Error) -> table::Error {
    table::Error::Refused { step, peer: "table".to_owned(), why: error.to_string() }
}

/// Reads the document's head.
///
/// # Errors
///
/// As [`table::Table::read`], or `Refused` for a row that is not a head.
pub async fn read_head<T>(table: &T) -> Result<Whole, table::Error>
where
    T: table::Table,
{
    let Some(row) = table.read(HEAD_KEY).await? else { return Ok(Whole::default()) };
    let head = serde_json::from_str(&row.value).map_err(|error| malformed("read head", &error))?;
    Ok(Whole { head, version: row.version })
}

/// Reads the section row of `team` with its put id; `None` when there is none.
///
/// # Errors
///
/// As [`table::Table::read`], or `Refused` for a row that is not a section.
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

/// Checks a put against the document in the table, without storing it.
///
/// # Errors
///
/// As [`store`].
pub async fn check<T>(table: &T, put: &Put) -> Result<(), Refusal>
where
    T: table::Table,
{
    prepare(table, put).await.map(|_| ())
}

/// Stores `put` as the next version of its section, once.
///
/// A put whose answer was lost is told by its id in the history row of the version that it would
/// have made: that row is written with the section and never again. A transaction that may still
/// be under way cannot take effect after another of the same version, since both check the head.
///
/// # Errors
///
/// Faults of the section, a race that it lost, or the table's failure. After
/// [`table::Error::Unknown`] the same put may be stored again without being doubled.
pub async fn store<T>(table: &T, put: &Put) -> Result<id::Version, Refusal>
where
    T: table::Table,
{
    let next = id::Version(put.from.0 + 1);
    let mut lost = None;
    for _ in 0..ATTEMPTS {
        match try_store(table, put, next).await {
            Ok(version) => return Ok(version),
            Err(Refusal::Table(table::Error::Conflict { .. })) => {}
            Err(Refusal::Table(error @ table::Error::Unknown { .. })) => lost = Some(error),
            // A refusal after a lost answer says nothing of the call whose answer was lost.
            Err(Refusal::Table(error)) => return Err(Refusal::Table(lost.unwrap_or(error))),
            Err(refusal) => return Err(refusal),
        }
    }
    let conflict = table::Error::Conflict { step: "store section" };
    Err(Refusal::Table(lost.unwrap_or(conflict)))
}

async fn try_store<T>(table: &T, put: &Put, next: id::Version) -> Result<id::Version, Refusal>
where
    T: table::Table,
{
    let transaction = match prepare(table, put).await {
        Ok(transaction) => transaction,
        // An earlier commit of this put may have taken effect since: then it raced with itself.
        Err(Refusal::Raced { .. }) if is_written(table, put, next).await? => return Ok(next),
        Err(refusal) => return Err(refusal),
    };
    table.commit(transaction).await?;
    Ok(next)
}

async fn is_written<T>(table: &T, put: &Put, next: id::Version) -> Result<bool, table::Error>
where
    T: table::Table,
{
    let written = read_history(table, &put.team, next).await?;
    Ok(written.is_some_and(|stored| stored.put == put.put))
}

async fn prepare<T>(table: &T, put: &Put) -> Result<table::Transaction, Refusal>
where
    T: table::Table,
{
    let next = id::Version(put.from.0 + 1);
    let candidate =
        section::Section::parse(put.team.clone(), next, &put.text).map_err(Refusal::Faulty)?;
    let mut whole = read_head(table).await?;
    let current = whole.head.versions.get(&put.team).copied().unwrap_or_default();
    if current != put.from {
        return Err(raced(table, put, current).await?);
    }
    let mut others = Vec::new();
    for team in whole.head.versions.keys().filter(|team| **team != put.team) {
        let Some((version, stored)) = read_section(table, team).await? else { continue };
        others.extend(section::Section::parse(team.clone(), version, &stored.text));
    }
    whole::check_whole(&others, &candidate).map_err(Refusal::Faulty)?;
    whole.head.versions.insert(put.team.clone(), next);
    whole.head.put.clone_from(&put.put);
    Ok(transaction(put, next, &whole))
}

fn transaction(put: &Put, next: id::Version, whole: &Whole) -> table::Transaction {
    let text = |value: serde_json::Result<String>| value.unwrap_or_default();
    let stored = Stored { put: put.put.clone(), text: put.text.clone() };
    let row = text(serde_json::to_string(&stored));
    let head = text(serde_json::to_string(&whole.head));
    let (section, history) = (section_key(&put.team), history_key(&put.team, next));
    table::Transaction {
        checks: vec![
            table::Check { key: HEAD_KEY.to_owned(), version: whole.version },
            table::Check { key: section.clone(), version: put.from.0 },
        ],
        changes: vec![
            table::Change::Put { key: section, value: row.clone() },
            table::Change::Put { key: history, value: row },
            table::Change::Put { key: HEAD_KEY.to_owned(), value: head },
        ],
    }
}

async fn raced<T>(table: &T, put: &Put, version: id::Version) -> Result<Refusal, table::Error>
where
    T: table::Table,
{
    let old = read_history(table, &put.team, put.from).await?;
    let new = read_history(table, &put.team, version).await?;
    let text = |stored: Option<Stored>| stored.map_or_else(|| "{}".to_owned(), |s| s.text);
    let changes = diff::diff(&text(old), &text(new));
    Ok(Refusal::Raced { version, changes })
}
