//! What a claim row means for a request with its key.

use super::record;
use super::ticket;
use crate::id;
use crate::life::request;
use crate::life::safeguard;
use crate::port::table;

/// What to do with a request, by the row of its key.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The row may be written over at this version; 0: there is none.
    Free(u64),
    /// This request's own claim stands, at this version.
    Mine(u64),
    /// The key was used with another body.
    Reused,
    /// An earlier request may have run or be running, and may not be repeated.
    Unknown,
    /// An earlier repeatable request may be running.
    Running(ticket::Running),
    /// An earlier request ran; its answer is kept.
    Replay(record::Record),
    /// The row cannot be read as a claim: it counts as one that may have run.
    Unreadable,
}

/// Decides; `row` is what a read of the key gave.
///
/// ```
/// use lagoonline::life::{claim::{decide, Ask, Verdict}, request::Repeat, safeguard};
/// use lagoonline::{clock::Moment, id};
/// let ask = Ask {
///     customer: id::Customer::from("crew"), key: "k".into(), body: "b".into(),
///     repeat: Repeat::Never, token: id::Attempt(1), upstream: id::Upstream::from("u"),
///     deadline: Moment::NEVER, wall_ms: 0,
/// };
/// assert_eq!(decide(None, &ask, safeguard::Set::default()), Verdict::Free(0));
/// ```
pub fn decide(row: Option<&table::Row>, ask: &record::Ask, safeguards: safeguard::Set) -> Verdict {
    let Some(row) = row else {
        return Verdict::Free(0);
    };
    let Ok(record) = serde_json::from_str::<record::Record>(&row.value) else {
        return Verdict::Unreadable;
    };
    if record.state == record::State::Released {
        return Verdict::Free(row.version);
    }
    if record.token == ask.token.to_string() {
        return Verdict::Mine(row.version);
    }
    if record.body != ask.body && safeguards.has(safeguard::Safeguard::BodyMatch) {
        return Verdict::Reused;
    }
    match record.state {
        record::State::Done { .. } => Verdict::Replay(record),
        record::State::Released => Verdict::Free(row.version),
        record::State::Unknown => may_have_run(row.version, ask, safeguards),
        record::State::Claimed { ref attempt, ref upstream } => match ask.repeat {
            request::Repeat::Never => may_have_run(row.version, ask, safeguards),
            request::Repeat::Allowed => Verdict::Running(ticket::Running {
                attempt: attempt.parse::<id::Attempt>().unwrap_or_default(),
                upstream: upstream.clone(),
                holder: record.holder.clone(),
                version: row.version,
            }),
        },
    }
}

/// Failure answered: a holder is thought dead, its claim is taken over, and its call, which was
/// on its way, runs as well. No sign of death proves that nothing was sent, so nothing but the
/// holder's own word (`released`) frees the key of a call that may not repeat.
fn may_have_run(version: u64, ask: &record::Ask, safeguards: safeguard::Set) -> Verdict {
    let repeatable = ask.repeat == request::Repeat::Allowed;
    if repeatable || !safeguards.has(safeguard::Safeguard::NoTakeover) {
        Verdict::Free(version)
    } else {
        Verdict::Unknown
    }
}
