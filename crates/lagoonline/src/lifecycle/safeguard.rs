//! Safeguards that tests can disable one at a time, to show that the test oracles in
//! `tests/life_fuzz` detect the absence of each.
//!
//! No settings file can change them: [`Set::default`] enables all, and only tests call
//! [`Set::without`]. `docs/design/outcomes.md` describes what each one prevents.

/// A safeguard of the state machines in [`crate::lifecycle`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Safeguard {
    /// A claim is written only over the row version that the decision was based on.
    VersionCheck,
    /// A claim whose commit got no reply is read back before it is dispatched.
    ReadBack,
    /// A key that is reused with a different method, path or body is refused.
    RequestMatch,
    /// A non-idempotent call never takes over a claim that may have been dispatched.
    NoTakeover,
    /// A non-idempotent call whose answer was lost keeps its key.
    UnknownKept,
    /// The row's key contains the customer.
    CustomerScope,
    /// A stored answer is replayed only if its length and hash match.
    AnswerCheck,
    /// A request is not dispatched after its deadline.
    DispatchDeadline,
    /// A claim's row is written only until well before its retention ends.
    WriteDeadline,
    /// An abandoned claim is settled so that its key becomes free again.
    Settle,
    /// A cancel is repeated until it is acknowledged.
    CancelRepeat,
    /// An owner without a later incarnation counts as dead only if it was not seen for a certain
    /// time.
    OwnerSilence,
    /// A reaper that receives few heartbeats releases nothing on account of missing ones.
    CutOffReaper,
    /// An owner whose liveness cannot be determined does not count as dead.
    UnsureOwner,
    /// A sign older than a leaving mark does not clear it.
    StaleMark,
}

impl Safeguard {
    /// All safeguards.
    pub const ALL: [Safeguard; 15] = [
        Safeguard::VersionCheck,
        Safeguard::ReadBack,
        Safeguard::RequestMatch,
        Safeguard::NoTakeover,
        Safeguard::UnknownKept,
        Safeguard::CustomerScope,
        Safeguard::AnswerCheck,
        Safeguard::DispatchDeadline,
        Safeguard::WriteDeadline,
        Safeguard::Settle,
        Safeguard::CancelRepeat,
        Safeguard::OwnerSilence,
        Safeguard::CutOffReaper,
        Safeguard::UnsureOwner,
        Safeguard::StaleMark,
    ];
}

/// The safeguards in force.
///
/// ```
/// use lagoonline::lifecycle::safeguard::{Safeguard, Set};
/// assert!(Safeguard::ALL.iter().all(|each| Set::default().has(*each)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Set {
    missing: Option<Safeguard>,
}

impl Set {
    /// Disables a single safeguard, for tests of the oracles.
    #[doc(hidden)]
    pub fn without(missing: Safeguard) -> Self {
        Set { missing: Some(missing) }
    }

    /// Returns whether this safeguard is in force.
    pub fn has(self, safeguard: Safeguard) -> bool {
        self.missing != Some(safeguard)
    }
}
