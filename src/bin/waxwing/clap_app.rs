//! The command line.

use clap::{Arg, ArgAction, ArgGroup, Command, value_parser};
use clap_complete::Shell;
use waxwingstall::ids::TaskId;
use waxwingstall::job::JobId;

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  2  usage: the command line, a file or its content is wrong
  3  refused: understood and refused, such as by a quota
  4  conflict: another change came first
  5  unreachable: no daemon, or not the key-value service; surely without effect
  6  not found
  7  unknown: the change may or may not have taken effect

Examples:
  waxwing status --daemon 10.20.0.11:8080
  waxwing check shop.toml batch.toml && waxwing apply shop.toml batch.toml
  waxwing submit --class narration --key order-1187 --payload 'title=Umwana'
  waxwing explain task t3-1187
  WAXWING_DAEMONS=10.20.0.11:8080,10.20.0.12:8080 waxwing task list --state waiting";

/// The whole command line.
pub fn build_app() -> Command {
    Command::new("waxwing")
        .version(clap::crate_version!())
        .about("Applies configuration to waxwingstall and asks it about its decisions")
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("daemon")
                .long("daemon")
                .value_name("ADDR")
                .help("Front address of a daemon, ip:port; several are tried in turn")
                .long_help(
                    "Front address of a daemon, ip:port. Several, separated by commas or by \
                     repeating the option, are tried in turn. Default: $WAXWING_DAEMONS.",
                )
                .action(ArgAction::Append)
                .value_delimiter(',')
                .global(true),
        )
        .arg(
            Arg::new("output")
                .long("output")
                .value_name("FORMAT")
                .help("Form of what is printed")
                .value_parser(["text", "json"])
                .default_value("text")
                .global(true),
        )
        .subcommand(status())
        .subcommand(check())
        .subcommand(diff())
        .subcommand(apply())
        .subcommand(show())
        .subcommand(audit())
        .subcommand(submit())
        .subcommand(task())
        .subcommand(vm())
        .subcommand(explain())
        .subcommand(trace())
        .subcommand(completions())
}

fn status() -> Command {
    Command::new("status")
        .about("Shows how a daemon and what it sees are doing")
        .after_help("Example:\n  waxwing status")
}

fn check() -> Command {
    Command::new("check")
        .about("Checks files against themselves and each other, without a daemon")
        .arg(files("Configuration files, all that belong together"))
        .after_help("Example:\n  waxwing check shop.toml batch.toml pools.toml")
}

fn diff() -> Command {
    Command::new("diff")
        .about("Shows how files differ from those in force")
        .arg(files("Configuration files"))
        .after_help("Example:\n  waxwing diff shop.toml")
}

fn apply() -> Command {
    Command::new("apply")
        .about("Puts files in force, each as a whole or not at all")
        .long_about(
            "Puts files in force, each as a whole or not at all. A file that needs another one of \
             the same run goes after it; otherwise the order is the one given, and the first \
             failure ends the run. A file is known by its name without the folder.",
        )
        .arg(files("Configuration files").required(false))
        .arg(
            Arg::new("confirm")
                .long("confirm")
                .value_name("ID")
                .help("Ask how the change with this id ended, instead of making one"),
        )
        .arg(
            Arg::new("base")
                .long("base")
                .value_name("REV")
                .help("Refuse if a revision after this one is in force")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("remove")
                .long("remove")
                .help("Take the files out of force; only their names are used")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("operator")
                .long("operator")
                .value_name("NAME")
                .help("Name in the audit trail; default: $USER"),
        )
        .group(ArgGroup::new("what").args(["file", "confirm"]).required(true))
        .after_help(
            "Examples:\n  waxwing apply shop.toml\n  waxwing apply --base 41 shop.toml\n  \
             waxwing apply --confirm anna-1796242500250-7c1e",
        )
}

fn show() -> Command {
    Command::new("show")
        .about("Shows the files in force")
        .arg(Arg::new("file").value_name("NAME").help("Only this file's text"))
        .after_help("Examples:\n  waxwing show\n  waxwing show shop.toml > shop.toml")
}

fn audit() -> Command {
    Command::new("audit")
        .about("Shows changes of the configuration, newest first")
        .arg(
            Arg::new("before")
                .long("before")
                .value_name("N")
                .help("Only entries before this one, as the last page said")
                .value_parser(value_parser!(u64)),
        )
        .arg(limit())
        .after_help("Example:\n  waxwing audit --limit 20")
}

fn submit() -> Command {
    Command::new("submit")
        .about("Submits a task")
        .arg(required("class", "CLASS", "Batch class"))
        .arg(
            required("key", "KEY", "Idempotency key")
                .long_help("Idempotency key: submitting again with the same key gives the same task"),
        )
        .arg(Arg::new("team").long("team").value_name("TEAM").help("Team, if not the class's"))
        .arg(
            Arg::new("payload")
                .long("payload")
                .value_name("TEXT")
                .help("Passed to the worker unread"),
        )
        .arg(
            Arg::new("urgent")
                .long("urgent")
                .help("Start within seconds, evicting others if need be")
                .action(ArgAction::SetTrue),
        )
        .after_help("Example:\n  waxwing submit --class narration --key order-1187 --payload 'title=Umwana'")
}

fn task() -> Command {
    let list = Command::new("list")
        .about("Lists tasks")
        .arg(
            Arg::new("state")
                .long("state")
                .value_name("STATE")
                .help("Only tasks in this state")
                .value_parser(["waiting", "bound", "ended"]),
        )
        .arg(Arg::new("class").long("class").value_name("CLASS").help("Only tasks of this class"))
        .arg(limit())
        .after_help("Example:\n  waxwing task list --state waiting --class narration");
    Command::new("task")
        .about("Lists, shows and cancels tasks")
        .subcommand_required(true)
        .subcommand(list)
        .subcommand(
            Command::new("show")
                .about("Shows a task and what it waits for")
                .arg(task_id())
                .after_help("Example:\n  waxwing task show t3-1187"),
        )
        .subcommand(
            Command::new("cancel")
                .about("Ends tasks; one that has ended already keeps its outcome")
                .arg(task_id().num_args(1..))
                .after_help("Example:\n  waxwing task cancel t3-1187 t3-1188"),
        )
}

fn vm() -> Command {
    Command::new("vm")
        .about("Lists and shows VMs")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("Lists VMs, their holders and their room"))
        .subcommand(
            Command::new("show")
                .about("Shows a VM, its lease and its tasks")
                .arg(positional("vm", "VM", "Name of the VM"))
                .after_help("Example:\n  waxwing vm show worker-17"),
        )
}

fn explain() -> Command {
    Command::new("explain")
        .about("Tells why something was decided as it was")
        .subcommand_required(true)
        .subcommand(Command::new("task").about("Where a task went and why").arg(task_id()))
        .subcommand(Command::new("request").about("What became of a request").arg(positional(
            "request",
            "ID",
            "Id in the request's header",
        )))
        .subcommand(Command::new("vm").about("What was decided about a VM").arg(positional(
            "vm",
            "VM",
            "Name of the VM",
        )))
        .after_help("Examples:\n  waxwing explain task t3-1187\n  waxwing explain vm worker-17")
}

fn trace() -> Command {
    Command::new("trace")
        .about("Tells a job's story from the logs of daemons, which may be gone")
        .long_about(
            "Tells a job's story from the logs of daemons, which may be gone: its lines and those on \
             the VMs that it ran on, in order of time. Daemons whose clocks are behind are shifted, \
             and what the logs don't tell is said.",
        )
        .arg(positional("job", "ID", "The job").value_parser(value_parser!(JobId)))
        .arg(
            Arg::new("log")
                .value_name("FILE")
                .help("Logs, one a daemon; without any, or for `-`, the standard input")
                .num_args(0..),
        )
        .after_help("Example:\n  waxwing trace 5c0e7a21d94b36f8 logs/*.log")
}

fn completions() -> Command {
    Command::new("completions")
        .about("Prints completions for a shell")
        .arg(positional("shell", "SHELL", "The shell").value_parser(value_parser!(Shell)))
        .after_help("Example:\n  waxwing completions bash > /etc/bash_completion.d/waxwing")
}

fn files(help: &'static str) -> Arg {
    Arg::new("file").value_name("FILE").help(help).num_args(1..).required(true)
}

fn limit() -> Arg {
    Arg::new("limit")
        .long("limit")
        .value_name("N")
        .help("At most so many")
        .value_parser(value_parser!(u32).range(1..))
}

fn task_id() -> Arg {
    positional("task", "ID", "Task id, as printed at submission")
        .value_parser(|text: &str| text.parse::<TaskId>())
}

fn positional(id: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(id).value_name(value).help(help).required(true)
}

fn required(id: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(id).long(id).value_name(value).help(help).required(true)
}
