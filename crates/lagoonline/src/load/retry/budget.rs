//! The retries that a host, or the scheduler of a zone, may still allow.

use std::collections;

use super::unread::Unread;
use super::window::{Usage, Window};
use crate::clock;

/// Time within which hosts of a zone mostly hear of each other's retries.
pub const TURN: clock::Span = clock::Span::from_millis(50);
/// Share of the allowed ratio that is used by hosts which know what was used in the whole window.
/// Of the requests of any window of a budget, at least three quarters lie in the one window in which
/// the bound counts them.
const RATIO_SHARE: f64 = 0.75;
/// Share of the allowed ratio that is used by other hosts. The lives before may have used up
/// [`RATIO_SHARE`] of it just before they ended.
const PARTIAL_RATIO_SHARE: f64 = 0.25;
/// Share of the allowed ratio that may be unread. The requests that allowed a retry may have left the
/// window when it is read, and no others may have come.
const UNREAD_RATIO_SHARE: f64 = 0.25;
/// Share of the slack that is used by hosts which know what was used in the whole window. A tenth is
/// never planned for: what a host used that was cut off and then killed is told to nobody.
const SLACK_SHARE: f64 = 0.6;
/// Share of the slack that hosts which know less may use for the part of the window that they know.
/// The lives before may have used up [`SLACK_SHARE`].
const PARTIAL_SLACK_SHARE: f64 = 0.1;
/// Share of the slack that hosts which know nothing may use at once, so that a request is not lost
/// with the first failure after a start. All hosts of a zone may start four times in a window before
/// the three shares together exceed nine tenths of the slack.
const START_SLACK_SHARE: f64 = 0.05;

/// Age of a report from which on the requests in it do not count, since its host may be cut off and
/// uses them itself, and from which on nobody waits for what follows it. It covers two heartbeats
/// within a zone.
const MAX_REPORT_AGE: clock::Span = clock::Span::from_millis(700);

/// Time without a message after which an incarnation that has ended may have been cut off before,
/// so that nobody knows what it used. A process that is killed starts again within it.
const MAX_SILENCE: clock::Span = clock::Span::from_millis(1_200);

/// Time after the window of a report for which the unread retries in it count on. Only the incarnation
/// itself sees when they are read, and it may have ended.
const UNREAD_SPAN: clock::Span = clock::Span::from_secs(30);

/// The bound on the retries of all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Retries in a window for each request in it.
    pub ratio: f64,
    /// Retries in a window beyond those.
    pub slack: f64,
    /// Length of the window.
    pub window: clock::Span,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { ratio: 0.2, slack: 50.0, window: clock::Span::from_secs(10) }
    }
}

/// How the slack is divided, as far as this host knows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sharing {
    /// Number of availability zones.
    pub zones: usize,
    /// Number of hosts of this zone that decide on retries at the same time.
    pub deciders: usize,
    /// Number of hosts of this zone.
    pub hosts: usize,
    /// Number of these whose retries this host hears of, itself included.
    pub heard: usize,
    /// When everything will be known here that these hosts used in the window before.
    pub known_at: clock::Moment,
    /// Until when each of the other deciders that are heard knows what this host took; now if there
    /// are none. That they are heard does not show it: what arrives now may have been sent long ago.
    pub told_until: clock::Moment,
}

impl Default for Sharing {
    fn default() -> Self {
        Sharing {
            zones: 1,
            deciders: 1,
            hosts: 1,
            heard: 1,
            known_at: clock::Moment::START,
            told_until: clock::Moment::NEVER,
        }
    }
}

impl Sharing {
    /// Share of the hosts of this zone that are heard.
    fn heard_share(self) -> f64 {
        self.heard.min(self.hosts) as f64 / self.hosts.max(1) as f64
    }
}

/// Whether a retry may be made now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It may.
    Allowed,
    /// Others may have used what is left; ask again after a [`TURN`], when they may have been heard.
    Wait,
    /// None is left.
    Refused,
}

/// What an incarnation of a host used.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// The incarnation.
    pub host: u64,
    /// What it used in the window before the report.
    pub usage: Usage,
    /// Retries that upstreams may still read.
    pub unread: u32,
    /// Time since the report.
    pub age: clock::Span,
    /// Whether the incarnation is known to have ended.
    pub has_ended: bool,
}

/// A report that was received.
#[derive(Clone, Debug)]
struct Received {
    usage: Usage,
    unread: u32,
    /// When nothing of it counts any more, [`UNREAD_SPAN`] after the window that it is about.
    ends_at: clock::Moment,
    has_ended: bool,
    /// When this host allowed the incarnation a retry. A report may have been made before that.
    granted: collections::VecDeque<clock::Moment>,
}

impl Received {
    fn new(report: Report, ends_at: clock::Moment) -> Received {
        let Report { usage, unread, has_ended, .. } = report;
        Received { usage, unread, ends_at, has_ended, granted: collections::VecDeque::new() }
    }

    /// What is known of an incarnation that has sent no report.
    fn unheard(ends_at: clock::Moment) -> Received {
        Received::new(Report::default(), ends_at)
    }

    /// Whether the window of the report is not over.
    fn is_in_window(&self, now: clock::Moment) -> bool {
        self.ends_at.since(now) > UNREAD_SPAN
    }

    /// Whether any of it counts.
    fn is_known(&self, now: clock::Moment) -> bool {
        self.is_in_window(now) || (self.unread > 0 && self.ends_at > now)
    }

    /// Returns what the incarnation used at least, with the retries that it was allowed after `oldest`.
    fn usage(&self, oldest: clock::Moment, now: clock::Moment) -> Usage {
        if !self.is_in_window(now) {
            return Usage { requests: 0, retries: self.unread };
        }
        let granted = self.granted.iter().filter(|at| **at >= oldest).count();
        let granted = u32::try_from(granted).unwrap_or(u32::MAX);
        Usage { retries: self.usage.retries.max(granted), ..self.usage }
    }
}

/// The retries of one service.
///
/// ```
/// use lagoonline::clock::{Moment, Span};
/// use lagoonline::load::retry::{Budget, Settings, Sharing, Verdict};
/// let start = Moment::from_millis(10);
/// let mut budget = Budget::new(Settings { slack: 100.0, ..Settings::default() });
/// let take = |budget: &mut Budget, now| {
///     (0..100).filter(|_| budget.take_retry(now) == Verdict::Allowed).count()
/// };
/// // The fleet is not known.
/// assert_eq!(take(&mut budget, start), 0);
/// // Nobody knows what was used before the start.
/// let known_at = start + Span::from_secs(10);
/// budget.set_sharing(Some(Sharing { known_at, ..Sharing::default() }));
/// assert_eq!(take(&mut budget, start), 5);
/// assert_eq!(take(&mut budget, known_at), 55);
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    settings: Settings,
    /// `None` as long as the hosts of the fleet are not known.
    sharing: Option<Sharing>,
    own: Window,
    unread: Unread,
    others: collections::BTreeMap<u64, Received>,
    /// When this host took each retry of the last window.
    taken: collections::VecDeque<clock::Moment>,
    /// When the zone's scheduler last refused a retry to this host.
    refused_at: Option<clock::Moment>,
}

impl Budget {
    /// The budget of a host that knows nothing of others.
    pub fn new(settings: Settings) -> Budget {
        Budget {
            settings,
            sharing: None,
            own: Window::new(settings.window),
            unread: Unread::default(),
            others: collections::BTreeMap::new(),
            taken: collections::VecDeque::new(),
            refused_at: None,
        }
    }

    /// Sets how the slack is divided; `None` if that is not known, and none of it may be used.
    pub fn set_sharing(&mut self, sharing: Option<Sharing>) {
        self.sharing = sharing;
    }

    /// Records a request of a caller.
    pub fn record_request(&mut self, now: clock::Moment) {
        self.own.add(Usage { requests: 1, retries: 0 }, now);
    }

    /// Records a retry that the zone's scheduler allowed.
    pub fn record_retry(&mut self, now: clock::Moment) {
        self.own.add(Usage { requests: 0, retries: 1 }, now);
    }

    /// Records that the zone's scheduler refused a retry.
    pub fn record_refusal(&mut self, now: clock::Moment) {
        self.refused_at = Some(now);
    }

    /// Returns whether the zone's scheduler refused a retry within `span`.
    pub fn was_refused(&self, span: clock::Span, now: clock::Moment) -> bool {
        self.refused_at.is_some_and(|at| now.since(at) <= span)
    }

    /// Counts a retry that was taken at `at` from `now` on, when it is sent.
    ///
    /// ```
    /// use lagoonline::clock::{Moment, Span};
    /// use lagoonline::load::retry::{Budget, Settings};
    /// let mut budget = Budget::new(Settings::default());
    /// let (taken_at, sent_at) = (Moment::from_millis(10), Moment::from_millis(6_000));
    /// budget.record_retry(taken_at);
    /// budget.move_retry(taken_at, sent_at);
    /// assert_eq!(budget.own_usage(taken_at + Span::from_secs(11)).retries, 1);
    /// assert_eq!(budget.own_usage(sent_at + Span::from_secs(11)).retries, 0);
    /// ```
    pub fn move_retry(&mut self, at: clock::Moment, now: clock::Moment) {
        self.own.remove_retry(at);
        self.record_retry(now);
    }

    /// Takes back a retry that was taken at `at` and not sent.
    pub fn return_retry(&mut self, at: clock::Moment) {
        self.own.remove_retry(at);
    }

    /// Records that a retry of `request` is sent, of which `unread` sends may still be read, this one
    /// included. The retry counts until those are settled.
    ///
    /// ```
    /// use lagoonline::clock::{Moment, Span};
    /// use lagoonline::load::retry::{Budget, Settings};
    /// let mut budget = Budget::new(Settings::default());
    /// let sent_at = Moment::from_millis(10);
    /// budget.record_retry(sent_at);
    /// // Neither the first send nor the retry was answered.
    /// budget.record_unread(1, 2, sent_at);
    /// budget.settle_unread(1, sent_at + Span::from_millis(20));
    /// let read_at = sent_at + Span::from_secs(60);
    /// assert_eq!(budget.own_usage(read_at).retries, 1);
    /// budget.settle_unread(1, read_at);
    /// assert_eq!(budget.own_usage(read_at + Span::from_secs(9)).retries, 1);
    /// assert_eq!(budget.own_usage(read_at + Span::from_secs(11)).retries, 0);
    /// ```
    pub fn record_unread(&mut self, request: u64, unread: u32, now: clock::Moment) {
        self.unread.add(request, unread, now);
    }

    /// Records that one of the sends of `request` was read by `now`, or can no longer be read.
    pub fn settle_unread(&mut self, request: u64, now: clock::Moment) {
        self.unread.settle(request, &mut self.own, now);
    }

    /// Records that one of the sends of `request` is taken for lost, though nothing shows it.
    pub fn forget_unread(&mut self, request: u64) {
        self.unread.forget(request);
    }

    /// Returns the retries that upstreams may still read.
    pub fn unread(&self) -> u32 {
        self.unread.retries()
    }

    /// Records what another incarnation used. Of two reports of one incarnation the later counts.
    pub fn record_report(&mut self, report: Report, now: clock::Moment) {
        let span = self.settings.window + UNREAD_SPAN;
        let Some(left) = span.checked_sub(report.age) else { return };
        let received = Received::new(report, now + left);
        let known = self.others.entry(report.host).or_insert_with(|| received.clone());
        // One that was taken for ended since nobody heard it, and reports again, has not.
        if known.ends_at <= received.ends_at {
            *known = Received { granted: std::mem::take(&mut known.granted), ..received };
        }
    }

    /// Records at `now` that another incarnation has ended, of which the last message arrived `silent`
    /// before. After a long silence its host's part of the slack counts as used, and so do the retries
    /// that its requests allow.
    pub fn record_end(&mut self, host: u64, silent: clock::Span, now: clock::Moment) {
        let ends_at = now + self.settings.window + UNREAD_SPAN;
        let known = self.others.entry(host).or_insert_with(|| Received::unheard(ends_at));
        known.has_ended = true;
        if silent > MAX_SILENCE {
            let sharing = self.sharing.unwrap_or_default();
            let part = SLACK_SHARE / (sharing.zones.max(1) * sharing.hosts.max(1)) as f64;
            known.usage.requests = 0;
            let retries = (self.settings.slack * part).ceil() as u32;
            known.usage += Usage { requests: 0, retries };
            known.ends_at = ends_at;
        }
    }

    /// Forgets incarnations of whose reports nothing counts any more.
    pub fn expire(&mut self, now: clock::Moment) {
        self.others.retain(|_, known| known.is_known(now));
    }

    /// Whether anything is known that was used in the last window.
    pub fn is_used(&self, now: clock::Moment) -> bool {
        self.own_usage(now) != Usage::default() || self.reports(now).next().is_some()
    }

    /// Returns what this host used in the last window, with earlier retries that may still be read.
    pub fn own_usage(&self, now: clock::Moment) -> Usage {
        let mut usage = self.own.usage(now);
        let unread = self.unread.before(now.saturating_sub(self.settings.window));
        usage += Usage { requests: 0, retries: unread };
        usage
    }

    /// Returns what is known of other incarnations.
    pub fn reports(&self, now: clock::Moment) -> impl Iterator<Item = Report> {
        let span = self.settings.window + UNREAD_SPAN;
        let oldest = now.saturating_sub(self.settings.window);
        let known = self.others.iter().filter(move |(_, known)| known.is_known(now));
        known.map(move |(host, known)| Report {
            host: *host,
            usage: known.usage(oldest, now),
            unread: known.unread,
            age: span.saturating_sub(known.ends_at.since(now)),
            has_ended: known.has_ended,
        })
    }

    /// Returns the report of this host, the incarnation `host`.
    pub fn own_report(&self, host: u64, now: clock::Moment) -> Report {
        let usage = self.own_usage(now);
        Report { host, usage, unread: self.unread(), age: clock::Span::ZERO, has_ended: false }
    }

    /// Returns the retries that are left in the window, possibly a fraction or below zero.
    pub fn left(&self, now: clock::Moment) -> f64 {
        let others: u32 = self.reports(now).map(|report| report.usage.retries).sum();
        let retries = self.own_usage(now).retries + others;
        let is_known = self.sharing.is_some_and(|sharing| sharing.known_at <= now);
        let ratio_share = if is_known { RATIO_SHARE } else { PARTIAL_RATIO_SHARE };
        self.settings.ratio * ratio_share * self.requests(now) + self.slack(now)
            - f64::from(retries)
    }

    /// Returns the retries that may be made until too many are unread, possibly a fraction or below zero.
    fn left_unread(&self, now: clock::Moment) -> f64 {
        let others: u32 = self.reports(now).map(|report| report.unread).sum();
        let allowed = self.settings.ratio * UNREAD_RATIO_SHARE * self.requests(now);
        allowed + self.slack_of_share(SLACK_SHARE) - f64::from(self.unread() + others)
    }

    /// Returns the requests of the window that count here.
    fn requests(&self, now: clock::Moment) -> f64 {
        let share = |report: Report| f64::from(report.usage.requests) * self.request_share(&report);
        f64::from(self.own_usage(now).requests) + self.reports(now).map(share).sum::<f64>()
    }

    /// Returns the share of the requests in a report that counts here. Its retries count until all of
    /// them have left the window.
    fn request_share(&self, report: &Report) -> f64 {
        if !report.has_ended {
            return f64::from(u8::from(report.age <= MAX_REPORT_AGE));
        }
        let heard = self.sharing.map_or(0.0, Sharing::heard_share);
        // Beyond the window there are no requests in it.
        heard * (1.0 - report.age.as_secs_f64() / self.settings.window.as_secs_f64())
    }

    /// Whether more retries are left than were made, so that one which no failure asks for leaves
    /// enough for those that follow a failure.
    ///
    /// ```
    /// use lagoonline::clock::Moment;
    /// use lagoonline::load::retry::{Budget, Settings, Sharing};
    /// let now = Moment::from_millis(10);
    /// let mut budget = Budget::new(Settings { slack: 10.0, ..Settings::default() });
    /// budget.set_sharing(Some(Sharing::default()));
    /// let optional = (0..10).filter(|_| budget.has_spare(now) && {
    ///     budget.record_retry(now);
    ///     true
    /// });
    /// assert_eq!(optional.count(), 3);
    /// ```
    pub fn has_spare(&self, now: clock::Moment) -> bool {
        let others: u32 = self.reports(now).map(|report| report.usage.retries).sum();
        let made = self.own_usage(now).retries + others;
        self.left(now) >= f64::from(made) + 1.0
    }

    /// Returns the part of the slack that this host may use.
    fn slack(&self, now: clock::Moment) -> f64 {
        let known_at = self.sharing.map_or(clock::Moment::NEVER, |sharing| sharing.known_at);
        let unknown = known_at.since(now).as_secs_f64();
        let window = self.settings.window.as_secs_f64();
        let share = if unknown == 0.0 {
            SLACK_SHARE
        } else {
            START_SLACK_SHARE + PARTIAL_SLACK_SHARE * (1.0 - unknown / window).max(0.0)
        };
        self.slack_of_share(share)
    }

    /// Returns the part of this host in `share` of the slack.
    fn slack_of_share(&self, share: f64) -> f64 {
        let part = |sharing: Sharing| sharing.heard_share() / sharing.zones.max(1) as f64;
        self.settings.slack * share * self.sharing.map_or(0.0, part)
    }

    /// Returns whether a retry may be made now, without taking it.
    pub fn verdict(&self, now: clock::Moment) -> Verdict {
        let left = self.left(now);
        let sharing = self.sharing.unwrap_or_default();
        let deciders = sharing.deciders.max(1) as f64;
        // A sum of fractions can be a rounding error below a whole number.
        if left + 1e-9 < 1.0 {
            return Verdict::Refused;
        }
        if self.left_unread(now) + 1e-9 < 1.0 {
            // Those that were sent just now are mostly answered soon.
            let is_recent = self.unread.was_added_since(now.saturating_sub(MAX_REPORT_AGE));
            return if is_recent { Verdict::Wait } else { Verdict::Refused };
        }
        let taken = self.taken_since(sharing.told_until.min(now)) as f64;
        // The last ones are not divided; what hosts take too much then, they wait for.
        let part = ((left + taken) / deciders).max(1.0);
        if taken + 1.0 <= part + 1e-9 {
            Verdict::Allowed
        } else if now.since(sharing.told_until) <= MAX_REPORT_AGE {
            Verdict::Wait
        } else {
            // One of them does not hear this host, and nobody knows when it will.
            Verdict::Refused
        }
    }

    /// Takes a retry if the verdict allows it.
    pub fn take_retry(&mut self, now: clock::Moment) -> Verdict {
        let verdict = self.verdict(now);
        if verdict == Verdict::Allowed {
            self.count_taken(now);
            self.record_retry(now);
        }
        verdict
    }

    /// Takes a retry for the incarnation `host`, for which this host decides.
    pub fn grant_retry(&mut self, host: u64, now: clock::Moment) -> Verdict {
        let verdict = self.verdict(now);
        if verdict == Verdict::Allowed {
            self.count_taken(now);
            let ends_at = now + self.settings.window + UNREAD_SPAN;
            let known = self.others.entry(host).or_insert_with(|| Received::unheard(ends_at));
            let oldest = now.saturating_sub(self.settings.window);
            known.granted.retain(|at| *at >= oldest);
            known.granted.push_back(now);
            known.ends_at = ends_at;
        }
        verdict
    }

    /// Returns how many retries this host took after `from`.
    fn taken_since(&self, from: clock::Moment) -> usize {
        self.taken.iter().filter(|at| **at >= from).count()
    }

    fn count_taken(&mut self, now: clock::Moment) {
        let oldest = now.saturating_sub(self.settings.window);
        self.taken.retain(|at| *at >= oldest);
        self.taken.push_back(now);
    }
}
