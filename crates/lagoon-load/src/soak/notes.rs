//! Log of the kills and pauses of entry hosts, written by the script that performs them. It
//! distinguishes connections that broke because of such an action from responses that lagoonline
//! failed to send.
//!
//! Each line has the form `MILLISECONDS ACTION IP:PORT`: the time since the epoch, one of `kill`,
//! `pause`, `continue` and `drain`, and the entry host's address.

use std::net;
use std::str;
use std::time;

/// Time for which a balancer may still choose a host after it was killed, or after it was paused
/// and continued.
const BALANCER_LAG: time::Duration = time::Duration::from_millis(2_500);
/// Maximum time by which a note may be stamped later than the action itself.
const MAX_NOTE_DELAY: time::Duration = time::Duration::from_millis(250);

/// An action on an entry host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Killed without a drain.
    Kill,
    /// Process stopped, to be continued later.
    Pause,
    /// Process continued after a pause.
    Continue,
    /// Asked to drain.
    Drain,
}

/// One line of the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Note {
    /// Time since the epoch.
    pub at: time::Duration,
    /// The action.
    pub action: Action,
    /// Address of the entry host.
    pub host: net::SocketAddr,
}

/// A line that cannot be parsed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("not a note: {0:?}")]
pub struct ParseNoteError(pub String);

impl str::FromStr for Note {
    type Err = ParseNoteError;

    fn from_str(line: &str) -> Result<Note, ParseNoteError> {
        let read = || {
            let mut fields = line.split_whitespace();
            let at = time::Duration::from_millis(fields.next()?.parse().ok()?);
            let action = match fields.next()? {
                "kill" => Action::Kill,
                "pause" => Action::Pause,
                "continue" => Action::Continue,
                "drain" => Action::Drain,
                _ => return None,
            };
            Some(Note { at, action, host: fields.next()?.parse().ok()? })
        };
        read().ok_or_else(|| ParseNoteError(line.to_owned()))
    }
}

/// Parses all lines of the log.
///
/// # Errors
///
/// The first line that cannot be parsed.
///
/// ```
/// use lagoon_load::soak::notes;
/// let read = notes::parse("1500 kill 127.0.0.1:7190\n").unwrap();
/// assert_eq!(read[0].action, notes::Action::Kill);
/// assert!(notes::parse("1500 hit 127.0.0.1:7190").is_err());
/// ```
pub fn parse(text: &str) -> Result<Vec<Note>, ParseNoteError> {
    text.lines().map(str::parse).collect()
}

/// Returns the kill or pause that explains why a call at `host`, from `started` to `ended` in time
/// since the epoch, got no outcome or a late one. A drain explains neither.
///
/// ```
/// use std::time::Duration;
/// use lagoon_load::soak::notes;
/// let host = "127.0.0.1:7190".parse().unwrap();
/// let read = notes::parse("9000 kill 127.0.0.1:7190").unwrap();
/// let seconds = |from, to| (Duration::from_secs(from), Duration::from_secs(to));
/// assert!(notes::find_cause(&read, host, seconds(8, 9)).is_some());
/// assert!(notes::find_cause(&read, host, seconds(20, 21)).is_none());
/// ```
pub fn find_cause(
    notes: &[Note],
    host: net::SocketAddr,
    (started, ended): (time::Duration, time::Duration),
) -> Option<Note> {
    let of_host: Vec<_> = notes.iter().filter(|note| note.host == host).collect();
    let until = |from: &Note| {
        let next =
            of_host.iter().find(|note| note.action == Action::Continue && note.at >= from.at);
        next.map_or(from.at, |note| note.at) + BALANCER_LAG
    };
    let overlaps = |note: &&&Note| {
        let end = match note.action {
            Action::Kill => note.at + BALANCER_LAG,
            Action::Pause => until(note),
            Action::Continue | Action::Drain => return false,
        };
        started <= end && ended + MAX_NOTE_DELAY >= note.at
    };
    of_host.iter().find(overlaps).map(|note| **note)
}
