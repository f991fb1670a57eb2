//! What the control processes agree on: the document, membership, leases, the ledger.

pub mod document;
