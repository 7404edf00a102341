use super::*;

const MS: Duration = Duration::from_millis(1);

fn permit(seats: u8, when_cut: LeaseExpiryMode) -> AdmissionLease {
    AdmissionLease::new(VoterSet(seats), when_cut, 100 * MS, 500 * MS)
}

#[test]
fn it_lasts_as_long_as_no_majority_can_be_without_it() {
    let (now, permit) = (Instant::now(), permit(4, LeaseExpiryMode::FailClosed));
    let epoch = permit.begin(1);
    permit.granted(0, epoch, now + 10 * MS);
    permit.granted(1, epoch, now + 30 * MS);
    assert_eq!(permit.admission(1, now), Admission::Reject(500 * MS), "the first one needs a majority");
    permit.granted(2, epoch, now + 20 * MS);
    assert_eq!(permit.admission(1, now), Admission::Admit);
    assert_eq!(permit.admission(2, now), Admission::Reject(500 * MS));
    assert_eq!(permit.valid_until(now), Some(now + 20 * MS), "two of four are in every majority's way");
    assert_eq!(permit.admission(1, now + 20 * MS), Admission::Reject(500 * MS));
}

#[test]
fn what_was_permitted_before_it_was_given_up_counts_no_longer() {
    let (now, permit) = (Instant::now(), permit(1, LeaseExpiryMode::FailOpen));
    let epoch = permit.begin(1);
    permit.granted(0, epoch, now + 50 * MS);
    permit.release(now);
    permit.granted(0, epoch, now + 90 * MS);
    assert_eq!(permit.admission(1, now), Admission::Wait);
    assert_eq!(permit.admission(1, now + 100 * MS), Admission::Reject(500 * MS));
    let epoch = permit.begin(2);
    assert_eq!(permit.admission(2, now), Admission::Wait, "its moment is near");
    permit.granted(0, epoch, now + 90 * MS);
    assert_eq!(permit.admission(2, now), Admission::Admit);
}

#[test]
fn who_serves_on_needs_to_have_been_permitted_once_and_not_to_know_better() {
    let (now, permit) = (Instant::now(), permit(1, LeaseExpiryMode::FailOpen));
    let epoch = permit.begin(1);
    assert_eq!(permit.admission(1, now), Admission::Reject(500 * MS));
    permit.granted(0, epoch, now + 50 * MS);
    assert_eq!(permit.admission(1, now + 60 * MS), Admission::Admit);
    permit.mark_outdated();
    assert_eq!(permit.admission(1, now + 60 * MS), Admission::Reject(500 * MS));
}
