//! Customers' rate limits. The hosts of a zone enforce them together and exchange usage reports.

use lagoonline::load;
use lagoonline::outcome;

use super::{Event, Simulation};
use crate::bench::arrival;
use crate::bench::scenario;

impl Simulation<'_> {
    /// Checks the customer's rate limit at a host, if the scenario sets one, and counts the
    /// request.
    pub(super) fn admit(
        &mut self,
        host: usize,
        request: &load::Request,
    ) -> Result<(), outcome::Failure> {
        if self.scenario.limit_factor <= 0.0 {
            return Ok(());
        }
        let tokens = arrival::customer_token_rate(self.scenario) * self.scenario.limit_factor;
        let rate = load::limit::Rate { requests: f64::MAX, tokens };
        let cost = request.prompt_tokens + request.answer_tokens;
        self.limits[host].admit(self.now, &request.customer, rate, cost)
    }

    /// Sends each host's usage since its last report to the other hosts of its zone, and schedules
    /// the next reports.
    pub(super) fn send_usage_reports(&mut self) {
        let at = self.now + scenario::USAGE_REPORT_INTERVAL_AND_DELAY.1;
        for from in 0..self.limits.len() {
            let usages = self.limits[from].take_report();
            for host in 0..self.limits.len() {
                let same_zone =
                    host as u32 / self.scenario.hosts == from as u32 / self.scenario.hosts;
                if host != from && same_zone {
                    self.schedule(at, Event::UsageReport { host, usages: usages.clone() });
                }
            }
        }
        self.schedule(
            self.now + scenario::USAGE_REPORT_INTERVAL_AND_DELAY.0,
            Event::UsageReportsDue,
        );
    }
}
