//! The list of safeguards, so that tests can show that the oracle notices each one's absence.
//!
//! No settings file reaches this: [`Set::default`] has all of them, and only tests call
//! [`Set::without`]. What each one prevents is in `docs/design/outcomes.md`.

/// One safeguard of the state machines in [`crate::life`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Safeguard {
    /// A claim is written only over the row version that was decided on.
    VersionCheck,
    /// A claim whose commit got no answer is read back before dispatch.
    ReadBack,
    /// A key that comes with another body is refused.
    BodyMatch,
    /// A non-idempotent call never takes over a claim that may have been dispatched.
    NoTakeover,
    /// A non-idempotent call whose answer was lost keeps its key.
    UnknownKept,
    /// The row's key contains the customer.
    CustomerScope,
    /// A stored answer is replayed only if its length and hash are right.
    AnswerCheck,
    /// A claim is not dispatched after its deadline.
    DispatchDeadline,
    /// A host writes to a claim's row only until well before its retention ends.
    WriteDeadline,
    /// A claim that was given up is settled, so that its key is free again.
    Settle,
    /// A cancel is repeated until acknowledged.
    CancelRepeat,
    /// An owner is dead only after a silence.
    OwnerSilence,
    /// A sweeper that hears few hosts releases nothing of theirs.
    CutOffSweeper,
    /// An owner that nobody in reach can judge is not dead.
    UnsureOwner,
    /// A sign that is older than a leaving mark does not end it.
    StaleMark,
}

impl Safeguard {
    /// Every safeguard.
    pub const ALL: [Safeguard; 15] = [
        Safeguard::VersionCheck,
        Safeguard::ReadBack,
        Safeguard::BodyMatch,
        Safeguard::NoTakeover,
        Safeguard::UnknownKept,
        Safeguard::CustomerScope,
        Safeguard::AnswerCheck,
        Safeguard::DispatchDeadline,
        Safeguard::WriteDeadline,
        Safeguard::Settle,
        Safeguard::CancelRepeat,
        Safeguard::OwnerSilence,
        Safeguard::CutOffSweeper,
        Safeguard::UnsureOwner,
        Safeguard::StaleMark,
    ];
}

/// The safeguards in force.
///
/// ```
/// use lagoonline::life::safeguard::{Safeguard, Set};
/// assert!(Safeguard::ALL.iter().all(|each| Set::default().has(*each)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Set {
    missing: Option<Safeguard>,
}

impl Set {
    /// All but one: for tests of the oracle.
    #[doc(hidden)]
    pub fn without(missing: Safeguard) -> Self {
        Set { missing: Some(missing) }
    }

    /// Whether this one is in force.
    pub fn has(self, safeguard: Safeguard) -> bool {
        self.missing != Some(safeguard)
    }
}
