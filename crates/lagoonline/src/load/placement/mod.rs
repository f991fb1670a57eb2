//! Chooses the upstream for a request, and the engines that help to prefill a long prompt.
//!
//! Load pattern: short prompts mixed with long ones, in proportions that change tenfold within
//! seconds, arriving through many entry hosts that each see only a part of the traffic.
//! Least-outstanding balancing would queue a short prompt behind a long one, or two long ones on
//! one engine. The [`Placer`] therefore tracks what all hosts have in flight on each engine, as far
//! as this host has been told, advances it at the engine's published speed, and places a request
//! where its first token is expected soonest while it delays the fewest other answers. Late or lost
//! messages from other hosts only cost efficiency, since an engine enforces its own limits.
//!
//! Terms: the *primary* of a prompt is the engine that answers it; *helpers* are engines that
//! prefill *parts* of it. The *gap limit* of a request is the longest pause between two events of
//! its answer that still meets the objective. It is *tight* up to [`Settings::tight_gap`], as
//! usual for short prompts, and *loose* above, as usual for long ones.

use std::collections;
use std::fmt;
use std::net;

use super::{backoff, profile, upstream_limit};
use crate::clock;
use crate::id;
use crate::lifecycle::fingerprint;
use crate::routing;

mod cold;
mod limited;
mod order;
mod partition;
mod prefill;
mod prompt;
mod retained;
mod settings;
mod upstream;
mod waitlist;

pub use cold::ColdUpstream;
pub use limited::AppliedLimit;
pub use order::customer_number;
use order::{Account, Charges, Claim, Room};
pub use partition::Partitions;
use prefill::PrefillLoad;
use retained::Retained;
pub use settings::Settings;
use upstream::UpstreamState;
use waitlist::{Turn, Waitlist};

/// Identifies a dispatch: the host that sent it, and its sequence number there.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct DispatchId {
    /// Number of the host.
    pub host: u64,
    /// Sequence number of the dispatch at that host.
    pub number: u64,
}

/// A dispatched request and the load that it puts on upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// Its identifier.
    pub id: DispatchId,
    /// The upstream that answers it.
    pub primary: id::Upstream,
    /// The engines that prefill parts of its prompt.
    pub helpers: Vec<id::Upstream>,
    /// Prompt length in tokens; 0 for a call of a plain service.
    pub prompt_tokens: u64,
    /// KV tokens reserved on each of the first helpers; further helpers have no reservation.
    pub helper_reserves: Vec<u64>,
    /// Longest pause between two events of the answer that still meets the objective.
    pub max_gap: clock::Span,
    /// Time by which it has ended at the latest.
    pub deadline: clock::Moment,
    /// Priority of the request; 0 is the most urgent.
    pub urgency: u32,
    /// [`customer_number`] of the customer that sent it.
    pub customer: u32,
}

impl Dispatch {
    /// The dispatch of a prompt of `prompt_tokens` tokens according to the placement `placement`,
    /// with the gap limit `max_gap` and the deadline `deadline`.
    pub fn new(
        id: DispatchId,
        placement: &Placement,
        prompt_tokens: u64,
        max_gap: clock::Span,
        deadline: clock::Moment,
    ) -> Dispatch {
        let reserves =
            placement.helpers.iter().map(|helper| helper.reserve).filter(|reserve| *reserve > 0);
        Dispatch {
            id,
            primary: placement.primary.upstream.clone(),
            helpers: placement.helpers.iter().map(|helper| helper.entry.upstream.clone()).collect(),
            prompt_tokens,
            helper_reserves: reserves.collect(),
            max_gap,
            deadline,
            urgency: 0,
            customer: 0,
        }
    }

    /// The dispatch with the priority `urgency`, where 0 is the most urgent, of the customer with
    /// the [`customer_number`] `customer`.
    #[must_use]
    pub fn charged_to(self, urgency: u32, customer: u32) -> Dispatch {
        Dispatch { urgency, customer, ..self }
    }
}

/// A request that needs a placement.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// Prompt length in tokens; 0 for a call of a plain service.
    pub prompt_tokens: u64,
    /// Most tokens that the answer may have.
    pub answer_tokens: u64,
    /// Time left until the first event, which is the first token of a model's answer, would be
    /// late.
    pub target: clock::Span,
    /// Longest pause between two events of the answer that still meets the objective.
    pub max_gap: clock::Span,
    /// How long it has waited at this host.
    pub waited: clock::Span,
    /// Identifies the request while it waits; taken from the same sequence as dispatches.
    pub waiter: DispatchId,
    /// Zone of this host.
    pub zone: &'a id::Zone,
    /// Upstreams that have already failed this request.
    pub avoid: &'a [id::Upstream],
    /// Upstreams that want no requests now from the host that sends this one, in the order of their
    /// names.
    pub backoffs: &'a [backoff::Backoff],
    /// Upstreams that want no requests now from some host, in the order of their names. Others are
    /// preferred while they have room.
    pub hints: &'a [backoff::Backoff],
    /// Random number that breaks ties between equally good choices.
    pub random: u64,
    /// What the request is, if that has been computed; see [`Placer::wants_identity`].
    pub identity: Option<fingerprint::Fingerprint>,
    /// Prefixes of its prompt that other requests may share, as hashes with lengths in tokens,
    /// shortest first. Used only if the service retains them; see [`Settings::retained`].
    pub prefixes: &'a [(u64, u64)],
    /// Its priority: that of its customer, or else of its route; 0 is the most urgent.
    pub urgency: u32,
    /// The customer that sent it; `None` on a route that needs no key.
    pub customer: Option<&'a id::Customer>,
    /// Which upstreams may get requests now.
    pub eligibility: &'a routing::Eligibility,
    /// Where it may be processed.
    pub homes: &'a routing::Homes,
}

impl Request<'_> {
    /// Whether the upstream may get this request now and has not failed it.
    fn may_use(&self, state: &UpstreamState) -> bool {
        !self.has_failed_at(state) && self.exclusion(state).is_none()
    }

    /// Whether the upstream has failed this request.
    fn has_failed_at(&self, state: &UpstreamState) -> bool {
        self.avoid.contains(&state.entry().upstream)
    }

    /// Returns why the upstream must not get this request now; `None` if it may.
    fn exclusion(&self, state: &UpstreamState) -> Option<routing::Exclusion> {
        let entry = state.entry();
        self.eligibility.exclusion(&routing::Send {
            chosen: entry,
            listed: Some(entry),
            homes: self.homes,
            backoff_until: backoff::find(self.backoffs, &entry.upstream, entry.started_ms),
            work: routing::Work::New,
        })
    }
}

/// The outcome of a placement decision.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The upstream that answers the request.
    pub primary: routing::Registration,
    /// KV tokens to reserve on it; 0 for no reservation.
    pub reserve: u64,
    /// Engines that prefill parts of the prompt, in the order in which they are listed in the
    /// request to the primary.
    pub helpers: Vec<Helper>,
    /// Expected time from now to the first token.
    pub expected: clock::Span,
    /// Estimated state of the chosen upstream, for the log.
    pub estimate: Estimate,
    /// Estimated state of the second-best upstream, for the log.
    pub runner_up: Option<Estimate>,
    /// Whether the primary had a limit on its requests, as far as known. All hosts then need to
    /// know what its answer says of it.
    pub limited: bool,
}

/// Estimated state of an upstream at the time of a placement decision.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Queued prefill in milliseconds.
    pub prefill_ms: f64,
    /// Number of answers in decode.
    pub decoding: u32,
    /// Slots in use, by answers in prefill or decode.
    pub used_slots: usize,
    /// Time since this host last received anything from it.
    pub silence: clock::Span,
}

impl fmt::Display for Estimate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Estimate { prefill_ms, decoding, used_slots, silence } = self;
        let silence_ms = silence.as_millis();
        write!(formatter, "reads {prefill_ms:.0} ms, {decoding} writers, {used_slots} places, ")?;
        write!(formatter, "heard {silence_ms} ms ago")
    }
}

/// An engine that prefills a part of a prompt which another engine answers.
#[derive(Clone, Debug, PartialEq)]
pub struct Helper {
    /// The engine.
    pub entry: routing::Registration,
    /// KV tokens to reserve on it; 0 for no reservation.
    pub reserve: u64,
}

/// Why a request cannot be placed now.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// No upstream is available.
    #[error("no upstream")]
    NoUpstream,
    /// The prompt needs more memory than all engines that may help have together.
    #[error("too long")]
    TooLong,
    /// The request should wait briefly at this host for the missing resource.
    #[error("engines are busy: {0}")]
    Deferred(Shortage),
    /// The request would be late; the missing resource is expected to be free after this span.
    #[error("engines are full for {1:?}: {0}")]
    Rejected(Shortage, clock::Span),
}

/// The resource that engines lack for a request that cannot be placed now.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Shortage {
    /// A free slot.
    #[error("no place")]
    Slot,
    /// KV memory for the prompt.
    #[error("no memory")]
    Memory,
    /// Prefill capacity within the time limit.
    #[error("too much to read")]
    Prefill,
    /// Slack in the gap limits of in-flight answers: the prefill would make more of them late than
    /// the request's own answer is worth.
    #[error("answers under way would be late")]
    Gap,
    /// A request that an upstream takes: all of them limit their requests, or are cold.
    #[error("all upstreams limit their requests")]
    Permit,
    /// An upstream that wants requests of this host: all have turned it away for a time.
    #[error("all upstreams asked this host to wait")]
    Backoff,
    /// An upstream in a zone that may be used: all are in evacuated zones or outside the homes of
    /// the request.
    #[error("all upstreams are in zones that are evacuated or not allowed")]
    Zone,
}

/// A dispatch in flight, and when this host learned of it.
#[derive(Clone, Debug)]
struct Tracked {
    dispatch: Dispatch,
    since: clock::Moment,
}

/// A prompt that is to be placed, and what goes before it.
#[derive(Clone, Copy, Debug)]
struct Queued {
    claim: Claim,
    /// `None` if the order of waiting prompts has no effect on it.
    turn: Option<Turn>,
}

/// Tracks the dispatches in flight on the upstreams of one service and places new requests.
#[derive(Clone, Debug)]
pub struct Placer {
    settings: Settings,
    upstreams: collections::BTreeMap<id::Upstream, UpstreamState>,
    dispatches: collections::HashMap<DispatchId, Tracked>,
    zone: id::Zone,
    partitions: Partitions,
    /// Recent prefill demand of prompts with loose gap limits.
    prefill_load: PrefillLoad,
    /// Prompts that wait for a placement.
    waitlist: Waitlist,
    /// Engine time that urgencies and customers got recently.
    charges: Charges,
    /// Which of the hosts that place requests goes first at an upstream that limits them.
    turns: upstream_limit::Turns,
    /// This host's share of the limits of upstreams.
    share: f64,
    /// Requests that wait for a permit of any upstream.
    permit_queue: upstream_limit::Queue<DispatchId>,
    /// What is known of cold upstreams as a whole.
    cold: cold::ColdState,
    /// Prefixes that engines retain, if the service does.
    retained: Option<Retained>,
}

impl Placer {
    /// An empty tracker for a host in `zone`, whose number is `own`.
    pub fn new(settings: Settings, zone: id::Zone, own: u64) -> Placer {
        Placer {
            settings,
            upstreams: collections::BTreeMap::new(),
            dispatches: collections::HashMap::new(),
            zone,
            partitions: Partitions::default(),
            prefill_load: PrefillLoad::default(),
            waitlist: Waitlist::default(),
            charges: Charges::default(),
            turns: upstream_limit::Turns::new(own),
            share: 1.0,
            permit_queue: upstream_limit::Queue::default(),
            cold: cold::ColdState::default(),
            retained: Retained::new(&settings),
        }
    }

    /// Replaces the set of upstreams; dispatches in flight are kept.
    pub fn set_upstreams(
        &mut self,
        entries: &[routing::Registration],
        profile: Option<profile::Profile>,
    ) {
        let names: collections::BTreeSet<_> = entries.iter().map(|entry| &entry.upstream).collect();
        self.upstreams.retain(|name, _| names.contains(name));
        for entry in entries {
            match self.upstreams.get_mut(&entry.upstream) {
                Some(state) => state.update(entry.clone(), profile),
                None => {
                    let mut state = UpstreamState::new(entry.clone(), profile);
                    for tracked in self.dispatches.values() {
                        state.add_if_on(&tracked.dispatch, clock::Moment::START);
                    }
                    self.upstreams.insert(entry.upstream.clone(), state);
                }
            }
        }
        self.update_retained();
    }

    /// Number of dispatches in flight.
    pub fn dispatches(&self) -> usize {
        self.dispatches.len()
    }

    /// Records that a request was dispatched.
    ///
    /// Repeated records of one dispatch count once: when two hosts connect, each sends a list of
    /// all its dispatches in flight, and it also announces each dispatch separately.
    pub fn record_dispatch(&mut self, dispatch: Dispatch, now: clock::Moment) {
        if self.dispatches.contains_key(&dispatch.id) {
            return;
        }
        for name in std::iter::once(&dispatch.primary).chain(&dispatch.helpers) {
            if let Some(state) = self.upstreams.get_mut(name) {
                state.add_if_on(&dispatch, now);
                state.take_permit(now);
            }
        }
        self.prefill_load.add(self.loose_prefill_ms(&dispatch), now);
        self.charge(&dispatch, now);
        self.dispatches.insert(dispatch.id, Tracked { dispatch, since: now });
    }

    /// Milliseconds in which a single engine would prefill the prompt of `dispatch`; 0 if its gap
    /// limit is tight.
    fn loose_prefill_ms(&self, dispatch: &Dispatch) -> f64 {
        if dispatch.max_gap <= self.settings.tight_gap {
            return 0.0;
        }
        let profile = self.upstreams.get(&dispatch.primary).and_then(UpstreamState::profile);
        profile.map_or(0.0, |profile| profile.prefill_ms(dispatch.prompt_tokens))
    }

    /// Sets the number of hosts that place requests, including this one. Each of the others is
    /// assumed to have as many waiting prompts as this one.
    pub fn set_placing_hosts(&mut self, hosts: usize) {
        self.waitlist.set_placing_hosts(hosts);
    }

    /// Whether the prompt of `dispatch` has been prefilled.
    fn is_prefilled(&self, dispatch: &Dispatch) -> bool {
        self.upstreams.get(&dispatch.primary).is_some_and(|state| state.is_decoding(dispatch.id))
    }

    /// Records the first token of a request, which shows that its prompt has been prefilled.
    pub fn record_first_token(&mut self, id: DispatchId, now: clock::Moment) {
        self.for_each_upstream(id, |state| state.record_first_token(id, now));
        self.retain_prompt(id, now);
    }

    /// Records the end of a request.
    pub fn record_end(&mut self, id: DispatchId, now: clock::Moment) {
        self.for_each_upstream(id, |state| state.record_end(id, now));
        self.dispatches.remove(&id);
        self.forget_prompt(id);
    }

    /// The in-flight dispatches of the hosts that `wanted` selects, each with whether its prompt
    /// has been prefilled.
    pub fn in_flight<Wanted>(&self, wanted: Wanted) -> impl Iterator<Item = (&Dispatch, bool)>
    where
        Wanted: Fn(u64) -> bool,
    {
        let dispatches = self.dispatches.values().map(|tracked| &tracked.dispatch);
        let dispatches = dispatches.filter(move |dispatch| wanted(dispatch.id.host));
        dispatches.map(|dispatch| (dispatch, self.is_prefilled(dispatch)))
    }

    /// Drops the dispatches of `host` that are not listed in `numbers` and that this host has known
    /// of since `before` or earlier; `numbers` lists all dispatches that `host` has in flight.
    /// Returns those dropped.
    ///
    /// Failure mode: the message that a request ended is lost, and its slot would count as used
    /// until the caller's deadline. The complete list of a host corrects all lost messages.
    pub fn retain_listed(
        &mut self,
        host: u64,
        numbers: &collections::HashSet<u64>,
        before: clock::Moment,
        now: clock::Moment,
    ) -> Vec<DispatchId> {
        let ended = self.dispatches.values().filter(|tracked| {
            let id = tracked.dispatch.id;
            id.host == host && tracked.since <= before && !numbers.contains(&id.number)
        });
        let ended: Vec<_> = ended.map(|tracked| tracked.dispatch.id).collect();
        for id in &ended {
            self.record_end(*id, now);
        }
        ended
    }

    /// Drops dispatches past their deadline, such as those of hosts that stopped sending updates.
    pub fn expire(&mut self, now: clock::Moment) {
        let dispatches = self.dispatches.values().map(|tracked| &tracked.dispatch);
        let expired: Vec<_> = dispatches
            .filter(|dispatch| dispatch.deadline <= now)
            .map(|dispatch| dispatch.id)
            .collect();
        for id in expired {
            self.record_end(id, now);
        }
        self.turns.expire(now);
        self.permit_queue.expire(now);
        self.waitlist.expire(now);
    }

    /// Records that an upstream could not be reached or stopped responding; it is avoided for a
    /// while.
    pub fn record_unreachable(&mut self, upstream: &id::Upstream, now: clock::Moment) {
        let span = self.settings.avoid_span;
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.record_unreachable(now, span);
            self.partitions.record_failure(&self.zone, &state.entry().zone, upstream, now);
        }
    }

    /// Forgets that an upstream could not be reached: another host reached it meanwhile.
    pub fn forget_failure(&mut self, upstream: &id::Upstream) {
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.forget_failure();
            self.partitions.record_success(&self.zone, &state.entry().zone);
        }
    }

    /// Forgets which upstreams could not be reached, for a host whose own paths were at fault.
    pub fn forget_failures(&mut self) {
        for state in self.upstreams.values_mut() {
            state.forget_failure();
        }
        self.partitions = Partitions::default();
    }

    /// Records that the engine `primary` could not reach `helper`, which was to prefill a part of a
    /// prompt.
    pub fn record_helper_failure(
        &mut self,
        primary: &id::Upstream,
        helper: &id::Upstream,
        now: clock::Moment,
    ) {
        let from = self.upstreams.get(primary).map(|state| state.entry().zone.clone());
        let span = self.settings.avoid_span;
        if let (Some(from), Some(state)) = (from, self.upstreams.get_mut(helper)) {
            state.record_unreachable(now, span);
            self.partitions.record_failure(&from, &state.entry().zone, helper, now);
        }
    }

    /// The upstream that listens on `address`.
    pub fn upstream_at(&self, address: net::SocketAddr) -> Option<&id::Upstream> {
        let mut entries = self.upstreams.values().map(UpstreamState::entry);
        entries.find(|entry| entry.address == address).map(|entry| &entry.upstream)
    }

    /// The registration of the upstream with this name.
    pub fn entry(&self, name: &str) -> Option<&routing::Registration> {
        self.upstreams.get(name).map(UpstreamState::entry)
    }

    /// Records that data arrived from an upstream.
    pub fn record_activity(&mut self, upstream: &id::Upstream, now: clock::Moment) {
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.record_activity(now);
        }
    }

    /// Records that a pass of this upstream takes `factor` times as long as published.
    ///
    /// Load pattern: some of the engines become several times slower for some seconds. Every prompt
    /// sent to one of them is late, and so is every long prompt of which one prefills a part, and
    /// the prompts queued behind it. Slow engines get no new requests as long as another engine is
    /// available.
    pub fn set_slowness(&mut self, upstream: &id::Upstream, factor: f64, now: clock::Moment) {
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.set_slowness(factor, now);
        }
    }

    /// The registrations of the model engines, which are the upstreams with a performance
    /// profile.
    pub fn engines(&self) -> impl Iterator<Item = &routing::Registration> {
        let engines = self.upstreams.values().filter(|state| state.profile().is_some());
        engines.map(UpstreamState::entry)
    }

    /// Whether anything arrived from an upstream within `span` before `now`. An upstream that is
    /// silent on a single request but active on others is busy, not down.
    pub fn is_alive(&self, upstream: &id::Upstream, span: clock::Span, now: clock::Moment) -> bool {
        self.upstreams.get(upstream).is_some_and(|state| now.since(state.last_activity()) <= span)
    }

    /// Whether an upstream failed another request and has sent nothing since.
    ///
    /// Failure mode: an upstream stops responding while it has many requests. Without this
    /// check each request would wait for its own gap limit to pass, which can take seconds.
    pub fn is_unresponsive(&self, upstream: &id::Upstream) -> bool {
        self.upstreams.get(upstream).is_some_and(UpstreamState::is_unresponsive)
    }

    /// Whether the engine that should answer `id` has started a later answer with the same gap
    /// limit to a prompt at least as long. An engine processes prompts of one kind in order of
    /// arrival.
    ///
    /// Failure mode: an engine keeps working but never answers some of its requests. Since the
    /// engine is alive, these would be awaited until their callers give up.
    pub fn is_overtaken(&self, id: DispatchId) -> bool {
        let Some(Tracked { dispatch, since }) = self.dispatches.get(&id) else { return false };
        let overtakes = |other: &&Tracked| {
            let Dispatch { primary, prompt_tokens, max_gap, .. } = &other.dispatch;
            other.since > *since
                && *primary == dispatch.primary
                && *max_gap == dispatch.max_gap
                && *prompt_tokens >= dispatch.prompt_tokens
        };
        self.dispatches.values().filter(overtakes).any(|other| self.is_prefilled(&other.dispatch))
    }

    /// Records that an engine had no memory for a reservation; it counts as full for a short time.
    pub fn mark_full(&mut self, upstream: &id::Upstream, now: clock::Moment) {
        let until = now + self.settings.full_span;
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.mark_full(until);
        }
    }

    /// Records that an upstream answered with an error of its own.
    ///
    /// Load pattern: an upstream fails its requests at once although its health check succeeds. It
    /// would always be the least loaded one and attract all requests, so its failure rate counts as
    /// additional delay.
    pub fn record_error(&mut self, upstream: &id::Upstream, now: clock::Moment) {
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.record_failure(now);
        }
    }

    /// Records that an upstream answered successfully.
    pub fn record_success(&mut self, upstream: &id::Upstream, now: clock::Moment) {
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.record_success(now);
            self.partitions.record_success(&self.zone, &state.entry().zone);
        }
    }

    fn for_each_upstream<Act>(&mut self, id: DispatchId, mut act: Act)
    where
        Act: FnMut(&mut UpstreamState),
    {
        let Some(Tracked { dispatch, .. }) = self.dispatches.get(&id) else { return };
        for name in std::iter::once(&dispatch.primary).chain(&dispatch.helpers) {
            if let Some(state) = self.upstreams.get_mut(name) {
                act(state);
            }
        }
    }

    /// Chooses the upstreams for `request`.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request cannot be placed now.
    pub fn place(
        &mut self,
        request: &Request<'_>,
        now: clock::Moment,
    ) -> Result<Placement, Refusal> {
        for state in self.upstreams.values_mut() {
            state.advance(now);
            state.update_permits(&self.turns, now);
        }
        self.update_cold_permits(now);
        self.permit_queue.expire(now);
        let usable = self.usable(request, now);
        if usable.is_empty() {
            return Err(self.refuse_without_upstream(request, now));
        }
        if let Err(refusal) = self.check_permits(request, &usable, now) {
            self.record_refusal(request, refusal, now);
            return Err(refusal);
        }
        let profile = usable.iter().find_map(|state| state.profile());
        let preferred = self.preferred(request, &usable);
        let placed = match profile {
            Some(profile) if request.prompt_tokens > 0 => {
                let claim = self.claim(request, profile, now);
                let matters = self.order_matters(request, &usable, &claim, profile, now);
                let turn = || self.waitlist.turn(request.waiter, &claim, &self.charges, now);
                let queued = Queued { claim, turn: matters.then(turn).flatten() };
                let place = |among: &[_]| self.place_prompt(request, among, profile, queued, now);
                let placed = match preferred {
                    Some(preferred) => place(&preferred).or_else(|_| place(&usable)),
                    None => place(&usable),
                };
                self.record_attempt(request, queued, placed, now)
            }
            _ => Ok(self.place_call(request, preferred.as_deref().unwrap_or(&usable), now)),
        };
        if let Ok(placement) = &placed {
            self.permit_queue.leave(&limited::requester(request));
            self.record_choice(placement, now);
        }
        placed
    }

    /// The room that a prompt with the gap limit `max_gap` waits for.
    fn room(&self, max_gap: clock::Span) -> Room {
        if max_gap <= self.settings.tight_gap { Room::Slot } else { Room::Prefill }
    }

    /// Engine time in milliseconds that a prompt of `tokens` takes: its prefill on all engines, and
    /// a slot for the time of an average answer.
    fn engine_ms(&self, tokens: u64, profile: profile::Profile) -> f64 {
        let answer_ms = self.mean_answer_span(profile).as_secs_f64() * 1e3;
        profile.prefill_ms(tokens) + answer_ms / f64::from(profile.slots.max(1))
    }

    /// Engine time in milliseconds that is charged for `dispatch`; 0 for a call of a plain service.
    pub fn charged_ms(&self, dispatch: &Dispatch) -> f64 {
        let profile = self.upstreams.get(&dispatch.primary).and_then(UpstreamState::profile);
        let profile = profile.filter(|_| dispatch.prompt_tokens > 0);
        profile.map_or(0.0, |profile| self.engine_ms(dispatch.prompt_tokens, profile))
    }

    /// Charges the engine time of `dispatch`.
    fn charge(&mut self, dispatch: &Dispatch, now: clock::Moment) {
        let engine_ms = self.charged_ms(dispatch);
        if engine_ms > 0.0 {
            let Dispatch { urgency, customer, max_gap, .. } = *dispatch;
            let account = Account { room: self.room(max_gap), urgency, customer };
            self.charges.add(account, engine_ms, now);
        }
    }

    /// What the place of `request` among the waiting prompts depends on.
    fn claim(&self, request: &Request<'_>, profile: profile::Profile, now: clock::Moment) -> Claim {
        let account = Account {
            room: self.room(request.max_gap),
            urgency: request.urgency,
            customer: customer_number(request.customer),
        };
        let claim = Claim {
            account,
            cost_ms: self.engine_ms(request.prompt_tokens, profile),
            prefill_ms: profile.prefill_ms(request.prompt_tokens),
            tokens: request.prompt_tokens + request.answer_tokens,
            arrival: u64::MAX,
            has_returned: false,
        };
        self.waitlist.recall(request.waiter, request.identity, claim, now)
    }

    /// Records the attempt to place a prompt, and returns its outcome for the caller: one that came
    /// back too early keeps its time.
    fn record_attempt(
        &mut self,
        request: &Request<'_>,
        Queued { claim, turn }: Queued,
        placed: Result<Placement, Refusal>,
        now: clock::Moment,
    ) -> Result<Placement, Refusal> {
        let waits = matches!(placed, Err(Refusal::Deferred(_)));
        self.waitlist.record_attempt(request.waiter, claim, waits, now);
        let Some(identity) = request.identity else { return placed };
        match placed {
            Ok(_) => self.waitlist.fulfil(&identity),
            Err(Refusal::Rejected(shortage, span)) if turn.is_some() => {
                let due = self.waitlist.due(Some(identity), now).filter(|due| *due > now);
                let span = due.map_or(span, |due| due.since(now).max(self.settings.full_span));
                self.waitlist.promise(identity, claim, span, now);
                return Err(Refusal::Rejected(shortage, span));
            }
            Err(_) => {}
        }
        placed
    }

    /// Upstreams that may be used, in order of their names: those that look healthy, the failing
    /// ones last, or all if none does.
    fn usable(&self, request: &Request<'_>, now: clock::Moment) -> Vec<&UpstreamState> {
        let all: Vec<&UpstreamState> =
            self.upstreams.values().filter(|state| request.may_use(state)).collect();
        let healthy = |state: &&UpstreamState| {
            let partitioned = self.partitions.is_partitioned(&self.zone, &state.entry().zone, now);
            !state.is_avoided(now) && !partitioned && !state.is_slow(now)
        };
        let mut found: Vec<&UpstreamState> = all.iter().copied().filter(healthy).collect();
        // Failing upstreams come last, because the first engines are the ones dedicated to tight
        // gap limits.
        found.sort_by_key(|state| state.failure_rate(now) > FAILING_RATE);
        if found.is_empty() { all } else { found }
    }

    /// Returns those of `usable` that have room and turned no host away lately; `None` if these are
    /// all or none.
    fn preferred<'a>(
        &self,
        request: &Request<'_>,
        usable: &[&'a UpstreamState],
    ) -> Option<Vec<&'a UpstreamState>> {
        if request.hints.is_empty() {
            return None;
        }
        let is_preferred = |state: &&&UpstreamState| {
            let entry = state.entry();
            let is_hinted = backoff::find(request.hints, &entry.upstream, entry.started_ms);
            is_hinted.is_none() && state.has_free_slot() && state.is_open()
        };
        let preferred: Vec<_> = usable.iter().filter(is_preferred).copied().collect();
        let is_some = !preferred.is_empty() && preferred.len() < usable.len();
        is_some.then_some(preferred)
    }

    /// Returns the refusal of a request for which no upstream may be used. It waits if an upstream
    /// that turned its host away wants requests again before its target. It does not wait for the
    /// end of an evacuation, which only operators know.
    fn refuse_without_upstream(&self, request: &Request<'_>, now: clock::Moment) -> Refusal {
        let states = self.upstreams.values().filter(|state| !request.has_failed_at(state));
        let exclusions: Vec<_> = states.filter_map(|state| request.exclusion(state)).collect();
        let backoffs = exclusions.iter().filter_map(|exclusion| match exclusion {
            routing::Exclusion::BackedOff(until) => Some(*until),
            _ => None,
        });
        let is_zone_excluded = |exclusion: &routing::Exclusion| {
            use routing::Exclusion::{Evacuated, OutsideHomes};
            matches!(exclusion, Evacuated(_) | OutsideHomes(_))
        };
        match backoffs.min() {
            Some(first) if first.since(now) <= request.target => {
                Refusal::Deferred(Shortage::Backoff)
            }
            Some(first) => Refusal::Rejected(Shortage::Backoff, first.since(now)),
            None if exclusions.iter().any(is_zone_excluded) => {
                Refusal::Rejected(Shortage::Zone, ZONE_RETRY_TIME)
            }
            None => Refusal::NoUpstream,
        }
    }

    /// Places a call of a plain service on the least-used replica, preferring the own zone unless
    /// it is busier.
    fn place_call(
        &self,
        request: &Request<'_>,
        usable: &[&UpstreamState],
        now: clock::Moment,
    ) -> Placement {
        let cost = |state: &&&UpstreamState| {
            let remote = u64::from(state.entry().zone != *request.zone);
            let slots = u64::from(state.entry().slots.max(1));
            let used = state.dispatches() as u64 * 1_000 / slots;
            let failures = (state.failure_rate(now) * FAILURE_PENALTY) as u64;
            (used + remote * REMOTE_PENALTY + failures, tie_break(request.random, state))
        };
        let open = usable.iter().filter(|state| state.is_open());
        let primary = open.min_by_key(cost).map_or(usable[0], |state| *state);
        Placement {
            primary: primary.entry().clone(),
            reserve: 0,
            helpers: Vec::new(),
            expected: clock::Span::ZERO,
            estimate: primary.estimate(now),
            runner_up: None,
            limited: primary.is_limited(),
        }
    }
}

/// Retry time of a request whose upstreams are all in excluded zones. Nobody knows when operators
/// return a zone, and hosts learn of it well within this time, so callers that come back so often
/// find the zone soon and put little load on the hosts until then.
const ZONE_RETRY_TIME: clock::Span = clock::Span::from_secs(2);
/// Failure rate above which an upstream counts as failing: twice the rate at which services fail in
/// normal operation.
const FAILING_RATE: f64 = 0.3;
/// Penalty for a replica in another zone, in thousandths of its slots: about as if two of six were
/// taken.
const REMOTE_PENALTY: u64 = 300;
/// Penalty for a failure rate of one, in thousandths of a replica's slots: as if twice overloaded.
const FAILURE_PENALTY: f64 = 2_000.0;

/// A pseudo-random order of upstreams that differs from request to request.
fn tie_break(draw: u64, state: &UpstreamState) -> u64 {
    use std::hash::{Hash, Hasher};
    let mut hasher = collections::hash_map::DefaultHasher::new();
    (draw, state.entry().upstream.as_str()).hash(&mut hasher);
    hasher.finish()
}
