//! Decides how a keyed request proceeds after a single read of the claim row of its key.

use super::record;
use super::ticket;
use crate::id;
use crate::lifecycle::request;
use crate::lifecycle::safeguard;
use crate::port::table;

/// What the row of a key means for a request with that key. [`super::Begin`] is the final result
/// that [`super::Claims::begin`] derives from it.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The key is free: the row may be overwritten at this version, where 0 means that it is
    /// absent.
    Free(u64),
    /// The row holds this request's own claim, at this version.
    Own(u64),
    /// The key was used for a different request: method, path or body differ.
    RequestMismatch,
    /// An earlier request with the key may have run or may still be running, and must not be
    /// repeated.
    Unknown,
    /// An earlier request with the key may be running, and this request may be repeated.
    Running(ticket::Running),
    /// An earlier request completed and its answer is stored.
    Replay(record::Record),
    /// The row cannot be parsed as a claim. It is treated like a claim that may have run.
    Unreadable,
}

/// Returns how `request` proceeds; `row` is the result of reading its key.
///
/// ```
/// use lagoonline::lifecycle::{claim::{decide, Decision, Request}, request::Repeat, safeguard};
/// use lagoonline::{clock::Moment, id};
/// let request = Request {
///     customer: id::Customer::from("crew"), key: "k".into(), request_hash: "b".into(),
///     repeat: Repeat::Never, token: id::Attempt(1), upstream: id::Upstream::from("u"),
///     deadline: Moment::NEVER, wall_ms: 0,
/// };
/// assert_eq!(decide(None, &request, safeguard::Set::default()), Decision::Free(0));
/// ```
pub fn decide(
    row: Option<&table::Row>,
    request: &record::Request,
    safeguards: safeguard::Set,
) -> Decision {
    let Some(row) = row else {
        return Decision::Free(0);
    };
    let Ok(record) = serde_json::from_str::<record::Record>(&row.value) else {
        return Decision::Unreadable;
    };
    if record.state == record::State::Released {
        return Decision::Free(row.version);
    }
    if record.token == request.token.to_string() {
        return Decision::Own(row.version);
    }
    if record.body != request.request_hash && safeguards.has(safeguard::Safeguard::RequestMatch) {
        return Decision::RequestMismatch;
    }
    match record.state {
        record::State::Done { .. } => Decision::Replay(record),
        record::State::Released => Decision::Free(row.version),
        record::State::Unknown => decide_unfinished(row.version, request, safeguards),
        record::State::Claimed { ref attempt, ref upstream } => match request.repeat {
            request::Repeat::Never => decide_unfinished(row.version, request, safeguards),
            request::Repeat::Allowed => Decision::Running(ticket::Running {
                attempt: attempt.parse::<id::Attempt>().unwrap_or_default(),
                upstream: upstream.clone(),
                holder: record.holder.clone(),
                version: row.version,
            }),
        },
    }
}

/// Returns the decision on a key whose earlier request may have run: free for a repeatable request,
/// unknown for any other, because it must not run twice. If the claim of a host that seems dead
/// were taken over, its call, already dispatched, could run as well. No sign of a host's death
/// proves that nothing was sent, so only the claim holder itself frees such a key, by writing
/// `released`.
fn decide_unfinished(
    version: u64,
    request: &record::Request,
    safeguards: safeguard::Set,
) -> Decision {
    let repeatable = request.repeat == request::Repeat::Allowed;
    if repeatable || !safeguards.has(safeguard::Safeguard::NoTakeover) {
        Decision::Free(version)
    } else {
        Decision::Unknown
    }
}
