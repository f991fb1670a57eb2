//! Idempotency keys: a row in the table service, written before dispatch.
//!
//! Failure answered: a caller that lost its answer asks again, perhaps at another entry host, and
//! a filing is made twice. [`Claims::begin`] gives a [`Ticket`] only to the one request whose row
//! is known to stand in the table, and a keyed call is dispatched only by [`Ticket::dispatch`].
//! The rules, and why they are enough, are in `docs/design/idempotency.md`.

mod decision;
mod driver;
mod record;
mod settings;
mod sweep;
mod ticket;

pub use decision::{Verdict, decide};
pub use driver::{Abandoned, Begin, Claims, Refusal, Unstored};
pub use record::{Answer, Ask, Kept, Record, State, body_hash, row_key, shard};
pub use settings::{LEAST_RETENTION, LONGEST_DEADLINE, Settings};
pub use sweep::{SHARDS, Sweep, Sweeper, turn};
pub use ticket::{Expired, Running, Sent, Ticket};
