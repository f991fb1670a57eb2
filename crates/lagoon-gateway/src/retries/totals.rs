//! Counts of requests and retries since the start of the process, for the log.
//!
//! Lines of single dispatches are dropped when there are many, which is when retries pile up. So each
//! host logs its counts since its start once a second: the difference of two lines is what the host
//! used between them, whatever was dropped.

use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::lifecycle::attempts;
use lagoonline::load::retry;

use crate::event;
use crate::state;

/// Interval between the lines about one service.
const INTERVAL: clock::Span = clock::Span::from_secs(1);

/// What this process did for a service since its start.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Totals {
    pub(super) requests: u64,
    retries_after_refusal: u64,
    retries_after_run: u64,
    /// When they were logged last.
    logged_at: Option<clock::Moment>,
}

impl Totals {
    /// Counts a retry that follows an attempt which ended as `after`.
    pub(super) fn count_retry(&mut self, after: Option<attempts::Kind>) {
        match after {
            Some(attempts::Kind::Refusal) => self.retries_after_refusal += 1,
            Some(attempts::Kind::Run | attempts::Kind::Unsent) | None => {
                self.retries_after_run += 1;
            }
        }
    }

    /// Whether a line is due at `now`; if so, the next one is due later.
    fn take_turn(&mut self, now: clock::Moment) -> bool {
        let is_due = self.logged_at.is_none_or(|at| now.since(at) >= INTERVAL);
        if is_due {
            self.logged_at = Some(now);
        }
        is_due
    }
}

impl state::State {
    /// Logs what was used of the budget of `service`, if a line is due.
    pub(super) fn log_budget(
        &self,
        service: &id::Service,
        budget: &retry::Budget,
        totals: &mut Totals,
        sharing: Option<retry::Sharing>,
    ) {
        let now = self.clock.now();
        if !budget.is_used(now) || !totals.take_turn(now) {
            return;
        }
        let own = budget.own_usage(now);
        let mut others = retry::Usage::default();
        budget.reports(now).for_each(|report| others += report.usage);
        let known_at = sharing.map(|sharing| sharing.known_at);
        let sharing =
            sharing.unwrap_or(retry::Sharing { hosts: 0, heard: 0, ..Default::default() });
        let unknown = known_at.map_or(self.settings.node.bounds.retry_window, |at| at.since(now));
        let mut line = event::Line::new("retry_budget")
            .text("service", service)
            .number("life", self.incarnation);
        if let Some((millis, at)) = self.tables.platform_clock() {
            // Common to all hosts.
            line = line.number("platform_ms", u128::from(millis) + now.since(at).as_millis());
        }
        let line = line
            .number("requests", totals.requests)
            .number("retries_after_refusal", totals.retries_after_refusal)
            .number("retries_after_run", totals.retries_after_run)
            .number("window_requests", own.requests)
            .number("window_retries", own.retries)
            .number("others_requests", others.requests)
            .number("others_retries", others.retries)
            .number("unread_retries", budget.unread())
            .number("left", format_args!("{:.1}", budget.left(now)))
            .number("zones", sharing.zones)
            .number("hosts", sharing.hosts)
            .number("heard", sharing.heard)
            .span("told_ms", now.since(sharing.told_until.min(now)))
            .span("unknown_ms", unknown.min(self.settings.node.bounds.retry_window));
        // Where lines are dropped, those of retries are kept longest.
        if own.retries + others.retries > 0 { line.warn() } else { line.info() }
    }
}
