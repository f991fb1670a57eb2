//! Reads the `queue` object of the settings: the scheduling policy of this host and its limits.

use lagoonline::check;
use lagoonline::clock;
use lagoonline::control::document;
use lagoonline::id;
use lagoonline::load;
use lagoonline::load::prefix;

use super::settings;

/// Highest delay or cost that may be configured for another zone, in milliseconds.
const MAX_DELAY_MS: u64 = 60_000;
/// Highest queue wait that may be configured, in milliseconds (one day).
const MAX_WAIT_MS: u64 = 86_400_000;
/// Highest age of a cached prefix that may be configured, in milliseconds (one day).
const MAX_PREFIX_AGE_MS: u64 = 86_400_000;
/// Highest weight that may be configured.
const MAX_WEIGHT: f64 = 1e6;

/// Reads the `queue` object. Fields that are absent get the default of [`load::Settings`], which
/// documents them.
///
/// `policy` is the scheduling policy, and `choice` how the policy `full` chooses among upstreams.
/// `ahead_ms` limits the prefill that is dispatched to an engine and not yet done, as the time that
/// the engine needs for it: below the limit the engine gets more work. `long_tokens` limits the
/// prefill of long prompts that an engine may have outstanding, in tokens. `prefix_age_ms` is how
/// long a prompt prefix counts as cached after its last use through this host. `remote_zones` and
/// `remote_default` say how much sooner a first token must be predicted in another zone for a
/// request to go there; the default is for zones that are not listed.
pub(crate) fn read(reader: &check::Reader<'_>, zone: &id::Zone) -> load::Settings {
    let default = load::Settings { zone: zone.clone(), ..load::Settings::default() };
    let hosts = reader.number("hosts_in_zone", u64::from(default.hosts_in_zone), 1..=10_000);
    let longest_wait = reader.child("longest_wait_ms", |reader| read_waits(reader, &default));
    load::Settings {
        hosts_in_zone: u32::try_from(hosts).unwrap_or(default.hosts_in_zone),
        queue_requests: settings::read_size(
            reader,
            "requests",
            default.queue_requests,
            1,
            1_000_000,
        ),
        queue_bytes: reader.number("bytes", default.queue_bytes, 1..=1 << 40),
        policy: read_word(reader, "policy", &load::Policy::ALL, load::Policy::as_str),
        choice: read_word(reader, "choice", &load::Choice::ALL, load::Choice::as_str),
        weights: reader.child("weights", read_weights),
        longest_wait: longest_wait.unwrap_or(default.longest_wait),
        ahead: settings::read_span(reader, "ahead_ms", default.ahead, 1, 60_000),
        long_tokens: reader.number("long_tokens", default.long_tokens, 1..=1 << 40),
        remote_zones: reader
            .map("remote_zones", |name, reader| {
                if name == zone.as_str() {
                    reader.fault_here("is this host's own zone");
                }
                read_zone_penalty(reader)
            })
            .into_iter()
            .map(|(name, penalty)| (id::Zone::from(name), penalty))
            .collect(),
        remote_default: reader
            .child("remote_default", read_zone_penalty)
            .unwrap_or(default.remote_default),
        prefixes: prefix::Settings {
            max_age: settings::read_span(
                reader,
                "prefix_age_ms",
                default.prefixes.max_age,
                1,
                MAX_PREFIX_AGE_MS,
            ),
            ..default.prefixes
        },
        ..default
    }
}

/// Reads one of the words of `all`, or the default when the field is absent.
fn read_word<T, Word>(reader: &check::Reader<'_>, name: &str, all: &[T], word: Word) -> T
where
    T: Copy + Default,
    Word: Fn(T) -> &'static str,
{
    let default = T::default();
    let text = reader.text(name, word(default));
    let found = all.iter().copied().find(|item| word(*item) == text);
    found.unwrap_or_else(|| {
        let words: Vec<_> = all.iter().map(|item| word(*item)).collect();
        reader.fault(name, format!("must be one of {}", words.join(", ")));
        default
    })
}

/// Reads how much shorter the wait in another zone must be for a request to go there: the network
/// delay plus a configured handicap for leaving the zone (`cost_ms`).
fn read_zone_penalty(reader: &check::Reader<'_>) -> clock::Span {
    let delay = settings::read_span(reader, "delay_ms", clock::Span::ZERO, 0, MAX_DELAY_MS);
    let cost = settings::read_span(reader, "cost_ms", clock::Span::ZERO, 0, MAX_DELAY_MS);
    delay + cost
}

fn read_waits(reader: &check::Reader<'_>, default: &load::Settings) -> [clock::Span; 4] {
    document::Class::ALL.map(|class| {
        let default = default.longest_wait[class as usize];
        settings::read_span(reader, class.as_str(), default, 1, MAX_WAIT_MS)
    })
}

/// Reads the relative weights of the scheduler's goals: the time to the first token by length
/// class, and the slowdown of short requests.
fn read_weights(reader: &check::Reader<'_>) -> load::Weights {
    let default = load::Weights::default();
    let first_token = reader.child("first_token", |reader| {
        document::Class::ALL.map(|class| {
            reader.float(class.as_str(), default.first_token[class as usize], 0.0..=MAX_WEIGHT)
        })
    });
    load::Weights {
        first_token: first_token.unwrap_or(default.first_token),
        short_slowdown: reader.float("short_slowdown", default.short_slowdown, 0.0..=MAX_WEIGHT),
    }
}
