//! Rendezvous hashing: assigns keys, such as upstream names, to live stewards.
//!
//! Hosts join and leave all day. Hashing modulo N would reassign most keys at every change; with
//! rendezvous hashing only the keys of the host that leaves are reassigned, one in N.

/// Returns the score of `candidate` for `key`; the candidate with the highest score is chosen.
fn score(candidate: &str, key: &str) -> u64 {
    // FNV-1a, with its standard offset basis and prime.
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in candidate.bytes().chain([0]).chain(key.bytes()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    // FNV-1a mixes the high bits of short texts poorly; the finalizer of splitmix64 fixes that.
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// Returns the candidate chosen for `key`; `None` if there are no candidates.
///
/// ```
/// use lagoonline::control::rendezvous;
/// let three = ["a", "b", "c"];
/// let chosen = rendezvous::choose(three, "engine-1").unwrap();
/// let without = three.into_iter().filter(|name| *name != chosen);
/// assert_ne!(rendezvous::choose(without, "engine-1").unwrap(), chosen);
/// assert_eq!(rendezvous::choose([], "engine-1"), None);
/// ```
pub fn choose<'a, I>(candidates: I, key: &str) -> Option<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    candidates.into_iter().max_by_key(|candidate| (score(candidate, key), *candidate))
}

/// Returns the `count` candidates with the highest scores for `key`, in descending order.
///
/// ```
/// use lagoonline::control::rendezvous;
/// let two = rendezvous::rank(["a", "b", "c"], "gateway", 2);
/// assert_eq!(two[0], rendezvous::choose(["a", "b", "c"], "gateway").unwrap());
/// assert_eq!(two.len(), 2);
/// ```
pub fn rank<'a, I>(candidates: I, key: &str, count: usize) -> Vec<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    let mut ranked: Vec<_> = candidates.into_iter().collect();
    ranked.sort_by_key(|candidate| std::cmp::Reverse((score(candidate, key), *candidate)));
    ranked.truncate(count);
    ranked
}
