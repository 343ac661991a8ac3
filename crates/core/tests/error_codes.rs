//! Checks that docs/codes.md lists exactly the declared result codes.
use quincehatch_core::ErrorCode;

#[test]
fn documented_codes_equal_the_declared_codes() {
    let document = include_str!("../../../docs/codes.md");
    for code in ErrorCode::ALL {
        let row = format!("| {} | {} | {} |", code.number(), code.http_status(), code.description());
        assert!(document.contains(&row), "docs/codes.md lacks the row: {row}");
    }
    assert_eq!(document.lines().filter(|line| line.starts_with("| 1")).count(), ErrorCode::ALL.len());
}
