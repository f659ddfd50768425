//! Checking files by themselves, and comparing them with those in force.

use super::apply::{file_name, read};
use super::print;
use crate::app::Context;
use clap::ArgMatches;
use eyre::Result;
use serde::Serialize;
use waxwingstall::api::{ApiError, ErrorKind, FileView};
use waxwingstall::config::ConfigFile;
use waxwingstall::config::diff::Diff;
use waxwingstall::model::Config;

/// What a check found in files without faults.
#[derive(Serialize)]
struct Checked {
    files: usize,
    services: usize,
    requests: usize,
    batch: usize,
    pools: usize,
    teams: usize,
}

/// How a file differs from the one in force.
#[derive(Serialize)]
struct Difference {
    file: String,
    in_force: bool,
    diff: Diff,
}

/// Checks the files against themselves and each other.
pub fn check(cx: &mut Context<'_, '_>, args: &ArgMatches) -> Result<()> {
    let files = files(args)?;
    match waxwingstall::config::check(&files) {
        Ok(config) => {
            let checked = Checked::new(files.len(), &config);
            let text = vec![checked.text()];
            print(cx, &checked, text)
        }
        Err(faults) => {
            let message = format!("{} faults", faults.len());
            let details = faults.iter().map(ToString::to_string).collect();
            let error =
                ApiError::new(ErrorKind::Usage, message, "mend each of them and check again");
            Err(error.with_details(details).into())
        }
    }
}

/// Compares the files with those in force.
pub async fn diff(cx: &mut Context<'_, '_>, args: &ArgMatches) -> Result<()> {
    let files = files(args)?;
    let in_force = cx.client()?.config().await?;
    let compare = |file: ConfigFile| Difference::new(file, &in_force.files);
    let differences: Vec<_> = files.into_iter().map(compare).collect();
    let text = differences.iter().flat_map(Difference::text).collect();
    print(cx, &differences, text)
}

fn files(args: &ArgMatches) -> Result<Vec<ConfigFile>> {
    let paths = args.get_many::<String>("file").into_iter().flatten();
    paths.map(|path| Ok(ConfigFile::new(&file_name(path)?, &read(path)?))).collect()
}

impl Checked {
    fn new(files: usize, config: &Config) -> Self {
        Self {
            files,
            services: config.services.len(),
            requests: config.requests.len(),
            batch: config.batch.len(),
            pools: config.pools.len(),
            teams: config.teams.len(),
        }
    }

    fn text(&self) -> String {
        format!(
            "no faults in {} files: {} services, {} request classes, {} batch classes, {} pools, \
             {} teams",
            self.files, self.services, self.requests, self.batch, self.pools, self.teams
        )
    }
}

impl Difference {
    fn new(file: ConfigFile, in_force: &[FileView]) -> Self {
        let old = in_force.iter().find(|view| view.name == file.name);
        let diff = Diff::new(old.map_or("", |view| view.text.as_str()), &file.text);
        Self { file: file.name, in_force: old.is_some(), diff }
    }

    fn text(&self) -> Vec<String> {
        let name = &self.file;
        let head = match (self.in_force, self.diff.is_empty()) {
            (false, _) => format!("{name}: not in force yet"),
            (true, true) => format!("{name}: no difference"),
            (true, false) => format!("{name}:"),
        };
        let lines = self.diff.lines.iter().map(|line| format!("  {line}"));
        std::iter::once(head).chain(lines).collect()
    }
}
