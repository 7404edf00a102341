use super::*;

fn budget(descriptors: usize, memory_bytes: usize) -> ResourceBudget {
    ResourceBudget { descriptors, memory_bytes }
}

#[test]
fn two_processes_together_never_have_more_than_one() {
    let memory = MemoryBudget::new(16);
    let all = MemoryBudget::bytes_within(16);
    let process = ProcessBudget {
        for_two_processes: budget(100, all),
        for_one_process: budget(120, all),
        descriptors: Descriptors::new(120),
        memory: Arc::clone(&memory),
    };

    assert_eq!(process.shrink(DrainState::Serving), budget(50, all - all / 2));
    assert!(memory.reserve(all / 2 + 1).is_none(), "half belongs to the peer process");

    process.set(BudgetGrant::Full);
    let descriptors: Vec<_> = (0..60).map(|_| process.descriptors.reserve_for_backend()).collect();
    let held = memory.reserve(all / 4 * 3);
    // What is in use is not taken away; the peer process gets it once it is released.
    assert_eq!(process.shrink(DrainState::Serving), budget(40, all - all / 4 * 3));

    drop(descriptors);
    drop(held);
    assert_eq!(process.shrink(DrainState::Draining), budget(92, all - all / 4));
}
