//! The table of log lines in the documentation, against the code.

use waxwingstall::note::{EventKind, Note};

const PAGE: &str = include_str!("../docs/LOGS.md");

fn row(kind: &EventKind) -> String {
    let weight = format!("{:?}", kind.weight).to_lowercase();
    let keys = kind.keys.join(" ");
    format!("| `{}` | {weight} | `{keys}` | {} |", kind.event, kind.meaning.trim())
}

// An on-call engineer looks an event up that a daemon wrote, and finds no row, or keys that the line
// doesn't have: someone changed the vocabulary in the code and not the page. The page has just the rows
// that follow from the code, in its order.
#[test]
fn each_log_line_has_its_row_and_each_row_its_line() {
    let expected: Vec<String> = Note::KINDS.iter().map(row).collect();
    let found: Vec<&str> = PAGE.lines().filter(|line| line.starts_with("| `")).collect();
    for (expected, found) in expected.iter().zip(&found) {
        assert_eq!(expected, found, "a row of docs/LOGS.md");
    }
    let page = expected.join("\n");
    assert_eq!(found.len(), expected.len(), "docs/LOGS.md should have these rows:\n{page}");
}
