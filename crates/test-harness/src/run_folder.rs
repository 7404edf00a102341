//! The folder for the files of one run of a test program: configurations, temporary folders and
//! logs of the processes that it starts. Read [`run_folder`] first.

use std::path::{Path, PathBuf};
use std::sync::OnceLock;

/// What the names of these folders begin with; the number of the process follows.
const PREFIX: &str = "pinetrail-run-";

static RUN_FOLDER: OnceLock<PathBuf> = OnceLock::new();

/// The folder of this run, made at the first call. What ended runs left behind is removed then: a
/// program that is ended from outside cannot remove its own.
///
/// # Panics
/// If it cannot be made.
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
        // What remains is removed by a later run.
        let _ = std::fs::remove_dir_all(folder);
    }
}

/// Removes the folders of processes that do not run any more.
fn remove_leftovers(parent: &Path) {
    let Ok(entries) = std::fs::read_dir(parent) else { return };
    for entry in entries.filter_map(Result::ok) {
        let name = entry.file_name();
        let owner = name.to_str().and_then(|name| name.strip_prefix(PREFIX));
        if owner.is_some_and(|owner| !Path::new("/proc").join(owner).exists()) {
            // Another run may be removing it as well.
            let _ = std::fs::remove_dir_all(entry.path());
        }
    }
}
