//! Messages, defined with prost derives, so that no code generator is needed. Field numbers are
//! never reused, and receivers ignore unknown bodies, so that hosts of two versions can work
//! together.

/// Message version that this build sends.
pub const VERSION: u32 = 1;
/// Oldest message version that this build accepts.
pub const OLDEST_VERSION: u32 = 1;

/// Content of a frame, which the tag authenticates.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    /// Version of the sender's messages.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// Name of the sending host, or of the operator's program.
    #[prost(string, tag = "2")]
    pub sender: String,
    /// The sender's incarnation.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Sequence number of the frame on its connection, or of the sender's datagrams, from 1.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    /// The sender's wall clock in milliseconds since the Unix epoch; 0 on connections.
    #[prost(uint64, tag = "5")]
    pub wall_ms: u64,
    /// Nonce that the receiving side chose for this connection; empty in datagrams.
    #[prost(bytes = "bytes", tag = "6")]
    pub nonce: prost::bytes::Bytes,
    /// The message. Tag 25 is retired.
    #[prost(oneof = "Body", tags = "16, 17, 18, 19, 20, 21, 22, 23, 24, 26, 27, 28, 29")]
    pub body: Option<Body>,
}

/// Kinds of messages.
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
    /// Section versions that the sender has in force.
    #[prost(message, tag = "19")]
    Digest(Digest),
    /// Sections that the receiver does not have.
    #[prost(message, tag = "20")]
    Sections(Sections),
    /// Loads of upstreams, with their age.
    #[prost(message, tag = "21")]
    Loads(Loads),
    /// Upstreams that are leaving, or that are back in service in a new incarnation.
    #[prost(message, tag = "22")]
    Marks(Marks),
    /// Report of an entry process.
    #[prost(message, tag = "23")]
    Status(Status),
    /// Recent spending of customers at one entry host: requests and tokens admitted.
    #[prost(message, tag = "24")]
    Spending(Spending),
    /// Call of an operator, or of a steward of another zone.
    #[prost(message, tag = "26")]
    Call(Call),
    /// Reply to a call.
    #[prost(message, tag = "27")]
    Reply(Reply),
    /// Stewards, and votes on whether they are dead.
    #[prost(message, tag = "28")]
    Members(Members),
    /// Reports of entry processes, between stewards.
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

/// Identity of the connecting side.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// Its role.
    #[prost(enumeration = "Role", tag = "1")]
    pub role: i32,
    /// Its availability zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// The connecting side's own nonce, which every frame of the accepting side carries.
    #[prost(bytes = "bytes", tag = "3")]
    pub nonce: prost::bytes::Bytes,
}

/// Roles of processes.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, prost::Enumeration)]
#[repr(i32)]
pub enum Role {
    /// Not specified.
    Unspecified = 0,
    /// The entry process.
    Entry = 1,
    /// The control process.
    Steward = 2,
    /// An operator's program.
    Operator = 3,
}

/// Liveness signal of a steward, with recent changes as far as they fit. Tags 1 to 4 are retired.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// Loads that changed.
    #[prost(message, optional, tag = "5")]
    pub loads: Option<CompactLoads>,
    /// Spending of customers that are near their limits.
    #[prost(message, repeated, tag = "6")]
    pub spendings: Vec<Spending>,
}

/// Compact loads, in columns of equal length, with a tenth of the bytes of [`Loads`]. Fields that
/// are constant within an upstream's incarnation are left out; the receiver has them from
/// [`Loads`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct CompactLoads {
    /// Codes of the upstreams' names.
    #[prost(fixed32, repeated, tag = "1")]
    pub upstreams: Vec<u32>,
    /// Codes of their incarnations.
    #[prost(uint32, repeated, tag = "2")]
    pub lives: Vec<u32>,
    /// Sequence numbers of their reports.
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
    /// Free KV memory, in 127ths of the total.
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
    /// Address it listens on, as `IP:PORT`.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Its incarnation.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
}

/// A vote on whether a steward is dead, by a steward that exchanges heartbeats with it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Vote {
    /// The host of the voter.
    #[prost(string, tag = "1")]
    pub by: String,
    /// The voter's incarnation.
    #[prost(uint64, tag = "2")]
    pub by_incarnation: u64,
    /// Sequence number of the voter's votes.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// The steward voted on.
    #[prost(string, tag = "4")]
    pub host: String,
    /// Its incarnation.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
    /// True: its heartbeats have timed out. False: they arrive again.
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

/// Versions in force at the sender. The receiver replies with the sections that the sender lacks. A
/// sender leaves out a team to request the full text of its section.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Digest {
    /// One entry for each team.
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
    /// Its JSON text; empty when `deltas` are given.
    #[prost(string, tag = "3")]
    pub text: String,
    /// Deltas that lead from the version that the receiver has to this one.
    #[prost(message, repeated, tag = "4")]
    pub deltas: Vec<Delta>,
}

/// Steps that build one version of a section's text from an earlier one.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Delta {
    /// The earlier version.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// The resulting version.
    #[prost(uint64, tag = "2")]
    pub to: u64,
    /// SHA-256 of the resulting text.
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
    /// Offset of the copied bytes in the earlier text.
    #[prost(uint32, tag = "2")]
    pub start: u32,
    /// Number of copied bytes.
    #[prost(uint32, tag = "3")]
    pub length: u32,
}

/// Sections. The receiver applies those with a higher version than its own.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Sections {
    /// The sections.
    #[prost(message, repeated, tag = "1")]
    pub sections: Vec<Section>,
    /// Whether the sender's document is complete: only after such a message may a new entry host
    /// become ready.
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
    /// Tokens prefilled per second.
    #[prost(double, tag = "7")]
    pub prefill_rate: f64,
    /// Sequence number of the upstream's reports.
    #[prost(uint64, tag = "8")]
    pub sequence: u64,
    /// The upstream's incarnation.
    #[prost(uint64, tag = "9")]
    pub incarnation: u64,
    /// Milliseconds since the observer read it.
    #[prost(uint64, tag = "10")]
    pub age_ms: u64,
}

/// Loads: all on a new link, and then those that changed.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Loads {
    /// The loads.
    #[prost(message, repeated, tag = "1")]
    pub loads: Vec<Load>,
}

/// Whether one incarnation of an upstream, or of an entry host, is leaving.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Mark {
    /// Its name.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// The incarnation that the mark refers to.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// True: it takes no new work. False: this incarnation is in service.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
}

/// Marks: all on a new link, and then those that changed.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Marks {
    /// The marks.
    #[prost(message, repeated, tag = "1")]
    pub marks: Vec<Mark>,
}

/// Report of an entry process (`replication::Report`), sent to its steward and between stewards.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Status {
    /// The entry host.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Its availability zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Incarnation of its entry process.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Whether load balancers may send requests to it.
    #[prost(bool, tag = "4")]
    pub ready: bool,
    /// Whether it is shutting down.
    #[prost(bool, tag = "5")]
    pub draining: bool,
    /// Requests in flight.
    #[prost(uint64, tag = "6")]
    pub in_flight: u64,
    /// Section versions that its data path uses.
    #[prost(message, repeated, tag = "7")]
    pub in_force: Vec<TeamVersion>,
    /// Number of the report, assigned by its steward and growing.
    #[prost(uint64, tag = "8")]
    pub number: u64,
    /// Whether the host has had no entry process for some time.
    #[prost(bool, tag = "9")]
    pub gone: bool,
    /// Whether `in_force` lists only the sections that changed since the sender's last message.
    #[prost(bool, tag = "10")]
    pub changes: bool,
}

/// Reports of several entry processes.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Statuses {
    /// The reports.
    #[prost(message, repeated, tag = "1")]
    pub statuses: Vec<Status>,
}

/// Spending of one customer at one entry host within the time of the message: what was admitted
/// under its rate limits (`limit::Usage`).
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

/// Spending of customers at one entry host.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Spending {
    /// The entry host.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Time covered, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub span_ms: u64,
    /// One entry for each customer.
    #[prost(message, repeated, tag = "3")]
    pub lines: Vec<Spend>,
    /// Sequence number of the host's messages, so that one that arrives by two routes counts once.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
}

/// Operations of a call.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, prost::Enumeration)]
#[repr(i32)]
pub enum Verb {
    /// Not specified.
    Unspecified = 0,
    /// Returns the team's newest section, or the one in force if the platform does not answer.
    SectionGet = 1,
    /// Validates a section and returns what would change.
    SectionCheck = 2,
    /// Stores a section as the successor of `version`.
    SectionPut = 3,
    /// Returns where the section's version is in force.
    SectionStatus = 4,
    /// Returns the state of hosts and upstreams.
    Status = 5,
    /// Drains an entry host or an upstream.
    Drain = 6,
    /// Returns the desired and actual state of engines and the commands (orders) sent to them.
    Orders = 7,
    /// Returns sums of the idle ledger: how long engines worked for each customer or team, were
    /// idle, or were not observed.
    Usage = 8,
    /// Returns the status of entry processes of the zone, for stewards of other zones.
    Owners = 9,
}

/// One call.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Call {
    /// Identifier that the reply repeats.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The operation.
    #[prost(enumeration = "Verb", tag = "2")]
    pub verb: i32,
    /// The team, for calls about a section.
    #[prost(string, tag = "3")]
    pub team: String,
    /// A key of the team or of the operators.
    #[prost(string, tag = "4")]
    pub key: String,
    /// Version that a put is based on, or whose status is requested.
    #[prost(uint64, tag = "5")]
    pub version: u64,
    /// A section's text, a name, or further arguments as JSON.
    #[prost(string, tag = "6")]
    pub text: String,
    /// Identifier of this put, by which its outcome can be found after a lost reply.
    #[prost(string, tag = "7")]
    pub put: String,
}

/// Reply to a call.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Reply {
    /// The call's id.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Whether the call succeeded.
    #[prost(bool, tag = "2")]
    pub good: bool,
    /// The result or the error, as JSON.
    #[prost(string, tag = "3")]
    pub text: String,
}
