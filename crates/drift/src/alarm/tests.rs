use super::*;
use crate::{Approved, NodeStatus, Report};

fn parts(digest: u64) -> BTreeMap<String, u64> {
    BTreeMap::from([("Orgs".to_owned(), digest)])
}

#[test]
fn drift_that_lasts_is_one_alarm_and_a_flap_no_second_one() {
    let mut table = DriftDetector::new(Timing::default());
    let mut alarms = Alarms::new(Timing::default());
    table.set_approved(0, Approved { version: 1, parts: parts(1) });
    let (mut raised, mut number) = (Vec::new(), 0);
    let mut play = |from: Time, until: Time, digest: u64| {
        for now in (from..until).step_by(100) {
            number += 1;
            let report = Report {
                number,
                version: 1,
                status: NodeStatus::Admits,
                parts: parts(digest),
                raised: vec![],
            };
            table.record_report(now, "a", 1, report);
            for alarm in alarms.due(now, &table) {
                assert_eq!(alarms.due(now, &table).len(), 1, "it stays due until it was raised");
                alarms.mark_raised(&alarm.name, alarm.start);
                raised.push(now);
            }
        }
        raised.len()
    };
    assert_eq!(play(1000, 5000, 1), 0);
    assert_eq!(play(5000, 5400, 2), 0, "a short one is none");
    assert_eq!(play(5400, 6000, 1), 0);
    assert_eq!(play(6000, 8000, 2), 1);
    assert_eq!(play(8000, 9000, 1), 1);
    assert_eq!(play(9000, 12_000, 2), 1, "it was not well for long enough");
    assert_eq!(play(12_000, 18_000, 1), 1);
    assert_eq!(play(18_000, 19_000, 2), 2);
}
