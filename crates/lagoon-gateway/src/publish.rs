//! Publishing of this host's state to other hosts, and removal of dispatches that other hosts
//! report as ended.

use std::collections;
use std::net;

use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::load::placement;
use lagoonline::routing;
use prost::Message;

use crate::mesh;
use crate::message;
use crate::state;

impl state::State {
    /// Returns the dispatches in flight to send to a new incarnation of the host at `address`. In a
    /// zone without a scheduler these are this host's own. Otherwise a candidate sends all that it
    /// knows to the hosts of its zone that get its heartbeats, which are those that track
    /// dispatches, and the leader sends the dispatches of its zone to other zones.
    pub(crate) fn in_flight_for_new_host(&self, address: net::SocketAddr) -> Vec<message::Update> {
        let now = self.clock.now();
        let zone = &self.settings.node.zone;
        let peers = state::lock(&self.peers);
        let roster = &peers.roster;
        if !roster.own_zone_has_scheduler() {
            drop(peers);
            return self.in_flight_updates(|host| host == self.incarnation);
        }
        let is_target = peers.is_among(address, &roster.heartbeat_targets(now));
        let in_own_zone = peers.is_in_zone(address, zone);
        if !roster.tracks_in_flight(now)
            || in_own_zone && !is_target
            || !in_own_zone && !roster.is_leader(now)
        {
            return Vec::new();
        }
        let mut incarnations = peers.incarnations_in(zone);
        drop(peers);
        incarnations.insert(self.incarnation);
        self.in_flight_updates(|host| in_own_zone || incarnations.contains(&host))
    }

    /// Returns what a new incarnation of the host at `address` is to know of upstreams, their limits
    /// and departures, and of evacuated zones: this host tells the hosts to which it announces dispatches.
    pub(crate) fn knowledge_for_new_host(&self, address: net::SocketAddr) -> Vec<message::Update> {
        let (own_zone, remote) = self.tracking_addresses();
        let is_told = own_zone.contains(&address) || remote.contains(&address);
        if !is_told {
            return Vec::new();
        }
        let mut updates = self.limit_updates();
        updates.extend(self.cold_updates());
        updates.extend(self.departure_updates());
        updates.extend(self.evacuation_updates());
        if own_zone.contains(&address) {
            updates.extend(self.usage_update());
            updates.extend(self.backoff_updates());
        }
        updates
    }

    /// Returns updates that describe the dispatches in flight of the incarnations selected by
    /// `wanted`.
    fn in_flight_updates<Wanted>(&self, wanted: Wanted) -> Vec<message::Update>
    where
        Wanted: Fn(u64) -> bool,
    {
        let now = self.clock.now();
        let mut updates = Vec::new();
        for (service, service_state) in self.service_states.load().iter() {
            for (dispatch, has_first_token) in state::lock(service_state).placer.in_flight(&wanted)
            {
                let mut add =
                    |what| updates.push(message::Update::about(dispatch.id, service, what));
                add(message::Kind::Sent(message::Dispatch::new(dispatch, now)));
                if has_first_token {
                    add(message::Kind::First(message::Empty {}));
                }
            }
        }
        updates
    }

    /// Returns the numbers of the dispatches in flight for each of `incarnations`, with an empty
    /// list for those that have none.
    pub(crate) fn in_flight_numbers(
        &self,
        incarnations: &collections::HashSet<u64>,
    ) -> Vec<message::Dispatches> {
        let mut numbers: collections::HashMap<u64, Vec<u64>> =
            incarnations.iter().map(|incarnation| (*incarnation, Vec::new())).collect();
        for service_state in self.service_states.load().values() {
            for (dispatch, _) in
                state::lock(service_state).placer.in_flight(|host| incarnations.contains(&host))
            {
                numbers.entry(dispatch.id.host).or_default().push(dispatch.id.number);
            }
        }
        let dispatches = |(host, numbers)| message::Dispatches { host, numbers };
        numbers.into_iter().map(dispatches).collect()
    }

    /// Encodes a heartbeat.
    pub(crate) fn encode_heartbeat(
        &self,
        under_way: Vec<message::Dispatches>,
        wants_answer: bool,
    ) -> Vec<u8> {
        let node = &self.settings.node;
        let beat = message::Heartbeat {
            host: node.host.to_string(),
            zone: node.zone.to_string(),
            cores: node.cpu_share,
            under_way,
            wants_answer,
        };
        let batch = message::Batch { beat: Some(beat), ..message::Batch::default() };
        // Those to other zones ask for no answer.
        self.encode_batch(if wants_answer { self.with_retry_report(batch) } else { batch })
    }

    /// Encodes `batch` as a datagram of this host.
    pub(crate) fn encode_batch(&self, batch: message::Batch) -> Vec<u8> {
        self.with_common_fields(batch).encode_to_vec()
    }

    /// Adds to `batch` the fields that every batch of this host carries.
    fn with_common_fields(&self, batch: message::Batch) -> message::Batch {
        let confirmed_ms = self.confirmation_age().map(message::to_millis);
        let verdicts = self.verdicts_checksum();
        let sight = state::lock(&self.paths).sight(self.clock.now());
        let reaches_upstreams = sight.map(|sight| sight == routing::Sight::Reaches);
        message::Batch {
            host: self.incarnation,
            confirmed_ms,
            verdicts,
            reaches_upstreams,
            doubted: self.doubted_parts(),
            ..batch
        }
    }

    /// Encodes `updates` as datagrams for the other hosts.
    pub(crate) fn encode_updates(&self, updates: Vec<message::Update>) -> Vec<Vec<u8>> {
        self.with_common_fields(message::Batch::default()).datagrams(updates)
    }

    /// Encodes `updates` as datagrams for the other hosts of this zone, with what this host used of
    /// the retry budgets.
    pub(crate) fn encode_updates_in_zone(&self, updates: Vec<message::Update>) -> Vec<Vec<u8>> {
        let batch = self.with_retry_report(message::Batch::default());
        self.with_common_fields(batch).datagrams(updates)
    }

    /// Sends `datagrams` to a host. A datagram that cannot be sent now is dropped, which only makes
    /// placement less accurate.
    pub(crate) fn send(&self, address: net::SocketAddr, datagrams: &[Vec<u8>]) {
        for datagram in datagrams {
            if self.socket.send_to(datagram, address).is_err() {
                self.metrics.updates_dropped.inc();
            }
        }
    }

    /// Returns the addresses of the hosts that track dispatches in flight: those in this zone, and
    /// those in other zones.
    pub(crate) fn tracking_addresses(&self) -> (Vec<net::SocketAddr>, Vec<net::SocketAddr>) {
        let now = self.clock.now();
        let peers = state::lock(&self.peers);
        (peers.zone_tracker_addresses(now), peers.remote_tracker_addresses(now))
    }

    /// Whether this host forwards updates of the host at `address` to other zones.
    pub(crate) fn forwards_for(&self, address: net::SocketAddr) -> bool {
        let now = self.clock.now();
        let peers = state::lock(&self.peers);
        let has_scheduler = peers.roster.own_zone_has_scheduler();
        has_scheduler
            && peers.roster.is_leader(now)
            && peers.is_in_zone(address, &self.settings.node.zone)
    }

    /// Drops the dispatches of a host incarnation that has ended.
    pub(crate) fn forget_incarnation(&self, incarnation: u64) {
        self.retain_dispatches(incarnation, &collections::HashSet::new(), clock::Span::ZERO);
    }

    /// Drops the dispatches of `incarnation` that are not among `numbers` and were first seen
    /// longer than `grace` ago. The leader, which is the zone's scheduler, publishes their end to
    /// other zones.
    pub(crate) fn retain_dispatches(
        &self,
        incarnation: u64,
        numbers: &collections::HashSet<u64>,
        grace: clock::Span,
    ) {
        let now = self.clock.now();
        let peers = state::lock(&self.peers);
        let has_scheduler = peers.roster.own_zone_has_scheduler();
        let publishes = has_scheduler
            && peers.roster.is_leader(now)
            && peers.incarnations_in(&self.settings.node.zone).contains(&incarnation);
        drop(peers);
        for (service, service_state) in self.service_states.load().iter() {
            let ended_ids = state::lock(service_state).placer.retain_listed(
                incarnation,
                numbers,
                now.saturating_sub(grace),
                now,
            );
            for id in ended_ids.into_iter().filter(|_| publishes) {
                let ended = message::Kind::Ended(message::Empty {});
                self.queue_update(
                    message::Update::about(id, service, ended),
                    mesh::Audience::OtherZones,
                );
            }
        }
    }

    /// Publishes an update of this host. In a zone with a scheduler, the scheduler forwards it to
    /// other zones.
    pub(crate) fn publish(&self, update: message::Update) {
        let peers = state::lock(&self.peers);
        let own_zone_only =
            peers.roster.own_zone_has_scheduler() && !peers.roster.is_leader(self.clock.now());
        drop(peers);
        self.queue_update(
            update,
            if own_zone_only { mesh::Audience::OwnZone } else { mesh::Audience::AllZones },
        );
    }

    /// Publishes that a dispatch of this host ended or will not be made.
    pub(crate) fn publish_ended(&self, service: &id::Service, id: placement::DispatchId) {
        self.publish(message::Update::new(
            id.number,
            service,
            message::Kind::Ended(message::Empty {}),
        ));
    }

    /// Queues an update for the hosts in `audience`. If the queue is full, the update is dropped,
    /// which only makes placement less accurate.
    pub(crate) fn queue_update(&self, update: message::Update, audience: mesh::Audience) {
        if self.updates.try_send(mesh::QueuedUpdate { update, audience }).is_err() {
            self.metrics.updates_dropped.inc();
        }
    }

    /// Records how an upstream of `service` handled a request. In a zone with a scheduler, the
    /// scheduler is told as well.
    ///
    /// When engines crash, each of hundreds of hosts with two requests a second would otherwise
    /// have to find out by itself, and each crash would cost hundreds of requests.
    pub(crate) fn record_observation(
        &self,
        service: &id::Service,
        observation: message::Observation,
    ) {
        self.with_placer(service, |placer, now| observation.apply(placer, now));
        self.publish_observation(service, observation);
    }

    /// Tells the zone's scheduler, if there is one, how an upstream of `service` handled a request.
    pub(crate) fn publish_observation(
        &self,
        service: &id::Service,
        observation: message::Observation,
    ) {
        if state::lock(&self.peers).roster.own_zone_has_scheduler() {
            let update = message::Update::new(0, service, message::Kind::Seen(observation));
            self.queue_update(update, mesh::Audience::OwnZone);
        }
    }
}
