//! Idempotency keys, stored as rows of the table service that are written before dispatch.
//!
//! A caller that lost its answer retries, perhaps at another entry host, and without a claim the
//! request would run twice. [`Claims::begin`] returns a [`Ticket`] only to the one request whose
//! row is known to be in the table, and a request that must not run twice is dispatched only
//! through [`Ticket::dispatch`]. Only a repeatable request may run without a claim, while the
//! platform is unreachable ([`Begin::Unclaimed`]). The rules and the argument for their correctness
//! are in `docs/design/idempotency.md`.

mod decision;
mod driver;
mod record;
mod settings;
mod sweep;
mod ticket;

pub use decision::{Decision, decide};
pub use driver::{Abandoned, Begin, Claims, Refusal, Unstored};
pub use record::{Answer, BodyLocation, Record, Request, State, request_hash, row_key, shard};
pub use settings::{MAX_DEADLINE, MIN_RETENTION, Settings};
pub use sweep::{SHARDS, SweepSettings, Sweeper, scheduled_shard};
pub use ticket::{Expired, Running, Sent, Ticket};
