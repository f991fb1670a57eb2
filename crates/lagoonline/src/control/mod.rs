//! What the control processes agree on: the document, membership, leases, the ledger.

pub mod document;
pub mod membership;
pub mod mesh;
pub mod owner;
pub mod platform;
pub mod spread;
