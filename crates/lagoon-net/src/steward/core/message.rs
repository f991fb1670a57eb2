//! What each message does to a steward's state.

use lagoonline::clock::Clock;
use lagoonline::control::membership;
use lagoonline::id;

use super::{Core, LinkId};
use crate::wire;

impl Core {
    pub(in crate::steward) fn take(&mut self, body: wire::Body, from: LinkId) {
        match body {
            wire::Body::Digest(digest) => self.take_digest(&digest, from),
            wire::Body::Sections(sections) => self.take_sections(&sections, from),
            wire::Body::Members(members) => self.take_members(&members, from),
            wire::Body::Status(status) => {
                let host = id::Host::from(status.host.as_str());
                self.take_own_report(&host, wire::report(&status));
            }
            wire::Body::Statuses(statuses) => self.take_statuses(&statuses, from),
            wire::Body::Loads(loads) => self.take_loads(&loads, from),
            wire::Body::Marks(marks) => self.take_marks(&marks.marks, Some(from)),
            wire::Body::Spending(spending) => self.take_own_spending(&spending, from),
            // The rest is for others, or handled where calls are.
            _ => {}
        }
    }

    fn take_members(&mut self, members: &wire::Members, from: LinkId) {
        let now = self.clock.now();
        let fresh = self.group.apply(&wire::membership_updates(members), now);
        self.removed.retain(|host| !self.group.is_live(host));
        self.tell_members(&fresh, Some(from));
    }

    /// Passes news of members on to stewards.
    pub(in crate::steward) fn tell_members(
        &mut self,
        news: &[membership::Update],
        from: Option<LinkId>,
    ) {
        if news.is_empty() {
            return;
        }
        let body = wire::Body::Members(wire::members(news));
        self.send_all(&body, |name, link| {
            link.peer.role == wire::Role::Steward && Some(name) != from
        });
    }
}
