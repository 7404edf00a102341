use super::*;

#[test]
fn a_folder_keeps_what_it_was_given_and_belongs_to_one_process() {
    let path = std::env::temp_dir().join(format!("pinetrail-policy-consensus-{}", std::process::id()));
    let mut folder = FileStorage::take(path.clone()).unwrap();
    assert_eq!(folder.read().unwrap(), None);
    folder.replace(b"one").unwrap();
    folder.replace(b"two").unwrap();
    assert_eq!(FileStorage::take(path.clone()).unwrap_err().kind(), ErrorKind::WouldBlock);
    drop(folder);
    let mut folder = FileStorage::take(path.clone()).unwrap();
    assert_eq!(folder.read().unwrap().as_deref(), Some(&b"two"[..]));
    folder.set_aside("torn").unwrap();
    assert_eq!(folder.read().unwrap(), None);
    assert!(fs::read_dir(&path)
        .unwrap()
        .any(|file| { file.unwrap().file_name().to_string_lossy().starts_with("rulebook.torn-") }));
    fs::remove_dir_all(path).unwrap();
}
