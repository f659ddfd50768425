//! Charts that the loader must refuse, each with the line and the remedy that it names.

use serde::Deserialize;
use std::fs;
use std::path::Path;
use waxwingstall::chart::Chart;

/// A faulty chart and the refusal that it gets.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    chart: String,
    refusal: String,
}

fn the_loader_refuses(path: &Path) -> datatest_stable::Result<()> {
    let case: Case = toml::from_str(&fs::read_to_string(path)?)?;
    let refusal = Chart::parse(&case.chart).err().map(|e| e.to_string());
    assert_eq!(refusal.as_deref(), Some(case.refusal.as_str()));
    Ok(())
}

datatest_stable::harness! {
    { test = the_loader_refuses, root = "tests/tables/charts", pattern = r".*\.toml$" },
}
