//! Removes claims whose retention has ended, by one chosen steward.
//!
//! Without this every idempotency key ever used stays in the table. Two stewards that both take
//! themselves for the chosen one cost reads only: rows are deleted at the version that was read.

use lagoonline::clock::Clock as _;
use lagoonline::control::owner;
use lagoonline::life::claim;

use super::Context;

/// What the one chosen steward of all zones does.
const SWEEPER: &str = "claim-sweeper";

pub(super) async fn run(context: Context) {
    let Some(platform) = context.platform.clone() else { return };
    let mut sweeper = claim::Sweeper::new(context.settings.claims.clone());
    loop {
        tokio::time::sleep(sweeper.wait()).await;
        if !is_chosen(&context) {
            continue;
        }
        let now = context.clock.wall_millis();
        if let Err(error) = sweeper.step(&platform, now).await {
            log::debug!("claims are not swept: {error}");
            sweeper.rest();
        }
    }
}

fn is_chosen(context: &Context) -> bool {
    let core = context.core.borrow();
    let hosts = core.group.live().map(|member| member.host.as_str());
    owner::choose(hosts, SWEEPER) == Some(core.group.own().host.as_str())
}
