//! Publishing of this host's state to other hosts, and removal of dispatches that other hosts
//! report as ended.

use std::collections;
use std::net;

use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::load::placement;
use prost::Message;

use crate::mesh;
use crate::state;
use crate::word;

impl state::State {
    /// Returns the dispatches in flight to send to a new incarnation of the host at `address`:
    /// those of this host's zone as far as this host is the one to report them.
    pub(crate) fn told_when_met(&self, address: net::SocketAddr) -> Vec<word::Word> {
        let now = self.clock.now();
        let zone = &self.settings.node.zone;
        let peers = state::lock(&self.peers);
        let roster = &peers.roster;
        if !roster.is_own_shared() {
            drop(peers);
            return self.under_way(|host| host == self.number);
        }
        let follows = peers.is_among(address, &roster.watched(now));
        let near = peers.is_in(address, zone);
        if !roster.is_candidate(now) || near && !follows || !near && !roster.leads(now) {
            return Vec::new();
        }
        let mut lives = peers.lives_in(zone);
        drop(peers);
        lives.insert(self.number);
        self.under_way(|host| near || lives.contains(&host))
    }

    /// Returns updates that describe the dispatches in flight of the incarnations selected by
    /// `wanted`.
    fn under_way<Wanted>(&self, wanted: Wanted) -> Vec<word::Word>
    where
        Wanted: Fn(u64) -> bool,
    {
        let now = self.clock.now();
        let mut words = Vec::new();
        for (service, desk) in self.desks.load().iter() {
            for (work, read) in state::lock(desk).board.under_way(&wanted) {
                let mut say = |what| words.push(word::Word::about(work.id, service, what));
                say(word::What::Sent(word::Sent::new(work, now)));
                if read {
                    say(word::What::First(word::Nothing {}));
                }
            }
        }
        words
    }

    /// Returns the numbers of the dispatches in flight for each of `lives`, with an empty list for
    /// those that have none.
    pub(crate) fn numbers(&self, lives: &collections::HashSet<u64>) -> Vec<word::UnderWay> {
        let mut numbers: collections::HashMap<u64, Vec<u64>> =
            lives.iter().map(|life| (*life, Vec::new())).collect();
        for desk in self.desks.load().values() {
            for (work, _) in state::lock(desk).board.under_way(|host| lives.contains(&host)) {
                numbers.entry(work.id.host).or_default().push(work.id.number);
            }
        }
        let under_way = |(host, numbers)| word::UnderWay { host, numbers };
        numbers.into_iter().map(under_way).collect()
    }

    /// Encodes a heartbeat.
    pub(crate) fn heartbeat(&self, under_way: Vec<word::UnderWay>, wants_answer: bool) -> Vec<u8> {
        let node = &self.settings.node;
        let beat = word::Beat {
            host: node.host.to_string(),
            zone: node.zone.to_string(),
            cores: node.cpu_share,
            under_way,
            wants_answer,
        };
        self.batch(word::Batch { beat: Some(beat), ..word::Batch::default() })
    }

    /// Encodes `batch` as a datagram of this host.
    pub(crate) fn batch(&self, batch: word::Batch) -> Vec<u8> {
        self.said_always(batch).encode_to_vec()
    }

    /// Adds to `batch` the fields that every batch of this host carries.
    fn said_always(&self, batch: word::Batch) -> word::Batch {
        let confirmed_ms = self.confirmation_age().map(word::millis);
        let verdicts = self.verdicts_checksum();
        word::Batch { host: self.number, confirmed_ms, verdicts, ..batch }
    }

    /// Encodes `words` as datagrams for the other hosts.
    pub(crate) fn datagrams(&self, words: Vec<word::Word>) -> Vec<Vec<u8>> {
        self.said_always(word::Batch::default()).datagrams(words)
    }

    /// Sends `datagrams` to a host. A datagram that cannot be sent now is dropped, which costs only
    /// efficiency.
    pub(crate) fn send(&self, address: net::SocketAddr, datagrams: &[Vec<u8>]) {
        for datagram in datagrams {
            if self.socket.send_to(datagram, address).is_err() {
                self.metrics.words_lost.inc();
            }
        }
    }

    /// Returns the addresses of the hosts that track dispatches in flight: those in this zone, and
    /// those in other zones.
    pub(crate) fn reached(&self) -> (Vec<net::SocketAddr>, Vec<net::SocketAddr>) {
        let now = self.clock.now();
        let peers = state::lock(&self.peers);
        (peers.near(now), peers.far(now))
    }

    /// Whether this host forwards updates of the host at `address` to other zones.
    pub(crate) fn relays_for(&self, address: net::SocketAddr) -> bool {
        let now = self.clock.now();
        let peers = state::lock(&self.peers);
        let shared = peers.roster.is_own_shared();
        shared && peers.roster.leads(now) && peers.is_in(address, &self.settings.node.zone)
    }

    /// Drops the dispatches of a host incarnation that has ended.
    pub(crate) fn forget_life(&self, life: u64) {
        self.keep_only(life, &collections::HashSet::new(), clock::Span::ZERO);
    }

    /// Drops the dispatches of `life` that are not among `numbers` and were first seen longer than
    /// `span` ago. The zone's scheduler publishes their end to other zones.
    pub(crate) fn keep_only(
        &self,
        life: u64,
        numbers: &collections::HashSet<u64>,
        span: clock::Span,
    ) {
        let now = self.clock.now();
        let peers = state::lock(&self.peers);
        let shared = peers.roster.is_own_shared();
        let tells = shared
            && peers.roster.leads(now)
            && peers.lives_in(&self.settings.node.zone).contains(&life);
        drop(peers);
        for (service, desk) in self.desks.load().iter() {
            let over = state::lock(desk).board.keep_only(life, numbers, now.before(span), now);
            for id in over.into_iter().filter(|_| tells) {
                let ended = word::What::Ended(word::Nothing {});
                self.say(word::Word::about(id, service, ended), mesh::Reach::Far);
            }
        }
    }

    /// Publishes an update of this host. In a zone with a scheduler, the scheduler forwards it to
    /// other zones.
    pub(crate) fn tell(&self, word: word::Word) {
        let peers = state::lock(&self.peers);
        let near = peers.roster.is_own_shared() && !peers.roster.leads(self.clock.now());
        drop(peers);
        self.say(word, if near { mesh::Reach::Near } else { mesh::Reach::All });
    }

    /// Publishes that a dispatch of this host ended or will not be made.
    pub(crate) fn say_ended(&self, service: &id::Service, id: placement::WorkId) {
        self.tell(word::Word::new(id.number, service, word::What::Ended(word::Nothing {})));
    }

    /// Queues an update for the hosts in `reach`. If the queue is full, the update is dropped,
    /// which costs only efficiency.
    pub(crate) fn say(&self, word: word::Word, reach: mesh::Reach) {
        if self.words.try_send(mesh::Said { word, reach }).is_err() {
            self.metrics.words_lost.inc();
        }
    }

    /// Records how an upstream of `service` handled a request. In a zone with a scheduler, the
    /// scheduler is told as well.
    ///
    /// When engines crash, each of hundreds of hosts with two requests a second would otherwise
    /// have to find out by itself, and each crash would cost hundreds of requests.
    pub(crate) fn saw(&self, service: &id::Service, seen: word::Seen) {
        self.with_board(service, |board, now| seen.note(board, now));
        if state::lock(&self.peers).roster.is_own_shared() {
            let word = word::Word::new(0, service, word::What::Seen(seen));
            self.say(word, mesh::Reach::Near);
        }
    }
}
