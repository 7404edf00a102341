//! Manages the folder of one run of a test program, with the configurations, temporary folders and
//! logs of the processes that it starts. Read [`run_folder`] first.

use std::path::{Path, PathBuf};
use std::sync::OnceLock;

/// Prefix of the names of run folders; the process id of the test program follows.
const PREFIX: &str = "pinetrail-run-";

static RUN_FOLDER: OnceLock<PathBuf> = OnceLock::new();

/// Returns the folder of this run. The first call creates it, and removes the folders that ended
/// runs left behind, since a test program that is killed cannot remove its own.
///
/// # Panics
/// If the folder cannot be created.
pub fn run_folder() -> &'static Path {
    RUN_FOLDER.get_or_init(|| {
        let parent = std::env::temp_dir();
        remove_leftovers(&parent);
        let folder = parent.join(format!("{PREFIX}{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the temporary folder is writable");
        folder
    })
}

/// Removes the folder of this run, once its processes have ended.
pub fn remove_run_folder() {
    if let Some(folder) = RUN_FOLDER.get() {
        // Files that cannot be removed now are removed by a later run.
        let _ = std::fs::remove_dir_all(folder);
    }
}

/// Removes the folders of test programs that no longer run.
fn remove_leftovers(parent: &Path) {
    let Ok(entries) = std::fs::read_dir(parent) else { return };
    for entry in entries.filter_map(Result::ok) {
        let name = entry.file_name();
        let owner = name.to_str().and_then(|name| name.strip_prefix(PREFIX));
        if owner.is_some_and(|owner| !Path::new("/proc").join(owner).exists()) {
            // An error is ignored: another run may be removing the same folder.
            let _ = std::fs::remove_dir_all(entry.path());
        }
    }
}
