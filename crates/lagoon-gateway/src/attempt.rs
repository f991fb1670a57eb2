//! Failed attempts at an upstream.

use lagoonline::id;
use lagoonline::outcome::{Outcome, Reason, Step};

use crate::answer;
use crate::forward;

/// Why an attempt brought no answer that can be forwarded.
#[derive(Debug)]
pub(crate) enum Miss {
    /// Nothing was sent.
    Unsent(String),
    /// The upstream reported that it did not run the request. `helper` is set if the engine at
    /// fault is one that had to prefill a part of the prompt.
    Refused { helper: Option<id::Upstream>, detail: String },
    /// The request may have run.
    Lost(String),
}

impl Miss {
    /// Returns the upstream at fault, if it is not the one that was asked.
    pub(crate) fn at_fault(&self) -> Option<&id::Upstream> {
        match self {
            Miss::Refused { helper, .. } => helper.as_ref(),
            Miss::Unsent(_) | Miss::Lost(_) => None,
        }
    }

    /// Returns the name of the failure in the log.
    pub(crate) fn word(&self) -> &'static str {
        match self {
            Miss::Unsent(_) => "unsent",
            Miss::Refused { helper: None, .. } => "refused",
            Miss::Refused { helper: Some(_), .. } => "unhelped",
            Miss::Lost(_) => "lost",
        }
    }

    /// Returns what happened and at which upstream.
    pub(crate) fn detail(&self) -> &str {
        match self {
            Miss::Unsent(detail) | Miss::Refused { detail, .. } | Miss::Lost(detail) => detail,
        }
    }

    /// Returns the fault for the caller if there is no further attempt. If the request may have
    /// run, no retry time is given, since the status does not promise that a retry is safe.
    pub(crate) fn give_up(&self, outcome: Outcome) -> answer::Fault {
        let fault = failed(outcome, self.detail());
        match self {
            Miss::Lost(_) => fault,
            Miss::Unsent(_) | Miss::Refused { .. } => fault.after(forward::COME_BACK),
        }
    }
}

/// Creates the fault of an upstream's failure.
pub(crate) fn failed(outcome: Outcome, detail: &str) -> answer::Fault {
    let fault = answer::Fault::not_run(Reason::UpstreamFailed, Step::Dispatch, detail);
    answer::Fault { outcome, ..fault }
}
