use super::*;

fn parts(digest: u64) -> BTreeMap<String, u64> {
    BTreeMap::from([("Grades".to_owned(), digest), ("Safety".to_owned(), 7)])
}

fn report(number: u64, version: u64, digest: u64) -> Report {
    Report { number, version, status: NodeStatus::Admits, parts: parts(digest), raised: vec![] }
}

fn table() -> DriftDetector {
    let mut table = DriftDetector::new(Timing::default());
    table.set_approved(0, Approved { version: 1, parts: parts(5) });
    table
}

fn state(table: &DriftDetector) -> (DriftState, Vec<String>) {
    let node = table.nodes().next().unwrap().2;
    (node.state, node.parts)
}

#[test]
fn what_is_in_force_is_compared_part_by_part() {
    let mut table = table();
    table.record_report(2000, "a", 1, report(1, 1, 5));
    assert_eq!(state(&table), (DriftState::Same, vec![]));
    table.record_report(2500, "a", 1, report(2, 1, 6));
    assert_eq!(state(&table), (DriftState::Differs, vec!["Grades".to_owned()]));
    table.record_report(2600, "a", 1, report(1, 1, 5));
    assert_eq!(state(&table).0, DriftState::Differs, "a late report changes nothing");
}

#[test]
fn who_is_not_heard_is_silent_and_never_the_same() {
    let mut table = table();
    table.record_report(2000, "a", 1, report(1, 1, 5));
    table.refresh(3599);
    assert_eq!(state(&table).0, DriftState::Same);
    table.refresh(3600);
    assert_eq!(state(&table).0, DriftState::Silent);
    table.record_report(9000, "a", 1, report(2, 1, 5));
    assert_eq!(state(&table).0, DriftState::Same);
}

#[test]
fn a_change_is_under_way_until_it_must_be_over() {
    let mut table = table();
    table.record_report(2000, "a", 1, report(1, 1, 5));
    table.set_approved(2100, Approved { version: 2, parts: parts(6) });
    assert_eq!(state(&table).0, DriftState::Changing);
    table.record_report(3000, "a", 1, report(2, 1, 5));
    table.refresh(3099);
    assert_eq!(state(&table).0, DriftState::Changing);
    table.refresh(3100);
    assert_eq!(state(&table).0, DriftState::Behind);
    table.record_report(3200, "a", 1, report(3, 3, 9));
    assert_eq!(state(&table).0, DriftState::Changing, "word of it may be under way");
    table.record_report(4300, "a", 1, report(4, 3, 9));
    assert_eq!(state(&table).0, DriftState::Ahead);
    table.refresh(4800);
    assert_eq!(state(&table).0, DriftState::Ahead, "and stays so");
    table.record_report(5000, "a", 1, Report { status: NodeStatus::Fenced, ..report(5, 1, 5) });
    assert_eq!(state(&table).0, DriftState::Fenced);
}
