//! Validation across sections: unique names, references between sections, and claims.

use std::collections;
use std::fmt;

use super::body;
use super::section;
use crate::check;
use crate::id;

/// Checks `candidate` against the sections of other teams. A section of the candidate's own team
/// among `others` is ignored, since the candidate replaces it.
///
/// Duplicate names and dangling references would send requests of one team to the upstreams of
/// another, or nowhere. The check runs on the sections of one document version, and the store
/// compares that version again when it writes, so no concurrent change of another section goes
/// unchecked.
///
/// # Errors
///
/// Returns all faults, each with its JSON pointer within the candidate; for a removed name, the
/// pointer is to where it would be.
///
/// ```
/// use lagoonline::control::document::{check_document, Section};
/// use lagoonline::id::{Team, Version};
/// let text = r#"{"claims": {"m": {"engines": 0}}}"#;
/// let candidate = Section::parse(Team::from("a"), Version(1), text).unwrap();
/// let faults = check_document([], &candidate).unwrap_err();
/// assert_eq!(faults.to_string(), "/claims/m: no section has this model");
/// ```
pub fn check_document<'a, I>(
    others: I,
    candidate: &'a section::Section,
) -> Result<(), check::Faults>
where
    I: IntoIterator<Item = &'a section::Section>,
{
    let others = others.into_iter().filter(|section| section.team != candidate.team).collect();
    let mut checker = Checker { others, candidate, faults: Vec::new() };
    checker.check_unique_names();
    checker.check_unique_keys();
    checker.check_references();
    checker.check_removed_names();
    checker.check_claims();
    checker.finish()
}

/// Kind of entry that a name refers to.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum EntryKind {
    Customer,
    Model,
    Service,
    Upstream,
}

impl EntryKind {
    const ALL: [EntryKind; 4] =
        [EntryKind::Customer, EntryKind::Model, EntryKind::Service, EntryKind::Upstream];

    /// Field of the section that holds the entries of this kind.
    const fn field(self) -> &'static str {
        match self {
            EntryKind::Customer => "customers",
            EntryKind::Model => "models",
            EntryKind::Service => "services",
            EntryKind::Upstream => "upstreams",
        }
    }

    /// Singular noun for fault messages.
    const fn noun(self) -> &'static str {
        match self {
            EntryKind::Customer => "customer",
            EntryKind::Model => "model",
            EntryKind::Service => "service",
            EntryKind::Upstream => "upstream",
        }
    }

    fn names(self, body: &body::Body) -> Vec<&str> {
        match self {
            EntryKind::Customer => body.customers.keys().map(id::Customer::as_str).collect(),
            EntryKind::Model => body.models.keys().map(id::Model::as_str).collect(),
            EntryKind::Service => body.services.keys().map(id::Service::as_str).collect(),
            EntryKind::Upstream => body.upstreams.keys().map(id::Upstream::as_str).collect(),
        }
    }

    fn has(self, body: &body::Body, name: &str) -> bool {
        match self {
            EntryKind::Customer => body.customers.contains_key(name),
            EntryKind::Model => body.models.contains_key(name),
            EntryKind::Service => body.services.contains_key(name),
            EntryKind::Upstream => body.upstreams.contains_key(name),
        }
    }
}

/// A reference to a model or service within a section.
struct Reference<'a> {
    /// JSON pointer to the reference.
    pointer: String,
    kind: EntryKind,
    name: &'a str,
}

fn references(body: &body::Body) -> Vec<Reference<'_>> {
    let mut found = Vec::new();
    for (name, customer) in &body.customers {
        let parent = format!("/customers/{name}");
        add_references(
            &mut found,
            &parent,
            EntryKind::Model,
            customer.models.iter().map(id::Model::as_str),
        );
        let services = customer.services.iter().map(id::Service::as_str);
        add_references(&mut found, &parent, EntryKind::Service, services);
    }
    for (name, upstream) in &body.upstreams {
        let parent = format!("/upstreams/{name}");
        match &upstream.serves {
            body::Serves::Models(models) => {
                add_references(
                    &mut found,
                    &parent,
                    EntryKind::Model,
                    models.iter().map(id::Model::as_str),
                );
            }
            body::Serves::Service(service) => {
                let pointer = format!("{parent}/service");
                found.push(Reference { pointer, kind: EntryKind::Service, name: service.as_str() });
            }
        }
    }
    for model in body.claims.keys() {
        let pointer = format!("/claims/{model}");
        found.push(Reference { pointer, kind: EntryKind::Model, name: model.as_str() });
    }
    found
}

fn add_references<'a, I>(found: &mut Vec<Reference<'a>>, parent: &str, kind: EntryKind, names: I)
where
    I: Iterator<Item = &'a str>,
{
    for (index, name) in names.enumerate() {
        let pointer = format!("{parent}/{}/{index}", kind.field());
        found.push(Reference { pointer, kind, name });
    }
}

/// State of one validation: the sections and the faults found so far.
struct Checker<'a> {
    others: Vec<&'a section::Section>,
    candidate: &'a section::Section,
    faults: Vec<check::Fault>,
}

impl Checker<'_> {
    fn fault<R>(&mut self, pointer: String, reason: R)
    where
        R: fmt::Display,
    {
        self.faults.push(check::Fault { pointer, reason: reason.to_string() });
    }

    /// Checks that no name is defined by a section of another team.
    fn check_unique_names(&mut self) {
        for kind in EntryKind::ALL {
            for name in kind.names(&self.candidate.body) {
                let owner = self.others.iter().find(|other| kind.has(&other.body, name));
                if let Some(team) = owner.map(|other| other.team.clone()) {
                    let pointer = format!("/{}/{name}", kind.field());
                    self.fault(pointer, format!("belongs to the section of team {team}"));
                }
            }
        }
    }

    /// Checks that each API key identifies only one customer.
    fn check_unique_keys(&mut self) {
        let mut seen = collections::HashMap::new();
        for other in &self.others {
            for (name, customer) in &other.body.customers {
                seen.extend(customer.keys.iter().map(|key| (*key, name.clone())));
            }
        }
        for (name, customer) in &self.candidate.body.customers {
            for (index, key) in customer.keys.iter().enumerate() {
                if seen.insert(*key, name.clone()).is_some() {
                    let pointer = format!("/customers/{name}/keys/{index}");
                    self.fault(pointer, "names a customer already");
                }
            }
        }
    }

    /// Returns whether any section defines the referenced name.
    fn resolves(&self, reference: &Reference<'_>) -> bool {
        reference.kind.has(&self.candidate.body, reference.name)
            || self.others.iter().any(|other| reference.kind.has(&other.body, reference.name))
    }

    /// Checks that the candidate references only names that exist.
    fn check_references(&mut self) {
        for reference in references(&self.candidate.body) {
            if !self.resolves(&reference) {
                let reason = format!("no section has this {}", reference.kind.noun());
                self.fault(reference.pointer, reason);
            }
        }
    }

    /// Checks that the candidate does not remove a name that another team's section references.
    fn check_removed_names(&mut self) {
        for other in self.others.clone() {
            for reference in references(&other.body) {
                if !self.resolves(&reference) {
                    let pointer = format!("/{}/{}", reference.kind.field(), reference.name);
                    let place = reference.pointer;
                    let reason = format!("is needed by team {} at {place}", other.team);
                    self.fault(pointer, reason);
                }
            }
        }
    }

    /// Checks that the claims of all teams can be met at the same time: each claimed engine needs a
    /// different engine of the fleet that serves the model.
    fn check_claims(&mut self) {
        let candidate = self.candidate;
        let all = || self.others.iter().copied().chain([candidate]);
        let engines: Vec<&[id::Model]> = all()
            .flat_map(|section| section.body.upstreams.values())
            .filter_map(|upstream| match &upstream.serves {
                body::Serves::Models(models) => Some(models.as_slice()),
                body::Serves::Service(_) => None,
            })
            .collect();
        let claims = all().flat_map(|section| &section.body.claims);
        let mut claimed = collections::BTreeMap::<&id::Model, u64>::new();
        for (model, claim) in claims {
            *claimed.entry(model).or_default() += u64::from(claim.engines);
        }
        let Some((unmet_models, available)) = find_unmet(&engines, &claimed) else { return };
        let total: u64 = unmet_models.iter().map(|model| claimed[model]).sum();
        let names: Vec<_> = unmet_models.iter().map(|model| model.as_str()).collect();
        let reason =
            format!("claims of {total} engines for {} are above the {available}", names.join(", "));
        let own_models: Vec<_> = unmet_models
            .into_iter()
            .filter(|model| candidate.body.claims.contains_key(*model))
            .cloned()
            .collect();
        if own_models.is_empty() {
            self.fault("/upstreams".to_owned(), reason);
            return;
        }
        for model in own_models {
            self.fault(format!("/claims/{model}/engines"), &reason);
        }
    }

    fn finish(mut self) -> Result<(), check::Faults> {
        if self.faults.is_empty() {
            return Ok(());
        }
        self.faults.sort();
        self.faults.dedup();
        Err(check::Faults(self.faults))
    }
}

/// Maximum number of claimed models for which all subsets are checked; their number is exponential.
const MAX_COMBINED_MODELS: usize = 12;

/// Returns a set of models whose claims exceed the number of engines that serve any of them, and
/// that number (Hall's condition). With more than [`MAX_COMBINED_MODELS`] claimed models, the sets
/// checked are all subsets of the first ones in name order, each other model on its own, and all
/// models together; claims that fail only for another set are not detected.
fn find_unmet<'a>(
    engines: &[&[id::Model]],
    claimed: &collections::BTreeMap<&'a id::Model, u64>,
) -> Option<(Vec<&'a id::Model>, u64)> {
    let models: Vec<&id::Model> = claimed.keys().copied().collect();
    let combined_count = models.len().min(MAX_COMBINED_MODELS);
    let sets = (1..1_u32 << combined_count).map(|bits| {
        // The limit of 32 keeps the shift from overflowing; higher indices have no bit.
        let chosen = models
            .iter()
            .enumerate()
            .filter(move |(index, _)| *index < 32 && bits & (1 << index) != 0);
        chosen.map(|(_, model)| *model).collect::<Vec<_>>()
    });
    let single = models.iter().skip(combined_count).map(|model| vec![*model]);
    sets.chain(single).chain([models.clone()]).find_map(|set| {
        let available =
            engines.iter().filter(|served| set.iter().any(|model| served.contains(model))).count();
        let available = u64::try_from(available).unwrap_or(u64::MAX);
        let claimed_engines: u64 = set.iter().map(|model| claimed[model]).sum();
        (claimed_engines > available).then_some((set, available))
    })
}
