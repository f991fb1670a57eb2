//! Request lifecycle: at-most-once dispatch, idempotency keys, cleanup of engine memory, quarantine
//! and shutdown.

pub mod attempts;
pub mod claim;
pub mod completeness;
pub mod drain;
pub mod fingerprint;
pub mod leaving;
pub mod owner;
pub mod quarantine;
pub mod reap;
pub mod request;
pub mod safeguard;
pub mod stream;
