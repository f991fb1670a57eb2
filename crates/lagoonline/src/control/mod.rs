//! What the control processes agree on: the document, membership, leases, the ledger.

pub mod document;
pub mod lease;
pub mod ledger;
pub mod membership;
pub mod mesh;
pub mod order;
pub mod owner;
pub mod platform;
pub mod spread;
pub mod trail;
