//! The life of a request: what was sent, what may have run, what the caller is told.

pub mod claim;
pub mod drain;
pub mod fingerprint;
pub mod leaving;
pub mod owner;
pub mod quarantine;
pub mod reap;
pub mod request;
pub mod safeguard;
pub mod stream;
