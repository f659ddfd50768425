//! The page that an operator reads first: what is wrong on top, the rest below.

use crate::tables::Table;
use waxwingstall::api::{ConfigStatus, DaemonState, ShardStatus, Status};
use waxwingstall::peer::MemberState;

/// The status as text.
pub fn lines(status: &Status) -> Vec<String> {
    let mut lines = vec![format!(
        "{} in {}: {}, configuration {}",
        status.daemon,
        status.domain,
        state(status.state),
        status.revision
    )];
    let faults = faults(status);
    lines.push(match faults.len() {
        0 => "all well".to_owned(),
        1 => "1 thing needs a look:".to_owned(),
        n => format!("{n} things need a look:"),
    });
    lines.extend(faults.iter().map(|fault| format!("  ! {fault}")));
    lines.push(String::new());
    lines.push(store_line(status));
    lines.push(format!(
        "VMs held: {}, leases near their end: {}",
        status.vms_held, status.leases_near_lapse
    ));
    lines.push(counts("queued", status.queued.iter()));
    lines.push(counts("refused since the start", status.refusals.iter()));
    if !status.partitions.is_empty() {
        section(&mut lines, &partitions(status));
    }
    if !status.shards.is_empty() {
        section(&mut lines, &shards(status));
    }
    section(&mut lines, &members(status));
    lines
}

fn faults(status: &Status) -> Vec<String> {
    let mut faults = Vec::new();
    if status.state != DaemonState::Serving {
        faults.push(format!("this daemon is {}; it takes no new work", state(status.state)));
    }
    if !status.store.reachable {
        faults.push(format!(
            "the key-value service does not answer, for {}; bound work goes on, new tasks and \
             changes are refused",
            age(status.store.since_ms)
        ));
    }
    faults.extend(status.configuration.as_ref().and_then(config_fault));
    if status.leases_near_lapse > 0 {
        let n = status.leases_near_lapse;
        faults.push(format!("{n} control leases are near their end; are their VMs up?"));
    }
    for partition in status.partitions.iter().filter(|partition| partition.writer.is_none()) {
        let id = partition.partition;
        faults.push(format!("partition {id} has no known writer; its waiting tasks stand still"));
    }
    for ShardStatus { shard, .. } in status.shards.iter().filter(|shard| shard.owner.is_none()) {
        faults.push(format!("shard {shard} has no known owner; its jobs stand still"));
    }
    for member in &status.members {
        if member.revision < status.revision {
            let (daemon, revision) = (&member.daemon, member.revision);
            faults.push(format!("{daemon} is at configuration {revision}, behind this daemon"));
        }
    }
    if status.members.iter().any(|member| member.revision > status.revision) {
        faults.push("this daemon is behind the configuration of others".to_owned());
    }
    faults
}

fn config_fault(config: &ConfigStatus) -> Option<String> {
    let reason = config.fault.as_ref().map(|fault| format!(" ({fault})")).unwrap_or_default();
    let unconfirmed = age(config.unconfirmed_ms);
    if config.calls_refused {
        return Some(format!(
            "the configuration is unconfirmed for {unconfirmed}{reason}; calls are turned away"
        ));
    }
    let fault = config.fault.as_ref()?;
    Some(format!("the configuration can't be read, for {unconfirmed} ({fault})"))
}

fn store_line(status: &Status) -> String {
    let word = if status.store.reachable { "answers" } else { "DOES NOT ANSWER" };
    format!("key-value service {word}, for {}", age(status.store.since_ms))
}

fn counts<'a, K, N>(title: &str, counts: impl Iterator<Item = (&'a K, &'a N)>) -> String
where
    K: ToString + 'a,
    N: ToString + 'a,
{
    let counts: Vec<_> = counts
        .filter(|(_, n)| n.to_string() != "0")
        .map(|(name, n)| format!("{} {}", n.to_string(), name.to_string()))
        .collect();
    if counts.is_empty() {
        format!("{title}: none")
    } else {
        format!("{title}: {}", counts.join(", "))
    }
}

fn partitions(status: &Status) -> Table {
    let mut table = Table::new(&["PARTITION", "WRITER", "TASKS", "WAITING"]);
    let count = |n: Option<u32>| n.map_or_else(|| "-".to_owned(), |n| n.to_string());
    for partition in &status.partitions {
        let writer =
            partition.writer.as_ref().map_or_else(|| "none".to_owned(), ToString::to_string);
        table.push([
            partition.partition.to_string(),
            writer,
            count(partition.tasks),
            count(partition.waiting_tasks),
        ]);
    }
    table
}

fn shards(status: &Status) -> Table {
    let mut table = Table::new(&["SHARD", "OWNER"]);
    for ShardStatus { shard, owner } in &status.shards {
        let owner = owner.as_ref().map_or_else(|| "none".to_owned(), ToString::to_string);
        table.push([shard.clone(), owner]);
    }
    table
}

fn members(status: &Status) -> Table {
    let mut table = Table::new(&["DAEMON", "DOMAIN", "STATE", "CONFIGURATION"]);
    for member in &status.members {
        let state = match member.state {
            MemberState::Serving => "serving",
            MemberState::Draining => "draining",
        };
        table.push([
            member.daemon.to_string(),
            member.domain.to_string(),
            state.to_owned(),
            member.revision.to_string(),
        ]);
    }
    table
}

fn section(lines: &mut Vec<String>, table: &Table) {
    lines.push(String::new());
    lines.extend(table.lines());
}

fn state(state: DaemonState) -> &'static str {
    match state {
        DaemonState::Starting => "starting",
        DaemonState::Serving => "serving",
        DaemonState::Draining => "draining",
    }
}

/// A time in the unit that tells it best.
pub fn age(millis: u64) -> String {
    match millis {
        0..1_000 => format!("{millis} ms"),
        1_000..120_000 => format!("{} s", millis / 1_000),
        120_000..7_200_000 => format!("{} min", millis / 60_000),
        _ => format!("{} h", millis / 3_600_000),
    }
}
