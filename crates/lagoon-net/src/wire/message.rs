//! Messages, as prost derives: no generator is needed. Field numbers are never reused, and an
//! unknown body is skipped, so that hosts of two versions work together.

/// Newest version of the messages that this build speaks.
pub const VERSION: u32 = 1;
/// Oldest version that it accepts.
pub const OLDEST_VERSION: u32 = 1;

/// What one frame carries, under its tag.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    /// Version of the sender's messages.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// Name of the sending host, or of the operator's program.
    #[prost(string, tag = "2")]
    pub sender: String,
    /// The sender's life.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Counts the sender's frames on this connection, or all its datagrams, from 1.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    /// The sender's wall clock in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "5")]
    pub wall_ms: u64,
    /// Nonce of the receiving side's challenge on this connection; empty in datagrams.
    #[prost(bytes = "bytes", tag = "6")]
    pub nonce: prost::bytes::Bytes,
    /// The message. Tag 25 was used once.
    #[prost(oneof = "Body", tags = "16, 17, 18, 19, 20, 21, 22, 23, 24, 26, 27, 28, 29")]
    pub body: Option<Body>,
}

/// The messages.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// First frame of the accepting side.
    #[prost(message, tag = "16")]
    Challenge(Challenge),
    /// First frame of the connecting side.
    #[prost(message, tag = "17")]
    Hello(Hello),
    /// Datagram between stewards.
    #[prost(message, tag = "18")]
    Heartbeat(Heartbeat),
    /// Versions that the sender has in force.
    #[prost(message, tag = "19")]
    Digest(Digest),
    /// Sections that the receiver lacks.
    #[prost(message, tag = "20")]
    Sections(Sections),
    /// Lagging load of upstreams.
    #[prost(message, tag = "21")]
    Loads(Loads),
    /// Upstreams that leave, or came back in a new life.
    #[prost(message, tag = "22")]
    Marks(Marks),
    /// State of an entry process.
    #[prost(message, tag = "23")]
    Status(Status),
    /// What customers used lately at one entry host.
    #[prost(message, tag = "24")]
    Spending(Spending),
    /// An operator's call.
    #[prost(message, tag = "26")]
    Call(Call),
    /// Answer to an operator's call.
    #[prost(message, tag = "27")]
    Reply(Reply),
    /// Stewards, and votes on them.
    #[prost(message, tag = "28")]
    Members(Members),
    /// States of entry processes, from steward to steward.
    #[prost(message, tag = "29")]
    Statuses(Statuses),
}

/// The accepting side's nonce, which every later frame of the other side carries.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Challenge {
    /// Random bytes, new for each connection.
    #[prost(bytes = "bytes", tag = "1")]
    pub nonce: prost::bytes::Bytes,
}

/// Who connects.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// Its part in the system.
    #[prost(enumeration = "Role", tag = "1")]
    pub role: i32,
    /// Its availability zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// The connecting side's own nonce, which every frame of the accepting side carries.
    #[prost(bytes = "bytes", tag = "3")]
    pub nonce: prost::bytes::Bytes,
}

/// Parts in the system.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, prost::Enumeration)]
#[repr(i32)]
pub enum Role {
    /// Not said.
    Unspecified = 0,
    /// The entry process.
    Entry = 1,
    /// The control process.
    Steward = 2,
    /// An operator's program.
    Operator = 3,
}

/// "I live", and what changed lately, as far as there is room. Tags 1 to 4 were used once.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// Loads that changed.
    #[prost(message, optional, tag = "5")]
    pub loads: Option<CompactLoads>,
    /// Use by customers who are near their limits.
    #[prost(message, repeated, tag = "6")]
    pub spendings: Vec<Spending>,
}

/// Loads in short, in columns of equal length: a tenth of the bytes of [`Loads`]. What does not
/// change within an upstream's life is left out, and known from [`Loads`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct CompactLoads {
    /// Codes of the upstreams' names.
    #[prost(fixed32, repeated, tag = "1")]
    pub upstreams: Vec<u32>,
    /// Codes of their lives.
    #[prost(uint32, repeated, tag = "2")]
    pub lives: Vec<u32>,
    /// Counts of their reports.
    #[prost(uint64, repeated, tag = "3")]
    pub sequences: Vec<u64>,
    /// Streams in their batches.
    #[prost(uint32, repeated, tag = "4")]
    pub running: Vec<u32>,
    /// Requests accepted and not yet in their batches.
    #[prost(uint32, repeated, tag = "5")]
    pub waiting: Vec<u32>,
    /// Prompt tokens not yet prefilled, in thousands.
    #[prost(uint32, repeated, tag = "6")]
    pub prefill_thousands: Vec<u32>,
    /// Free KV memory, in 127ths of all.
    #[prost(uint32, repeated, tag = "7")]
    pub kv_free_parts: Vec<u32>,
    /// Tenths of a second since they were read.
    #[prost(uint32, repeated, tag = "8")]
    pub ages: Vec<u32>,
}

/// Version of one team's section.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TeamVersion {
    /// The team.
    #[prost(string, tag = "1")]
    pub team: String,
    /// The version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// A steward.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Member {
    /// Its host.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Its availability zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Where it listens, as `IP:PORT`.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Its life.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
}

/// A watcher's word on a steward.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Vote {
    /// The watcher.
    #[prost(string, tag = "1")]
    pub by: String,
    /// The watcher's life.
    #[prost(uint64, tag = "2")]
    pub by_incarnation: u64,
    /// Counts the watcher's votes.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// The steward voted on.
    #[prost(string, tag = "4")]
    pub host: String,
    /// Its life.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
    /// True: silent. False: heard again.
    #[prost(bool, tag = "6")]
    pub against: bool,
}

/// Members and votes that the receiver may not know.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Members {
    /// The members.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<Member>,
    /// The votes.
    #[prost(message, repeated, tag = "2")]
    pub votes: Vec<Vote>,
}

/// Versions in force at the sender.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Digest {
    /// One line for each team.
    #[prost(message, repeated, tag = "1")]
    pub versions: Vec<TeamVersion>,
}

/// One section's text.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Section {
    /// The team.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Its version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Its JSON text; empty when it is told by changes.
    #[prost(string, tag = "3")]
    pub text: String,
    /// Changes that make it of the version that the receiver has.
    #[prost(message, repeated, tag = "4")]
    pub deltas: Vec<Delta>,
}

/// How one version of a section's text is made from an earlier one.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Delta {
    /// The earlier version.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// The version made.
    #[prost(uint64, tag = "2")]
    pub to: u64,
    /// SHA-256 of the text made.
    #[prost(bytes = "bytes", tag = "3")]
    pub hash: prost::bytes::Bytes,
    /// The steps, in order.
    #[prost(message, repeated, tag = "4")]
    pub steps: Vec<DeltaStep>,
}

/// One step: new text, or bytes of the earlier text.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DeltaStep {
    /// The new text; empty when bytes are copied.
    #[prost(string, tag = "1")]
    pub text: String,
    /// Where the copied bytes start.
    #[prost(uint32, tag = "2")]
    pub start: u32,
    /// How many are copied.
    #[prost(uint32, tag = "3")]
    pub length: u32,
}

/// Sections; the receiver applies those of a higher version than its own.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Sections {
    /// The sections.
    #[prost(message, repeated, tag = "1")]
    pub sections: Vec<Section>,
    /// Whether the sender has reached the highest version it can reach: only after such a message
    /// may a newcomer be ready.
    #[prost(bool, tag = "2")]
    pub complete: bool,
}

/// Load of one upstream.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Load {
    /// Its name.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Streams in the batch.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// Requests accepted and not yet in the batch.
    #[prost(uint32, tag = "3")]
    pub waiting: u32,
    /// Prompt tokens accepted and not yet prefilled.
    #[prost(uint64, tag = "4")]
    pub prefill_tokens: u64,
    /// Free KV memory, in tokens.
    #[prost(uint64, tag = "5")]
    pub kv_free_tokens: u64,
    /// All KV memory, in tokens.
    #[prost(uint64, tag = "6")]
    pub kv_tokens: u64,
    /// Tokens prefilled in a second.
    #[prost(double, tag = "7")]
    pub prefill_rate: f64,
    /// Counts the upstream's reports.
    #[prost(uint64, tag = "8")]
    pub sequence: u64,
    /// The upstream's life.
    #[prost(uint64, tag = "9")]
    pub incarnation: u64,
    /// Milliseconds since the observer read it.
    #[prost(uint64, tag = "10")]
    pub age_ms: u64,
}

/// Loads that changed since the last message.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Loads {
    /// The loads.
    #[prost(message, repeated, tag = "1")]
    pub loads: Vec<Load>,
}

/// A mark on an upstream.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Mark {
    /// Its name.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Its life that the mark speaks of.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// True: no new work. False: this life is in service.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
}

/// Marks that changed.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Marks {
    /// The marks.
    #[prost(message, repeated, tag = "1")]
    pub marks: Vec<Mark>,
}

/// State of an entry process, told to its steward, and by stewards to each other.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Status {
    /// The entry host.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Its availability zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Life of its entry process.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Whether it takes requests.
    #[prost(bool, tag = "4")]
    pub ready: bool,
    /// Whether it is shutting down.
    #[prost(bool, tag = "5")]
    pub draining: bool,
    /// Requests under way.
    #[prost(uint64, tag = "6")]
    pub in_flight: u64,
    /// Sections that its data path works with.
    #[prost(message, repeated, tag = "7")]
    pub in_force: Vec<TeamVersion>,
    /// Counts the reports of its life, by its steward.
    #[prost(uint64, tag = "8")]
    pub number: u64,
    /// Whether there has been no entry process for long.
    #[prost(bool, tag = "9")]
    pub gone: bool,
    /// Whether only those sections are named that changed since the sender's last message.
    #[prost(bool, tag = "10")]
    pub changes: bool,
}

/// States of several entry processes.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Statuses {
    /// The states.
    #[prost(message, repeated, tag = "1")]
    pub statuses: Vec<Status>,
}

/// What one customer used at one entry host since the last message.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Spend {
    /// The customer.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// Requests admitted.
    #[prost(uint64, tag = "2")]
    pub requests: u64,
    /// Tokens admitted.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
}

/// Use by customers, only of those that were active.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Spending {
    /// The entry host.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Time covered, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub span_ms: u64,
    /// The lines.
    #[prost(message, repeated, tag = "3")]
    pub lines: Vec<Spend>,
    /// Counts the host's messages, so that one that comes by two ways counts once.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
}

/// What an operator asks for.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, prost::Enumeration)]
#[repr(i32)]
pub enum Verb {
    /// Not said.
    Unspecified = 0,
    /// The team's section as it is in force here.
    SectionGet = 1,
    /// Checks a section and says what would change.
    SectionCheck = 2,
    /// Stores a section as the version after `version`.
    SectionPut = 3,
    /// Where the section's version is in force.
    SectionStatus = 4,
    /// State of hosts and upstreams.
    Status = 5,
    /// Drains an entry host or an upstream.
    Drain = 6,
    /// Orders to engines: those wanted, given and outstanding.
    Orders = 7,
    /// Idle cost.
    Usage = 8,
    /// What is known of entry processes of the zone; asked by stewards of other zones.
    Owners = 9,
}

/// One call of an operator.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Call {
    /// Echoed in the reply.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// What is asked for.
    #[prost(enumeration = "Verb", tag = "2")]
    pub verb: i32,
    /// The team, where one is needed.
    #[prost(string, tag = "3")]
    pub team: String,
    /// The team's key, or the operators'.
    #[prost(string, tag = "4")]
    pub key: String,
    /// Version that a put was edited from.
    #[prost(uint64, tag = "5")]
    pub version: u64,
    /// A section's text, or further arguments as a JSON object.
    #[prost(string, tag = "6")]
    pub text: String,
    /// Names this put, so that its fate can be read back after a lost answer.
    #[prost(string, tag = "7")]
    pub put: String,
}

/// Answer to a call.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Reply {
    /// The call's id.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Whether it was carried out.
    #[prost(bool, tag = "2")]
    pub good: bool,
    /// The result, or what went wrong, as JSON.
    #[prost(string, tag = "3")]
    pub text: String,
}
