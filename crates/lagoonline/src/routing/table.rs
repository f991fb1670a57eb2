//! Lookup of a request's route by longest prefix, and of the customer by key.

use std::collections;
use std::sync;

use super::{Customer, Desired, Limits, Route, Service, Urgencies};
use crate::id;

/// An indexed version of the routing configuration; not to be confused with the platform's
/// [`crate::port::table`].
#[derive(Debug, Default)]
pub struct Table {
    version: u64,
    limits: Limits,
    /// Routes by host, longest prefix first.
    routes_by_host: collections::HashMap<String, Vec<sync::Arc<Route>>>,
    services: collections::HashMap<id::Service, sync::Arc<Service>>,
    customers: Option<collections::HashMap<String, sync::Arc<Customer>>>,
    urgencies: collections::HashMap<id::Service, Urgencies>,
}

/// Result of looking up a request's key.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyMatch {
    /// No key is required: there are no customers, or the route is public and the request has no
    /// known key.
    Open,
    /// The key belongs to this customer.
    Customer(sync::Arc<Customer>),
    /// The key is missing or belongs to no customer.
    Unknown,
}

impl Table {
    /// Builds the index of `desired`.
    ///
    /// ```
    /// use lagoonline::routing;
    /// let table = routing::Table::new(routing::Desired::default());
    /// assert!(table.route("a.example", "/x").is_none());
    /// assert_eq!(table.version(), 0);
    /// ```
    pub fn new(desired: Desired) -> Table {
        let urgencies = urgencies_by_service(&desired);
        let mut routes_by_host: collections::HashMap<String, Vec<sync::Arc<Route>>> =
            Default::default();
        for route in desired.routes {
            routes_by_host.entry(route.host.clone()).or_default().push(sync::Arc::new(route));
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = desired.services.into_iter();
        let services = services.map(|service| (service.name.clone(), sync::Arc::new(service)));
        Table {
            version: desired.version,
            limits: desired.limits,
            routes_by_host,
            services: services.collect(),
            customers: desired.customers.map(index_by_key),
            urgencies,
        }
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on requests.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the route of a request: the one for its host with the longest prefix that matches
    /// the path. A port in `host` is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&sync::Arc<Route>> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        self.routes_by_host.get(&host)?.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &id::Service) -> Option<&sync::Arc<Service>> {
        self.services.get(name)
    }

    /// Returns the priorities that requests to `service` may have; `None` if it is not known.
    pub fn urgencies(&self, service: &id::Service) -> Option<&Urgencies> {
        self.urgencies.get(service)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &sync::Arc<Service>> {
        self.services.values()
    }

    /// Returns the customer that the key of a request on `route` belongs to.
    pub fn customer(&self, route: &Route, key: Option<&str>) -> KeyMatch {
        let Some(customers) = &self.customers else { return KeyMatch::Open };
        if let Some(customer) = key.and_then(|key| customers.get(key)) {
            return KeyMatch::Customer(customer.clone());
        }
        if route.public { KeyMatch::Open } else { KeyMatch::Unknown }
    }
}

fn urgencies_by_service(desired: &Desired) -> collections::HashMap<id::Service, Urgencies> {
    let of = |service: &id::Service| {
        Urgencies::new(service, &desired.routes, desired.customers.as_deref())
    };
    let names = desired.services.iter().map(|service| &service.name);
    names.map(|name| (name.clone(), of(name))).collect()
}

fn index_by_key(customers: Vec<Customer>) -> collections::HashMap<String, sync::Arc<Customer>> {
    let mut keys = collections::HashMap::new();
    for customer in customers {
        let customer = sync::Arc::new(customer);
        for key in &customer.keys {
            keys.insert(key.clone(), customer.clone());
        }
    }
    keys
}

/// Returns the share of `route` that a request goes to; `draw` must be uniformly distributed over
/// all `u64` values.
fn pick_share(route: &Route, draw: u64) -> &super::Share {
    let total: u64 = route.shares.iter().map(|share| u64::from(share.weight)).sum();
    let mut remaining = if total == 0 { 0 } else { draw % total };
    for share in &route.shares {
        if remaining < u64::from(share.weight) {
            return share;
        }
        remaining -= u64::from(share.weight);
    }
    &route.shares[0]
}

impl Route {
    /// Returns the priority of a request of `customer`; 0 is the most urgent. A customer's own
    /// priority goes before that of the route.
    ///
    /// ```
    /// use lagoonline::{id, routing::{Customer, Route}};
    /// # fn check(route: Route, customer: Customer) {
    /// let route = Route { priority: 2, ..route };
    /// let urgent = Customer { priority: Some(0), ..customer };
    /// assert_eq!(route.urgency(Some(&urgent)), 0);
    /// assert_eq!(route.urgency(None), 2);
    /// # }
    /// ```
    pub fn urgency(&self, customer: Option<&Customer>) -> u32 {
        customer.and_then(|customer| customer.priority).unwrap_or(self.priority)
    }

    /// Returns the service that a request goes to; `draw` must be uniformly distributed over all
    /// `u64` values.
    ///
    /// # Panics
    ///
    /// Panics if the route has no shares.
    pub fn service(&self, draw: u64) -> &id::Service {
        &pick_share(self, draw).service
    }
}
