//! Tables of faulty settings: every fault is told at once, each with its line, key and remedy.

use serde::Deserialize;
use std::path::Path;
use waxwingstall::settings::Settings;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Table {
    case: Vec<Case>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    name: String,
    /// Settings that have no faults but those in `text`.
    #[serde(default)]
    above: String,
    text: String,
    /// Lines and parts of each fault, in order; none where the settings are sound.
    faults: Vec<Expected>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Expected {
    line: usize,
    says: String,
    remedy: String,
}

fn run_case(case: &Case) {
    let text = format!("{}{}", case.above, case.text);
    let name = &case.name;
    let faults = match Settings::parse("waxwingd.toml", &text) {
        Ok(_) => Vec::new(),
        Err(faults) => faults,
    };
    assert_eq!(faults.len(), case.faults.len(), "{name}: {faults:#?}");
    for (fault, expected) in faults.iter().zip(&case.faults) {
        assert_eq!(fault.line, expected.line, "{name}: {fault}");
        assert!(fault.message.contains(&expected.says), "{name}: {fault}");
        assert!(fault.remedy.contains(&expected.remedy), "{name}: {fault}");
        let shown = format!("waxwingd.toml:{}: ", expected.line);
        assert!(fault.to_string().starts_with(&shown), "{name}: {fault}");
    }
}

fn run_table(path: &Path) -> datatest_stable::Result<()> {
    let table: Table = toml::from_str(&std::fs::read_to_string(path)?)?;
    table.case.iter().for_each(run_case);
    println!("{} cases of {}", table.case.len(), path.display());
    Ok(())
}

datatest_stable::harness! {
    { test = run_table, root = "tests/tables/settings", pattern = r".*\.toml$" },
}
