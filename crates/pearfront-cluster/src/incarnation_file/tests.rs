use super::*;

#[test]
fn reads_what_was_written_and_refuses_a_broken_file() {
    let folder = std::env::temp_dir().join(format!("pearfront-folder-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    assert_eq!(read(&folder), Ok(0));
    write(&folder, 7).unwrap();
    assert_eq!(read(&folder), Ok(7));
    std::fs::write(path_in(&folder), "7x").unwrap();
    assert!(read(&folder).is_err_and(|problem| problem.ends_with("holds no number")));
    std::fs::remove_dir_all(&folder).unwrap();
}
