//! The table service of the platform.

use lagoonline::port::table;
use ntex::http;
use ntex::util;
use serde::{Deserialize, Serialize};

use super::client;

#[derive(Deserialize)]
struct Row {
    key: String,
    value: String,
    version: u64,
}

impl From<Row> for table::Row {
    fn from(row: Row) -> Self {
        table::Row { key: row.key, value: row.value, version: row.version }
    }
}

#[derive(Deserialize)]
struct Rows {
    rows: Vec<Row>,
}

#[derive(Serialize)]
struct Check<'a> {
    key: &'a str,
    version: u64,
}

#[derive(Serialize)]
struct Put<'a> {
    key: &'a str,
    value: &'a str,
}

#[derive(Default, Serialize)]
struct Commit<'a> {
    checks: Vec<Check<'a>>,
    puts: Vec<Put<'a>>,
    deletes: Vec<&'a str>,
}

#[derive(Deserialize)]
struct Committed {
    versions: Vec<u64>,
}

impl<'a> Commit<'a> {
    fn from_transaction(transaction: &'a table::Transaction) -> Self {
        let check = |check: &'a table::Check| Check { key: &check.key, version: check.version };
        let mut commit = Commit::default();
        commit.checks.extend(transaction.checks.iter().map(check));
        for change in &transaction.changes {
            match change {
                table::Change::Put { key, value } => commit.puts.push(Put { key, value }),
                table::Change::Delete { key } => commit.deletes.push(key),
            }
        }
        commit
    }
}

/// Reorders versions: the service returns those of puts only, while the port promises one for each
/// change in the order of the transaction.
fn versions_in_order(transaction: &table::Transaction, versions: &[u64]) -> Vec<u64> {
    let mut puts = versions.iter().copied();
    let version = |change: &table::Change| match change {
        table::Change::Put { .. } => puts.next().unwrap_or_default(),
        table::Change::Delete { .. } => 0,
    };
    transaction.changes.iter().map(version).collect()
}

impl client::Client {
    async fn get(
        &self,
        step: &'static str,
        path: &str,
        query: &[(&str, &str)],
    ) -> Result<Option<util::Bytes>, table::Error> {
        let call = client::Call {
            step,
            kind: client::Kind::Read,
            method: http::Method::GET,
            path: path.to_owned(),
            query,
            body: None,
        };
        let response = self.call(call).await?;
        Ok((response.status == http::StatusCode::OK).then_some(response.body))
    }
}

impl table::Table for client::Client {
    async fn read(&self, key: &str) -> Result<Option<table::Row>, table::Error> {
        let step = "read row";
        let Some(body) = self.get(step, "/table/row", &[("key", key)]).await? else {
            return Ok(None);
        };
        let row: Row = self.parse(step, &body)?;
        Ok(Some(row.into()))
    }

    async fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<table::Row>, table::Error> {
        let step = "scan rows";
        let limit = limit.to_string();
        let query = [("prefix", prefix), ("after", after), ("limit", &limit)];
        let Some(body) = self.get(step, "/table/rows", &query).await? else {
            return Ok(Vec::new());
        };
        let rows: Rows = self.parse(step, &body)?;
        Ok(rows.rows.into_iter().map(table::Row::from).collect())
    }

    async fn commit(&self, transaction: table::Transaction) -> Result<Vec<u64>, table::Error> {
        let step = "commit";
        let body = serde_json::to_vec(&Commit::from_transaction(&transaction));
        let body = body.map_err(|error| self.refused(step, error))?;
        let call = client::Call {
            step,
            kind: client::Kind::Write,
            method: http::Method::POST,
            path: "/table/commit".to_owned(),
            query: &[],
            body: Some(util::Bytes::from(body)),
        };
        let response = self.call(call).await?;
        if response.status != http::StatusCode::OK {
            return Err(self.refused(step, response.status));
        }
        let committed: Committed = self.parse(step, &response.body)?;
        Ok(versions_in_order(&transaction, &committed.versions))
    }
}
