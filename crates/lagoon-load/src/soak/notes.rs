//! Notes of whoever ends and pauses entry hosts, so that a broken connection can be told apart
//! from an answer that lagoonline owed.
//!
//! One line each: `MILLISECONDS WORD IP:PORT`, the time since the epoch, `kill`, `pause`,
//! `continue` or `drain`, and the entry host's address.

use std::net;
use std::str;
use std::time;

/// How long a balancer may go on choosing a host that was ended, or that was paused and goes on.
const LAG: time::Duration = time::Duration::from_millis(2_500);
/// How far a note's time may be after what it notes.
const EARLY: time::Duration = time::Duration::from_millis(250);

/// What was done to an entry host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Word {
    /// Ended without a warning.
    Kill,
    /// Stopped; it goes on later.
    Pause,
    /// Goes on after a pause.
    Continue,
    /// Asked to drain.
    Drain,
}

/// One note.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Note {
    /// Time since the epoch.
    pub at: time::Duration,
    /// What was done.
    pub word: Word,
    /// To which entry host.
    pub host: net::SocketAddr,
}

/// A line that is no note.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("not a note: {0:?}")]
pub struct Malformed(pub String);

impl str::FromStr for Note {
    type Err = Malformed;

    fn from_str(line: &str) -> Result<Note, Malformed> {
        let read = || {
            let mut words = line.split_whitespace();
            let at = time::Duration::from_millis(words.next()?.parse().ok()?);
            let word = match words.next()? {
                "kill" => Word::Kill,
                "pause" => Word::Pause,
                "continue" => Word::Continue,
                "drain" => Word::Drain,
                _ => return None,
            };
            Some(Note { at, word, host: words.next()?.parse().ok()? })
        };
        read().ok_or_else(|| Malformed(line.to_owned()))
    }
}

/// Reads all notes.
///
/// # Errors
///
/// The first line that is none.
///
/// ```
/// use lagoon_load::soak::notes;
/// let read = notes::parse("1500 kill 127.0.0.1:7190\n").unwrap();
/// assert_eq!(read[0].word, notes::Word::Kill);
/// assert!(notes::parse("1500 hit 127.0.0.1:7190").is_err());
/// ```
pub fn parse(text: &str) -> Result<Vec<Note>, Malformed> {
    text.lines().map(str::parse).collect()
}

/// The kill or pause that explains why a call at `host`, from `made` to `ended`, was told nothing
/// or told late. A drain explains neither.
///
/// ```
/// use std::time::Duration;
/// use lagoon_load::soak::notes;
/// let host = "127.0.0.1:7190".parse().unwrap();
/// let read = notes::parse("9000 kill 127.0.0.1:7190").unwrap();
/// let seconds = |from, to| (Duration::from_secs(from), Duration::from_secs(to));
/// assert!(notes::explains(&read, host, seconds(8, 9)).is_some());
/// assert!(notes::explains(&read, host, seconds(20, 21)).is_none());
/// ```
pub fn explains(
    notes: &[Note],
    host: net::SocketAddr,
    (made, ended): (time::Duration, time::Duration),
) -> Option<Note> {
    let of_host: Vec<_> = notes.iter().filter(|note| note.host == host).collect();
    let until = |from: &Note| {
        let next = of_host.iter().find(|note| note.word == Word::Continue && note.at >= from.at);
        next.map_or(from.at, |note| note.at) + LAG
    };
    let overlaps = |note: &&&Note| {
        let end = match note.word {
            Word::Kill => note.at + LAG,
            Word::Pause => until(note),
            Word::Continue | Word::Drain => return false,
        };
        made <= end && ended + EARLY >= note.at
    };
    of_host.iter().find(overlaps).map(|note| **note)
}
