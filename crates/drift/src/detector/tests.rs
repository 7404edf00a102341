use super::*;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn process() -> ProcessKey {
    ProcessKey { name: "a".to_owned(), start: 1 }
}

fn digests(digest: u64) -> PartDigests {
    BTreeMap::from([("Grades".to_owned(), digest), ("Safety".to_owned(), 7)])
}

fn report(sequence: u64, version: u64, digest: u64) -> Report {
    let part_digests = digests(digest);
    Report { sequence, version, status: ProcessStatus::Admitting, part_digests, raised_alarms: vec![] }
}

/// Returns a detector for which version 1 was approved at 0 ms.
fn detector() -> DriftDetector {
    let mut detector = DriftDetector::new(Timing::default());
    detector.set_approved(at(0), ApprovedPolicy { version: 1, part_digests: digests(5) });
    detector
}

fn only_process(detector: &DriftDetector) -> TrackedProcess {
    detector.processes().next().unwrap()
}

fn state(detector: &DriftDetector) -> DriftState {
    only_process(detector).state
}

#[test]
fn the_active_policy_is_compared_part_by_part() {
    let mut detector = detector();

    detector.record_report(at(2000), process(), report(1, 1, 5));
    assert_eq!(state(&detector), DriftState::Same);
    assert_eq!(only_process(&detector).differing_parts, Vec::<String>::new());

    detector.record_report(at(2500), process(), report(2, 1, 6));
    assert_eq!(state(&detector), DriftState::Differs);
    assert_eq!(only_process(&detector).differing_parts, vec!["Grades".to_owned()]);

    detector.record_report(at(2600), process(), report(1, 1, 5));
    assert_eq!(state(&detector), DriftState::Differs, "a report that arrives out of order changes nothing");
}

#[test]
fn a_process_without_a_recent_report_is_silent_and_never_the_same() {
    let mut detector = detector();
    detector.record_report(at(2000), process(), report(1, 1, 5));

    detector.refresh(at(3599));
    assert_eq!(state(&detector), DriftState::Same);
    detector.refresh(at(3600));
    assert_eq!(state(&detector), DriftState::Silent);

    detector.record_report(at(9000), process(), report(2, 1, 5));
    assert_eq!(state(&detector), DriftState::Same);
}

#[test]
fn a_change_is_under_way_until_the_settling_time_is_over() {
    let mut detector = detector();
    detector.record_report(at(2000), process(), report(1, 1, 5));
    detector.set_approved(at(2100), ApprovedPolicy { version: 2, part_digests: digests(6) });
    assert_eq!(state(&detector), DriftState::Changing);

    detector.record_report(at(3000), process(), report(2, 1, 5));
    detector.refresh(at(3099));
    assert_eq!(state(&detector), DriftState::Changing);
    detector.refresh(at(3100));
    assert_eq!(state(&detector), DriftState::Behind);

    detector.record_report(at(3200), process(), report(3, 3, 9));
    assert_eq!(state(&detector), DriftState::Changing, "the approval of version 3 may not have arrived yet");
    detector.record_report(at(4300), process(), report(4, 3, 9));
    assert_eq!(state(&detector), DriftState::Ahead);
    detector.refresh(at(4800));
    assert_eq!(state(&detector), DriftState::Ahead, "the state stays while the process is ahead");

    let fenced = Report { status: ProcessStatus::Fenced, ..report(5, 1, 5) };
    detector.record_report(at(5000), process(), fenced);
    assert_eq!(state(&detector), DriftState::Fenced);
}
