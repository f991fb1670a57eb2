//! Entry hosts that die, pause or are cut off, engines that lose cancels, and a reaper.
//!
//! The engines in this test have no expiry of their own, so memory is returned only by cancels and
//! by the reaper.

use std::collections::BTreeMap;

use lagoonline::clock::{Moment, Span};
use lagoonline::id;
use lagoonline::lifecycle::reap;
use lagoonline::port::engine;
use proptest::prelude::*;
use proptest_state_machine::StateMachineTest;

/// The last two hosts are in another zone and known only from its reports.
const HOSTS: usize = 6;
const OWN_ZONE_HOSTS: usize = 4;
const ENGINES: usize = 2;
const HEARTBEAT: Span = Span::from_secs(1);

#[derive(Clone, Debug)]
pub enum Step {
    Hold {
        host: usize,
        engine: usize,
        bytes: u64,
    },
    /// The host cancels one of its holdings; the cancel or its acknowledgement may be lost.
    Cancel {
        pick: usize,
    },
    LoseCancels(bool),
    /// The host restarts at once with a new incarnation.
    RestartHost(usize),
    /// The host dies and is not replaced.
    Die(usize),
    RestartEngine(usize),
    /// Heartbeats of all other hosts stop reaching the reaper.
    CutOff(bool),
    /// The other zone becomes unreachable for the reaper.
    CutZone(bool),
    Advance {
        seconds: u64,
    },
}

struct Allocation {
    host: usize,
    incarnation: u64,
    engine: usize,
    bytes: u64,
    cancelled: bool,
}

struct Host {
    incarnation: u64,
    alive: bool,
    cancels: reap::CancelQueue<(usize, u128)>,
}

pub struct World {
    now: Moment,
    hosts: Vec<Host>,
    allocations: BTreeMap<u128, Allocation>,
    next_id: u128,
    reaper: reap::Reaper,
    loses_cancels: bool,
    is_cut_off: bool,
    is_zone_cut_off: bool,
    reserved: u64,
    returned: u64,
}

impl super::Steps for Step {
    fn steps() -> BoxedStrategy<Step> {
        prop_oneof![
            8 => (0..HOSTS, 0..ENGINES, 1..100_u64)
                .prop_map(|(host, engine, bytes)| Step::Hold { host, engine, bytes }),
            5 => any::<usize>().prop_map(|pick| Step::Cancel { pick }),
            2 => any::<bool>().prop_map(Step::LoseCancels),
            2 => (0..HOSTS).prop_map(Step::RestartHost),
            1 => (1..HOSTS).prop_map(Step::Die),
            1 => (0..ENGINES).prop_map(Step::RestartEngine),
            2 => any::<bool>().prop_map(Step::CutOff),
            2 => any::<bool>().prop_map(Step::CutZone),
            8 => (1..50_u64).prop_map(|seconds| Step::Advance { seconds }),
        ]
        .boxed()
    }
}

fn engine_name(engine: usize) -> id::Upstream {
    id::Upstream::from(format!("engine-{engine}"))
}

fn owner(host: usize, incarnation: u64) -> id::Owner {
    id::Owner { host: host_name(host), incarnation: id::Incarnation(incarnation) }
}

fn host_name(host: usize) -> id::Host {
    id::Host::from(format!("host-{host}"))
}

fn cancels() -> reap::CancelQueue<(usize, u128)> {
    // The engines in this test have no expiry that would limit the retries.
    let max_age = Span::from_secs(1_000_000);
    let safeguards = super::safeguards();
    reap::CancelQueue::new(reap::RetryPolicy {
        max_age,
        safeguards,
        ..reap::RetryPolicy::default()
    })
}

impl World {
    fn new() -> Self {
        let host = |_| Host { incarnation: 1, alive: true, cancels: cancels() };
        let settings =
            reap::Settings { safeguards: super::safeguards(), ..reap::Settings::default() };
        World {
            now: Moment::START,
            hosts: (0..HOSTS).map(host).collect(),
            allocations: BTreeMap::new(),
            next_id: 1,
            reaper: reap::Reaper::new(settings),
            loses_cancels: false,
            is_cut_off: false,
            is_zone_cut_off: false,
            reserved: 0,
            returned: 0,
        }
    }

    fn hold(&mut self, host: usize, engine: usize, bytes: u64) {
        if !self.hosts[host].alive {
            return;
        }
        let incarnation = self.hosts[host].incarnation;
        let allocation = Allocation { host, incarnation, engine, bytes, cancelled: false };
        self.allocations.insert(self.next_id, allocation);
        self.next_id += 1;
        self.reserved += bytes;
    }

    fn cancel(&mut self, pick: usize) {
        let count = self.allocations.len().max(1);
        let Some((id, allocation)) = self.allocations.iter_mut().nth(pick % count) else {
            return;
        };
        let host = &mut self.hosts[allocation.host];
        if host.alive && host.incarnation == allocation.incarnation && !allocation.cancelled {
            allocation.cancelled = true;
            host.cancels.add((allocation.engine, *id), self.now);
        }
    }

    fn free(&mut self, id: u128) {
        if let Some(allocation) = self.allocations.remove(&id) {
            self.returned += allocation.bytes;
        }
    }

    fn restart_engine(&mut self, engine: usize) {
        let gone: Vec<_> = self
            .allocations
            .iter()
            .filter(|(_, allocation)| allocation.engine == engine)
            .map(|(id, _)| *id)
            .collect();
        gone.into_iter().for_each(|id| self.free(id));
    }

    /// Advances time by one second: heartbeats, due cancels, and one pass of the reaper over each
    /// engine.
    fn tick(&mut self) {
        self.now = self.now + HEARTBEAT;
        for number in 0..HOSTS {
            if self.hosts[number].alive && !self.is_cut_off && number < OWN_ZONE_HOSTS {
                self.reaper
                    .record_heartbeat(&owner(number, self.hosts[number].incarnation), self.now);
            }
            self.send_cancels(number);
        }
        // The reaper's own host always receives its own heartbeat.
        self.reaper.record_heartbeat(&owner(0, self.hosts[0].incarnation), self.now);
        for engine in 0..ENGINES {
            self.reap_engine(engine);
        }
    }

    fn send_cancels(&mut self, number: usize) {
        if !self.hosts[number].alive {
            return;
        }
        for (engine, id) in self.hosts[number].cancels.due(self.now, 1.0) {
            if !self.loses_cancels {
                self.free(id);
                self.hosts[number].cancels.acknowledge(&(engine, id));
            }
        }
    }

    /// Delivers the status of an owner from its zone, if the zone can be reached.
    fn answer_query(&mut self, owner: &id::Owner) {
        let number = (0..HOSTS).find(|number| host_name(*number) == owner.host).expect("a host");
        let host = &self.hosts[number];
        if number < OWN_ZONE_HOSTS {
            return;
        }
        if self.is_cut_off || self.is_zone_cut_off {
            self.reaper.record_unsure(owner, self.now);
        } else if host.alive {
            let incarnation = id::Incarnation(host.incarnation);
            self.reaper.record_remote_alive(&id::Owner { incarnation, ..owner.clone() }, self.now);
        } else {
            self.reaper.record_gone(owner, self.now);
        }
    }

    fn reap_engine(&mut self, engine: usize) {
        let listed = self.allocations.iter().filter(|(_, allocation)| allocation.engine == engine);
        let holding = |(id, allocation): (&u128, &Allocation)| engine::Holding {
            id: id::Attempt(*id).to_string(),
            owner: owner(allocation.host, allocation.incarnation).to_string(),
            kind: engine::Kind::Stream,
            bytes: allocation.bytes,
            expires_ms: 1,
        };
        let listed: Vec<_> = listed.map(holding).collect();
        for owner in self.reaper.owners_to_query(&listed, self.now) {
            self.answer_query(&owner);
        }
        for id in self.reaper.sweep(&engine_name(engine), &listed, self.now) {
            let id = id.parse::<id::Attempt>().expect("an id of ours").0;
            let allocation = &self.allocations[&id];
            let host = &self.hosts[allocation.host];
            let used =
                host.alive && host.incarnation == allocation.incarnation && !allocation.cancelled;
            assert!(!used, "released memory that host {} still uses", allocation.host);
            self.free(id);
        }
    }
}

pub struct Machine;

impl StateMachineTest for Machine {
    type SystemUnderTest = World;
    type Reference = super::Script<Step>;

    fn init_test((): &()) -> World {
        World::new()
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        super::count_step();
        match step {
            Step::Hold { host, engine, bytes } => world.hold(host, engine, bytes),
            Step::Cancel { pick } => world.cancel(pick),
            Step::LoseCancels(lose) => world.loses_cancels = lose,
            Step::RestartHost(host) => {
                let host = &mut world.hosts[host];
                *host = Host { incarnation: host.incarnation + 1, alive: true, cancels: cancels() };
            }
            // At most one host is dead at a time, because several would look like a network cut.
            Step::Die(host) if world.hosts.iter().all(|host| host.alive) => {
                world.hosts[host].alive = false;
            }
            Step::Die(_) => {}
            Step::RestartEngine(engine) => world.restart_engine(engine),
            Step::CutOff(cut_off) => world.is_cut_off = cut_off,
            Step::CutZone(cut) => world.is_zone_cut_off = cut,
            Step::Advance { seconds } => (0..seconds).for_each(|_| world.tick()),
        }
        world
    }

    /// All faults end and the hosts cancel what they hold; nothing may be left after 90 seconds,
    /// which is more than the owner timeout and the takeover window together.
    fn teardown(mut world: World) {
        world.loses_cancels = false;
        world.is_cut_off = false;
        world.is_zone_cut_off = false;
        let ids: Vec<_> = world.allocations.keys().copied().collect();
        for pick in 0..ids.len() {
            world.cancel(pick);
        }
        (0..90).for_each(|_| world.tick());
        assert_eq!(world.reserved, world.returned, "memory was not returned");
    }
}
