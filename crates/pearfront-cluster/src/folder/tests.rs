use super::*;

#[test]
fn what_was_written_is_read_and_a_broken_file_is_no_empty_one() {
    let folder = std::env::temp_dir().join(format!("pearfront-folder-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    assert_eq!(read(&folder), Ok(0));
    write(&folder, 7).unwrap();
    assert_eq!(read(&folder), Ok(7));
    std::fs::write(file(&folder), "7x").unwrap();
    assert!(read(&folder).is_err_and(|problem| problem.ends_with("holds no number")));
    std::fs::remove_dir_all(&folder).unwrap();
}
