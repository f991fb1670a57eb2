//! Control plane: the state that the stewards share.
//!
//! Covers the configuration document and its replication, membership, leases, orders to engines,
//! usage accounting, and rate limits for calls to the platform.

pub mod delta_log;
pub mod document;
pub mod lease;
pub mod ledger;
pub mod membership;
pub mod mesh;
pub mod order;
pub mod platform;
pub mod rendezvous;
pub mod replication;
