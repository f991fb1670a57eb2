//! The retries of all hosts together: counts them, tells the other hosts of the zone, and asks for
//! leave. [`lagoonline::load::retry`] decides.
//!
//! In a small zone each host decides on its own retries and hears from the others what they used. In
//! a zone with a scheduler, which places all retries anyway, the scheduler decides.

mod message;
mod totals;
mod unread;

use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;

use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::lifecycle::attempts;
use lagoonline::load::retry;

use crate::event;
use crate::message as datagram;
use crate::state;

pub(crate) use message::{Arrived, Usages, Used};
pub(crate) use unread::{Sends, Sent, UnreadEnd};

/// Time for which a host takes the scheduler's refusal of a retry to hold for its other requests.
const REFUSAL_VALIDITY: clock::Span = clock::Span::from_millis(500);

/// Time for a report of this host's retries to arrive at the other candidates of its zone and for them to
/// show it. Those of whom the answers take longer take this host for dead, see
/// [`lagoonline::routing::RosterSettings::heartbeat_timeout`].
const MAX_ROUND_TRIP: clock::Span = clock::Span::from_millis(700);

/// The retry budgets of all services. They outlive the services in the desired state: one that is
/// taken away and comes back must not bring new retries.
#[derive(Debug, Default)]
pub(crate) struct Budgets {
    budgets: sync::Mutex<collections::BTreeMap<id::Service, Account>>,
    /// Whether the table of hosts was read.
    hosts_listed: atomic::AtomicBool,
    /// The largest number of zones seen. A zone whose hosts are no longer listed may still serve.
    zones: atomic::AtomicUsize,
    /// When this host knows what its zone used in the whole window before; `None` if it does not
    /// hear of that, or does not know the other hosts yet.
    known_at: sync::Mutex<Option<clock::Moment>>,
}

/// For whose requests a retry is decided on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Role {
    /// A host for its own.
    Host,
    /// The scheduler of a zone for those of a host that has just asked it.
    Scheduler,
}

/// The retry budget of a service, and what is logged of it.
#[derive(Debug)]
struct Account {
    budget: retry::Budget,
    totals: totals::Totals,
}

/// A retry that was taken from the budget. Unless it is sent, it goes back when it is dropped.
#[derive(Debug)]
pub(crate) struct Charge {
    state: sync::Arc<state::State>,
    service: id::Service,
    at: clock::Moment,
    is_sent: bool,
}

impl Charge {
    /// Records that the retry is sent, which may be long after it was taken: the prompt waits for memory
    /// and for its connection.
    pub(crate) fn send(mut self) {
        self.is_sent = true;
        self.state.with_budget(&self.service, |budget, now| budget.move_retry(self.at, now));
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if !self.is_sent {
            self.state.with_budget(&self.service, |budget, _| budget.return_retry(self.at));
        }
    }
}

impl state::State {
    /// Calls `act` with the retry budget of `service` and the current time.
    fn with_budget<Act, Output>(&self, service: &id::Service, act: Act) -> Output
    where
        Act: FnOnce(&mut retry::Budget, clock::Moment) -> Output,
    {
        self.with_account(service, |account, now| act(&mut account.budget, now))
    }

    /// Calls `act` with the account of `service` and the current time.
    fn with_account<Act, Output>(&self, service: &id::Service, act: Act) -> Output
    where
        Act: FnOnce(&mut Account, clock::Moment) -> Output,
    {
        let bounds = &self.settings.node.bounds;
        let settings = retry::Settings {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window: bounds.retry_window,
        };
        let mut budgets = state::lock(&self.retries.budgets);
        let new =
            || Account { budget: retry::Budget::new(settings), totals: totals::Totals::default() };
        let account = budgets.entry(service.clone()).or_insert_with(new);
        act(account, self.clock.now())
    }

    /// Calls `act` like [`State::with_budget`] after the division of the slack was updated.
    fn with_current_budget<Act, Output>(
        &self,
        service: &id::Service,
        role: Role,
        act: Act,
    ) -> Output
    where
        Act: FnOnce(&mut retry::Budget, clock::Moment) -> Output,
    {
        let sharing = self.retry_sharing(role);
        self.with_budget(service, |budget, now| {
            budget.set_sharing(sharing);
            act(budget, now)
        })
    }

    /// Returns how the slack is divided; `None` until the table of hosts was read.
    fn retry_sharing(&self, role: Role) -> Option<retry::Sharing> {
        if !self.retries.hosts_listed.load(atomic::Ordering::Relaxed) {
            return None;
        }
        let known_at = *state::lock(&self.retries.known_at);
        let zones = self.retries.zones.load(atomic::Ordering::Relaxed);
        let now = self.clock.now();
        let peers = state::lock(&self.peers);
        let roster = &peers.roster;
        let hosts = roster.zone_size();
        let sharing = retry::Sharing { zones, hosts, ..retry::Sharing::default() };
        let Some(known_at) = known_at else {
            // Only the own retries are known here.
            return Some(retry::Sharing { known_at: clock::Moment::NEVER, ..sharing });
        };
        let heard = roster.heard_in_zone(now).count() + 1;
        let sharing = retry::Sharing { heard, known_at, ..sharing };
        let told_until = peers.told_in_zone(retry::TURN, now).min().unwrap_or(now);
        if roster.own_zone_has_scheduler() {
            // A leader that the other candidates hear schedules. Any other host decides for itself if no
            // scheduler answers, and so may all others at that moment.
            let is_scheduler = roster.is_leader(now) && now.since(told_until) <= MAX_ROUND_TRIP;
            return Some(match role {
                Role::Host if !is_scheduler => {
                    retry::Sharing { deciders: heard, told_until: clock::Moment::START, ..sharing }
                }
                Role::Host | Role::Scheduler => sharing,
            });
        }
        Some(retry::Sharing { deciders: heard, told_until, ..sharing })
    }

    /// Records that the table of hosts was read. `is_new` if it shows no row of this host, which stays
    /// for minutes after a life.
    pub(crate) fn record_host_table(&self, is_new: bool) {
        let is_first = !self.retries.hosts_listed.swap(true, atomic::Ordering::Relaxed);
        self.update_retry_sharing(is_first && is_new);
    }

    /// Updates what is known of the fleet. `is_new` if this host had no life within the window.
    pub(crate) fn update_retry_sharing(&self, is_new: bool) {
        let now = self.clock.now();
        let peers = state::lock(&self.peers);
        let zones = peers.roster.zone_count();
        let hears_zone = peers.roster.tracks_in_flight(now);
        let is_alone = peers.roster.zone_size() == 1;
        drop(peers);
        self.retries.zones.fetch_max(zones, atomic::Ordering::Relaxed);
        let mut known_at = state::lock(&self.retries.known_at);
        if !hears_zone {
            *known_at = None;
        } else if is_new && is_alone {
            // No host of this zone had a life within the window.
            *known_at = Some(now);
        } else if known_at.is_none() {
            // What the hosts of the zone used before was told to other hosts only.
            *known_at = Some(now + self.settings.node.bounds.retry_window);
        }
    }

    /// Records a request of a caller.
    pub(crate) fn record_request(&self, service: &id::Service) {
        self.with_account(service, |account, now| {
            account.totals.requests += 1;
            account.budget.record_request(now);
        });
    }

    /// Counts a retry that is sent, for the log. `after` is how the attempt before it ended.
    pub(crate) fn count_retry(&self, service: &id::Service, after: Option<attempts::Kind>) {
        self.with_account(service, |account, _| account.totals.count_retry(after));
    }

    /// Whether a retry is left that no failure asks for, see [`retry::Budget::has_spare`].
    pub(crate) fn has_spare_retry(&self, service: &id::Service) -> bool {
        self.with_current_budget(service, Role::Host, |budget, now| budget.has_spare(now))
    }

    /// Whether a retry is likely to be allowed.
    pub(crate) fn has_retry(&self, service: &id::Service) -> bool {
        if self.decides_on_retries() {
            let verdict = |budget: &mut retry::Budget, now| budget.verdict(now);
            return self.with_current_budget(service, Role::Host, verdict)
                != retry::Verdict::Refused;
        }
        let was_refused =
            |budget: &mut retry::Budget, now| budget.was_refused(REFUSAL_VALIDITY, now);
        !self.with_budget(service, was_refused)
    }

    /// Whether this host decides on its own retries while no scheduler is asked.
    fn decides_on_retries(&self) -> bool {
        state::lock(&self.peers).roster.tracks_in_flight(self.clock.now())
    }

    /// Takes a retry for a request of this host.
    ///
    /// # Errors
    ///
    /// Why none may be made now.
    pub(crate) fn charge_retry(
        self: &sync::Arc<Self>,
        service: &id::Service,
    ) -> Result<Charge, retry::Verdict> {
        let taken = |budget: &mut retry::Budget, now| (budget.take_retry(now), now);
        let (verdict, at) = self.with_current_budget(service, Role::Host, taken);
        if verdict != retry::Verdict::Allowed {
            return Err(verdict);
        }
        Ok(Charge { state: self.clone(), service: service.clone(), at, is_sent: false })
    }

    /// Returns whether a host of this zone may make a retry, as its scheduler.
    pub(crate) fn retry_verdict(&self, service: &id::Service) -> retry::Verdict {
        self.with_current_budget(service, Role::Scheduler, |budget, now| budget.verdict(now))
    }

    /// Takes a retry for the host incarnation `asking`, as the scheduler of its zone.
    pub(crate) fn grant_retry(&self, service: &id::Service, asking: u64) {
        self.with_current_budget(service, Role::Scheduler, |budget, now| {
            budget.grant_retry(asking, now)
        });
    }

    /// Records a retry of this host that the zone's scheduler allowed.
    pub(crate) fn record_granted_retry(&self, service: &id::Service) {
        self.with_budget(service, |budget, now| budget.record_retry(now));
    }

    /// Records that the zone's scheduler refused a retry of this host.
    pub(crate) fn record_retry_refusal(&self, service: &id::Service) {
        self.with_budget(service, |budget, now| budget.record_refusal(now));
    }

    /// Returns what this host used of each budget, for the other hosts of its zone.
    fn used_retries(&self) -> Vec<Used> {
        let now = self.clock.now();
        let budgets = state::lock(&self.retries.budgets);
        let report = |known: &Account| known.budget.own_report(self.incarnation, now);
        let used = budgets.iter().map(|(service, known)| (service, report(known)));
        let used = used.filter(|(_, report)| report.usage != retry::Usage::default());
        used.map(|(service, report)| Used::new(service, &report)).collect()
    }

    /// Adds to `batch`, for hosts of this zone, what this host used of each budget, and which reports
    /// of others have arrived here.
    pub(crate) fn with_retry_report(&self, batch: datagram::Batch) -> datagram::Batch {
        let reported = self.clock.now().as_micros() / 1_000;
        let peers = state::lock(&self.peers);
        let arrived = peers.reported_by_trackers(self.clock.now());
        drop(peers);
        let arrived = arrived.into_iter().map(|(host, reported_ms)| Arrived { host, reported_ms });
        let (reported_ms, arrived) = (Some(reported), arrived.collect());
        datagram::Batch { used: self.used_retries(), reported_ms, arrived, ..batch }
    }

    /// Applies the report of retries in `batch`, which came from a host of this zone at `from`.
    pub(crate) fn apply_retry_report(&self, from: net::SocketAddr, batch: &datagram::Batch) {
        if let Some(reported_ms) = batch.reported_ms {
            let own = batch.arrived.iter().filter(|arrived| arrived.host == self.incarnation);
            let told = own.map(|arrived| clock::Moment::from_millis(arrived.reported_ms)).max();
            let told = told.filter(|told| *told <= self.clock.now());
            state::lock(&self.peers).record_report(from, reported_ms, told);
        }
        self.apply_used(batch.host, &batch.used);
    }

    /// Applies what the host incarnation `sender` of this zone used.
    fn apply_used(&self, sender: u64, used: &[Used]) {
        for used in used {
            let service = id::Service::from(used.service.as_str());
            let record = |budget: &mut retry::Budget, now| {
                budget.record_report(used.report(sender), now);
            };
            self.with_budget(&service, record);
        }
    }

    /// Records that a host incarnation of this zone has ended, of which the last message arrived
    /// `silent` ago.
    pub(crate) fn end_retries_of(&self, incarnation: u64, silent: clock::Span) {
        let now = self.clock.now();
        for account in state::lock(&self.retries.budgets).values_mut() {
            account.budget.record_end(incarnation, silent, now);
        }
    }

    /// Returns the update that tells a host of this zone that starts what the zone used; `None` if
    /// this host does not know.
    pub(crate) fn usage_update(&self) -> Option<datagram::Update> {
        let now = self.clock.now();
        let known_at = (*state::lock(&self.retries.known_at))?;
        let mut reports = Vec::new();
        for (service, Account { budget, .. }) in state::lock(&self.retries.budgets).iter() {
            let own = budget.own_report(self.incarnation, now);
            let made = budget.reports(now).chain([own]).filter(|report| report.usage.retries > 0);
            reports.extend(made.map(|report| message::Report::new(service, &report)));
        }
        let window = self.settings.node.bounds.retry_window;
        let known = window.saturating_sub(known_at.since(now));
        let usages = Usages { known_ms: datagram::to_millis(known), reports };
        let service = id::Service::from("");
        Some(datagram::Update::new(0, &service, datagram::Kind::Used(usages)))
    }

    /// Applies what another host of this zone knows of the zone's use.
    pub(crate) fn apply_usages(&self, usages: &Usages) {
        for (service, report) in usages.reports.iter().filter_map(message::Report::decode) {
            if report.host != self.incarnation {
                self.with_budget(&service, |budget, now| budget.record_report(report, now));
            }
        }
        let window = self.settings.node.bounds.retry_window;
        let unknown = window.saturating_sub(datagram::from_millis(usages.known_ms));
        let told = self.clock.now() + unknown;
        if let Some(known_at) = state::lock(&self.retries.known_at).as_mut() {
            *known_at = told.min(*known_at);
        }
        event::Line::new("retries_learned")
            .number("reports", usages.reports.len())
            .number("known_ms", usages.known_ms)
            .info();
    }

    /// Returns the retries left to this host, for the log: those of its zone if it hears of them.
    pub(crate) fn retries_left(&self, service: &id::Service) -> f64 {
        self.with_current_budget(service, Role::Host, |budget, now| budget.left(now))
    }

    /// Updates the metrics of the retry budgets, logs them, and forgets what is no longer in their
    /// windows.
    pub(crate) fn report_retries(&self) {
        let sharing = self.retry_sharing(Role::Host);
        let now = self.clock.now();
        let mut budgets = state::lock(&self.retries.budgets);
        for account in budgets.values_mut() {
            account.budget.expire(now);
        }
        budgets.retain(|service, account| {
            self.service_state(service).is_some() || account.budget.is_used(now)
        });
        for (service, Account { budget, totals }) in budgets.iter_mut() {
            budget.set_sharing(sharing);
            self.metrics.set_retries(service, budget.own_usage(now).retries, budget.left(now));
            self.log_budget(service, budget, totals, sharing);
        }
    }
}
