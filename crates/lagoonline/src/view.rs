//! What an entry host works on: all sections in force, merged, and what is known of upstreams.

use std::collections;
use std::sync;

use crate::control::document;
use crate::id;

/// Index of an upstream within one [`Fleet`].
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct UpstreamIndex(pub u32);

/// Index of a customer within one [`Fleet`].
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CustomerIndex(pub u32);

/// A customer and the team that owns it.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Its name.
    pub name: id::Customer,
    /// Its team.
    pub team: id::Team,
    /// What the section says of it.
    pub entry: document::Customer,
}

/// An upstream and the team that owns it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its name.
    pub name: id::Upstream,
    /// Its team.
    pub team: id::Team,
    /// What the section says of it.
    pub entry: document::Upstream,
}

/// All sections in force at one moment, merged and indexed; shared and never changed.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// Version of each team's section in force.
    pub versions: collections::BTreeMap<id::Team, id::Version>,
    /// Every customer.
    pub customers: Vec<Customer>,
    /// Every upstream.
    pub upstreams: Vec<Upstream>,
    /// Every model.
    pub models: collections::BTreeMap<id::Model, document::Model>,
    /// Every plain service.
    pub services: collections::BTreeMap<id::Service, document::Service>,
    /// Each team's policy.
    pub policies: collections::BTreeMap<id::Team, document::Policy>,
    /// Each team's claims.
    pub claims: collections::BTreeMap<id::Team, collections::BTreeMap<id::Model, document::Claim>>,
    keys: collections::HashMap<document::KeyHash, CustomerIndex>,
    upstream_names: collections::HashMap<id::Upstream, UpstreamIndex>,
}

impl Fleet {
    /// Merges sections; where two give the same name, the team first in order keeps it, though
    /// the document's checks refuse that.
    ///
    /// ```
    /// use lagoonline::control::document::Section;
    /// use lagoonline::id::{Team, Version};
    /// use lagoonline::view::Fleet;
    /// let text = r#"{"models": {"m": {}}}"#;
    /// let section = Section::parse(Team::from("a"), Version(3), text).unwrap();
    /// let fleet = Fleet::merge([&section]);
    /// assert_eq!(fleet.versions["a"], Version(3));
    /// assert!(fleet.models.contains_key("m"));
    /// ```
    pub fn merge<'a, I>(sections: I) -> Fleet
    where
        I: IntoIterator<Item = &'a document::Section>,
    {
        let mut fleet = Fleet::default();
        let mut ordered: Vec<_> = sections.into_iter().collect();
        ordered.sort_by(|a, b| a.team.cmp(&b.team));
        for section in ordered {
            fleet.add(section);
        }
        fleet
    }

    fn add(&mut self, section: &document::Section) {
        let body = &section.body;
        self.versions.insert(section.team.clone(), section.version);
        self.policies.insert(section.team.clone(), body.policy.clone());
        self.claims.insert(section.team.clone(), body.claims.clone());
        for (name, model) in &body.models {
            self.models.entry(name.clone()).or_insert_with(|| model.clone());
        }
        for (name, service) in &body.services {
            self.services.entry(name.clone()).or_insert_with(|| service.clone());
        }
        self.add_customers(section);
        self.add_upstreams(section);
    }

    fn add_customers(&mut self, section: &document::Section) {
        for (name, entry) in &section.body.customers {
            let index = CustomerIndex(u32::try_from(self.customers.len()).unwrap_or(u32::MAX));
            for key in &entry.keys {
                self.keys.entry(*key).or_insert(index);
            }
            let (name, team) = (name.clone(), section.team.clone());
            self.customers.push(Customer { name, team, entry: entry.clone() });
        }
    }

    fn add_upstreams(&mut self, section: &document::Section) {
        for (name, entry) in &section.body.upstreams {
            let index = UpstreamIndex(u32::try_from(self.upstreams.len()).unwrap_or(u32::MAX));
            if self.upstream_names.contains_key(name) {
                continue;
            }
            self.upstream_names.insert(name.clone(), index);
            let (name, team) = (name.clone(), section.team.clone());
            self.upstreams.push(Upstream { name, team, entry: entry.clone() });
        }
    }

    /// The customer that the SHA-256 of a caller key names.
    ///
    /// The lookup goes by hash of a hash, so its time says nothing of a key; the stored hash is
    /// compared once more in constant time by the caller's adapter.
    pub fn customer(&self, key: &document::KeyHash) -> Option<&Customer> {
        self.customers.get(self.customer_index(key)?.0 as usize)
    }

    /// Index of that customer, for what keeps a request with its fleet.
    ///
    /// ```
    /// use lagoonline::control::document::Section;
    /// use lagoonline::id::{Team, Version};
    /// use lagoonline::view::{CustomerIndex, Fleet};
    /// let hash = "ab".repeat(32);
    /// let text = format!(r#"{{"customers": {{"a": {{}}, "b": {{"keys": ["{hash}"]}}}}}}"#);
    /// let section = Section::parse(Team::from("t"), Version(1), &text).unwrap();
    /// let fleet = Fleet::merge([&section]);
    /// assert_eq!(fleet.customer_index(&[0xab; 32]), Some(CustomerIndex(1)));
    /// assert_eq!(fleet.customer_index(&[0; 32]), None);
    /// ```
    pub fn customer_index(&self, key: &document::KeyHash) -> Option<CustomerIndex> {
        self.keys.get(key).copied()
    }

    /// The upstream of this name.
    pub fn upstream(&self, name: &id::Upstream) -> Option<&Upstream> {
        let index = self.upstream_names.get(name)?;
        self.upstreams.get(index.0 as usize)
    }

    /// Upstreams that serve the model.
    pub fn engines<'a>(&'a self, model: &'a id::Model) -> impl Iterator<Item = &'a Upstream> {
        self.upstreams.iter().filter(move |upstream| match &upstream.entry.serves {
            document::Serves::Models(models) => models.contains(model),
            document::Serves::Service(_) => false,
        })
    }

    /// Replicas of the service.
    pub fn replicas<'a>(&'a self, service: &'a id::Service) -> impl Iterator<Item = &'a Upstream> {
        self.upstreams.iter().filter(move |upstream| match &upstream.entry.serves {
            document::Serves::Models(_) => false,
            document::Serves::Service(name) => name == service,
        })
    }
}

/// A fleet shared by the threads of a process.
pub type Shared = sync::Arc<Fleet>;
