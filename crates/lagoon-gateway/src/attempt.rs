//! Failed attempts at an upstream.

use lagoonline::id;
use lagoonline::lifecycle::attempts;
use lagoonline::outcome::{Outcome, Reason, Step};

use crate::answer;
use crate::forward;

/// Why an attempt brought no answer that can be forwarded.
#[derive(Debug)]
pub(crate) enum Failure {
    /// Nothing was sent.
    Unsent(String),
    /// Nothing was sent, since an upstream of the placement has left, or asked this host to wait,
    /// after the request was placed. It says nothing of the upstream and is no attempt.
    Withheld(String),
    /// The upstream reported that it did not run the request. `failed_helper` is set if the engine
    /// at fault is one that had to prefill a part of the prompt.
    Refused { failed_helper: Option<id::Upstream>, detail: String },
    /// The request may have run: the connection broke, the upstream was abandoned, or its answer
    /// cannot be forwarded.
    Lost(String),
}

impl Failure {
    /// Returns the upstream at fault, if it is not the one that was asked.
    pub(crate) fn at_fault(&self) -> Option<&id::Upstream> {
        match self {
            Failure::Refused { failed_helper, .. } => failed_helper.as_ref(),
            Failure::Unsent(_) | Failure::Withheld(_) | Failure::Lost(_) => None,
        }
    }

    /// Returns how the attempt counts; `None` if it is none.
    pub(crate) fn kind(&self) -> Option<attempts::Kind> {
        match self {
            Failure::Unsent(_) => Some(attempts::Kind::Unsent),
            Failure::Withheld(_) => None,
            Failure::Refused { .. } => Some(attempts::Kind::Refusal),
            Failure::Lost(_) => Some(attempts::Kind::Run),
        }
    }

    /// Whether this host decided to send nothing.
    pub(crate) fn is_withheld(&self) -> bool {
        matches!(self, Failure::Withheld(_))
    }

    /// Returns the name of the failure in the log.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            Failure::Unsent(_) => "unsent",
            Failure::Withheld(_) => "withheld",
            Failure::Refused { failed_helper: None, .. } => "refused",
            Failure::Refused { failed_helper: Some(_), .. } => "unhelped",
            Failure::Lost(_) => "lost",
        }
    }

    /// Returns what happened and at which upstream.
    pub(crate) fn detail(&self) -> &str {
        match self {
            Failure::Unsent(detail)
            | Failure::Withheld(detail)
            | Failure::Refused { detail, .. }
            | Failure::Lost(detail) => detail,
        }
    }

    /// Returns the fault for the caller if there is no further attempt. If the request may have
    /// run, no retry time is given, since the status does not promise that a retry is safe.
    pub(crate) fn to_fault(&self, outcome: Outcome) -> answer::Fault {
        let fault = upstream_fault(outcome, self.detail());
        match self {
            Failure::Lost(_) => fault,
            Failure::Unsent(_) | Failure::Withheld(_) | Failure::Refused { .. } => {
                fault.with_retry_after(forward::RETRY_AFTER)
            }
        }
    }
}

/// Creates the fault of an upstream's failure.
pub(crate) fn upstream_fault(outcome: Outcome, detail: &str) -> answer::Fault {
    let fault = answer::Fault::not_run(Reason::UpstreamFailed, Step::Dispatch, detail);
    answer::Fault { outcome, ..fault }
}
