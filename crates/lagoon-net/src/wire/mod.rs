//! Protocol between the processes of a fleet, and with operators: prost messages in length-prefixed
//! frames, each authenticated with the key of the fleet.

mod auth;
mod codec;
mod compact;
mod convert;
mod message;

pub use auth::*;
pub use codec::*;
pub use compact::*;
pub use convert::*;
pub use message::*;
