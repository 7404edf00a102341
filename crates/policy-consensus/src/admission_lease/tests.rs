use super::*;

const MS: Duration = Duration::from_millis(1);
const CHANGE_WAIT: Duration = Duration::from_millis(100);
const RETRY_AFTER: Duration = Duration::from_millis(500);
const REJECTED: Admission = Admission::Reject { retry_after: RETRY_AFTER };

fn lease(voters: u8, expiry_mode: LeaseExpiryMode) -> AdmissionLease {
    AdmissionLease::new(VoterSet(voters), expiry_mode, CHANGE_WAIT, RETRY_AFTER)
}

#[test]
fn a_lease_needs_a_majority_at_first_and_then_lasts_while_a_blocking_set_grants_it() {
    let now = Instant::now();
    let lease = lease(4, LeaseExpiryMode::FailClosed);
    let epoch = lease.begin(1);

    lease.grant(VoterId(0), epoch, now + 10 * MS);
    lease.grant(VoterId(1), epoch, now + 30 * MS);
    assert_eq!(lease.admission(1, now), REJECTED, "the first grant of a lease needs a majority");

    lease.grant(VoterId(2), epoch, now + 20 * MS);
    assert_eq!(lease.admission(1, now), Admission::Admit);
    assert_eq!(lease.admission(2, now), REJECTED);
    assert_eq!(
        lease.valid_until(now),
        Some(now + 20 * MS),
        "every majority of 4 voters has a member in each set of 2"
    );
    assert_eq!(lease.admission(1, now + 20 * MS), REJECTED);
}

#[test]
fn a_grant_requested_before_a_release_does_not_count() {
    let now = Instant::now();
    let lease = lease(1, LeaseExpiryMode::FailOpen);
    let epoch = lease.begin(1);
    lease.grant(VoterId(0), epoch, now + 50 * MS);

    lease.release(now);
    lease.grant(VoterId(0), epoch, now + 90 * MS);

    assert_eq!(lease.admission(1, now), Admission::Wait);
    assert_eq!(lease.admission(1, now + CHANGE_WAIT), REJECTED);
    let epoch = lease.begin(2);
    assert_eq!(lease.admission(2, now), Admission::Wait, "the change is about to be committed");
    lease.grant(VoterId(0), epoch, now + 90 * MS);
    assert_eq!(lease.admission(2, now), Admission::Admit);
}

#[test]
fn a_process_fails_open_only_after_its_first_lease_and_until_it_is_outdated() {
    let now = Instant::now();
    let lease = lease(1, LeaseExpiryMode::FailOpen);
    let epoch = lease.begin(1);
    assert_eq!(lease.admission(1, now), REJECTED);

    lease.grant(VoterId(0), epoch, now + 50 * MS);
    assert_eq!(lease.admission(1, now + 60 * MS), Admission::Admit);

    lease.mark_outdated();
    assert_eq!(lease.admission(1, now + 60 * MS), REJECTED);
}
