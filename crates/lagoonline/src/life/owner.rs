//! What is known of the process that owns a holding, in words that zones can tell each other.
//!
//! Failure answered: a steward that restarts, or is cut off, looks like an entry process that
//! died. Symptom: streams that are being read break off. So a process counts as gone only by the
//! word of its own live steward, which sees its connection close, or once the platform's list no
//! longer has a host that its neighbours hold to be dead. Anything else is unsure, and a new life
//! of the process proves the old one dead in any case.

use serde::{Deserialize, Serialize};

use crate::control::replication;
use crate::id;

/// What the stewards of its zone know of an entry process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Sign {
    /// Its steward hears it.
    Serving,
    /// Its steward lives and does not hear it, or its host is dead and no longer listed.
    Gone,
    /// Its steward is not heard, and the platform lists the host or is out of reach.
    Unsure,
}

/// What is known of an entry process's host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Host {
    /// Its steward is heard.
    Live,
    /// Its steward is not heard.
    Dead {
        /// Whether the platform's list has it; `None` when the list cannot be read.
        listed: Option<bool>,
    },
}

/// The word of a zone on one of its owners.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Word {
    /// The host's latest life, as `HOST/INCARNATION`.
    pub owner: String,
    /// What is known of it.
    pub sign: Sign,
}

impl Word {
    /// Derives the word from the last report and what is known of the host.
    ///
    /// ```
    /// use lagoonline::{control::replication::Report, id::{Host, Incarnation}};
    /// use lagoonline::life::owner::{self, Sign, Word};
    /// let report = Report { incarnation: Incarnation(7), ready: true, ..Report::default() };
    /// let host = Host::from("suva-1");
    /// let sign = |report: &Report, known| Word::new(&host, report, known).sign;
    /// assert_eq!(sign(&report, owner::Host::Live), Sign::Serving);
    /// assert_eq!(sign(&report, owner::Host::Dead { listed: None }), Sign::Unsure);
    /// assert_eq!(sign(&report, owner::Host::Dead { listed: Some(false) }), Sign::Gone);
    /// let closed = Report { ready: false, ..report.clone() };
    /// assert_eq!(sign(&closed, owner::Host::Live), Sign::Gone);
    /// ```
    pub fn new(host: &id::Host, report: &replication::Report, known: Host) -> Self {
        let owner = id::Owner { host: host.clone(), incarnation: report.incarnation };
        let sign = match known {
            Host::Live if report.ready || report.draining => Sign::Serving,
            Host::Live | Host::Dead { listed: Some(false) } => Sign::Gone,
            Host::Dead { listed: Some(true) | None } => Sign::Unsure,
        };
        Word { owner: owner.to_string(), sign }
    }
}
