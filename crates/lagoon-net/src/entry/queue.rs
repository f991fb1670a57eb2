//! Reads the `queue` object of the settings: the scheduling policy of this host and its limits.

use lagoonline::check;
use lagoonline::clock;
use lagoonline::control::document;
use lagoonline::id;
use lagoonline::load;

use super::settings;

/// Highest delay or cost that may be configured for another zone, in milliseconds.
const LONGEST_DELAY: u64 = 60_000;
/// Highest queue wait that may be configured, in milliseconds (one day).
const LONGEST_WAIT: u64 = 86_400_000;
/// Highest weight that may be configured.
const HIGHEST_WEIGHT: f64 = 1e6;

/// Reads the `queue` object. Fields that are absent get the default of [`load::Settings`].
pub(crate) fn read(reader: &check::Reader<'_>, zone: &id::Zone) -> load::Settings {
    let usual = load::Settings { zone: zone.clone(), ..load::Settings::default() };
    let hosts = reader.number("hosts_in_zone", u64::from(usual.hosts_in_zone), 1..=10_000);
    let longest_wait = reader.child("longest_wait_ms", |reader| read_waits(reader, &usual));
    load::Settings {
        hosts_in_zone: u32::try_from(hosts).unwrap_or(usual.hosts_in_zone),
        queue_requests: settings::read_size(reader, "requests", usual.queue_requests, 1, 1_000_000),
        queue_bytes: reader.number("bytes", usual.queue_bytes, 1..=1 << 40),
        policy: read_word(reader, "policy", &load::Policy::ALL, load::Policy::as_str),
        choice: read_word(reader, "choice", &load::Choice::ALL, load::Choice::as_str),
        weights: reader.child("weights", read_weights),
        longest_wait: longest_wait.unwrap_or(usual.longest_wait),
        ahead: settings::read_span(reader, "ahead_ms", usual.ahead, 1, 60_000),
        long_tokens: reader.number("long_tokens", usual.long_tokens, 1..=1 << 40),
        remote_zones: reader
            .map("remote_zones", |name, reader| {
                if name == zone.as_str() {
                    reader.fault_here("is this host's own zone");
                }
                read_distance(reader)
            })
            .into_iter()
            .map(|(name, distance)| (id::Zone::from(name), distance))
            .collect(),
        remote_default: reader
            .child("remote_default", read_distance)
            .unwrap_or(usual.remote_default),
        ..usual
    }
}

/// Reads one of the words of `all`, or the default when the field is absent.
fn read_word<T, Word>(reader: &check::Reader<'_>, name: &str, all: &[T], word: Word) -> T
where
    T: Copy + Default,
    Word: Fn(T) -> &'static str,
{
    let usual = T::default();
    let text = reader.text(name, word(usual));
    let found = all.iter().copied().find(|item| word(*item) == text);
    found.unwrap_or_else(|| {
        let words: Vec<_> = all.iter().map(|item| word(*item)).collect();
        reader.fault(name, format!("must be one of {}", words.join(", ")));
        usual
    })
}

/// Reads how much shorter the wait in another zone must be for a request to go there: the sum of
/// the network delay and the configured cost.
fn read_distance(reader: &check::Reader<'_>) -> clock::Span {
    let delay = settings::read_span(reader, "delay_ms", clock::Span::ZERO, 0, LONGEST_DELAY);
    let cost = settings::read_span(reader, "cost_ms", clock::Span::ZERO, 0, LONGEST_DELAY);
    delay + cost
}

fn read_waits(reader: &check::Reader<'_>, usual: &load::Settings) -> [clock::Span; 4] {
    document::Class::ALL.map(|class| {
        let usual = usual.longest_wait[class as usize];
        settings::read_span(reader, class.as_str(), usual, 1, LONGEST_WAIT)
    })
}

fn read_weights(reader: &check::Reader<'_>) -> load::Weights {
    let usual = load::Weights::default();
    let first_token = reader.child("first_token", |reader| {
        document::Class::ALL.map(|class| {
            reader.float(class.as_str(), usual.first_token[class as usize], 0.0..=HIGHEST_WEIGHT)
        })
    });
    load::Weights {
        first_token: first_token.unwrap_or(usual.first_token),
        short_slowdown: reader.float("short_slowdown", usual.short_slowdown, 0.0..=HIGHEST_WEIGHT),
    }
}
