//! Removes claims whose retention has ended; a claim is the table row of one idempotency key. Each
//! shard of claims is swept by one steward of the fleet, chosen by rendezvous hashing.
//!
//! Without this every idempotency key ever used stays in the table. Two stewards that both consider
//! themselves chosen only cost extra reads: rows are deleted at the version that was read.

use std::collections;

use lagoonline::clock::Clock as _;
use lagoonline::control::rendezvous;
use lagoonline::lifecycle::claim;

use super::Context;

pub(super) async fn run(context: Context) {
    let Some(platform) = context.platform.clone() else { return };
    let settings = &context.settings.claims;
    let mut sweepers = collections::BTreeMap::new();
    let mut last_shard = None;
    loop {
        let now = context.clock.wall_millis();
        let (shard, wait) = claim::scheduled_shard(now, settings.interval);
        if last_shard.replace(shard) == Some(shard) {
            tokio::time::sleep(wait).await;
            continue;
        }
        if is_chosen(&context, shard) {
            let new = || claim::Sweeper::new(settings.clone(), shard);
            let sweeper = sweepers.entry(shard).or_insert_with(new);
            // After an error the next step continues at the same position.
            if let Err(error) = sweeper.step(&platform, now).await {
                log::debug!("sweeping claims failed: {error}");
            }
        } else {
            sweepers.remove(&shard);
        }
    }
}

fn is_chosen(context: &Context, shard: u8) -> bool {
    let core = context.core.borrow();
    let hosts = core.group.live().map(|member| member.host.as_str());
    rendezvous::choose(hosts, &format!("claims/{shard:02x}"))
        == Some(core.group.own().host.as_str())
}
