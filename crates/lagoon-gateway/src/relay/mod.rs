//! One host of a zone reads the platform's tables, and tells the others of the zone.
//!
//! A host asks the reader what it does not know yet; the reader holds the question until there is
//! news or a short time has passed. The reader says how old its own knowledge is, and the asking
//! host counts that age from the moment at which it asked: however long either was frozen since,
//! what it then believes to be confirmed was confirmed no earlier. A reader that is silent, cut off
//! from the platform or about to end is left at once, and the host reads for itself.

mod follow;
mod message;
mod serve;

use lagoonline::clock;
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

pub(crate) use follow::{Member, Members, run as follow};
pub(crate) use serve::run as serve;

/// How long a reader holds a question that it has no news for. A silent reader is found out by it.
pub(crate) const HOLD: clock::Span = clock::Span::from_millis(600);
/// Age of a reader's knowledge from which it no longer answers: one watch of the platform and a
/// slow answer. With the time for which a question is held, and one that got no answer, keys are
/// still believed for less than their bound.
pub(crate) const STALE: clock::Span = clock::Span::from_millis(2_700);
/// How long after a question a host reads at the pace of one that reads for others.
pub(crate) const ASKED: clock::Span = clock::Span::from_secs(3);
/// Largest message: a table's rows, of 64 KB each at most.
const LARGEST: usize = 8 << 20;

/// A connection that carries messages.
pub(crate) type Link = Framed<TcpStream, LengthDelimitedCodec>;

fn framed(stream: TcpStream) -> Link {
    LengthDelimitedCodec::builder().max_frame_length(LARGEST).new_framed(stream)
}
