//! View of the configuration document that the entry hosts and stewards of `lagoon-net` work with:
//! a [`Fleet`] merges all sections in force. The configuration of `lagoon-gateway` is
//! [`crate::routing::Table`].

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

/// A customer with its owning team.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Name of the customer.
    pub name: id::Customer,
    /// The team that owns it.
    pub team: id::Team,
    /// Its entry in the team's section.
    pub entry: document::Customer,
}

/// An upstream with its owning team.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Name of the upstream.
    pub name: id::Upstream,
    /// The team that owns it.
    pub team: id::Team,
    /// Its entry in the team's section.
    pub entry: document::Upstream,
}

/// The merged configuration document: all sections in force at one time, indexed for lookups. It
/// names upstreams but no entry hosts. Immutable and shared.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// The version in force of each team's section.
    pub versions: collections::BTreeMap<id::Team, id::Version>,
    /// All customers.
    pub customers: Vec<Customer>,
    /// All upstreams.
    pub upstreams: Vec<Upstream>,
    /// All models by name.
    pub models: collections::BTreeMap<id::Model, document::Model>,
    /// All plain services by name.
    pub services: collections::BTreeMap<id::Service, document::Service>,
    /// The policy of each team.
    pub policies: collections::BTreeMap<id::Team, document::Policy>,
    /// The capacity claims of each team, by model.
    pub claims: collections::BTreeMap<id::Team, collections::BTreeMap<id::Model, document::Claim>>,
    keys: collections::HashMap<document::KeyHash, CustomerIndex>,
    upstream_names: collections::HashMap<id::Upstream, UpstreamIndex>,
}

impl Fleet {
    /// Merges sections. If two of them define the same model, service, upstream or caller key, the
    /// first team in alphabetical order wins; customers of the same name are all kept. Validation
    /// of the document rejects such duplicates.
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

    /// Returns the customer identified by the SHA-256 hash of a caller key.
    ///
    /// The lookup hashes the key hash once more in the hash map, so its timing reveals nothing
    /// about the key. The adapter compares the stored hash once more in constant time.
    pub fn customer(&self, key: &document::KeyHash) -> Option<&Customer> {
        self.customers.get(self.customer_index(key)?.0 as usize)
    }

    /// Returns the index of the customer identified by a key hash, for data that is kept together
    /// with its fleet.
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

    /// Returns the upstream with this name.
    pub fn upstream(&self, name: &id::Upstream) -> Option<&Upstream> {
        let index = self.upstream_names.get(name)?;
        self.upstreams.get(index.0 as usize)
    }

    /// Returns the upstreams that serve the model.
    pub fn engines<'a>(&'a self, model: &'a id::Model) -> impl Iterator<Item = &'a Upstream> {
        self.upstreams.iter().filter(move |upstream| match &upstream.entry.serves {
            document::Serves::Models(models) => models.contains(model),
            document::Serves::Service(_) => false,
        })
    }

    /// Returns the replicas of the service.
    pub fn replicas<'a>(&'a self, service: &'a id::Service) -> impl Iterator<Item = &'a Upstream> {
        self.upstreams.iter().filter(move |upstream| match &upstream.entry.serves {
            document::Serves::Models(_) => false,
            document::Serves::Service(name) => name == service,
        })
    }
}

/// A fleet shared between the threads of a process.
pub type Shared = sync::Arc<Fleet>;
