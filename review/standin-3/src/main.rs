//! Stand-ins and clients for the scripts in `review/`: `review-standin-3 CASE FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. Without the
//! disruption if `TROUBLE` is 0 in the environment.

#![recursion_limit = "256"]

mod cases;
mod cloud;
mod http;
mod proxy;
mod rig;
mod runner;
mod store;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Time after which a case is given up.
const TIMEOUT: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = &args[..] else {
        eprintln!("usage: review-standin-3 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let root = std::env::current_dir().unwrap_or_else(|_| PathBuf::from("."));
    let record = Path::new(folder).join("record.txt");
    match cases::run(case, &root, &record, trouble, TIMEOUT) {
        Ok(broken) if broken.is_empty() => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            broken.iter().for_each(|line| println!("BROKEN: {line}"));
            ExitCode::from(1)
        }
        Err(e) => {
            eprintln!("the case couldn't run: {e}");
            ExitCode::from(2)
        }
    }
}
