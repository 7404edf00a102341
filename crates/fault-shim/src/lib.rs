//! Injects system-call errors and a wall-clock offset into a real proxy under test. Preloaded with
//! `LD_PRELOAD`, this library replaces some functions of the C library. The proxy reads the errors
//! and the offset from a file that the test changes while the proxy runs. Read [`FaultControl`]
//! first.
//!
//! Each replacement makes the system call by its number unless it injects an error. `unsafe` is
//! needed only for these calls and for mapping the file into memory.

#![allow(unsafe_code)]

use std::ffi::{c_int, c_long, CString};
use std::os::fd::AsRawFd;
use std::path::Path;
use std::sync::atomic::{AtomicI32, AtomicI64, AtomicPtr, Ordering};

/// Name of the environment variable that holds the path of the control file.
pub const CONTROL_FILE_VARIABLE: &str = "PINETRAIL_FAULTS";

const CONTROL_FILE_BYTES: usize = size_of::<ControlFile>();

/// The content of the control file, which the test and the proxy map into memory.
#[repr(C)]
struct ControlFile {
    /// Offset that is added to the wall clock, in ms.
    wall_clock_offset_ms: AtomicI64,
    /// `errno` with which `accept4` fails; 0 if it does not fail.
    accept_error: AtomicI32,
    /// `errno` with which `connect` fails; 0 if it does not fail.
    connect_error: AtomicI32,
}

/// Sets the faults of a proxy under test through its control file.
pub struct FaultControl(&'static ControlFile);

impl FaultControl {
    /// Creates a control file without faults and maps it into memory.
    ///
    /// # Errors
    /// If the file cannot be written, opened or mapped.
    pub fn create(path: &Path) -> std::io::Result<FaultControl> {
        std::fs::write(path, [0; CONTROL_FILE_BYTES])?;
        map_control_file(path).map(FaultControl)
    }

    /// Removes all errors and the wall-clock offset.
    pub fn clear_faults(&self) {
        self.set_wall_clock_offset(0);
        self.fail_accept(0);
        self.fail_connect(0);
    }

    /// Sets the proxy's wall clock `ms` milliseconds ahead of the true time; behind it if negative.
    pub fn set_wall_clock_offset(&self, ms: i64) {
        self.0.wall_clock_offset_ms.store(ms, Ordering::SeqCst);
    }

    /// Makes each `accept4` of the proxy fail with this `errno`; 0 lets the calls succeed again.
    pub fn fail_accept(&self, error: c_int) {
        self.0.accept_error.store(error, Ordering::SeqCst);
    }

    /// Makes each `connect` of the proxy fail with this `errno`; 0 lets the calls succeed again.
    pub fn fail_connect(&self, error: c_int) {
        self.0.connect_error.store(error, Ordering::SeqCst);
    }
}

fn map_control_file(path: &Path) -> std::io::Result<&'static ControlFile> {
    let file = std::fs::File::options().read(true).write(true).open(path)?;
    // SAFETY: the file has the size of `ControlFile`, whose fields are atomic, and is never
    // unmapped.
    let mapped = unsafe {
        let protection = libc::PROT_READ | libc::PROT_WRITE;
        libc::mmap(
            std::ptr::null_mut(),
            CONTROL_FILE_BYTES,
            protection,
            libc::MAP_SHARED,
            file.as_raw_fd(),
            0,
        )
    };
    if mapped == libc::MAP_FAILED {
        return Err(std::io::Error::last_os_error());
    }
    // SAFETY: the mapping has the size of `ControlFile` and is never unmapped; every bit pattern is
    // a valid value of the fields.
    Ok(unsafe { &*mapped.cast::<ControlFile>() })
}

/// Returns the faults of this process; `None` if no control file can be mapped.
fn active_faults() -> Option<&'static ControlFile> {
    static MAPPED: AtomicPtr<ControlFile> = AtomicPtr::new(std::ptr::null_mut());
    static NONE: ControlFile = ControlFile {
        wall_clock_offset_ms: AtomicI64::new(0),
        accept_error: AtomicI32::new(0),
        connect_error: AtomicI32::new(0),
    };
    let mut mapped = MAPPED.load(Ordering::Acquire);
    if mapped.is_null() {
        // Mapping the file calls replaced functions: these must find no faults, and must not
        // start to map the file again.
        MAPPED.store(std::ptr::from_ref(&NONE).cast_mut(), Ordering::Release);
        let path = env_variable(CONTROL_FILE_VARIABLE)?;
        let found = map_control_file(Path::new(&path)).ok()?;
        mapped = std::ptr::from_ref(found).cast_mut();
        MAPPED.store(mapped, Ordering::Release);
    }
    // SAFETY: the pointer comes from a reference that lives as long as the program.
    Some(unsafe { &*mapped })
}

/// Reads an environment variable without the lock of the standard library, since any code may call
/// the replaced functions.
fn env_variable(name: &str) -> Option<String> {
    let name = CString::new(name).ok()?;
    // SAFETY: the name ends with a NUL byte; the value is copied at once.
    let value = unsafe { libc::getenv(name.as_ptr()) };
    if value.is_null() {
        return None;
    }
    // SAFETY: `getenv` returned a string that ends with a NUL byte.
    unsafe { std::ffi::CStr::from_ptr(value) }.to_str().ok().map(str::to_owned)
}

/// Returns the `errno` with which a call fails; 0 if it is to succeed. Every second `EINTR` is
/// skipped, since the standard library repeats an interrupted call until it is not interrupted.
fn injected_error(read: impl Fn(&ControlFile) -> &AtomicI32) -> c_int {
    static INTERRUPTIONS: AtomicI32 = AtomicI32::new(0);
    let error = active_faults().map_or(0, |control| read(control).load(Ordering::SeqCst));
    let is_skipped = error == libc::EINTR && INTERRUPTIONS.fetch_add(1, Ordering::SeqCst) % 2 == 1;
    if is_skipped {
        0
    } else {
        error
    }
}

/// Sets `errno` and returns -1, as a failed function of the C library does.
fn fail_with(error: c_int) -> c_int {
    // SAFETY: the pointer is the address of this thread's own `errno`.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// Converts the result of `syscall` to the type that the C library's functions return.
fn to_c_int(result: c_long) -> c_int {
    // These calls return descriptors, 0 or -1.
    result as c_int
}

/// Replaces `clock_gettime` of the C library: adds the offset to the time of the wall clock.
///
/// # Safety
/// The requirements of the replaced function.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut libc::timespec) -> c_int {
    // SAFETY: the arguments are passed on unchanged.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, time) };
    if result == 0 && clock == libc::CLOCK_REALTIME {
        let offset_ms =
            active_faults().map_or(0, |control| control.wall_clock_offset_ms.load(Ordering::SeqCst));
        // SAFETY: the kernel has just written to this address.
        unsafe { (*time).tv_sec += offset_ms / 1000 };
    }
    to_c_int(result)
}

/// Replaces `accept4` of the C library: fails if the control file says so.
///
/// # Safety
/// The requirements of the replaced function.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut libc::sockaddr,
    length: *mut libc::socklen_t,
    flags: c_int,
) -> c_int {
    match injected_error(|control| &control.accept_error) {
        // SAFETY: the arguments are passed on unchanged.
        0 => to_c_int(unsafe { libc::syscall(libc::SYS_accept4, socket, address, length, flags) }),
        error => fail_with(error),
    }
}

/// Replaces `connect` of the C library: fails if the control file says so.
///
/// # Safety
/// The requirements of the replaced function.
#[no_mangle]
pub unsafe extern "C" fn connect(
    socket: c_int,
    address: *const libc::sockaddr,
    length: libc::socklen_t,
) -> c_int {
    match injected_error(|control| &control.connect_error) {
        // SAFETY: the arguments are passed on unchanged.
        0 => to_c_int(unsafe { libc::syscall(libc::SYS_connect, socket, address, length) }),
        error => fail_with(error),
    }
}
