//! Contents of a section as plain data.

use std::collections;
use std::net;
use std::sync;

use crate::clock;
use crate::id;
use crate::port::engine;

/// SHA-256 of a caller key or team key.
pub type KeyHash = [u8; 32];

/// Contents of one team's section.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Body {
    /// The team's customers.
    pub customers: collections::BTreeMap<id::Customer, Customer>,
    /// The team's models.
    pub models: collections::BTreeMap<id::Model, Model>,
    /// The team's plain services.
    pub services: collections::BTreeMap<id::Service, Service>,
    /// The team's upstreams.
    pub upstreams: collections::BTreeMap<id::Upstream, Upstream>,
    /// Engines that the team holds for a model, for which it pays also while they are idle.
    pub claims: collections::BTreeMap<id::Model, Claim>,
    /// The team's policy.
    pub policy: Policy,
}

/// A customer: who may call, what, and how much.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// SHA-256 of each key that names this customer.
    pub keys: Vec<KeyHash>,
    /// Models it may use; empty for all.
    pub models: Vec<id::Model>,
    /// Services it may use; empty for all.
    pub services: Vec<id::Service>,
    /// Its share beside other customers when a queue forms.
    pub weight: u32,
    /// Requests a second over all entry hosts of a zone.
    pub requests_per_second: f64,
    /// Prompt and answer tokens a second over all entry hosts of a zone.
    pub tokens_per_second: f64,
    /// Deadline of a request that names none.
    pub default_deadline: clock::Span,
    /// Longest deadline that it may name.
    pub max_deadline: clock::Span,
}

impl Default for Customer {
    fn default() -> Self {
        Customer {
            keys: Vec::new(),
            models: Vec::new(),
            services: Vec::new(),
            weight: 1,
            requests_per_second: 50.0,
            tokens_per_second: 4_000_000.0,
            default_deadline: clock::Span::from_secs(60),
            max_deadline: clock::Span::from_secs(600),
        }
    }
}

/// A model that callers can name.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Longest prompt and answer together, in tokens.
    pub max_tokens: u64,
    /// First estimate of a prompt's bytes for each token; corrected from answers.
    pub bytes_per_token: f64,
    /// KV memory for each token, in bytes.
    pub kv_bytes_per_token: u64,
    /// Whether a broken answer may be continued on another engine.
    pub continues: bool,
    /// Weights to load when an engine shifts to this model, in bytes.
    pub weight_bytes: u64,
}

impl Default for Model {
    fn default() -> Self {
        Model {
            max_tokens: 1_048_576,
            bytes_per_token: 4.0,
            kv_bytes_per_token: 1_024,
            continues: true,
            weight_bytes: 16 << 30,
        }
    }
}

/// A plain service that callers can name.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Methods whose calls may run more than once.
    pub idempotent_methods: Vec<String>,
    /// Longest stored answer for replay by idempotency key, in bytes.
    pub max_answer_bytes: u64,
}

impl Default for Service {
    fn default() -> Self {
        let idempotent_methods = ["GET", "HEAD", "OPTIONS"].map(str::to_owned).to_vec();
        Service { idempotent_methods, max_answer_bytes: 16 << 20 }
    }
}

/// What an upstream serves.
#[derive(Clone, Debug, PartialEq)]
pub enum Serves {
    /// A model engine with the models that it has loaded or may load.
    Models(Vec<id::Model>),
    /// A replica of a plain service.
    Service(id::Service),
}

/// One upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Its availability zone.
    pub zone: id::Zone,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// What it serves.
    pub serves: Serves,
    /// What an engine is used for at first.
    pub role: engine::Role,
    /// KV memory of an engine, in tokens.
    pub kv_tokens: u64,
    /// Tokens that an engine prefills in a second when it does nothing else: the first estimate,
    /// until it reports its own.
    pub prefill_rate: f64,
    /// Requests that an engine batches, or a service handles, at once.
    pub slots: u32,
    /// Whether it refuses an order that carries an old fencing number.
    pub checks_fence: bool,
    /// Accelerators that its time is charged for.
    pub accelerators: u32,
}

impl Default for Upstream {
    fn default() -> Self {
        Upstream {
            zone: id::Zone::default(),
            address: net::SocketAddr::from(([127, 0, 0, 1], 0)),
            serves: Serves::Models(Vec::new()),
            role: engine::Role::Mixed,
            kv_tokens: 400_000,
            prefill_rate: 20_000.0,
            slots: 32,
            checks_fence: true,
            accelerators: 1,
        }
    }
}

/// A team's claim on engines of one model.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Claim {
    /// How many engines, over all zones.
    pub engines: u32,
}

/// Upper bounds of the prompt length classes, in tokens; the last class has none.
pub const CLASS_BOUNDS: [u64; 3] = [4_096, 32_768, 131_072];

/// Length class of a prompt.
///
/// ```
/// use lagoonline::control::document::Class;
/// assert_eq!(Class::of(1_000), Class::Short);
/// assert_eq!(Class::of(1_000_000), Class::Huge);
/// assert_eq!(Class::Long.as_str(), "long");
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Class {
    /// Up to 4k tokens.
    Short,
    /// Up to 32k tokens.
    Medium,
    /// Up to 128k tokens.
    Long,
    /// More.
    Huge,
}

impl Class {
    /// All classes, shortest first.
    pub const ALL: [Class; 4] = [Class::Short, Class::Medium, Class::Long, Class::Huge];

    /// The class of a prompt of `tokens` tokens.
    pub fn of(tokens: u64) -> Class {
        let index = CLASS_BOUNDS.iter().position(|&bound| tokens <= bound);
        Class::ALL[index.unwrap_or(CLASS_BOUNDS.len())]
    }

    /// The word used in settings, metrics and reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Class::Short => "short",
            Class::Medium => "medium",
            Class::Long => "long",
            Class::Huge => "huge",
        }
    }
}

/// What a team weighs and promises.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// SHA-256 of each key that may change this section.
    pub team_keys: Vec<KeyHash>,
    /// Weight of time to first token, by length class (Lakeshore weighs this more).
    pub first_token_weight: [f64; 4],
    /// Weight of the slowdown of short requests (Vatuwaqa weighs this more).
    pub short_slowdown_weight: f64,
    /// Service-level objectives.
    pub objectives: Vec<Objective>,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            team_keys: Vec::new(),
            first_token_weight: [1.0; 4],
            short_slowdown_weight: 1.0,
            objectives: Vec::new(),
        }
    }
}

/// What an objective measures.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Indicator {
    /// Time to first token of one length class, within the bound.
    FirstToken(Class),
    /// Time between tokens, within the bound.
    BetweenTokens,
    /// Slowdown of short requests beside long ones, as a multiple within the bound.
    ShortSlowdown,
    /// Answers whole and within their deadline.
    WithinDeadline,
    /// Requests that did not end as `unknown`.
    KnownOutcome,
}

/// One service-level objective: this share of events must be good.
#[derive(Clone, Debug, PartialEq)]
pub struct Objective {
    /// Its name in reports.
    pub name: sync::Arc<str>,
    /// What is measured.
    pub indicator: Indicator,
    /// Bound of a good event: milliseconds, or a multiple for `ShortSlowdown`.
    pub bound: f64,
    /// Share of good events that is promised, such as 0.95.
    pub target: f64,
}
