//! The order in which files of one run are put in force.
//!
//! Each file is put in force by itself, and only if all files are without faults from then on. So
//! a file that names a pool has to come after the one that declares it, whatever the order on the
//! command line, which a shell's `*.toml` sorts by name.

use super::apply::Change;
use waxwingstall::api::FileView;
use waxwingstall::config::{ConfigFile, check};

/// Puts first what can be in force first, and leaves the rest as it was given.
pub fn order(mut rest: Vec<Change>, in_force: &[FileView]) -> Vec<Change> {
    let mut files: Vec<ConfigFile> =
        in_force.iter().map(|file| ConfigFile::new(&file.name, &file.text)).collect();
    let mut ordered = Vec::new();
    while let Some(next) = rest.iter().position(|change| check(&with(&files, change)).is_ok()) {
        let change = rest.remove(next);
        files = with(&files, &change);
        ordered.push(change);
    }
    ordered.append(&mut rest);
    ordered
}

/// The files once the change is in force.
fn with(files: &[ConfigFile], change: &Change) -> Vec<ConfigFile> {
    let others = files.iter().filter(|file| file.name != change.name).cloned();
    let new = change.text.as_ref().map(|text| ConfigFile::new(&change.name, text));
    others.chain(new).collect()
}
