use super::*;
use crate::{ApprovedPolicy, PartDigests, ProcessStatus, Report};

fn digests(digest: u64) -> PartDigests {
    BTreeMap::from([("Orgs".to_owned(), digest)])
}

/// A process that reports every 100 ms, and a leader that raises each alarm that is due.
struct Fixture {
    detector: DriftDetector,
    alarms: Alarms,
    sequence: u64,
    raised: usize,
}

impl Fixture {
    fn new() -> Fixture {
        let mut detector = DriftDetector::new(Timing::default());
        let approved = ApprovedPolicy { version: 1, part_digests: digests(1) };
        detector.set_approved(Timestamp::from_millis(0), approved);
        Fixture { detector, alarms: Alarms::new(Timing::default()), sequence: 0, raised: 0 }
    }

    /// Reports this digest every 100 ms from `from` to before `until`, both in ms. Returns the
    /// number of alarms that were raised since the start.
    fn report(&mut self, from: u64, until: u64, digest: u64) -> usize {
        for millis in (from..until).step_by(100) {
            self.sequence += 1;
            let now = Timestamp::from_millis(millis);
            let report = Report {
                sequence: self.sequence,
                version: 1,
                status: ProcessStatus::Admitting,
                part_digests: digests(digest),
                raised_alarms: vec![],
            };
            self.detector.record_report(now, ProcessKey { name: "a".to_owned(), start: 1 }, report);
            for alarm in self.alarms.due(now, &self.detector) {
                let due_again = self.alarms.due(now, &self.detector);
                assert_eq!(due_again.len(), 1, "an alarm stays due until it is marked as raised");
                self.alarms.mark_raised(alarm.process);
                self.raised += 1;
            }
        }
        self.raised
    }
}

#[test]
fn lasting_drift_is_one_alarm_and_alternating_drift_no_second_one() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.report(1000, 5000, 1), 0);
    assert_eq!(fixture.report(5000, 5400, 2), 0, "drift below the alarm delay raises no alarm");
    assert_eq!(fixture.report(5400, 6000, 1), 0);
    assert_eq!(fixture.report(6000, 8000, 2), 1);
    assert_eq!(fixture.report(8000, 9000, 1), 1);
    assert_eq!(fixture.report(9000, 12_000, 2), 1, "the process recovered for less than the recovery time");
    assert_eq!(fixture.report(12_000, 18_000, 1), 1);
    assert_eq!(fixture.report(18_000, 19_000, 2), 2);
}
