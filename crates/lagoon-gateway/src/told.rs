//! What this host tells the others of what it knows, and to whom; what it forgets by their word.

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
    /// What a life of the host at `address`, heard of for the first time, is told of what is under
    /// way: all that this host knows of its own zone, where that is for it to tell.
    pub(crate) fn told_when_met(&self, address: net::SocketAddr) -> Vec<word::Word> {
        let now = self.clock.now();
        let zone = &self.settings.node.zone;
        let peers = state::lock(&self.peers);
        let roster = &peers.roster;
        if !roster.own_zone_has_scheduler() {
            drop(peers);
            return self.under_way(|host| host == self.number);
        }
        let follows = peers.is_among(address, &roster.heartbeat_targets(now));
        let near = peers.is_in(address, zone);
        if !roster.is_candidate(now) || near && !follows || !near && !roster.is_leader(now) {
            return Vec::new();
        }
        let mut lives = peers.lives_in(zone);
        drop(peers);
        lives.insert(self.number);
        self.under_way(|host| near || lives.contains(&host))
    }

    /// What the lives of which `wanted` holds have under way, as words.
    fn under_way<Wanted>(&self, wanted: Wanted) -> Vec<word::Word>
    where
        Wanted: Fn(u64) -> bool,
    {
        let now = self.clock.now();
        let mut words = Vec::new();
        for (service, desk) in self.desks.load().iter() {
            for (work, read) in state::lock(desk).board.in_flight(&wanted) {
                let mut say = |what| words.push(word::Word::about(work.id, service, what));
                say(word::What::Sent(word::Sent::new(work, now)));
                if read {
                    say(word::What::First(word::Nothing {}));
                }
            }
        }
        words
    }

    /// Numbers of the dispatches that each of `lives` has under way, of lives without any too.
    pub(crate) fn numbers(&self, lives: &collections::HashSet<u64>) -> Vec<word::UnderWay> {
        let mut numbers: collections::HashMap<u64, Vec<u64>> =
            lives.iter().map(|life| (*life, Vec::new())).collect();
        for desk in self.desks.load().values() {
            for (work, _) in state::lock(desk).board.in_flight(|host| lives.contains(&host)) {
                numbers.entry(work.id.host).or_default().push(work.id.number);
            }
        }
        let under_way = |(host, numbers)| word::UnderWay { host, numbers };
        numbers.into_iter().map(under_way).collect()
    }

    /// A heartbeat.
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

    /// The datagram of `batch`, said by this life.
    pub(crate) fn batch(&self, batch: word::Batch) -> Vec<u8> {
        self.said_always(batch).encode_to_vec()
    }

    /// `batch` with what each batch of this life tells.
    fn said_always(&self, batch: word::Batch) -> word::Batch {
        let confirmed_ms = self.confirmation_age().map(word::millis);
        let verdicts = self.verdicts_checksum();
        word::Batch { host: self.number, confirmed_ms, verdicts, ..batch }
    }

    /// The datagrams that carry `words` to the other hosts.
    pub(crate) fn datagrams(&self, words: Vec<word::Word>) -> Vec<Vec<u8>> {
        self.said_always(word::Batch::default()).datagrams(words)
    }

    /// Sends `datagrams` to a host. One that cannot be sent now is lost, which costs only efficiency.
    pub(crate) fn send(&self, address: net::SocketAddr, datagrams: &[Vec<u8>]) {
        for datagram in datagrams {
            if self.socket.send_to(datagram, address).is_err() {
                self.metrics.words_lost.inc();
            }
        }
    }

    /// Where the hosts of this zone, and those of others, hear words that are to know what is under
    /// way.
    pub(crate) fn reached(&self) -> (Vec<net::SocketAddr>, Vec<net::SocketAddr>) {
        let now = self.clock.now();
        let peers = state::lock(&self.peers);
        (peers.near(now), peers.far(now))
    }

    /// Whether this host tells other zones what the host at `address` says.
    pub(crate) fn relays_for(&self, address: net::SocketAddr) -> bool {
        let now = self.clock.now();
        let peers = state::lock(&self.peers);
        let shared = peers.roster.own_zone_has_scheduler();
        shared && peers.roster.is_leader(now) && peers.is_in(address, &self.settings.node.zone)
    }

    /// A life of a host ended: what it had under way is over.
    pub(crate) fn forget_life(&self, life: u64) {
        self.keep_only(life, &collections::HashSet::new(), clock::Span::ZERO);
    }

    /// All that `life` has under way are the dispatches `numbers`: others of it that were heard of
    /// longer than `span` ago are over. Other zones are told by the host that schedules for this one.
    pub(crate) fn keep_only(
        &self,
        life: u64,
        numbers: &collections::HashSet<u64>,
        span: clock::Span,
    ) {
        let now = self.clock.now();
        let peers = state::lock(&self.peers);
        let shared = peers.roster.own_zone_has_scheduler();
        let tells = shared
            && peers.roster.is_leader(now)
            && peers.lives_in(&self.settings.node.zone).contains(&life);
        drop(peers);
        for (service, desk) in self.desks.load().iter() {
            let over =
                state::lock(desk).board.retain_listed(life, numbers, now.saturating_sub(span), now);
            for id in over.into_iter().filter(|_| tells) {
                let ended = word::What::Ended(word::Nothing {});
                self.say(word::Word::about(id, service, ended), mesh::Reach::Far);
            }
        }
    }

    /// Tells what happened to a dispatch of this host: in a zone in which one host schedules for the
    /// others, that host tells other zones.
    pub(crate) fn tell(&self, word: word::Word) {
        let peers = state::lock(&self.peers);
        let near =
            peers.roster.own_zone_has_scheduler() && !peers.roster.is_leader(self.clock.now());
        drop(peers);
        self.say(word, if near { mesh::Reach::Near } else { mesh::Reach::All });
    }

    /// A dispatch of this host will not be made, or is over.
    pub(crate) fn say_ended(&self, service: &id::Service, id: placement::DispatchId) {
        self.tell(word::Word::new(id.number, service, word::What::Ended(word::Nothing {})));
    }

    /// Says a word to those in `reach`. A full channel loses it, which costs them only efficiency.
    pub(crate) fn say(&self, word: word::Word, reach: mesh::Reach) {
        if self.words.try_send(mesh::Said { word, reach }).is_err() {
            self.metrics.words_lost.inc();
        }
    }

    /// A request showed how an upstream of `service` fares. In a zone in which one host schedules
    /// for the others, it is told.
    ///
    /// Load pattern: engines crash beside hundreds of hosts with two requests a second each. If each
    /// host had to find out by itself, each crash would cost hundreds of requests.
    pub(crate) fn saw(&self, service: &id::Service, seen: word::Seen) {
        self.with_board(service, |board, now| seen.note(board, now));
        if state::lock(&self.peers).roster.own_zone_has_scheduler() {
            let word = word::Word::new(0, service, word::What::Seen(seen));
            self.say(word, mesh::Reach::Near);
        }
    }
}
