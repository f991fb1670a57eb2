//! Orders to the engines of this zone, under one lease for the zone.
//!
//! One lease for each engine would cost the table a write for each engine every few seconds. The
//! engines of a zone share one, held by the zone's chosen steward only while there is something
//! to order.

use std::net;

use lagoonline::clock;
use lagoonline::control::lease;
use lagoonline::control::reconcile;
use lagoonline::id;
use lagoonline::port::engine;
use ntex::client;
use ntex::http;
use ntex::time;
use serde::Serialize;

use super::Context;
use super::core;
use crate::platform;

/// Time between two looks at the engines.
const LOOK: std::time::Duration = std::time::Duration::from_secs(2);

/// Longest time for reading an engine's state.
const READ_TIME: time::Millis = time::Millis(1_000);

/// Engines of a zone that load at once. The weight store's rate is shared by all zones; with the
/// orders' lease a zone holds this many tokens of it, so that after a change of many engines some
/// serve again soon instead of all loading for as long as the sum of them takes.
const LOADS_AT_ONCE: usize = 2;

/// What only the zone's chosen steward does.
pub(super) const ORDERER: &str = "orderer";

/// What was last seen and decided of one engine.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Line {
    upstream: String,
    wanted_models: Vec<id::Model>,
    wanted_role: engine::Role,
    actual: Option<reconcile::Actual>,
    decision: &'static str,
    /// Orders sent to it from here.
    sent: u64,
    /// Orders that repaired what a late order of another holder did.
    repaired: u64,
}

struct Target {
    name: id::Upstream,
    address: net::SocketAddr,
    wanted: reconcile::Desired,
    checks_fence: bool,
}

#[derive(Serialize)]
struct Sent<'a> {
    fence: id::Fence,
    order: &'a engine::Command,
}

struct Task {
    context: Context,
    http: client::Client,
    platform: platform::Client,
    lease: lease::Lease<clock::System>,
    /// Engines of the zone seen loading.
    loading: usize,
}

pub(super) async fn run(context: Context) {
    let Some(platform) = context.platform.clone() else { return };
    let own = id::Owner { host: context.settings.host.clone(), incarnation: context.incarnation };
    let name = format!("orders/{}", context.settings.zone);
    let lease = lease::Lease::new(&name, own, context.settings.lease, context.clock);
    let http = client::Client::new().await;
    let mut task = Task { context, http, platform, lease, loading: 0 };
    loop {
        tokio::time::sleep(LOOK.mul_f64(rand::random_range(0.9..1.1))).await;
        if task.context.core.borrow().owns(ORDERER) {
            task.look().await;
        }
    }
}

/// Engines of this zone and what the document wants of them.
fn targets(context: &Context) -> Vec<Target> {
    let core = context.core.borrow();
    let here = core.fleet.upstreams.iter().filter(|upstream| upstream.entry.zone == *core.zone());
    let target = |upstream: &lagoonline::view::Upstream| {
        let wanted = reconcile::Desired::of(&upstream.entry)?;
        Some(Target {
            name: upstream.name.clone(),
            address: upstream.entry.address,
            checks_fence: upstream.entry.checks_fence,
            wanted,
        })
    };
    here.filter_map(target).collect()
}

impl Task {
    async fn look(&mut self) {
        let mut outstanding = false;
        let mut seen = Vec::new();
        for target in targets(&self.context) {
            let actual = self.read(&target).await;
            seen.push((target, actual));
        }
        let actual = seen.iter().filter_map(|(_, actual)| actual.as_ref());
        self.loading = actual.filter(|actual| actual.loading).count();
        for (target, actual) in seen {
            outstanding |= self.decide(&target, actual).await;
        }
        if !outstanding {
            // The lease ends by itself if this fails.
            let _ = self.lease.release(&self.platform).await;
        }
    }

    /// Orders what one engine is missing; whether something is outstanding.
    async fn decide(&mut self, target: &Target, actual: Option<reconcile::Actual>) -> bool {
        let Some(actual) = actual else {
            self.note(target, None, "no answer", 0, 0);
            return false;
        };
        // Without a lease the engine's own number stands in: this only asks whether it is as wanted.
        let looked = reconcile::Context { fence: actual.fence, ..self.situation(target) };
        if reconcile::decide(&target.wanted, &actual, &looked) == reconcile::Decision::Nothing {
            self.note(target, Some(actual), "as wanted", 0, 0);
            return false;
        }
        let held = self.lease.step(&self.platform).await;
        let Ok(lease::Status::Held(fence)) = held else {
            self.note(target, Some(actual), "waits for the lease", 0, 0);
            return true;
        };
        let situation = reconcile::Context { fence, ..self.situation(target) };
        match reconcile::decide(&target.wanted, &actual, &situation) {
            reconcile::Decision::Nothing => self.note(target, Some(actual), "as wanted", 0, 0),
            reconcile::Decision::Wait => {
                self.note(target, Some(actual), "waits for the engine", 0, 0)
            }
            reconcile::Decision::Superseded => {
                self.note(target, Some(actual), "a later lease was there", 0, 0);
            }
            reconcile::Decision::Send(order) => {
                let sent = self.send(target, &order).await;
                self.note(target, Some(actual), sent.word(), sent.count(), 0);
            }
            reconcile::Decision::Repair(order) => {
                log::warn!("{} obeyed a late order; ordering it back", target.name);
                let sent = self.send(target, &order).await;
                self.note(target, Some(actual), sent.word(), sent.count(), sent.count());
            }
        }
        true
    }

    fn situation(&self, target: &Target) -> reconcile::Context {
        let core = self.context.core.borrow();
        let load = core.loads.get(&target.name).map(|observed| observed.load);
        let in_flight = load.map_or(0, |load| load.running + load.waiting);
        reconcile::Context { checks_fence: target.checks_fence, in_flight, ..Default::default() }
    }

    async fn read(&self, target: &Target) -> Option<reconcile::Actual> {
        let request = self.http.get(format!("http://{}/orders", target.address));
        let request = request.set_header("Lagoon-Zone", self.context.settings.zone.as_str());
        let read = async {
            let response = request.send().await.ok()?;
            let is_good = response.status() == http::StatusCode::OK;
            let body = response.body().await.ok().filter(|_| is_good)?;
            serde_json::from_slice(&body).ok()
        };
        time::timeout(READ_TIME, read).await.ok().flatten()
    }

    async fn send(&mut self, target: &Target, order: &engine::Command) -> Fate {
        let is_load = matches!(order, engine::Command::Load { .. });
        if is_load && self.loading >= LOADS_AT_ONCE {
            return Fate::NoWeights;
        }
        let Some(permit) = self.lease.permit() else { return Fate::NoLease };
        let request = self.http.post(format!("http://{}/orders", target.address));
        let request = request.set_header("Lagoon-Zone", self.context.settings.zone.as_str());
        let body = Sent { fence: permit.fence, order };
        let sent = request.send_json(&body);
        let flight = self.context.settings.lease.max_command_delay.as_millis();
        let flight = time::Millis(u32::try_from(flight).unwrap_or(u32::MAX));
        let answer = time::timeout(flight, sent).await;
        if !self.lease.record_sent(&permit) {
            let counters = self.context.core.borrow().counters.clone();
            core::Counters::add(&counters.late_commands, 1);
        }
        match answer {
            Ok(Ok(response)) if response.status() == http::StatusCode::OK => {
                self.loading += usize::from(is_load);
                Fate::Taken
            }
            Ok(Ok(_)) => Fate::Refused,
            // Whether it was obeyed shows at the next look.
            Ok(Err(_)) | Err(()) => Fate::Unknown,
        }
    }

    fn note(
        &self,
        target: &Target,
        actual: Option<reconcile::Actual>,
        decision: &'static str,
        sent: u64,
        repaired: u64,
    ) {
        let mut core = self.context.core.borrow_mut();
        let line = core.orders.entry(target.name.clone()).or_default();
        line.upstream = target.name.to_string();
        line.wanted_models.clone_from(&target.wanted.models);
        line.wanted_role = target.wanted.role;
        line.actual = actual;
        line.decision = decision;
        line.sent += sent;
        line.repaired += repaired;
    }
}

/// What became of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fate {
    NoWeights,
    NoLease,
    Taken,
    Refused,
    Unknown,
}

impl Fate {
    const fn word(self) -> &'static str {
        match self {
            Fate::NoWeights => "others load first",
            Fate::NoLease => "the lease ended",
            Fate::Taken => "ordered",
            Fate::Refused => "the engine refused",
            Fate::Unknown => "ordered, no answer",
        }
    }

    const fn count(self) -> u64 {
        match self {
            Fate::NoWeights | Fate::NoLease => 0,
            Fate::Taken | Fate::Refused | Fate::Unknown => 1,
        }
    }
}
