//! Files with faults, from a table: every fault is reported at once, with file and line.

use serde::Deserialize;
use std::path::Path;
use waxwingstall::config::{ConfigFile, check};

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    /// What the case shows, for those who read the table.
    #[serde(rename = "about")]
    _about: String,
    file: Vec<File>,
    #[serde(default)]
    fault: Vec<Expected>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    name: String,
    text: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Expected {
    file: String,
    line: usize,
    /// Part of the message.
    message: String,
    /// Part of the remedy.
    remedy: String,
}

fn faults(path: &Path) -> datatest_stable::Result<()> {
    let case: Case = toml::from_str(&std::fs::read_to_string(path)?)?;
    let files: Vec<ConfigFile> =
        case.file.iter().map(|file| ConfigFile::new(&file.name, &file.text)).collect();
    let found = check(&files).err().unwrap_or_default();
    let shown: Vec<String> = found.iter().map(ToString::to_string).collect();
    assert_eq!(found.len(), case.fault.len(), "{shown:#?}");
    for (fault, expected) in found.iter().zip(&case.fault) {
        assert_eq!((&fault.file, fault.line), (&expected.file, expected.line), "{fault}");
        assert!(fault.message.contains(&expected.message), "{fault}, not {expected:?}");
        assert!(fault.remedy.contains(&expected.remedy), "{fault}, not {expected:?}");
    }
    let mut reversed = files;
    reversed.reverse();
    assert_eq!(check(&reversed).err().unwrap_or_default(), found, "the order of files matters");
    Ok(())
}

datatest_stable::harness! {
    { test = faults, root = "tests/tables/config/faults", pattern = r".*\.toml$" },
}
