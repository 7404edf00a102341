use super::*;

#[test]
fn two_processes_together_never_have_more_than_one() {
    let memory = Memory::with_limit_mb(16);
    let all = Memory::value_bytes(16);
    let (both, alone) = (Share { sockets: 100, memory: all }, Share { sockets: 120, memory: all });
    let budget = Budget { both, alone, descriptors: Descriptors::new(120), memory: Arc::clone(&memory) };
    assert_eq!(budget.divide(false), Share { sockets: 50, memory: all - all / 2 });
    assert!(memory.try_reserve(all / 2 + 1).is_none(), "half is the other's");
    budget.allow(None);
    let taken: Vec<_> = (0..60).map(|_| budget.descriptors.try_backend_descriptor()).collect();
    let held = memory.try_reserve(all / 4 * 3);
    // What is in use is not taken away; it goes over as it is given back.
    assert_eq!(budget.divide(false), Share { sockets: 40, memory: all - all / 4 * 3 });
    drop((taken, held));
    assert_eq!(budget.divide(true), Share { sockets: 92, memory: all - all / 4 });
}
