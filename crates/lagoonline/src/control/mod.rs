//! Control plane: the state that the stewards share.
//!
//! Covers the configuration document and its replication, membership, leases, reconciliation of
//! engines, usage accounting, and rate limits for calls to the platform.
//!
//! The *platform* is the infrastructure outside of this system. Here it stands for the platform's
//! table service, [`port::table`](crate::port::table): a transactional store of versioned rows that
//! all stewards share.

pub mod delta_log;
pub mod document;
pub mod lease;
pub mod ledger;
pub mod membership;
pub mod mesh;
pub mod platform;
pub mod reconcile;
pub mod rendezvous;
pub mod replication;
