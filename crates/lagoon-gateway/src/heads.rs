//! Heads of upstreams' answers: the one place at which what an upstream says of itself is taken,
//! whatever it answered and by which way the answer came.

use std::collections;

use lagoon_platform::head;
use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::routing;

use crate::carriers;
use crate::event;
use crate::exchange;
use crate::forward;
use crate::state;

/// Maximum number of names of unread fields that are counted one by one; others count as `other`.
const MAX_UNREAD_NAMES: usize = 64;
/// Maximum length in bytes of such a name, and in characters of an unreadable value that is logged.
const MAX_TEXT: usize = 64;
/// Label of unread fields beyond [`MAX_UNREAD_NAMES`], or of longer names.
const OTHER_NAMES: &str = "other";

/// Maximum number of unreadable values that are remembered so that each is logged once; the memory
/// starts anew when it is full.
const MAX_UNREADABLE_VALUES: usize = 256;

/// Values of fields that could not be read, by upstream and lifetime.
#[derive(Debug, Default)]
pub(crate) struct UnreadableValues(collections::BTreeSet<(id::Upstream, u64, String)>);

impl UnreadableValues {
    /// Adds a value; returns whether it is new.
    fn insert(&mut self, origin: &Origin<'_>, text: &str) -> bool {
        if self.0.len() >= MAX_UNREADABLE_VALUES {
            self.0.clear();
        }
        self.0.insert((origin.upstream.clone(), origin.started_ms, text.to_owned()))
    }
}

/// Names of fields that nobody reads, as far as answers had them.
pub(crate) type UnreadNames = collections::BTreeSet<String>;

/// Where and when an answer was made.
#[derive(Debug)]
pub(crate) struct Origin<'a> {
    pub(crate) service: &'a id::Service,
    /// The upstream that was asked.
    pub(crate) upstream: &'a id::Upstream,
    /// When the upstream's lifetime began, as [`routing::Registration::started_ms`].
    pub(crate) started_ms: u64,
    /// Id of the caller's request; `None` for a call of this host's own.
    pub(crate) request: Option<&'a str>,
    /// The host that carried the connection, if it was not direct.
    pub(crate) through: Option<&'a id::Host>,
    /// When the request was sent.
    pub(crate) sent_at: clock::Moment,
    /// When the head of the answer arrived.
    pub(crate) seen_at: clock::Moment,
    /// Whether the host that chose the upstream took it to have a limit.
    pub(crate) limited: bool,
}

impl Origin<'_> {
    /// Whether the answer is that of the upstream that was asked, to this request. What another one
    /// says, whose answer came late or which listens at the same address now, is not believed of it.
    fn is_certain(&self, status: u16, answer: &head::Answer) -> bool {
        let is_by_upstream = answer.instance.as_ref().is_none_or(|by| by == self.upstream);
        let is_to_request =
            |request: &str| answer.request_id.as_deref().is_none_or(|id| id == request);
        let is_spoiled = (200..300).contains(&status) && (!answer.signed || answer.encoded);
        is_by_upstream
            && status != head::MISDIRECTED
            && self.request.is_none_or(|request| is_to_request(request) && !is_spoiled)
    }
}

impl forward::Admitted {
    /// Takes what the head of `open` says of its upstream.
    pub(crate) fn observe_head(&self, open: &forward::OpenAnswer, answer: &head::Answer) {
        let origin = Origin {
            service: &self.service,
            upstream: &open.upstream,
            started_ms: open.entry.started_ms,
            request: Some(&self.request.head.request_id),
            through: open.through.as_ref(),
            sent_at: open.sent_at,
            seen_at: open.head_at,
            limited: open.limited,
        };
        self.state.observe_head(&origin, open.answer.status().as_u16(), answer);
    }
}

impl state::State {
    /// Takes what the answer to a report or an order, sent at `sent_at`, says of the engine `entry`.
    /// An engine that only helps others answers nothing else.
    pub(crate) fn observe_reply(
        &self,
        entry: &routing::Registration,
        sent_at: clock::Moment,
        reply: &exchange::Reply,
    ) {
        let fields: Vec<_> =
            reply.headers.iter().map(|(name, value)| (name.as_str(), value.as_bytes())).collect();
        let origin = Origin {
            service: &entry.service,
            upstream: &entry.upstream,
            started_ms: entry.started_ms,
            request: None,
            through: reply.through.as_ref(),
            sent_at,
            seen_at: self.clock.now(),
            limited: false,
        };
        self.observe_head(
            &origin,
            reply.status,
            &head::read_answer(reply.status, fields.into_iter()),
        );
    }

    fn observe_head(&self, origin: &Origin<'_>, status: u16, answer: &head::Answer) {
        self.count_unread_fields(origin.upstream, &answer.unread);
        if !origin.is_certain(status, answer) {
            return;
        }
        self.observe_limit(origin, answer);
        self.observe_cold(origin, answer);
        self.observe_leaving(origin, status, &answer.leaving);
        self.observe_retry_after(origin, status, &answer.retry_after);
    }

    /// Takes an upstream out of use that says that it is leaving.
    fn observe_leaving(&self, origin: &Origin<'_>, status: u16, leaving: &head::Leaving) {
        match leaving {
            head::Leaving::Unsaid => {}
            head::Leaving::Announced => {
                self.metrics.leaving_answers.inc();
                let departure = routing::Departure {
                    upstream: origin.upstream.clone(),
                    started_ms: origin.started_ms,
                    cause: routing::DepartureCause::Announced,
                };
                if self.apply_announcement(&departure) {
                    origin.line("leaving_said", status).info();
                }
                if let Some(host) = origin.through {
                    self.tell_carrier(host, carriers::Word::Departure(departure));
                }
            }
            head::Leaving::Unreadable(text) => {
                self.log_unreadable(origin, status, "leaving_unreadable", text);
            }
        }
    }

    /// Logs a value that cannot be read, once for each value of a lifetime of its upstream.
    pub(crate) fn log_unreadable(
        &self,
        origin: &Origin<'_>,
        status: u16,
        event: &'static str,
        text: &str,
    ) {
        let text: String = text.chars().take(MAX_TEXT).collect();
        let is_first = state::lock(&self.unreadable_values).insert(origin, &text);
        if is_first {
            origin.line(event, status).text("value", text).text("outcome", "ignored").warn();
        }
    }

    /// Counts fields of answers that nobody reads by their names, and logs each name once: it may be
    /// one that should be read.
    fn count_unread_fields(&self, upstream: &id::Upstream, names: &[String]) {
        for name in names {
            let mut known = state::lock(&self.unread_names);
            let has_room = known.len() < MAX_UNREAD_NAMES && name.len() <= MAX_TEXT;
            let is_counted = known.contains(name) || has_room;
            let is_first = is_counted && known.insert(name.clone());
            drop(known);
            self.metrics.count_unread_field(if is_counted { name } else { OTHER_NAMES });
            if is_first {
                event::Line::new("answer_field_unread")
                    .text("name", name)
                    .text("upstream", upstream)
                    .info();
            }
        }
    }
}

impl Origin<'_> {
    /// Begins a log line about what the answer says.
    pub(crate) fn line(&self, event: &'static str, status: u16) -> event::Line {
        event::Line::new(event)
            .text("request", self.request.unwrap_or_default())
            .text("upstream", self.upstream)
            .number("life", self.started_ms)
            .number("status", status)
            .text("through", self.through.map_or("", id::Host::as_str))
    }
}
