//! Faults of the system, for tests of real processes: preloaded (`LD_PRELOAD`) into a proxy, this
//! library replaces some functions of the C library. The faults, and the step of the wall clock,
//! are read from a file that the test changes while the proxy runs. Read [`FaultControl`] first.
//!
//! Each replacement makes the system call by its number unless it injects a fault. `unsafe` is
//! needed only for that, and for the file that is mapped into memory.

#![allow(unsafe_code)]

use std::ffi::{c_int, c_long, CString};
use std::os::fd::AsRawFd;
use std::path::Path;
use std::sync::atomic::{AtomicI32, AtomicI64, AtomicPtr, Ordering};

/// The environment variable that names the control file.
pub const CONTROL_FILE_VARIABLE: &str = "PINETRAIL_FAULTS";

const CONTROL_FILE_BYTES: usize = size_of::<ControlFile>();

/// The content of the control file, which test and proxy share.
#[repr(C)]
struct ControlFile {
    /// Added to the wall clock, in ms.
    wall_clock_offset_ms: AtomicI64,
    /// The error of each call, 0 for none.
    accept_error: AtomicI32,
    connect_error: AtomicI32,
}

/// The test's end of a control file.
pub struct FaultControl(&'static ControlFile);

impl FaultControl {
    /// Makes a file without faults, and opens it.
    ///
    /// # Errors
    /// Those of the file system.
    pub fn create(path: &Path) -> std::io::Result<FaultControl> {
        std::fs::write(path, [0; CONTROL_FILE_BYTES])?;
        map_control_file(path).map(FaultControl)
    }

    /// Ends all faults.
    pub fn clear_faults(&self) {
        self.set_wall_clock_offset(0);
        self.fail_accept(0);
        self.fail_connect(0);
    }

    /// Sets the wall clock of the proxy to `ms` after its true time.
    pub fn set_wall_clock_offset(&self, ms: i64) {
        self.0.wall_clock_offset_ms.store(ms, Ordering::SeqCst);
    }

    /// Lets each `accept` fail with this error; 0 ends that.
    pub fn fail_accept(&self, error: c_int) {
        self.0.accept_error.store(error, Ordering::SeqCst);
    }

    /// Lets each `connect` fail with this error; 0 ends that.
    pub fn fail_connect(&self, error: c_int) {
        self.0.connect_error.store(error, Ordering::SeqCst);
    }
}

fn map_control_file(path: &Path) -> std::io::Result<&'static ControlFile> {
    let file = std::fs::File::options().read(true).write(true).open(path)?;
    // SAFETY: the file has the size of `ControlFile`, whose fields are atomic; it stays mapped.
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
    // SAFETY: as above; every bit pattern is a value of its fields.
    Ok(unsafe { &*mapped.cast::<ControlFile>() })
}

/// The faults of this process; none if it has no control file.
fn active_faults() -> Option<&'static ControlFile> {
    static MAPPED: AtomicPtr<ControlFile> = AtomicPtr::new(std::ptr::null_mut());
    static NONE: ControlFile = ControlFile {
        wall_clock_offset_ms: AtomicI64::new(0),
        accept_error: AtomicI32::new(0),
        connect_error: AtomicI32::new(0),
    };
    let mut mapped = MAPPED.load(Ordering::Acquire);
    if mapped.is_null() {
        // The calls that map the file meet no fault.
        MAPPED.store(std::ptr::from_ref(&NONE).cast_mut(), Ordering::Release);
        let path = env_variable(CONTROL_FILE_VARIABLE)?;
        let found = map_control_file(Path::new(&path)).ok()?;
        mapped = std::ptr::from_ref(found).cast_mut();
        MAPPED.store(mapped, Ordering::Release);
    }
    // SAFETY: it comes from a reference that lives as long as the program.
    Some(unsafe { &*mapped })
}

/// An environment variable, read without a lock, since any code may call this.
fn env_variable(name: &str) -> Option<String> {
    let name = CString::new(name).ok()?;
    // SAFETY: the name ends with a zero; the value is copied at once.
    let value = unsafe { libc::getenv(name.as_ptr()) };
    if value.is_null() {
        return None;
    }
    // SAFETY: `getenv` returned a string.
    unsafe { std::ffi::CStr::from_ptr(value) }.to_str().ok().map(str::to_owned)
}

/// The error with which a call fails; 0 for none. Every second interruption is left out, since the
/// standard library repeats an interrupted call at once until it is not interrupted.
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

/// Returns like a system call that failed with this error.
fn fail_with(error: c_int) -> c_int {
    // SAFETY: it is the address of this thread's own variable.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// Converts the result of `syscall` to that of the C library's function.
fn to_c_int(result: c_long) -> c_int {
    // These calls return descriptors, 0 or -1.
    result as c_int
}

/// Replaces the function of the C library.
///
/// # Safety
/// As for that function.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut libc::timespec) -> c_int {
    // SAFETY: the arguments are passed on unchanged.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, time) };
    if result == 0 && clock == libc::CLOCK_REALTIME {
        let offset_ms =
            active_faults().map_or(0, |control| control.wall_clock_offset_ms.load(Ordering::SeqCst));
        // SAFETY: the system has just written there.
        unsafe { (*time).tv_sec += offset_ms / 1000 };
    }
    to_c_int(result)
}

/// Replaces the function of the C library.
///
/// # Safety
/// As for that function.
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

/// Replaces the function of the C library.
///
/// # Safety
/// As for that function.
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
