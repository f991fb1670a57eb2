//! Priority of requests in the queues of engines.
//!
//! Load pattern: requests of several urgencies wait in one engine. By prompt length alone a short
//! prompt of low urgency would run before a long urgent one, so urgency goes first where it
//! differs, and length second.

use std::collections;

use super::{Customer, Route};
use crate::id;

/// Number of priorities in an engine's queue, from 0, first.
const PRIORITIES: usize = 10;

/// The distinct priorities that requests to a service may have, the most urgent first.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Urgencies(Vec<u32>);

impl Urgencies {
    /// The priorities of requests of `customers` on `routes` to `service`. The priority of a route
    /// counts only if some request may have it. `customers` is `None` if no keys are required.
    pub fn new(service: &id::Service, routes: &[Route], customers: Option<&[Customer]>) -> Self {
        let own = customers.unwrap_or_default().iter().map(|customer| customer.priority);
        let own: Vec<Option<u32>> = own.collect();
        let by_route = customers.is_none() || own.iter().any(Option::is_none);
        let to_service = routes
            .iter()
            .filter(|route| route.shares.iter().any(|share| share.service == *service));
        let of_routes = to_service.filter(|route| by_route || route.public);
        let of_routes = of_routes.map(|route| route.priority);
        let all = of_routes.chain(own.iter().copied().flatten());
        let all: collections::BTreeSet<u32> = all.collect();
        Urgencies(all.into_iter().collect())
    }

    /// Returns the priority in an engine's queue, from 0, first, to 9, last, of a request with this
    /// `urgency` and the length class `length`, 0 for the shortest of `lengths` classes. `None` if
    /// all requests to the service are equally urgent. Further length classes share a priority if
    /// there are too many urgencies.
    ///
    /// ```
    /// use lagoonline::routing::Urgencies;
    /// let urgencies = Urgencies::from(vec![0, 1, 2]);
    /// assert_eq!(urgencies.queue_priority(0, 2, 3), Some(2));
    /// assert_eq!(urgencies.queue_priority(1, 0, 3), Some(3));
    /// assert_eq!(Urgencies::from(vec![1]).queue_priority(1, 0, 3), None);
    /// ```
    pub fn queue_priority(&self, urgency: u32, length: usize, lengths: usize) -> Option<u8> {
        if self.0.len() < 2 {
            return None;
        }
        let rank = self.0.iter().filter(|other| **other < urgency).count();
        let width = (PRIORITIES / self.0.len()).clamp(1, lengths.max(1));
        let priority = rank * width + length.min(width - 1);
        Some(priority.min(PRIORITIES - 1) as u8)
    }
}

impl From<Vec<u32>> for Urgencies {
    fn from(mut urgencies: Vec<u32>) -> Urgencies {
        urgencies.sort_unstable();
        urgencies.dedup();
        Urgencies(urgencies)
    }
}
