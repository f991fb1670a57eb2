//! Rate limits across all entry hosts of a zone.

use lagoonline::clock::Moment;
use lagoonline::id::Customer;
use lagoonline::load::limit;
use rstest::rstest;

const RATE: limit::Rate = limit::Rate { requests: 100.0, tokens: 1e9 };
const SECONDS: u64 = 20;

/// Requests admitted by all hosts if each is asked every millisecond and reports are delivered
/// immediately every `report_ms`, or never.
fn admitted(hosts: usize, report_ms: Option<u64>) -> u64 {
    let customer = Customer::from("c");
    let new = || limit::Limits::new(u32::try_from(hosts).unwrap());
    let mut all: Vec<_> = (0..hosts).map(|_| new()).collect();
    let mut count = 0;
    for ms in 0..SECONDS * 1_000 {
        let now = Moment::from_millis(ms);
        for host in &mut all {
            count += u64::from(host.admit(now, &customer, RATE, 1).is_ok());
        }
        if report_ms.is_some_and(|period| ms % period == 0) {
            exchange_reports(now, &mut all);
        }
    }
    count
}

fn exchange_reports(now: Moment, hosts: &mut [limit::Limits]) {
    let reports: Vec<_> = hosts.iter_mut().map(limit::Limits::take_report).collect();
    for (index, host) in hosts.iter_mut().enumerate() {
        for (other, report) in reports.iter().enumerate() {
            if other != index {
                host.apply_report(now, report);
            }
        }
    }
}

// Guards against a limit that is granted once per host: a customer sends far more than its limit
// through every host. All hosts together admit no more than the rate, the burst, and what the
// others could use within one report's lag.
#[rstest]
#[case::small(3, 250)]
#[case::slow_reports(3, 1_000)]
#[case::large(39, 250)]
fn a_zone_admits_no_more_than_the_error_bound(#[case] hosts: u64, #[case] lag_ms: u64) {
    let count = admitted(usize::try_from(hosts).unwrap(), Some(lag_ms));
    let rate = 100;
    let burst = (2 * rate).max(hosts);
    let bound = rate * SECONDS + burst + (hosts - 1) * rate * lag_ms / 1_000 + hosts;
    assert!(count <= bound, "{count} admitted, bound {bound}");
    assert!(count >= rate * SECONDS * 9 / 10, "{count} admitted, limit {}", rate * SECONDS);
}

// A host that is the only one to serve a customer may use the whole zone's limit.
#[test]
fn a_host_alone_may_use_the_whole_limit() {
    let customer = Customer::from("c");
    let mut host = limit::Limits::new(10);
    let mut count = 0;
    for ms in 0..SECONDS * 1_000 {
        let now = Moment::from_millis(ms);
        count += u64::from(host.admit(now, &customer, RATE, 1).is_ok());
        host.apply_report(now, &[]);
    }
    assert!((1_990..=2_030).contains(&count), "{count}");
}

// Guards against exceeding the limit when hosts receive no reports from each other. Each falls back
// to its even share after three seconds, so the zone admits three seconds' worth at every host,
// then the rate.
#[test]
fn hosts_cut_off_from_each_other_fall_back_to_shares() {
    let count = admitted(4, None);
    let bound = 4 * 3 * 100 + (SECONDS - 3) * 100 + 200 + 4;
    assert!(count <= bound, "{count} admitted, bound {bound}");
    assert!(count >= SECONDS * 100, "{count}");
}

/// Hosts that start again and again must not bring a customer's burst with each of their lives.
#[rstest]
fn restarts_do_not_renew_the_burst_of_a_customer() {
    let customer = Customer::from("c");
    let mut all: Vec<_> = (0..3).map(|_| limit::Limits::new(3)).collect();
    let mut count = 0;
    for ms in 0..SECONDS * 1_000 {
        let now = Moment::from_millis(ms);
        for (index, host) in all.iter_mut().enumerate() {
            if ms % 1_000 == 300 * index as u64 {
                *host = limit::Limits::new(3);
                host.apply_report(now, &[]);
            }
            count += u64::from(host.admit(now, &customer, RATE, 1).is_ok());
        }
        if ms % 250 == 0 {
            exchange_reports(now, &mut all);
        }
    }
    let bound = 100 * SECONDS + 200 + 2 * 100 / 4 + 3;
    assert!(count <= bound, "{count} admitted, bound {bound}");
}
