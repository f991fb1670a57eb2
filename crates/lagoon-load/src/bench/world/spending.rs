//! Customers' limits, and what the hosts of a zone tell each other of their use.

use lagoonline::load;
use lagoonline::outcome;

use super::{Event, World};
use crate::bench::arrival;
use crate::bench::scenario;

impl World<'_> {
    pub(super) fn limit(
        &mut self,
        host: usize,
        ask: &load::Request,
    ) -> Result<(), outcome::Failure> {
        if self.scenario.limit <= 0.0 {
            return Ok(());
        }
        let tokens = arrival::share(self.scenario) * self.scenario.limit;
        let rate = load::limit::Rate { requests: f64::MAX, tokens };
        let cost = ask.prompt_tokens + ask.answer_tokens;
        self.limits[host].admit(self.now, &ask.customer, rate, cost)
    }

    /// Hosts of a zone tell each other what they let in.
    pub(super) fn spending(&mut self) {
        let at = self.now + scenario::SPENDING.1;
        for from in 0..self.limits.len() {
            let spends = self.limits[from].take_report();
            for host in 0..self.limits.len() {
                let together =
                    host as u32 / self.scenario.hosts == from as u32 / self.scenario.hosts;
                if host != from && together {
                    self.at(at, Event::Heard { host, spends: spends.clone() });
                }
            }
        }
        self.at(self.now + scenario::SPENDING.0, Event::Spending);
    }
}
