//! Identifiers, each with its own type so that they cannot be confused.

use std::borrow;
use std::fmt;
use std::sync;

use serde::{Deserialize, Serialize};

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(sync::Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Default for $name {
            fn default() -> Self {
                $name(sync::Arc::from(""))
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                $name(sync::Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                $name(sync::Arc::from(text))
            }
        }

        impl borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name! {
    /// A team, the owner of one section of the configuration document (see
    /// [`crate::control::document`]).
    Team
}
name! {
    /// A customer, the holder of caller keys, limits and a deadline.
    Customer
}
name! {
    /// A model, by the name that callers use.
    Model
}
name! {
    /// A plain service, by the name that callers use in `/services/NAME/`.
    Service
}
name! {
    /// A route: requests with one `Host` header under one path prefix.
    Route
}
name! {
    /// An upstream: one model engine or one replica of a plain service.
    Upstream
}
name! {
    /// A part of a prompt that other requests may have as well, such as a system prompt or a document.
    Part
}
name! {
    /// An availability zone.
    Zone
}
name! {
    /// A region: availability zones connected by cheap links.
    Region
}
name! {
    /// An entry host: it accepts requests from callers and dispatches them to upstreams.
    Host
}

/// Incarnation of a process; a restarted process has a higher one. Adapters derive it from the wall
/// clock at start.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Version of a team's section: 0 before the first, then incremented by one.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

/// Fencing number of a lease; a later lease has a higher one.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Fence(pub u64);

/// Random id of 128 bits, written as 32 hex digits. It identifies an attempt, which is one dispatch
/// of a request to an upstream. Idempotency claims and reservations on engines have ids of the same
/// type.
///
/// ```
/// use lagoonline::id::Attempt;
/// let attempt = Attempt(0xab);
/// assert_eq!(attempt.to_string(), "000000000000000000000000000000ab");
/// assert_eq!("000000000000000000000000000000ab".parse(), Ok(attempt));
/// assert!("ab".parse::<Attempt>().is_err());
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Attempt(pub u128);

/// Number of hex digits in the text form of an attempt.
const ATTEMPT_DIGITS: usize = 32;

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// The text is not 32 hex digits.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("an attempt is {ATTEMPT_DIGITS} hex digits")]
pub struct ParseAttemptError;

impl std::str::FromStr for Attempt {
    type Err = ParseAttemptError;

    fn from_str(text: &str) -> Result<Self, ParseAttemptError> {
        if text.len() != ATTEMPT_DIGITS || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(ParseAttemptError);
        }
        u128::from_str_radix(text, 16).map(Attempt).map_err(|_| ParseAttemptError)
    }
}

/// The owner of a resource on an upstream: an entry host in one of its incarnations.
///
/// ```
/// use lagoonline::id::{Host, Incarnation, Owner};
/// let owner = Owner { host: Host::from("suva-1"), incarnation: Incarnation(7) };
/// assert_eq!(owner.to_string(), "suva-1/7");
/// assert_eq!("suva-1/7".parse(), Ok(owner));
/// ```
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Owner {
    /// Name of the entry host.
    pub host: Host,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
}

impl fmt::Display for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.host, self.incarnation.0)
    }
}

/// The text is not `HOST/INCARNATION`.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("an owner is HOST/INCARNATION")]
pub struct ParseOwnerError;

impl std::str::FromStr for Owner {
    type Err = ParseOwnerError;

    fn from_str(text: &str) -> Result<Self, ParseOwnerError> {
        let (host, number) = text.rsplit_once('/').ok_or(ParseOwnerError)?;
        let number = number.parse().map_err(|_| ParseOwnerError)?;
        Ok(Owner { host: Host::from(host), incarnation: Incarnation(number) })
    }
}
