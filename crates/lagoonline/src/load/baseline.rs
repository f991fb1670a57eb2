//! Baseline policies that the full policy is compared with: one first-come queue and a simple
//! choice.

use crate::clock;
use crate::load::settings;
use crate::load::upstream;

/// The upstream that a baseline policy chooses; `counter` grows as requests are queued or
/// dispatched, and `random` is a random number.
pub(crate) fn choose(
    policy: settings::Policy,
    now: clock::Moment,
    upstreams: &[upstream::Upstream],
    counter: u64,
    random: u64,
) -> Option<usize> {
    let free = |index: &usize| {
        let upstream = &upstreams[*index];
        upstream.is_available(now, false) && upstream.requests < upstream.slots
    };
    let count = upstreams.len().max(1);
    let all = || (0..upstreams.len()).filter(free);
    let requests = |index: &usize| upstreams[*index].requests;
    match policy {
        settings::Policy::RoundRobin => {
            let start = (counter % count as u64) as usize;
            (0..upstreams.len()).map(|step| (start + step) % count).find(free)
        }
        settings::Policy::TwoChoices => {
            let (first, second) = (random as u32 as usize % count, (random >> 32) as usize % count);
            let two = [first, second].into_iter().filter(|index| *index < upstreams.len());
            two.filter(free).min_by_key(requests).or_else(|| all().min_by_key(requests))
        }
        settings::Policy::FirstCome => all().next(),
        settings::Policy::Full | settings::Policy::LeastOutstanding => all().min_by_key(requests),
    }
}
