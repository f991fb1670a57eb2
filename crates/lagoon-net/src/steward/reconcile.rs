//! Reconciles the engines of this zone with the document: compares the state of each engine with
//! the desired one and sends it commands under a lease.
//!
//! A lease per engine would cost one table write per engine every few seconds. Instead one lease
//! covers all engines of a zone. The zone's chosen steward holds it only while a command is
//! outstanding.

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

/// Time between two rounds over the engines.
const RECONCILE_INTERVAL: std::time::Duration = std::time::Duration::from_secs(2);

/// Timeout of reading an engine's state.
const READ_TIMEOUT: time::Millis = time::Millis(1_000);

/// Engines of a zone that load weights at the same time. All zones share the rate of the weight
/// store. With this limit, the first engines serve again soon after a change of many; without it,
/// all of them would become ready only when the last one does. Only the holder of the zone's lease
/// sends commands, so this limits the whole zone.
const MAX_LOADING_ENGINES: usize = 2;

/// Role of the one steward of a zone that sends commands. The value is an input of the rendezvous
/// hashing that chooses it, so it must be the same in all versions. Outside of this process a
/// command is called an order.
pub(super) const RECONCILER: &str = "orderer";

/// Last observed state and decision for one engine, as operators see it.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct EngineStatus {
    upstream: String,
    wanted_models: Vec<id::Model>,
    wanted_role: engine::Role,
    actual: Option<reconcile::Actual>,
    decision: &'static str,
    /// Commands sent to it by this steward.
    sent: u64,
    /// Commands that undid a late command of another lease holder.
    repaired: u64,
}

struct Target {
    name: id::Upstream,
    address: net::SocketAddr,
    desired: reconcile::Desired,
    /// Whether the engine rejects commands with an old fencing number.
    checks_fence: bool,
}

/// Body of `POST /orders`.
#[derive(Serialize)]
struct CommandBody<'a> {
    fence: id::Fence,
    order: &'a engine::Command,
}

struct Reconciler {
    context: Context,
    http: client::Client,
    platform: platform::Client,
    lease: lease::Lease<clock::System>,
    /// Engines of the zone that are loading weights.
    loading: usize,
}

pub(super) async fn run(context: Context) {
    let Some(platform) = context.platform.clone() else { return };
    let own = id::Owner { host: context.settings.host.clone(), incarnation: context.incarnation };
    let name = format!("orders/{}", context.settings.zone);
    let lease = lease::Lease::new(&name, own, context.settings.lease, context.clock);
    let http = client::Client::new().await;
    let mut reconciler = Reconciler { context, http, platform, lease, loading: 0 };
    loop {
        tokio::time::sleep(RECONCILE_INTERVAL.mul_f64(rand::random_range(0.9..1.1))).await;
        if reconciler.context.core.borrow().is_assigned(RECONCILER) {
            reconciler.reconcile_all().await;
        }
    }
}

/// Returns the engines of this zone with the state that the document asks for.
fn targets(context: &Context) -> Vec<Target> {
    let core = context.core.borrow();
    let here = core.fleet.upstreams.iter().filter(|upstream| upstream.entry.zone == *core.zone());
    let target = |upstream: &lagoonline::view::Upstream| {
        let desired = reconcile::Desired::of(&upstream.entry)?;
        Some(Target {
            name: upstream.name.clone(),
            address: upstream.entry.address,
            checks_fence: upstream.entry.checks_fence,
            desired,
        })
    };
    here.filter_map(target).collect()
}

impl Reconciler {
    /// Reads the state of all engines, sends the commands they need, and releases the lease when
    /// nothing is outstanding.
    async fn reconcile_all(&mut self) {
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
            // If the release fails, the lease expires by itself.
            let _ = self.lease.release(&self.platform).await;
        }
    }

    /// Sends the command that one engine needs, if any. Returns whether anything is outstanding.
    async fn decide(&mut self, target: &Target, actual: Option<reconcile::Actual>) -> bool {
        let Some(actual) = actual else {
            self.record(target, None, "no answer", 0, 0);
            return false;
        };
        // Checks whether the engine needs a command at all before a lease is acquired. The fencing
        // number that the engine reports is used in place of a lease's.
        let probe = reconcile::Context { fence: actual.fence, ..self.decision_context(target) };
        if reconcile::decide(&target.desired, &actual, &probe) == reconcile::Decision::Nothing {
            self.record(target, Some(actual), "as wanted", 0, 0);
            return false;
        }
        let held = self.lease.step(&self.platform).await;
        let Ok(lease::Status::Held(fence)) = held else {
            self.record(target, Some(actual), "waits for the lease", 0, 0);
            return true;
        };
        let context = reconcile::Context { fence, ..self.decision_context(target) };
        match reconcile::decide(&target.desired, &actual, &context) {
            reconcile::Decision::Nothing => self.record(target, Some(actual), "as wanted", 0, 0),
            reconcile::Decision::Wait => {
                self.record(target, Some(actual), "waits for the engine", 0, 0)
            }
            reconcile::Decision::Superseded => {
                self.record(target, Some(actual), "a later lease was there", 0, 0);
            }
            reconcile::Decision::Send(command) => {
                let outcome = self.send(target, &command).await;
                self.record(target, Some(actual), outcome.as_str(), outcome.count(), 0);
            }
            reconcile::Decision::Repair(command) => {
                log::warn!("{} executed a late command; sending a command to undo it", target.name);
                let outcome = self.send(target, &command).await;
                self.record(
                    target,
                    Some(actual),
                    outcome.as_str(),
                    outcome.count(),
                    outcome.count(),
                );
            }
        }
        true
    }

    /// Returns the context of a decision, without a fencing number.
    fn decision_context(&self, target: &Target) -> reconcile::Context {
        let core = self.context.core.borrow();
        let load = core.loads.get(&target.name).map(|observed| observed.load);
        let in_flight = load.map_or(0, |load| load.running + load.waiting);
        reconcile::Context { checks_fence: target.checks_fence, in_flight, ..Default::default() }
    }

    /// Reads the state of an engine; `None` if it does not report one in time.
    async fn read(&self, target: &Target) -> Option<reconcile::Actual> {
        let request = self.http.get(format!("http://{}/orders", target.address));
        let request = request.set_header("Lagoon-Zone", self.context.settings.zone.as_str());
        let read = async {
            let response = request.send().await.ok()?;
            let is_good = response.status() == http::StatusCode::OK;
            let body = response.body().await.ok().filter(|_| is_good)?;
            serde_json::from_slice(&body).ok()
        };
        time::timeout(READ_TIMEOUT, read).await.ok().flatten()
    }

    /// Sends a command under the lease.
    async fn send(&mut self, target: &Target, command: &engine::Command) -> SendOutcome {
        let is_load_command = matches!(command, engine::Command::Load { .. });
        if is_load_command && self.loading >= MAX_LOADING_ENGINES {
            return SendOutcome::LoadingLimit;
        }
        let Some(permit) = self.lease.permit() else { return SendOutcome::NoLease };
        let request = self.http.post(format!("http://{}/orders", target.address));
        let request = request.set_header("Lagoon-Zone", self.context.settings.zone.as_str());
        let body = CommandBody { fence: permit.fence, order: command };
        let sent = request.send_json(&body);
        let max_delay = self.context.settings.lease.max_command_delay.as_millis();
        let max_delay = time::Millis(u32::try_from(max_delay).unwrap_or(u32::MAX));
        let answer = time::timeout(max_delay, sent).await;
        if !self.lease.record_sent(&permit) {
            let counters = self.context.core.borrow().counters.clone();
            core::Counters::add(&counters.late_commands, 1);
        }
        match answer {
            Ok(Ok(response)) if response.status() == http::StatusCode::OK => {
                self.loading += usize::from(is_load_command);
                SendOutcome::Accepted
            }
            Ok(Ok(_)) => SendOutcome::Refused,
            // Whether the command was executed shows in the next round.
            Ok(Err(_)) | Err(()) => SendOutcome::Unknown,
        }
    }

    /// Updates the status of an engine that operators see.
    fn record(
        &self,
        target: &Target,
        actual: Option<reconcile::Actual>,
        decision: &'static str,
        sent: u64,
        repaired: u64,
    ) {
        let mut core = self.context.core.borrow_mut();
        let status = core.engine_status.entry(target.name.clone()).or_default();
        status.upstream = target.name.to_string();
        status.wanted_models.clone_from(&target.desired.models);
        status.wanted_role = target.desired.role;
        status.actual = actual;
        status.decision = decision;
        status.sent += sent;
        status.repaired += repaired;
    }
}

/// Outcome of sending a command; [`SendOutcome::as_str`] is the text that operators see.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SendOutcome {
    /// Not sent: [`MAX_LOADING_ENGINES`] engines are loading.
    LoadingLimit,
    /// Not sent: the lease does not permit it.
    NoLease,
    Accepted,
    Refused,
    /// Sent, but no response arrived in time.
    Unknown,
}

impl SendOutcome {
    const fn as_str(self) -> &'static str {
        match self {
            SendOutcome::LoadingLimit => "others load first",
            SendOutcome::NoLease => "the lease ended",
            SendOutcome::Accepted => "ordered",
            SendOutcome::Refused => "the engine refused",
            SendOutcome::Unknown => "ordered, no answer",
        }
    }

    const fn count(self) -> u64 {
        match self {
            SendOutcome::LoadingLimit | SendOutcome::NoLease => 0,
            SendOutcome::Accepted | SendOutcome::Refused | SendOutcome::Unknown => 1,
        }
    }
}
