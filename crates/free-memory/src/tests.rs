//! Tests that freed memory leaves the process, and memory in use stays.

use super::release_free_memory;

const BLOCK_BYTES: usize = 16 * 1024;
const BLOCKS: usize = 1024;
const KB_PER_MB: usize = 1024;

/// Returns the resident memory of this process without files, in KB.
fn resident_kb() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:")).unwrap();
    line.trim().strip_suffix(" kB").unwrap().parse().unwrap()
}

/// Guards against freed blocks that stay in the process because blocks in use are behind them.
#[test]
#[cfg(target_env = "gnu")]
fn freed_blocks_between_used_ones_leave_the_process() {
    let mut blocks: Vec<Option<Vec<u8>>> = (0..BLOCKS).map(|n| Some(vec![n as u8; BLOCK_BYTES])).collect();
    let used = resident_kb();
    for block in blocks.iter_mut().step_by(2) {
        *block = None;
    }
    release_free_memory();
    let released = used - resident_kb();
    assert!(released > 5 * KB_PER_MB, "{released} KB of 8 MB");
    for (n, block) in blocks.iter().enumerate().filter_map(|(n, block)| Some((n, block.as_ref()?))) {
        assert!(block.iter().all(|byte| *byte == n as u8), "block {n}");
    }
}
