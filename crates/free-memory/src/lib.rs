//! Returns memory that the process has freed to the operating system: [`release_free_memory`].
//!
//! The allocator of the C library keeps freed memory for later allocations. Two processes that share
//! one memory limit cannot use what the other one keeps.
#![allow(unsafe_code)]

/// Returns the free pages of the allocator to the operating system. Takes about a millisecond for
/// 10 MB; allocations of other threads wait. Does nothing where the allocator is another one than
/// that of the GNU C library.
pub fn release_free_memory() {
    #[cfg(target_env = "gnu")]
    {
        // SAFETY: malloc_trim changes no memory that is in use, and may be called from any thread at
        // any time.
        unsafe { libc::malloc_trim(KEEP_NOTHING_BYTES) };
    }
}

/// The free bytes that the allocator keeps at the end of its heap.
#[cfg(target_env = "gnu")]
const KEEP_NOTHING_BYTES: usize = 0;

#[cfg(test)]
mod tests;
