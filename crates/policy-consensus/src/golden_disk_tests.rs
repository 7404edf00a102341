//! The file of a founder, recorded from the program before names in it were changed: its bytes, its
//! name and that of its lock. They must not change: a new version must read what an old one wrote,
//! and the other way about, and the two must not run on one folder at once. A test that fails here
//! says that the program has changed its format; the recorded bytes are not to be adapted.

use crate::storage::{load, save};
use crate::{
    Ballot, Change, Digest, DurableState, FileStorage, FinishedChange, LoadOutcome, Outcome, ReplicatedState,
    Stage, Storage,
};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::{env, fs, process};

const FULL: &str = "707472626f6f6b0100000000000000499bcfc542066764796e6961026301ad020601ac0205ac\
                    0207096772616465733a203201026334096772616465733a2033000102026e3101026333088d\
                    e0b7f70f01066e323a206e6f0200620263";
const EMPTY: &str = "707472626f6f6b01000000000000000e0266cef5066764796e696102000000000000";

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let byte = |at| u8::from_str_radix(&hex[at..at + 2], 16).expect("two hex digits");
    (0..hex.len()).step_by(2).map(byte).collect()
}

/// Every field has a value of its own.
fn full() -> DurableState {
    let stage = Stage::Preparing { strict: true };
    let (id, by) = ("c4".to_owned(), "n1".to_owned());
    let change = Some(Change { id, text: "grades: 3".into(), stage, attempt: 2, by });
    let (id, why) = ("c3".to_owned(), "n2: no".to_owned());
    let (digest, outcome) = (Digest(0xfeed_f00d), Outcome::Rejected);
    let ended = vec![FinishedChange { id, version: 8, digest, outcome, why }];
    let book = ReplicatedState { revision: 300, version: 7, text: "grades: 2".into(), change, ended };
    DurableState {
        storage_id: 99,
        votes: true,
        promised: Ballot { round: 301, by: 6 },
        accepted: Some((Ballot { round: 300, by: 5 }, book)),
        storage_ids: BTreeMap::from([(0, 98), (2, 99)]),
    }
}

/// A folder of this test alone, gone at its end.
struct Scratch(PathBuf);

impl Scratch {
    fn new(name: &str) -> Scratch {
        let path = env::temp_dir().join(format!("pinetrail-golden-{name}-{}", process::id()));
        fs::create_dir_all(&path).expect("a folder");
        Scratch(path)
    }

    fn files(&self) -> Vec<String> {
        let name = |file: fs::DirEntry| file.file_name().to_string_lossy().into_owned();
        let files = fs::read_dir(&self.0).expect("a folder");
        let mut names: Vec<String> = files.map(|file| name(file.expect("a file"))).collect();
        names.sort();
        names
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        // What is left behind is in the folder for temporary files.
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn file_in(folder: &Path) -> PathBuf {
    folder.join("rulebook")
}

#[test]
fn a_founders_file_has_the_recorded_name_and_bytes() {
    let scratch = Scratch::new("write");
    let mut folder = FileStorage::take(scratch.0.clone()).expect("taken");
    for (durable, recorded) in [(full(), FULL), (DurableState::default(), EMPTY)] {
        save(&mut folder, "gdynia", 2, &durable).expect("kept");
        let written = fs::read(file_in(&scratch.0)).expect("the file by its name");
        assert_eq!(hex(&written), recorded, "encoding of {durable:?}");
        assert_eq!(scratch.files(), ["rulebook", "rulebook.lock"]);
    }
}

#[test]
fn a_founder_reads_the_recorded_file() {
    let scratch = Scratch::new("read");
    for (durable, recorded) in [(full(), FULL), (DurableState::default(), EMPTY)] {
        fs::write(file_in(&scratch.0), bytes(recorded)).expect("written");
        let mut folder = FileStorage::take(scratch.0.clone()).expect("taken");
        let loaded = load(&mut folder, "gdynia", 2).expect("read");
        assert_eq!(loaded, LoadOutcome::Loaded(Box::new(durable)));
    }
}

#[test]
fn a_file_that_is_put_aside_has_the_recorded_name() {
    let scratch = Scratch::new("aside");
    let mut folder = FileStorage::take(scratch.0.clone()).expect("taken");
    folder.replace(b"torn").expect("written");
    assert_eq!(load(&mut folder, "gdynia", 2).expect("read"), LoadOutcome::SetAside("torn"));
    let files = scratch.files();
    assert!(files.iter().any(|name| name.starts_with("rulebook.torn-")), "{files:?}");
}

/// An old and a new version must not have one folder at once.
#[test]
fn a_lock_by_the_recorded_name_keeps_others_out() {
    let scratch = Scratch::new("lock");
    let path = scratch.0.join("rulebook.lock");
    let lock = fs::File::options().create(true).append(true).open(path).expect("opened");
    lock.try_lock().expect("nobody has it");
    let taken = FileStorage::take(scratch.0.clone());
    assert_eq!(taken.expect_err("it is held").kind(), std::io::ErrorKind::WouldBlock);
}
