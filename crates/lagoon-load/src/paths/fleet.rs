//! The fleet of a simulation: which host reaches which upstream, and when.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::scenario::Scenario;

/// When the first cut begins.
pub(super) const CUT_MS: u64 = 10_000;
/// Time after the beginning of the first cut after which upstreams go down.
const DOWN_AFTER_MS: u64 = 1_000;

/// Which host reaches which upstream.
#[derive(Debug)]
pub(super) struct Fleet {
    scenario: Scenario,
    is_cut: Vec<bool>,
    seed: u64,
}

impl Fleet {
    pub(super) fn new(scenario: &Scenario, seed: u64) -> Fleet {
        let count = (scenario.share * scenario.hosts as f64).round() as usize;
        let mut order: Vec<_> = (0..scenario.hosts).collect();
        if scenario.by_zone {
            order.sort_by_key(|host| host % scenario.zones);
        }
        let mut is_cut = vec![false; scenario.hosts];
        order.into_iter().take(count).for_each(|host| is_cut[host] = true);
        Fleet { scenario: *scenario, is_cut, seed }
    }

    pub(super) fn zone(&self, host: usize) -> usize {
        host % self.scenario.zones
    }

    pub(super) fn is_cut(&self, host: usize) -> bool {
        self.is_cut[host]
    }

    /// Returns the time since the beginning of the cut that is under way.
    pub(super) fn in_cut(&self, now: u64) -> Option<u64> {
        let period = self.scenario.cut_ms * 2;
        let since = now.checked_sub(CUT_MS)?;
        (since / period < self.scenario.cuts && since % period < self.scenario.cut_ms)
            .then_some(since % period)
    }

    pub(super) fn cuts_end(&self) -> u64 {
        CUT_MS + self.scenario.cut_ms * (2 * self.scenario.cuts - 1)
    }

    pub(super) fn has_path(&self, host: usize, upstream: usize, now: u64) -> bool {
        if !self.is_cut[host] || self.in_cut(now).is_none() {
            return true;
        }
        let pair = (host * self.scenario.upstreams + upstream) as u64;
        let mut random = StdRng::seed_from_u64(self.seed ^ (pair << 8));
        !random.random_bool(self.scenario.upstream_share)
    }

    pub(super) fn is_down(&self, upstream: usize, now: u64) -> bool {
        let down = (self.scenario.down_share * self.scenario.upstreams as f64).round() as usize;
        upstream < down && (CUT_MS + DOWN_AFTER_MS..self.cuts_end()).contains(&now)
    }
}
