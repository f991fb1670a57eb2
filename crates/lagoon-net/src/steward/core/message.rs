//! Dispatch of received messages, and propagation of membership updates.

use lagoonline::clock::Clock;
use lagoonline::control::membership;
use lagoonline::id;

use super::{Core, LinkId};
use crate::wire;

impl Core {
    /// Applies a message that arrived on link `from`.
    pub(in crate::steward) fn handle_message(&mut self, body: wire::Body, from: LinkId) {
        match body {
            wire::Body::Digest(digest) => self.handle_digest(&digest, from),
            wire::Body::Sections(sections) => self.handle_sections(&sections, from),
            wire::Body::Members(members) => self.handle_members(&members, from),
            wire::Body::Status(status) => {
                let host = id::Host::from(status.host.as_str());
                self.apply_own_report(&host, wire::decode_report(&status));
            }
            wire::Body::Statuses(statuses) => self.handle_statuses(&statuses, from),
            wire::Body::Loads(loads) => self.handle_loads(&loads, from),
            wire::Body::Marks(marks) => self.apply_marks(&marks.marks, Some(from)),
            wire::Body::Spending(spending) => self.handle_own_spending(&spending, from),
            // Calls are handled by the session; other messages are not addressed to stewards.
            _ => {}
        }
    }

    fn handle_members(&mut self, members: &wire::Members, from: LinkId) {
        let now = self.clock.now();
        let fresh = self.group.apply(&wire::decode_members(members), now);
        self.removed_rows.retain(|host| !self.group.is_live(host));
        self.broadcast_members(&fresh, Some(from));
    }

    /// Sends membership updates to all linked stewards except the one they came from.
    pub(in crate::steward) fn broadcast_members(
        &mut self,
        updates: &[membership::Update],
        from: Option<LinkId>,
    ) {
        if updates.is_empty() {
            return;
        }
        let body = wire::Body::Members(wire::encode_members(updates));
        self.send_all(&body, |link_id, link| {
            link.peer.role == wire::Role::Steward && Some(link_id) != from
        });
    }
}
