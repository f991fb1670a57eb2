//! Frames between the system's own processes, and from operators: prost messages in length
//! prefixed frames, each authenticated with a key that the fleet shares.

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
