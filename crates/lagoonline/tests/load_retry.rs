//! The budget of the retries of all hosts together, with simulated time.

use lagoonline::clock::{Moment, Span};
use lagoonline::load::retry::{Budget, Report, Settings, Sharing, Usage, Verdict};
use rstest::rstest;

const WINDOW: Span = Span::from_secs(10);
const NOW: Moment = Moment::from_millis(60_000);

fn budget(sharing: Sharing) -> Budget {
    let mut budget = Budget::new(Settings { ratio: 0.2, slack: 100.0, window: WINDOW });
    budget.set_sharing(Some(sharing));
    budget
}

fn take_all(budget: &mut Budget, now: Moment) -> usize {
    (0..1_000).take_while(|_| budget.take_retry(now) == Verdict::Allowed).count()
}

fn report(host: u64, requests: u32, retries: u32) -> Report {
    let usage = Usage { requests, retries };
    Report { host, usage, ..Report::default() }
}

/// A host that knows no other hosts yet must not take itself for the only one.
#[rstest]
fn an_unknown_fleet_leaves_no_slack() {
    let mut budget = budget(Sharing::default());
    budget.set_sharing(None);
    assert_eq!(take_all(&mut budget, NOW), 0);
}

/// What the lives before a start used must count in the life after it.
#[rstest]
fn a_host_that_starts_counts_what_it_is_told() {
    let mut budget = budget(Sharing::default());
    let ended = Report { age: Span::from_secs(4), has_ended: true, ..report(1, 0, 50) };
    budget.record_report(ended, NOW);
    assert_eq!(take_all(&mut budget, NOW), 10);
    // What the lives before used has left the window, what was taken here has not.
    assert_eq!(take_all(&mut budget, NOW + Span::from_secs(7)), 50);
}

/// Without anybody who knows, three starts within a window stay within the part that the lives
/// before cannot have used.
#[rstest]
fn starts_without_knowledge_add_up_to_less_than_the_slack() {
    let known = take_all(&mut budget(Sharing::default()), NOW);
    let starts = (0..3).map(|_| {
        let mut budget = budget(Sharing { known_at: NOW + WINDOW, ..Sharing::default() });
        take_all(&mut budget, NOW) + take_all(&mut budget, NOW + WINDOW / 4)
    });
    assert!(known + starts.sum::<usize>() < 100);
}

/// Hosts that need retries at the same moment must not each take all that is left.
#[rstest]
fn hosts_that_have_not_heard_of_each_other_share_what_is_left() {
    let sharing = Sharing { deciders: 3, told_until: NOW, ..Sharing::default() };
    let taken: Vec<_> = (0..3).map(|_| take_all(&mut budget(sharing), NOW)).collect();
    assert_eq!(taken, [20; 3]);
    let mut one = budget(sharing);
    take_all(&mut one, NOW);
    assert_eq!(one.verdict(NOW), Verdict::Wait);
    let later = NOW + Span::from_millis(200);
    one.set_sharing(Some(Sharing { told_until: later, ..sharing }));
    assert_eq!(one.verdict(later), Verdict::Allowed, "the others used nothing");
}

/// A host that hears no other one uses its own part, and none for requests that others may count.
#[rstest]
fn a_host_that_is_cut_off_uses_its_own_part() {
    let sharing = Sharing { hosts: 3, ..Sharing::default() };
    let mut budget = budget(sharing);
    budget.record_report(report(1, 200, 0), NOW);
    assert!(budget.left(NOW) > 40.0);
    assert_eq!(take_all(&mut budget, NOW + Span::from_secs(1)), 20);
}

/// Of two reports the later counts, whichever arrives first, and each counts once.
#[rstest]
fn reports_count_once_in_any_order() {
    let older = Report { age: Span::from_secs(2), ..report(1, 0, 10) };
    for reports in [[report(1, 0, 30), older], [older, report(1, 0, 30)]] {
        let mut budget = budget(Sharing::default());
        reports.into_iter().for_each(|report| budget.record_report(report, NOW));
        assert_eq!(take_all(&mut budget, NOW), 30);
    }
}

/// A retry that is not sent goes back.
#[rstest]
fn a_retry_that_is_not_sent_is_left_for_others() {
    let mut budget = budget(Sharing::default());
    let left = budget.left(NOW);
    assert_eq!(budget.take_retry(NOW), Verdict::Allowed);
    budget.return_retry(NOW);
    assert_eq!(budget.left(NOW), left);
}

/// A retry that the scheduler allowed another host counts before that host tells of it.
#[rstest]
fn a_retry_allowed_to_another_host_counts_at_once() {
    let mut budget = budget(Sharing::default());
    let granted = (0..1_000).take_while(|_| budget.grant_retry(1, NOW) == Verdict::Allowed);
    assert_eq!(granted.count(), 60);
    assert_eq!(budget.verdict(NOW), Verdict::Refused);
}

/// What a host used that was cut off before it ended is told to nobody.
#[rstest]
#[case::killed(Span::from_millis(800), 60)]
#[case::cut_off_and_killed(Span::from_secs(3), 40)]
fn the_part_of_a_host_that_ended_unheard_counts_as_used(#[case] silent: Span, #[case] left: usize) {
    let mut budget = budget(Sharing { hosts: 3, heard: 3, ..Sharing::default() });
    budget.record_end(1, silent, NOW);
    assert_eq!(take_all(&mut budget, NOW), left);
}

/// A host that was cut off and taken for ended must not count as ended once it reports again: cut off
/// anew, it counts its requests itself.
#[rstest]
fn a_host_that_reports_again_has_not_ended() {
    let mut budget = budget(Sharing { hosts: 2, heard: 2, ..Sharing::default() });
    budget.record_end(1, Span::from_secs(3), NOW);
    let back = NOW + Span::from_secs(1);
    budget.record_report(report(1, 200, 0), back);
    assert!(budget.left(back) > 80.0);
    assert_eq!(budget.left(back + Span::from_secs(1)), 60.0);
}

/// A count from another host may be any number.
#[rstest]
fn a_huge_count_does_not_overflow() {
    let mut budget = budget(Sharing::default());
    budget.record_report(report(1, 0, u32::MAX), NOW);
    budget.record_end(1, Span::from_secs(3), NOW);
    assert_eq!(budget.verdict(NOW), Verdict::Refused);
}

/// A retry to an upstream that stopped reading was forgotten when another answer of it came.
#[rstest]
fn a_retry_counts_until_its_own_connection_tells() {
    let mut budget = budget(Sharing::default());
    budget.record_retry(NOW);
    budget.record_unread(1, 2, NOW);
    budget.record_retry(NOW);
    budget.record_unread(2, 1, NOW);
    let later = NOW + WINDOW * 6;
    budget.settle_unread(2, later);
    assert_eq!(budget.own_usage(later), Usage { requests: 0, retries: 2 });
    assert_eq!(budget.unread(), 1);
    let after = later + WINDOW * 2;
    assert_eq!(budget.own_usage(after).retries, 1);
    budget.forget_unread(1);
    assert_eq!(budget.own_usage(after).retries, 1);
    budget.forget_unread(1);
    assert_eq!(budget.own_usage(after).retries, 0);
}

/// What an incarnation had sent and nobody had read was forgotten a window after its end.
#[rstest]
fn unread_retries_of_an_ended_incarnation_count_on() {
    let mut ended = budget(Sharing::default());
    ended.record_report(Report { unread: 30, ..report(1, 100, 50) }, NOW);
    ended.record_end(1, Span::ZERO, NOW);
    let after_window = NOW + WINDOW + Span::from_secs(1);
    ended.expire(after_window);
    let told: Vec<_> = ended.reports(after_window).collect();
    assert_eq!(told[0].usage, Usage { requests: 0, retries: 30 });
    // A host that starts then is told so.
    let mut started = budget(Sharing::default());
    started.record_report(told[0], after_window);
    assert_eq!(take_all(&mut started, after_window), 30);
    let late = NOW + WINDOW + Span::from_secs(31);
    assert_eq!(started.reports(late).count(), 0);
}

/// Retries that stalled were read together when the requests that had allowed them had left the window.
#[rstest]
fn unread_retries_stay_within_the_slack_when_requests_end() {
    let mut budget = budget(Sharing::default());
    (0..800).for_each(|_| budget.record_request(NOW));
    let mut sent = 0;
    while budget.take_retry(NOW) == Verdict::Allowed {
        budget.record_unread(sent, 1, NOW);
        sent += 1;
    }
    assert_eq!(sent, 100);
    assert_eq!(budget.verdict(NOW), Verdict::Wait);
    assert_eq!(budget.verdict(NOW + Span::from_secs(1)), Verdict::Refused);
    budget.settle_unread(0, NOW);
    assert_eq!(budget.verdict(NOW), Verdict::Allowed);
}
