//! Parsed contents of a section.

use std::collections;
use std::net;
use std::sync;

use crate::clock;
use crate::id;
use crate::port::engine;

/// SHA-256 of an API key of a customer or of a key of a team.
pub type KeyHash = [u8; 32];

/// Contents of one team's section.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Body {
    /// The team's customers.
    pub customers: collections::BTreeMap<id::Customer, Customer>,
    /// The team's models.
    pub models: collections::BTreeMap<id::Model, Model>,
    /// The team's plain services, which are HTTP services other than model engines.
    pub services: collections::BTreeMap<id::Service, Service>,
    /// The team's upstreams.
    pub upstreams: collections::BTreeMap<id::Upstream, Upstream>,
    /// Engines reserved by the team for a model; it is charged for them even while they are idle.
    pub claims: collections::BTreeMap<id::Model, Claim>,
    /// The team's policy.
    pub policy: Policy,
}

/// A customer with its keys, permissions and limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// SHA-256 of each API key that identifies this customer.
    pub keys: Vec<KeyHash>,
    /// Models it may use; empty means all.
    pub models: Vec<id::Model>,
    /// Services it may use; empty means all.
    pub services: Vec<id::Service>,
    /// Fair-queueing weight relative to other customers when requests queue up.
    pub weight: u32,
    /// Rate limit in requests per second, over all entry hosts of a zone.
    pub requests_per_second: f64,
    /// Rate limit in prompt and answer tokens per second, over all entry hosts of a zone.
    pub tokens_per_second: f64,
    /// Deadline of a request that does not specify one.
    pub default_deadline: clock::Span,
    /// Longest deadline that a request may specify.
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

/// A model that callers can request by name.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Maximum length of prompt and answer together, in tokens.
    pub max_tokens: u64,
    /// Initial estimate of prompt bytes per token; refined from the token counts of answers.
    pub bytes_per_token: f64,
    /// KV cache memory per token, in bytes.
    pub kv_bytes_per_token: u64,
    /// Whether an interrupted answer may be continued on another engine.
    pub continues: bool,
    /// Size of the weights that an engine loads when it switches to this model, in bytes.
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

/// A plain service that callers can request by name.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// HTTP methods whose calls may be executed more than once.
    pub idempotent_methods: Vec<String>,
    /// Maximum size in bytes of an answer that is stored for replay by idempotency key, or read
    /// completely for a caller that has no chunks.
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
    /// A model engine, with the models that it has loaded or may load.
    Models(Vec<id::Model>),
    /// A replica of a plain service.
    Service(id::Service),
}

/// An upstream: a model engine or a replica of a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Availability zone.
    pub zone: id::Zone,
    /// Address that it listens on.
    pub address: net::SocketAddr,
    /// Models or service that it serves.
    pub serves: Serves,
    /// Role assigned to an engine: which prompt lengths it is used for.
    pub role: engine::Role,
    /// KV cache capacity of an engine, in tokens.
    pub kv_tokens: u64,
    /// Initial estimate of the prefill rate of an otherwise idle engine, in tokens per second;
    /// used until the engine reports its own.
    pub prefill_rate: f64,
    /// Number of requests that an engine batches, or a service handles, concurrently.
    pub slots: u32,
    /// Whether it rejects commands that carry an outdated fencing number.
    pub checks_fence: bool,
    /// Number of accelerators; its time is charged once for each of them.
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

/// A team's reservation of engines for one model. Unrelated to the claim of an idempotency key in
/// [`lifecycle::claim`](crate::lifecycle::claim).
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Claim {
    /// Number of engines, over all zones.
    pub engines: u32,
}

/// Inclusive upper bounds of the prompt length classes, in tokens; the last class is unbounded.
pub const CLASS_BOUNDS: [u64; 3] = [4_096, 32_768, 131_072];

/// Length class of a prompt, used for scheduling, metrics and objectives.
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
    /// More than 128k tokens.
    Huge,
}

impl Class {
    /// All classes, in ascending order of length.
    pub const ALL: [Class; 4] = [Class::Short, Class::Medium, Class::Long, Class::Huge];

    /// Returns the class of a prompt of `tokens` tokens.
    pub fn of(tokens: u64) -> Class {
        let index = CLASS_BOUNDS.iter().position(|&bound| tokens <= bound);
        Class::ALL[index.unwrap_or(CLASS_BOUNDS.len())]
    }

    /// Returns the name used in settings, metrics and reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Class::Short => "short",
            Class::Medium => "medium",
            Class::Long => "long",
            Class::Huge => "huge",
        }
    }
}

/// Authorized keys, scheduling weights and service-level objectives of a team.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// SHA-256 of each key that is authorized to change this section.
    pub team_keys: Vec<KeyHash>,
    /// Weight of the time to first token in scheduling, by length class. Set per team, because some
    /// teams value it more than others.
    pub first_token_weight: [f64; 4],
    /// Weight of the slowdown of short requests in scheduling. Set per team, because some teams
    /// value it more than others.
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

/// Measurement that an objective is based on.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Indicator {
    /// Time to first token in one length class is within the bound.
    FirstToken(Class),
    /// Time between tokens is within the bound.
    BetweenTokens,
    /// Slowdown of short requests that run alongside long ones, as a factor relative to an idle
    /// engine, is within the bound.
    ShortSlowdown,
    /// The answer is complete and within its deadline.
    WithinDeadline,
    /// The request did not end with outcome `unknown`.
    KnownOutcome,
}

/// A service-level objective: the share of good events that a team is promised.
#[derive(Clone, Debug, PartialEq)]
pub struct Objective {
    /// Name shown in reports.
    pub name: sync::Arc<str>,
    /// Measurement that decides whether an event is good.
    pub indicator: Indicator,
    /// Upper bound of a good event: milliseconds, or a factor for `ShortSlowdown`.
    pub bound: f64,
    /// Promised share of good events, such as 0.95.
    pub target: f64,
}
