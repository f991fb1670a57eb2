//! Messages between a host that reads the platform's tables and one that asks it.

use std::io;

use lagoonline::routing;
use prost::Message;

use crate::path;

/// A relay request: the revisions that the asking host has. All versions here are the store's
/// versions of a table, not the number in the document of the desired state.
///
/// Hosts of an earlier build name no eras. Theirs is taken for the one that the receiver knows.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Request {
    /// Version up to which it has the table of the desired state.
    #[prost(uint64, optional, tag = "1")]
    pub(crate) desired: Option<u64>,
    /// Version up to which it has the list of upstreams.
    #[prost(uint64, optional, tag = "2")]
    pub(crate) upstreams: Option<u64>,
    /// Version up to which it has the table of entry hosts.
    #[prost(uint64, optional, tag = "3")]
    pub(crate) hosts: Option<u64>,
    /// Asks for a connection to an upstream instead of the tables; it takes over this one.
    #[prost(message, optional, tag = "4")]
    pub(crate) open: Option<path::message::Open>,
    /// Era of the store in which it has the desired state.
    #[prost(uint64, optional, tag = "5")]
    pub(crate) desired_era: Option<u64>,
    /// Era of the store in which it has the list of upstreams.
    #[prost(uint64, optional, tag = "6")]
    pub(crate) upstreams_era: Option<u64>,
    /// Era of the store in which it has the table of entry hosts.
    #[prost(uint64, optional, tag = "7")]
    pub(crate) hosts_era: Option<u64>,
}

/// The revisions up to which the asking host has each table; `None` for one that it does not have.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Known {
    pub(crate) desired: Option<routing::Revision>,
    pub(crate) upstreams: Option<routing::Revision>,
    pub(crate) hosts: Option<routing::Revision>,
}

impl Request {
    /// Creates a request of a host that has these revisions.
    pub(crate) fn new(known: Known) -> Request {
        let version = |revision: Option<routing::Revision>| Some(revision?.version);
        let era = |revision: Option<routing::Revision>| Some(revision?.era);
        Request {
            desired: version(known.desired),
            upstreams: version(known.upstreams),
            hosts: version(known.hosts),
            desired_era: era(known.desired),
            upstreams_era: era(known.upstreams),
            hosts_era: era(known.hosts),
            open: None,
        }
    }

    /// Returns the revisions that the asking host has. A version without an era is of `era`.
    pub(crate) fn known(&self, era: u64) -> Known {
        let revision = |version: Option<u64>, named: Option<u64>| {
            Some(routing::Revision { era: named.unwrap_or(era), version: version? })
        };
        Known {
            desired: revision(self.desired, self.desired_era),
            upstreams: revision(self.upstreams, self.upstreams_era),
            hosts: revision(self.hosts, self.hosts_era),
        }
    }
}

/// The answer to a relay request.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Response {
    /// The answer to a request for a connection.
    #[prost(message, optional, tag = "2")]
    pub(crate) opened: Option<path::message::Answer>,
    /// Changes of the tables; absent if the host that was asked does not read the platform, or not
    /// successfully.
    #[prost(message, optional, tag = "1")]
    pub(crate) news: Option<Changes>,
}

/// Changes of the tables.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Changes {
    /// The desired state.
    #[prost(message, optional, tag = "1")]
    pub(crate) desired: Option<TableChanges>,
    /// The list of upstreams.
    #[prost(message, optional, tag = "2")]
    pub(crate) upstreams: Option<TableChanges>,
    /// Milliseconds since the platform recovered from its last outage; absent if there was none.
    #[prost(uint64, optional, tag = "3")]
    pub(crate) returned_ms: Option<u64>,
    /// The entry hosts; absent until the reader has read them.
    #[prost(message, optional, tag = "4")]
    pub(crate) hosts: Option<TableChanges>,
    /// Milliseconds since the reader started its last call to the platform that failed; absent if
    /// there was none.
    #[prost(uint64, optional, tag = "5")]
    pub(crate) failed_ms: Option<u64>,
}

/// Changes of one table.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct TableChanges {
    /// The changed rows, or all rows.
    #[prost(message, repeated, tag = "1")]
    pub(crate) rows: Vec<Row>,
    /// Whether `rows` are all rows of the table.
    #[prost(bool, tag = "2")]
    pub(crate) all: bool,
    /// Version up to which the rows are complete.
    #[prost(uint64, tag = "3")]
    pub(crate) version: u64,
    /// Milliseconds since the table was last confirmed to be complete up to that version. Always 0
    /// and unused for the entry hosts, which are sent whatever their age.
    #[prost(uint64, tag = "4")]
    pub(crate) age_ms: u64,
    /// Era of the store for all versions here; absent from a host of an earlier build.
    #[prost(uint64, optional, tag = "5")]
    pub(crate) era: Option<u64>,
}

/// One row.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Row {
    /// Key of the row.
    #[prost(string, tag = "1")]
    pub(crate) key: String,
    /// Value of the row; absent if the row was removed.
    #[prost(bytes = "vec", optional, tag = "2")]
    pub(crate) value: Option<Vec<u8>>,
    /// Version in which the row was written.
    #[prost(uint64, tag = "3")]
    pub(crate) version: u64,
}

/// Encodes a request for a connection to an upstream.
pub(crate) fn encode_open(open: path::message::Open) -> bytes::Bytes {
    Request { open: Some(open), ..Request::default() }.encode_to_vec().into()
}

/// Encodes the answer to a request for a connection.
pub(crate) fn encode_answer(answer: path::message::Answer) -> bytes::Bytes {
    Response { opened: Some(answer), ..Response::default() }.encode_to_vec().into()
}

/// Decodes the answer to a request for a connection. A build that carries no connections answers
/// without one.
///
/// # Errors
///
/// The message is not an answer.
pub(crate) fn decode_answer(frame: bytes::BytesMut) -> io::Result<path::message::Answer> {
    Ok(Response::decode(frame)?.opened.unwrap_or_default())
}

impl TableChanges {
    pub(crate) fn new(delta: routing::Delta, age: std::time::Duration) -> TableChanges {
        let row = |row: routing::Row| {
            let routing::Row { key, value, revision } = row;
            Row { key, value, version: revision.version }
        };
        TableChanges {
            rows: delta.rows.into_iter().map(row).collect(),
            all: delta.since.is_none(),
            version: delta.revision.version,
            era: Some(delta.revision.era),
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Decodes the changes since `known`, the revision that was asked for. If they name no era, they are
    /// of `era`.
    pub(crate) fn into_delta(self, known: Option<routing::Revision>, era: u64) -> routing::Delta {
        let era = self.era.unwrap_or(era);
        let revision = |version| routing::Revision { era, version };
        let row = |Row { key, value, version }: Row| routing::Row {
            key,
            value,
            revision: revision(version),
        };
        routing::Delta {
            rows: self.rows.into_iter().map(row).collect(),
            since: known.filter(|_| !self.all),
            revision: revision(self.version),
        }
    }
}
