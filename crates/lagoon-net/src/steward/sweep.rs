//! Gives back engine memory that dead entry processes left, by the steward that observes an
//! engine.
//!
//! Two stewards that both take themselves for the observer cost calls only: each judges by the
//! same rules, and an engine's release has no further effect when repeated.

use std::collections;
use std::net;
use std::sync::atomic;
use std::time;

use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::lifecycle::owner;
use lagoonline::lifecycle::reap;
use lagoonline::port::hosts::Hosts as _;
use ntex::client;

use super::Context;
use super::core;
use super::observe;
use super::zones;
use crate::engine;
use crate::wire;

/// Longest time for one call of an engine.
const TIMEOUT: time::Duration = time::Duration::from_secs(1);

pub(super) async fn run(context: Context) {
    let client = client::Client::new().await;
    let mut sweep = reap::Reaper::new(context.settings.reap.clone());
    let mut neighbours = collections::BTreeSet::new();
    loop {
        let wait = context.settings.sweep_interval.mul_f64(rand::random_range(0.9..1.1));
        tokio::time::sleep(wait).await;
        let now = context.clock.now();
        for (host, word) in own_words(&context).await {
            neighbours.insert(host);
            sweep.apply_status(&word, true, now);
        }
        for (upstream, address) in observe::owned(&context) {
            let listed = engine::holdings(&client, address, &context.settings.zone);
            let Ok(Some(holdings)) = tokio::time::timeout(TIMEOUT, listed).await else { continue };
            let mut strangers = sweep.owners_to_query(&holdings, context.clock.now());
            strangers.retain(|owner| !neighbours.contains(&owner.host));
            ask(&context, &mut sweep, &strangers).await;
            let released = sweep.releasable(&upstream, &holdings, context.clock.now());
            release(&context, &client, (&upstream, address), &released).await;
        }
    }
}

/// What this zone knows of its own entry processes.
async fn own_words(context: &Context) -> Vec<(id::Host, owner::Status)> {
    let listed = listed(context).await;
    let core = context.core.borrow();
    let known = |host: &id::Host| match core.group.is_live(host) {
        true => owner::HostState::Live,
        false => {
            owner::HostState::Dead { listed: listed.as_ref().map(|names| names.contains(host)) }
        }
    };
    let reports = core.board.iter();
    reports
        .map(|(host, report)| (host.clone(), owner::Status::new(host, report, known(host))))
        .collect()
}

/// Hosts on the platform's list, which is read only when a host of this zone is dead.
async fn listed(context: &Context) -> Option<collections::BTreeSet<id::Host>> {
    let all_live = {
        let core = context.core.borrow();
        core.board.iter().all(|(host, _)| core.group.is_live(host))
    };
    let platform = context.platform.as_ref().filter(|_| !all_live)?;
    let lines = platform.list().await.ok()?;
    Some(lines.iter().map(|line| id::Host::from(line.name.as_str())).collect())
}

/// Asks the other zones about owners that are not of this one. Those that nobody knows are unsure
/// unless every zone answered.
async fn ask(
    context: &Context,
    sweep: &mut reap::Reaper,
    strangers: &collections::BTreeSet<id::Owner>,
) {
    if strangers.is_empty() {
        return;
    }
    let hosts: collections::BTreeSet<_> = strangers.iter().map(|owner| &owner.host).collect();
    let text = serde_json::to_string(&hosts).unwrap_or_default();
    let call = wire::Call { verb: wire::Verb::Owners.into(), text, ..wire::Call::default() };
    let answers = zones::ask(context, &call).await;
    let now = context.clock.now();
    let mut answered = collections::BTreeSet::new();
    let mut known = collections::BTreeSet::new();
    for answer in answers {
        let words = answer.text.and_then(|text| serde_json::from_str(&text).ok());
        let Some(words): Option<Vec<owner::Status>> = words else { continue };
        answered.insert(answer.zone);
        for word in words {
            sweep.apply_status(&word, false, now);
            known.extend(word.owner.parse().map(|owner: id::Owner| owner.host));
        }
    }
    let is_whole = other_zones(context).is_subset(&answered);
    for owner in strangers.iter().filter(|owner| !known.contains(&owner.host)) {
        if is_whole { sweep.record_gone(owner, now) } else { sweep.record_unsure(owner, now) }
    }
}

/// The zones that the document or the roster names, besides this one.
fn other_zones(context: &Context) -> collections::BTreeSet<id::Zone> {
    let core = context.core.borrow();
    let named = core.fleet.upstreams.iter().map(|upstream| &upstream.entry.zone);
    let zones = named.chain(core.group.roster().members().map(|member| &member.zone));
    zones.filter(|zone| *zone != core.zone()).cloned().collect()
}

/// What this zone knows of the hosts that `text` lists, for a steward of another zone.
pub(super) async fn words(context: &Context, text: &str) -> Vec<owner::Status> {
    let hosts: Vec<id::Host> = serde_json::from_str(text).unwrap_or_default();
    let words = own_words(context).await.into_iter();
    words.filter(|(host, _)| hosts.contains(host)).map(|(_, word)| word).collect()
}

async fn release(
    context: &Context,
    client: &client::Client,
    (upstream, address): (&id::Upstream, net::SocketAddr),
    holdings: &[String],
) {
    let counters = context.core.borrow().counters.clone();
    let before = counters.holdings_released.load(atomic::Ordering::Relaxed);
    for holding in holdings.iter().filter_map(|holding| holding.parse().ok()) {
        let done = engine::release(client, address, holding, &context.settings.zone);
        // What is not acknowledged is on the next list again.
        if tokio::time::timeout(TIMEOUT, done).await == Ok(true) {
            core::Counters::add(&counters.holdings_released, 1);
        }
    }
    let released = counters.holdings_released.load(atomic::Ordering::Relaxed) - before;
    if released > 0 {
        log::info!("{upstream} gave back {released} holdings of dead owners");
    }
}
