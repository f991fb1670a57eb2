//! Counters that a team's objectives cover: those of its own models, services and customers.

use std::collections;

use lagoonline::control::document;

use crate::series;

/// Selects the counters that a team's objectives cover.
#[derive(Clone, Copy, Debug)]
pub struct Scope<'a> {
    body: &'a document::Body,
}

impl<'a> Scope<'a> {
    /// Returns the scope of a team's section. For a team without models and services, such as one
    /// that only has customers, the scope covers all models and services. For a team without
    /// customers, it covers the counters of all customers.
    ///
    /// ```
    /// use lagoon_burn::{scope::Scope, series::Key};
    /// use lagoonline::{control::document::Section, id};
    /// let text = r#"{"models": {"tin-label": {}}}"#;
    /// let section = Section::parse(id::Team::from("t"), id::Version(1), text).unwrap();
    /// let key = |model: &str| Key {
    ///     metric: "lagoon_first_token_seconds".into(),
    ///     labels: [("model".into(), model.into())].into(),
    /// };
    /// let growth = [(key("tin-label"), 3.0), (key("other"), 4.0)].into();
    /// assert_eq!(Scope::of(&section).filter(&growth), [(key("tin-label"), 3.0)].into());
    /// ```
    pub fn of(section: &'a document::Section) -> Self {
        Scope { body: &section.body }
    }

    /// Returns the counters within the scope.
    pub fn filter(
        &self,
        growth: &collections::BTreeMap<series::Key, f64>,
    ) -> collections::BTreeMap<series::Key, f64> {
        let kept = growth.iter().filter(|(key, _)| self.contains(key));
        kept.map(|(key, grown)| (key.clone(), *grown)).collect()
    }

    fn contains(&self, key: &series::Key) -> bool {
        let customer = key.label("customer");
        if !customer.is_empty() && !self.body.customers.is_empty() {
            return self.body.customers.contains_key(customer);
        }
        let is_set = |label: &str| !key.label(label).is_empty();
        let label = ["model", "name"].into_iter().find(|label| is_set(label));
        let owns_none = self.body.models.is_empty() && self.body.services.is_empty();
        // Latency metrics name a model in the label `model`. Request counters name a model or a
        // service in the label `name`.
        // Counters without a model or service name, such as those of requests for a name that does
        // not exist, belong to no team. Every scope includes them.
        let Some(name) = label.map(|label| key.label(label)) else { return true };
        owns_none || self.body.models.contains_key(name) || self.body.services.contains_key(name)
    }
}
