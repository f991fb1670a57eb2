//! Deterministic answer texts. Each chunk is a function of the prompt and the chunk number, so a
//! test can check that an answer is complete and belongs to its prompt.

/// Returns the text of chunk `number` of the answer to the prompt whose hash is `prompt_hash`.
///
/// ```
/// use lagoon_standin::answer;
/// assert_eq!(answer::chunk(7, 0), answer::chunk(7, 0));
/// assert_ne!(answer::chunk(7, 0), answer::chunk(7, 1));
/// assert_ne!(answer::chunk(7, 0), answer::chunk(8, 0));
/// ```
pub fn chunk(prompt_hash: u64, number: u64) -> String {
    // Multipliers known from SplitMix64 and the MurmurHash3 finalizer spread the bits.
    let mixed = (prompt_hash ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15)).rotate_left(23);
    format!("{number}:{:08x} ", (mixed.wrapping_mul(0xff51_afd7_ed55_8ccd)) >> 32)
}

/// Returns the text of an answer of `count` chunks, without the chunks before `first`.
///
/// ```
/// use lagoon_standin::answer;
/// assert_eq!(answer::text(7, 0, 2), answer::chunk(7, 0) + &answer::chunk(7, 1));
/// ```
pub fn text(prompt_hash: u64, first: u64, count: u64) -> String {
    (first..count).map(|number| chunk(prompt_hash, number)).collect()
}
