//! Compact encoding of loads, for heartbeats.

use lagoonline::id;
use lagoonline::port::engine;

use super::message;

/// Bits of an incarnation code; fourteen take two bytes on the wire.
const INCARNATION_CODE_BITS: u32 = 14;

/// Steps in which the share of free KV memory is encoded; numbers up to 127 take one byte on the
/// wire.
const KV_FREE_STEPS: u64 = 127;

/// Unit in which prompt tokens to prefill are encoded.
const PREFILL_UNIT: u64 = 1_000;

/// Unit in which ages are encoded, in milliseconds.
const AGE_UNIT_MS: u64 = 100;

/// Approximate bytes of one compact load on the wire: a name code of four bytes, an incarnation
/// code of two, a sequence number of three, and five numbers of one or two.
pub const COMPACT_LOAD_BYTES: usize = 16;

/// Returns the code of an upstream's name, an FNV-1a hash. When two names of a fleet collide, the
/// loads of both are sent in full.
pub fn name_code(name: &str) -> u32 {
    let fold = |hash: u32, byte: u8| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
    name.bytes().fold(0x811c_9dc5, fold)
}

/// Returns the code of an upstream's incarnation, a hash of fourteen bits.
pub fn incarnation_code(incarnation: u64) -> u32 {
    let mixed = incarnation.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    u32::try_from(mixed >> (64 - INCARNATION_CODE_BITS)).unwrap_or_default()
}

/// Load of one upstream in a [`message::CompactLoads`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CompactLoad {
    /// Code of the upstream's name.
    pub upstream: u32,
    /// Code of its incarnation.
    pub incarnation: u32,
    /// Sequence number of its report.
    pub sequence: u64,
    /// Milliseconds since the load was read.
    pub age_ms: u64,
    running: u32,
    waiting: u32,
    prefill_thousands: u32,
    kv_free_parts: u32,
}

fn saturate(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

impl CompactLoad {
    /// Encodes a load that was read `age_ms` milliseconds ago.
    pub fn new(upstream: &id::Upstream, load: &engine::LoadReport, age_ms: u64) -> Self {
        let free = load.kv_free_tokens.min(load.kv_tokens);
        CompactLoad {
            upstream: name_code(upstream.as_str()),
            incarnation: incarnation_code(load.incarnation),
            sequence: load.sequence,
            age_ms,
            running: load.running,
            waiting: load.waiting,
            prefill_thousands: saturate(load.prefill_tokens.div_ceil(PREFILL_UNIT)),
            kv_free_parts: saturate(
                u64::try_from(
                    u128::from(free) * u128::from(KV_FREE_STEPS)
                        / u128::from(load.kv_tokens.max(1)),
                )
                .unwrap_or(KV_FREE_STEPS),
            ),
        }
    }

    /// Decodes the load. `known`, the last known load, supplies the fields that are constant within
    /// an incarnation; the result is `None` if it is of another incarnation.
    ///
    /// ```
    /// use lagoon_net::wire;
    /// use lagoonline::port::engine;
    /// let known = engine::LoadReport { kv_tokens: 1_270, incarnation: 7, ..Default::default() };
    /// let load = engine::LoadReport { running: 3, kv_free_tokens: 640, sequence: 2, ..known };
    /// let line = wire::CompactLoad::new(&"e".into(), &load, 0);
    /// assert_eq!(line.load(&known), Some(engine::LoadReport { kv_free_tokens: 640, ..load }));
    /// assert_eq!(line.load(&engine::LoadReport { incarnation: 8, ..known }), None);
    /// ```
    pub fn load(&self, known: &engine::LoadReport) -> Option<engine::LoadReport> {
        if incarnation_code(known.incarnation) != self.incarnation {
            return None;
        }
        let free = u128::from(known.kv_tokens) * u128::from(self.kv_free_parts);
        Some(engine::LoadReport {
            running: self.running,
            waiting: self.waiting,
            prefill_tokens: u64::from(self.prefill_thousands) * PREFILL_UNIT,
            kv_free_tokens: u64::try_from(free / u128::from(KV_FREE_STEPS))
                .unwrap_or(known.kv_tokens),
            sequence: self.sequence,
            ..*known
        })
    }
}

/// Encodes compact loads as a message.
///
/// ```
/// use lagoon_net::wire;
/// use lagoonline::port::engine;
/// let line = wire::CompactLoad::new(&"e".into(), &engine::LoadReport::default(), 200);
/// assert_eq!(wire::decode_compact_loads(&wire::encode_compact_loads(&[line])), [line]);
/// ```
pub fn encode_compact_loads(lines: &[CompactLoad]) -> message::CompactLoads {
    let mut message = message::CompactLoads::default();
    for line in lines {
        message.upstreams.push(line.upstream);
        message.lives.push(line.incarnation);
        message.sequences.push(line.sequence);
        message.running.push(line.running);
        message.waiting.push(line.waiting);
        message.prefill_thousands.push(line.prefill_thousands);
        message.kv_free_parts.push(line.kv_free_parts);
        message.ages.push(saturate(line.age_ms.div_ceil(AGE_UNIT_MS)));
    }
    message
}

/// Decodes the compact loads of a message; returns none if its columns differ in length.
pub fn decode_compact_loads(message: &message::CompactLoads) -> Vec<CompactLoad> {
    let count = message.upstreams.len();
    let numbers = [&message.lives, &message.running, &message.waiting, &message.prefill_thousands];
    let more = [&message.kv_free_parts, &message.ages];
    let mut lengths = numbers.iter().chain(&more).map(|column| column.len());
    if lengths.any(|length| length != count) || message.sequences.len() != count {
        return Vec::new();
    }
    let line = |index: usize| CompactLoad {
        upstream: message.upstreams[index],
        incarnation: message.lives[index],
        sequence: message.sequences[index],
        age_ms: u64::from(message.ages[index]) * AGE_UNIT_MS,
        running: message.running[index],
        waiting: message.waiting[index],
        prefill_thousands: message.prefill_thousands[index],
        kv_free_parts: message.kv_free_parts[index],
    };
    (0..count).map(line).collect()
}
