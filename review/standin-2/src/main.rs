//! Scripts of the second review. Each starts the programs of the deploy file on stand-ins.

#![recursion_limit = "512"]

mod cases;
mod http;
mod rig;
mod runner;
mod soak;
mod store;

use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let (Some(name), Some(dir)) = (args.get(1), args.get(2)) else {
        eprintln!("use review-case-2 NAME FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    // A panic means that the case couldn't run.
    let result = std::panic::catch_unwind(|| cases::run(name, Path::new(dir), trouble));
    match result {
        Ok(Some(true)) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Some(false)) => {
            println!("THE RULE WAS BROKEN");
            ExitCode::from(1)
        }
        Ok(None) | Err(_) => {
            println!("the case couldn't run");
            ExitCode::from(2)
        }
    }
}
