//! Rate budget, circuit breaker and backoff of calls to the platform, with simulated time.

use lagoonline::clock::{Moment, Span};
use lagoonline::control::platform;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs;
use rstest::rstest;

#[rstest]
#[case::slow(0.5, 1.0)]
#[case::usual(20.0, 40.0)]
fn a_budget_allows_its_burst_and_then_its_rate(#[case] rate: f64, #[case] burst: f64) {
    // Calls are attempted every 10 ms for 100 s. At any time, no more calls may have been allowed
    // than burst and rate permit; in total, at least as many as the rate permits.
    let mut budget = platform::Budget::new(rate, burst, Moment::START);
    let mut allowed = 0.0;
    for step in 0..=10_000_u64 {
        let now = Moment::from_millis(step * 10);
        allowed += f64::from(u8::from(budget.take(now)));
        let most = burst + rate * now.since(Moment::START).as_secs_f64();
        assert!(allowed <= most + 1e-6, "{allowed} calls at {now:?}");
    }
    assert!(allowed >= rate * 100.0, "{allowed} calls");
}

#[test]
fn an_unused_budget_accumulates_no_more_than_its_burst() {
    // A host that made no calls for a day must not make the calls of a whole day at once.
    let mut budget = platform::Budget::new(20.0, 40.0, Moment::START);
    let later = Moment::START + Span::from_secs(86_400);
    let made = (0..1_000).filter(|_| budget.take(later)).count();
    assert_eq!(made, 40);
}

#[test]
fn an_open_breaker_allows_one_trial_call_at_a_time_and_closes_on_an_answer() {
    // The platform is unavailable for a minute and every call fails. Of the hundred calls attempted
    // per second, only one trial call every half to whole open duration is made after the first
    // five failures. The first call that is answered closes the breaker.
    let open_duration = Span::from_secs(1);
    let mut breaker = platform::Breaker::new(open_duration);
    let mut random = rngs::SmallRng::seed_from_u64(1);
    let mut calls = 0;
    for step in 0..6_000_u64 {
        let now = Moment::from_millis(step * 10);
        if breaker.admit(now) {
            calls += 1;
            breaker.record_failure(now, random.random());
        }
    }
    // Five failures open the breaker. A trial call then follows every 0.5 to 1 s, for about 60 s.
    assert!((5 + 59..=5 + 121).contains(&calls), "{calls} calls");
    let recovered = Moment::from_millis(60_000) + open_duration;
    assert!(breaker.admit(recovered));
    breaker.record_answer();
    assert!((0..100).all(|_| breaker.admit(recovered)));
}

#[test]
fn a_breaker_stays_closed_on_occasional_failures() {
    // One call in three fails. The platform is usable, so no call may be held back.
    let mut breaker = platform::Breaker::new(Span::from_secs(1));
    for step in 0..300_u64 {
        let now = Moment::from_millis(step * 10);
        assert!(breaker.admit(now));
        if step.is_multiple_of(3) {
            breaker.record_failure(now, 0.5);
        } else {
            breaker.record_answer();
        }
    }
}

#[test]
fn trial_calls_of_many_hosts_are_spread_over_time() {
    // 350 hosts lose the platform at the same time. Their trial calls must be spread over half of
    // the open duration, with no more than a quarter of them in any 50 ms. Evenly spread, that
    // would be a tenth; the rest allows for random variation.
    let (open_duration, hosts) = (Span::from_secs(1), 350);
    let mut random = rngs::SmallRng::seed_from_u64(2);
    let mut times = Vec::new();
    for _ in 0..hosts {
        let mut breaker = platform::Breaker::new(open_duration);
        for _ in 0..5 {
            breaker.record_failure(Moment::START, random.random());
        }
        let first = (0..=100_u64).find(|step| breaker.admit(Moment::from_millis(step * 10)));
        times.push(first.unwrap() * 10);
    }
    let in_window =
        |start: u64| times.iter().filter(|at| (start..start + 50).contains(*at)).count();
    let most = (0..=1_000).step_by(10).map(in_window).max();
    assert!(most.unwrap() <= hosts / 4, "{most:?}");
}

#[rstest]
#[case::first(1, 100)]
#[case::third(3, 400)]
#[case::limit(7, 5_000)]
#[case::no_overflow(u32::MAX, 5_000)]
fn delays_double_up_to_the_limit_with_full_jitter(#[case] failures: u32, #[case] bound_ms: u64) {
    let backoff = platform::Backoff::default();
    assert_eq!(backoff.delay(failures, 0.0), Span::ZERO);
    assert_eq!(backoff.delay(failures, 0.5), Span::from_millis(bound_ms / 2));
    assert_eq!(backoff.delay(failures, 1.0), Span::from_millis(bound_ms));
    assert_eq!(backoff.delay(failures, 7.0), Span::from_millis(bound_ms));
}
