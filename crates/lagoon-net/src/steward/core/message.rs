//! What each message does to a steward's state.

use lagoonline::clock::Clock;
use lagoonline::control::membership;
use lagoonline::id;

use super::{Core, LinkId};
use crate::wire;

impl Core {
    pub(in crate::steward) fn handle_message(&mut self, body: wire::Body, from: LinkId) {
        match body {
            wire::Body::Digest(digest) => self.handle_digest(&digest, from),
            wire::Body::Sections(sections) => self.handle_sections(&sections, from),
            wire::Body::Members(members) => self.handle_members(&members, from),
            wire::Body::Status(status) => {
                let host = id::Host::from(status.host.as_str());
                self.apply_own_report(&host, wire::report(&status));
            }
            wire::Body::Statuses(statuses) => self.handle_statuses(&statuses, from),
            wire::Body::Loads(loads) => self.handle_loads(&loads, from),
            wire::Body::Marks(marks) => self.apply_marks(&marks.marks, Some(from)),
            wire::Body::Spending(spending) => self.handle_own_spending(&spending, from),
            // The rest is for others, or handled where calls are.
            _ => {}
        }
    }

    fn handle_members(&mut self, members: &wire::Members, from: LinkId) {
        let now = self.clock.now();
        let fresh = self.group.apply(&wire::membership_updates(members), now);
        self.removed_rows.retain(|host| !self.group.is_live(host));
        self.broadcast_members(&fresh, Some(from));
    }

    /// Passes updates of members on to stewards.
    pub(in crate::steward) fn broadcast_members(
        &mut self,
        updates: &[membership::Update],
        from: Option<LinkId>,
    ) {
        if updates.is_empty() {
            return;
        }
        let body = wire::Body::Members(wire::members(updates));
        self.send_all(&body, |link_id, link| {
            link.peer.role == wire::Role::Steward && Some(link_id) != from
        });
    }
}
