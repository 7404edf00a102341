//! The recorded format of a voter's state file: its bytes, its name and the name of its lock file.
//! The records were made by an earlier version of this program. They must not change: a new version
//! must read the file of an old one and the reverse, and the two must not use one directory at the
//! same time. A failure here means that the program has changed its format; do not adapt the
//! recorded bytes.

use crate::storage::{load, save};
use crate::{
    AcceptedState, Ballot, Change, Digest, DurableState, FileStorage, FinishedChange, LoadOutcome, Outcome,
    ReplicatedState, Stage, Storage, StorageId, VoterId, VotingStatus,
};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::{env, fs, process};

const VOTER: VoterId = VoterId(2);

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

/// A state in which every field has a distinct value.
fn full() -> DurableState {
    let open_change = Change {
        id: "c4".to_owned(),
        text: "grades: 3".into(),
        stage: Stage::Preparing { strict: true },
        attempt: 2,
        proposer: "n1".to_owned(),
    };
    let finished_change = FinishedChange {
        id: "c3".to_owned(),
        version: 8,
        digest: Digest(0xfeed_f00d),
        outcome: Outcome::Rejected,
        reason: "n2: no".to_owned(),
    };
    let state = ReplicatedState {
        revision: 300,
        version: 7,
        text: "grades: 2".into(),
        open_change: Some(open_change),
        finished_changes: vec![finished_change],
    };
    DurableState {
        storage_id: StorageId(99),
        voting: VotingStatus::Voting,
        promised: Ballot { round: 301, proposer: 6 },
        accepted: Some(AcceptedState { ballot: Ballot { round: 300, proposer: 5 }, state }),
        storage_ids: BTreeMap::from([(VoterId(0), StorageId(98)), (VoterId(2), StorageId(99))]),
    }
}

/// A directory of one test, removed when the test ends.
struct ScratchDirectory(PathBuf);

impl ScratchDirectory {
    fn new(name: &str) -> ScratchDirectory {
        let path = env::temp_dir().join(format!("pinetrail-golden-{name}-{}", process::id()));
        fs::create_dir_all(&path).expect("the directory is created");
        ScratchDirectory(path)
    }

    fn files(&self) -> Vec<String> {
        let name = |file: fs::DirEntry| file.file_name().to_string_lossy().into_owned();
        let files = fs::read_dir(&self.0).expect("the directory is listed");
        let mut names: Vec<String> = files.map(|file| name(file.expect("the file is listed"))).collect();
        names.sort();
        names
    }
}

impl Drop for ScratchDirectory {
    fn drop(&mut self) {
        // If the removal fails, the directory stays among the temporary files.
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn file_in(directory: &Path) -> PathBuf {
    directory.join("rulebook")
}

#[test]
fn a_voters_file_has_the_recorded_name_and_bytes() {
    let scratch = ScratchDirectory::new("write");
    let mut directory = FileStorage::open(scratch.0.clone()).expect("the storage opens");
    for (durable, recorded) in [(full(), FULL), (DurableState::default(), EMPTY)] {
        save(&mut directory, "gdynia", VOTER, &durable).expect("the state is stored");
        let written = fs::read(file_in(&scratch.0)).expect("the state file under its recorded name");
        assert_eq!(hex(&written), recorded, "encoding of {durable:?}");
        assert_eq!(scratch.files(), ["rulebook", "rulebook.lock"]);
    }
}

#[test]
fn a_voter_reads_the_recorded_file() {
    let scratch = ScratchDirectory::new("read");
    for (durable, recorded) in [(full(), FULL), (DurableState::default(), EMPTY)] {
        fs::write(file_in(&scratch.0), bytes(recorded)).expect("the state file is written");
        let mut directory = FileStorage::open(scratch.0.clone()).expect("the storage opens");
        let loaded = load(&mut directory, "gdynia", VOTER).expect("the state file is read");
        assert_eq!(loaded, LoadOutcome::Loaded(Box::new(durable)));
    }
}

#[test]
fn a_file_that_is_set_aside_has_the_recorded_name() {
    let scratch = ScratchDirectory::new("aside");
    let mut directory = FileStorage::open(scratch.0.clone()).expect("the storage opens");
    directory.replace(b"torn").expect("the state file is written");
    let loaded = load(&mut directory, "gdynia", VOTER).expect("the state file is read");
    let LoadOutcome::SetAside(reason) = loaded else { panic!("not set aside: {loaded:?}") };
    assert_eq!(reason.file_suffix(), "torn");
    let files = scratch.files();
    assert!(files.iter().any(|name| name.starts_with("rulebook.torn-")), "{files:?}");
}

/// An old and a new version must not use one directory at the same time.
#[test]
fn a_lock_by_the_recorded_name_keeps_others_out() {
    let scratch = ScratchDirectory::new("lock");
    let path = scratch.0.join("rulebook.lock");
    let lock = fs::File::options().create(true).append(true).open(path).expect("the lock file opens");
    lock.try_lock().expect("the lock is free");
    let opened = FileStorage::open(scratch.0.clone());
    assert_eq!(opened.expect_err("the lock is held").kind(), std::io::ErrorKind::WouldBlock);
}
