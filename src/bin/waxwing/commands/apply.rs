//! Putting files in force, and learning how a change ended.

use super::order::order;
use super::print;
use crate::app::Context;
use crate::output::Text;
use clap::ArgMatches;
use eyre::{Result, WrapErr, bail, eyre};
use rand::Rng;
use std::path::Path;
use std::time::SystemTime;
use waxwingstall::api::{ApiError, ApplyReply, ApplyReq, ConfirmReq, ErrorKind};
use waxwingstall::client::Client;
use waxwingstall::ids::Revision;

/// A file on the command line.
pub(super) struct Change {
    pub(super) name: String,
    /// Its new text; `None` takes it out of force.
    pub(super) text: Option<String>,
}

/// Applies the files, or confirms a change.
pub async fn run(cx: &mut Context<'_, '_>, args: &ArgMatches) -> Result<()> {
    if let Some(id) = args.get_one::<String>("confirm") {
        let req = ConfirmReq { operator: operator(cx, args)?, change_id: id.clone() };
        let reply = cx.client()?.confirm(&req).await?;
        let text = reply.text();
        return print(cx, &reply, text);
    }
    let operator = operator(cx, args)?;
    // All files are read before the first is sent: a name with a typing error must not leave
    // half of a run in force.
    let mut changes = changes(args)?;
    let client = cx.client()?;
    if changes.len() > 1 {
        changes = order(changes, &client.config().await?.files);
    }
    let base = args.get_one::<u64>("base").copied().map(Revision);
    let replies = apply_all(cx, &client, &operator, &changes, base).await?;
    let text = replies.iter().flat_map(Text::text).collect();
    print(cx, &replies, text)
}

async fn apply_all(
    cx: &mut Context<'_, '_>,
    client: &Client,
    operator: &str,
    changes: &[Change],
    mut base: Option<Revision>,
) -> Result<Vec<ApplyReply>> {
    let mut replies: Vec<ApplyReply> = Vec::new();
    for (n, change) in changes.iter().enumerate() {
        let change_id = change_id(cx, operator);
        // Told before it is sent, so that it can be confirmed even if this tool is killed.
        writeln!(cx.io.err, "applying {} as change {change_id}", change.name)?;
        let req = ApplyReq {
            operator: operator.to_owned(),
            change_id: change_id.clone(),
            file: change.name.clone(),
            text: change.text.clone(),
            base,
        };
        match client.apply(&req).await {
            Ok(reply) => {
                base = base.map(|_| reply.revision);
                replies.push(reply);
            }
            Err(error) => {
                return Err(failed(error, &change_id, &changes[..n], &changes[n..]).into());
            }
        }
    }
    Ok(replies)
}

/// Says which files of the run are in force and which are not.
fn failed(mut error: ApiError, change_id: &str, done: &[Change], rest: &[Change]) -> ApiError {
    if let Some((this, after)) = rest.split_first() {
        error.message = format!("{}: {}", this.name, error.message);
        error.details.extend(done.iter().map(|change| format!("{} is in force", change.name)));
        error.details.extend(after.iter().map(|change| format!("{} was not sent", change.name)));
    }
    if error.kind == ErrorKind::Unknown {
        error.remedy = format!("run `waxwing apply --confirm {change_id}`");
    }
    error
}

fn changes(args: &ArgMatches) -> Result<Vec<Change>> {
    let remove = args.get_flag("remove");
    let files = args.get_many::<String>("file").into_iter().flatten();
    files.map(|file| change(file, remove)).collect()
}

fn change(file: &str, remove: bool) -> Result<Change> {
    let name = file_name(file)?;
    let text = if remove { None } else { Some(read(file)?) };
    Ok(Change { name, text })
}

/// The file's name without its folder, by which it is kept.
pub(super) fn file_name(file: &str) -> Result<String> {
    let name = Path::new(file).file_name().and_then(|name| name.to_str());
    Ok(name.ok_or_else(|| eyre!("`{file}` is not the name of a file"))?.to_owned())
}

/// The file's text.
pub(super) fn read(file: &str) -> Result<String> {
    std::fs::read_to_string(file).wrap_err_with(|| format!("can't read `{file}`"))
}

fn operator(cx: &Context<'_, '_>, args: &ArgMatches) -> Result<String> {
    let given = args.get_one::<String>("operator").or(cx.env.user.as_ref());
    match given {
        Some(name) if !name.is_empty() => Ok(name.clone()),
        _ => bail!("no operator's name for the audit trail; give --operator NAME"),
    }
}

fn change_id(cx: &Context<'_, '_>, operator: &str) -> String {
    let since_epoch = cx.env.clock.wall().duration_since(SystemTime::UNIX_EPOCH);
    let millis = since_epoch.unwrap_or_default().as_millis();
    let nonce: u32 = rand::rng().random();
    let operator: String = operator.chars().filter(char::is_ascii_alphanumeric).collect();
    format!("{operator}-{millis}-{nonce:08x}")
}
