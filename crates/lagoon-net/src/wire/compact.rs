//! Loads in short, for heartbeats.

use lagoonline::id;
use lagoonline::port::engine;

use super::message;

/// Codes of lives have fourteen bits: two bytes on the wire.
const LIFE_BITS: u32 = 14;

/// Parts that an engine's memory is divided in: one byte on the wire.
const KV_PARTS: u64 = 127;

/// Unit of prompt tokens.
const PREFILL_UNIT: u64 = 1_000;

/// Unit of ages, in milliseconds.
const AGE_UNIT_MS: u64 = 100;

/// Bytes that one line takes on the wire, about: a code of four bytes, a life of two, a sequence
/// of three, and five numbers of one or two.
pub const COMPACT_LOAD_BYTES: usize = 16;

/// Code of an upstream's name. Two names of one fleet may share one; both are then told in full.
pub fn name_code(name: &str) -> u32 {
    let fold = |hash: u32, byte: u8| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
    name.bytes().fold(0x811c_9dc5, fold)
}

/// Code of an upstream's life.
pub fn incarnation_code(incarnation: u64) -> u32 {
    let mixed = incarnation.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    u32::try_from(mixed >> (64 - LIFE_BITS)).unwrap_or_default()
}

/// One line of a [`message::CompactLoads`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CompactLoad {
    /// Code of the upstream's name.
    pub upstream: u32,
    /// Code of its life.
    pub incarnation: u32,
    /// Count of its reports.
    pub sequence: u64,
    /// Milliseconds since it was read.
    pub age_ms: u64,
    running: u32,
    waiting: u32,
    prefill_thousands: u32,
    kv_free_parts: u32,
}

fn part(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

impl CompactLoad {
    /// What a load says in short.
    pub fn new(upstream: &id::Upstream, load: &engine::Load, age_ms: u64) -> Self {
        let free = load.kv_free_tokens.min(load.kv_tokens);
        CompactLoad {
            upstream: name_code(upstream.as_str()),
            incarnation: incarnation_code(load.incarnation),
            sequence: load.sequence,
            age_ms,
            running: load.running,
            waiting: load.waiting,
            prefill_thousands: part(load.prefill_tokens.div_ceil(PREFILL_UNIT)),
            kv_free_parts: part(
                u64::try_from(
                    u128::from(free) * u128::from(KV_PARTS) / u128::from(load.kv_tokens.max(1)),
                )
                .unwrap_or(KV_PARTS),
            ),
        }
    }

    /// The load that this line makes of the last one known; `None` when that is of another life.
    ///
    /// ```
    /// use lagoon_net::wire;
    /// use lagoonline::port::engine;
    /// let known = engine::Load { kv_tokens: 1_270, incarnation: 7, ..Default::default() };
    /// let load = engine::Load { running: 3, kv_free_tokens: 640, sequence: 2, ..known };
    /// let line = wire::CompactLoad::new(&"e".into(), &load, 0);
    /// assert_eq!(line.load(&known), Some(engine::Load { kv_free_tokens: 640, ..load }));
    /// assert_eq!(line.load(&engine::Load { incarnation: 8, ..known }), None);
    /// ```
    pub fn load(&self, known: &engine::Load) -> Option<engine::Load> {
        if incarnation_code(known.incarnation) != self.incarnation {
            return None;
        }
        let free = u128::from(known.kv_tokens) * u128::from(self.kv_free_parts);
        Some(engine::Load {
            running: self.running,
            waiting: self.waiting,
            prefill_tokens: u64::from(self.prefill_thousands) * PREFILL_UNIT,
            kv_free_tokens: u64::try_from(free / u128::from(KV_PARTS)).unwrap_or(known.kv_tokens),
            sequence: self.sequence,
            ..*known
        })
    }
}

/// Lines as a message has them.
///
/// ```
/// use lagoon_net::wire;
/// use lagoonline::port::engine;
/// let line = wire::CompactLoad::new(&"e".into(), &engine::Load::default(), 200);
/// assert_eq!(wire::parse_compact_loads(&wire::compact_loads(&[line])), [line]);
/// ```
pub fn compact_loads(lines: &[CompactLoad]) -> message::CompactLoads {
    let mut brief = message::CompactLoads::default();
    for line in lines {
        brief.upstreams.push(line.upstream);
        brief.lives.push(line.incarnation);
        brief.sequences.push(line.sequence);
        brief.running.push(line.running);
        brief.waiting.push(line.waiting);
        brief.prefill_thousands.push(line.prefill_thousands);
        brief.kv_free_parts.push(line.kv_free_parts);
        brief.ages.push(part(line.age_ms.div_ceil(AGE_UNIT_MS)));
    }
    brief
}

/// Lines of a message; none when its columns differ in length.
pub fn parse_compact_loads(brief: &message::CompactLoads) -> Vec<CompactLoad> {
    let count = brief.upstreams.len();
    let numbers = [&brief.lives, &brief.running, &brief.waiting, &brief.prefill_thousands];
    let more = [&brief.kv_free_parts, &brief.ages];
    let mut lengths = numbers.iter().chain(&more).map(|column| column.len());
    if lengths.any(|length| length != count) || brief.sequences.len() != count {
        return Vec::new();
    }
    let line = |index: usize| CompactLoad {
        upstream: brief.upstreams[index],
        incarnation: brief.lives[index],
        sequence: brief.sequences[index],
        age_ms: u64::from(brief.ages[index]) * AGE_UNIT_MS,
        running: brief.running[index],
        waiting: brief.waiting[index],
        prefill_thousands: brief.prefill_thousands[index],
        kv_free_parts: brief.kv_free_parts[index],
    };
    (0..count).map(line).collect()
}
