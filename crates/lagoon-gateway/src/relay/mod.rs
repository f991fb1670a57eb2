//! Relay of the platform's tables within a zone: one host reads them and passes them on to the
//! others.
//!
//! A host asks the reader for changes since the versions that it has. The reader holds the request
//! until there is a change or a short time has passed. The answer carries the age of the reader's
//! knowledge, and the asking host counts that age from the time of its request. So even if either
//! host was suspended in between, the tables never seem more recently confirmed than they were. A
//! host stops following a reader at once when it does not respond, has lost the platform or is
//! about to end. It then asks other hosts while its tables are recent enough, and otherwise reads
//! the platform itself.

mod follow;
mod message;
mod serve;

use lagoonline::clock;
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

pub(crate) use follow::{Member, Members, run as follow};
pub(crate) use message::{decode_answer, encode_answer, encode_open};
pub(crate) use serve::run as serve;

/// How long a reader holds a request when it has no changes. It bounds the time until a dead reader
/// is noticed.
pub(crate) const HOLD_TIME: clock::Span = clock::Span::from_millis(600);
/// Maximum age of a reader's knowledge at which it still answers: one watch of the platform and a
/// slow answer. With the hold time, and with one request that got no answer, keys are still trusted
/// for less than the revocation bound.
pub(crate) const MAX_ANSWER_AGE: clock::Span = clock::Span::from_millis(2_700);
/// Time after a relay request for which a host reads the platform with the waits and pauses of a
/// reader (`reader_wait`, `reader_pause`).
pub(crate) const READER_PACE_TIME: clock::Span = clock::Span::from_secs(3);
/// Maximum size of a message in bytes: the rows of a table, each of at most 64 KB.
const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// A connection that carries framed messages.
pub(crate) type Connection = Framed<TcpStream, LengthDelimitedCodec>;

pub(crate) fn framed(stream: TcpStream) -> Connection {
    LengthDelimitedCodec::builder().max_frame_length(MAX_MESSAGE_BYTES).new_framed(stream)
}
