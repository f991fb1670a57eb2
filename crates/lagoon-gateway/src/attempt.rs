//! What became of an attempt that brought no answer.

use lagoonline::id;
use lagoonline::outcome::{Outcome, Reason, Step};

use crate::answer;
use crate::forward;

/// Why an attempt brought no answer that can be passed on.
#[derive(Debug)]
pub(crate) enum Miss {
    /// Nothing was sent.
    Unsent(String),
    /// The upstream said that it did not run the request; because of `helper` where that engine was
    /// to read a part of the prompt.
    Refused { helper: Option<id::Upstream>, detail: String },
    /// It may have run.
    Lost(String),
}

impl Miss {
    /// The upstream at fault, where it is not the one that was asked.
    pub(crate) fn at_fault(&self) -> Option<&id::Upstream> {
        match self {
            Miss::Refused { helper, .. } => helper.as_ref(),
            Miss::Unsent(_) | Miss::Lost(_) => None,
        }
    }

    /// Its word in the log.
    pub(crate) fn word(&self) -> &'static str {
        match self {
            Miss::Unsent(_) => "unsent",
            Miss::Refused { helper: None, .. } => "refused",
            Miss::Refused { helper: Some(_), .. } => "unhelped",
            Miss::Lost(_) => "lost",
        }
    }

    /// What happened, with the upstream at which it did.
    pub(crate) fn detail(&self) -> &str {
        match self {
            Miss::Unsent(detail) | Miss::Refused { detail, .. } | Miss::Lost(detail) => detail,
        }
    }

    /// What the caller is told if there is no further attempt. One that may have run is not asked to
    /// come back: its status promises nothing.
    pub(crate) fn give_up(&self, outcome: Outcome) -> answer::Fault {
        let fault = failed(outcome, self.detail());
        match self {
            Miss::Lost(_) => fault,
            Miss::Unsent(_) | Miss::Refused { .. } => fault.after(forward::COME_BACK),
        }
    }
}

/// A failure of an upstream.
pub(crate) fn failed(outcome: Outcome, detail: &str) -> answer::Fault {
    let fault = answer::Fault::not_run(Reason::UpstreamFailed, Step::Dispatch, detail);
    answer::Fault { outcome, ..fault }
}
