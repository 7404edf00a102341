use super::*;

fn parts(digest: u64) -> BTreeMap<String, u64> {
    BTreeMap::from([("Grades".to_owned(), digest), ("Safety".to_owned(), 7)])
}

fn report(number: u64, version: u64, digest: u64) -> Report {
    Report { number, version, stands: Stands::Admits, parts: parts(digest), raised: vec![] }
}

fn table() -> Table {
    let mut table = Table::new(Times::default());
    table.approve(0, Approved { version: 1, parts: parts(5) });
    table
}

fn state(table: &Table) -> (State, Vec<String>) {
    let node = table.nodes().next().unwrap().2;
    (node.state, node.parts)
}

#[test]
fn what_is_in_force_is_compared_part_by_part() {
    let mut table = table();
    table.hear(2000, "a", 1, report(1, 1, 5));
    assert_eq!(state(&table), (State::Same, vec![]));
    table.hear(2500, "a", 1, report(2, 1, 6));
    assert_eq!(state(&table), (State::Differs, vec!["Grades".to_owned()]));
    table.hear(2600, "a", 1, report(1, 1, 5));
    assert_eq!(state(&table).0, State::Differs, "a late report changes nothing");
}

#[test]
fn who_is_not_heard_is_silent_and_never_the_same() {
    let mut table = table();
    table.hear(2000, "a", 1, report(1, 1, 5));
    table.look(3599);
    assert_eq!(state(&table).0, State::Same);
    table.look(3600);
    assert_eq!(state(&table).0, State::Silent);
    table.hear(9000, "a", 1, report(2, 1, 5));
    assert_eq!(state(&table).0, State::Same);
}

#[test]
fn a_change_is_under_way_until_it_must_be_over() {
    let mut table = table();
    table.hear(2000, "a", 1, report(1, 1, 5));
    table.approve(2100, Approved { version: 2, parts: parts(6) });
    assert_eq!(state(&table).0, State::Changing);
    table.hear(3000, "a", 1, report(2, 1, 5));
    table.look(3099);
    assert_eq!(state(&table).0, State::Changing);
    table.look(3100);
    assert_eq!(state(&table).0, State::Behind);
    table.hear(3200, "a", 1, report(3, 3, 9));
    assert_eq!(state(&table).0, State::Changing, "word of it may be under way");
    table.hear(4300, "a", 1, report(4, 3, 9));
    assert_eq!(state(&table).0, State::Ahead);
    table.look(4800);
    assert_eq!(state(&table).0, State::Ahead, "and stays so");
    table.hear(5000, "a", 1, Report { stands: Stands::Fenced, ..report(5, 1, 5) });
    assert_eq!(state(&table).0, State::Fenced);
}
