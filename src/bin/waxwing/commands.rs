//! What each command does.

mod apply;
mod local;
mod order;
mod trace;

use crate::app::{Context, Format};
use crate::clap_app::build_app;
use crate::output::{self, Text};
use crate::status_page;
use clap::ArgMatches;
use clap_complete::{Shell, generate};
use eyre::{Result, bail, eyre};
use serde::Serialize;
use waxwingstall::api::{AuditQuery, SubmitPriority, SubmitReq, TaskPhase, TaskQuery};
use waxwingstall::client::ExplainSubject;
use waxwingstall::ids::{ClassName, IdempotencyKey, RequestId, TaskId, TeamName, VmId};

/// Carries out the command that the command line names.
pub async fn run(cx: &mut Context<'_, '_>, matches: &ArgMatches) -> Result<()> {
    let (name, args) = subcommand(matches)?;
    match name {
        "status" => status(cx).await,
        "check" => local::check(cx, args),
        "diff" => local::diff(cx, args).await,
        "apply" => apply::run(cx, args).await,
        "show" => show(cx, args).await,
        "audit" => audit(cx, args).await,
        "submit" => submit(cx, args).await,
        "task" => task(cx, args).await,
        "vm" => vm(cx, args).await,
        "explain" => explain(cx, args).await,
        "trace" => trace::run(cx, args),
        "completions" => completions(cx, args),
        other => bail!("no command `{other}`"),
    }
}

async fn status(cx: &mut Context<'_, '_>) -> Result<()> {
    let status = cx.client()?.status().await?;
    print(cx, &status, status_page::lines(&status))
}

async fn show(cx: &mut Context<'_, '_>, args: &ArgMatches) -> Result<()> {
    let mut view = cx.client()?.config().await?;
    let Some(name) = args.get_one::<String>("file") else {
        let text = view.text();
        return print(cx, &view, text);
    };
    view.files.retain(|file| file.name == *name);
    let Some(file) = view.files.first() else {
        return Err(output::not_found(&format!("file `{name}`")).into());
    };
    match cx.format {
        Format::Json => output::json(cx.io.out, file),
        // The text as it is, so that it can be redirected into a file.
        Format::Text => Ok(cx.io.out.write_all(file.text.as_bytes())?),
    }
}

async fn audit(cx: &mut Context<'_, '_>, args: &ArgMatches) -> Result<()> {
    let query = AuditQuery {
        before: args.get_one("before").copied(),
        limit: args.get_one("limit").copied(),
    };
    let page = cx.client()?.audit(&query).await?;
    let text = page.text();
    print(cx, &page, text)
}

async fn submit(cx: &mut Context<'_, '_>, args: &ArgMatches) -> Result<()> {
    let priority =
        if args.get_flag("urgent") { SubmitPriority::Urgent } else { SubmitPriority::AsClass };
    let req = SubmitReq {
        class: ClassName::new(given(args, "class")?),
        key: IdempotencyKey::new(given(args, "key")?),
        team: args.get_one::<String>("team").map(|team| TeamName::new(team)),
        payload: args.get_one::<String>("payload").cloned().unwrap_or_default(),
        priority,
    };
    let reply = cx.client()?.submit(&req).await?;
    let text = reply.text();
    print(cx, &reply, text)
}

async fn task(cx: &mut Context<'_, '_>, matches: &ArgMatches) -> Result<()> {
    let (name, args) = subcommand(matches)?;
    match name {
        "list" => {
            let query = TaskQuery {
                state: args.get_one::<String>("state").and_then(|state| phase(state)),
                class: args.get_one::<String>("class").map(|class| ClassName::new(class)),
                limit: args.get_one("limit").copied(),
            };
            let list = cx.client()?.tasks(&query).await?;
            let text = list.text();
            print(cx, &list, text)
        }
        "show" => {
            let view = cx.client()?.task(task_id(args)?).await?;
            let text = view.text();
            print(cx, &view, text)
        }
        _ => cancel(cx, args).await,
    }
}

async fn cancel(cx: &mut Context<'_, '_>, args: &ArgMatches) -> Result<()> {
    let client = cx.client()?;
    let mut replies = Vec::new();
    for task in args.get_many::<TaskId>("task").into_iter().flatten() {
        match client.cancel(*task).await {
            Ok(reply) => replies.push(reply),
            Err(mut error) => {
                error.message = format!("{task}: {}", error.message);
                let asked = replies.iter().map(|reply| format!("{} was cancelled", reply.task.id));
                error.details.extend(asked);
                return Err(error.into());
            }
        }
    }
    let text = replies.iter().flat_map(Text::text).collect();
    print(cx, &replies, text)
}

async fn vm(cx: &mut Context<'_, '_>, matches: &ArgMatches) -> Result<()> {
    let (name, args) = subcommand(matches)?;
    if name == "list" {
        let vms = cx.client()?.vms().await?;
        return print(cx, &vms, output::vm_table(&vms));
    }
    let detail = cx.client()?.vm(&VmId::new(given(args, "vm")?)).await?;
    let text = detail.text();
    print(cx, &detail, text)
}

async fn explain(cx: &mut Context<'_, '_>, matches: &ArgMatches) -> Result<()> {
    let (name, args) = subcommand(matches)?;
    let subject = match name {
        "task" => ExplainSubject::Task(task_id(args)?),
        "request" => ExplainSubject::Request(RequestId::new(given(args, "request")?)),
        _ => ExplainSubject::Vm(VmId::new(given(args, "vm")?)),
    };
    let explanation = cx.client()?.explain(&subject).await?;
    let text = explanation.text();
    print(cx, &explanation, text)
}

fn completions(cx: &mut Context<'_, '_>, args: &ArgMatches) -> Result<()> {
    let shell = *args.get_one::<Shell>("shell").ok_or_else(|| eyre!("no shell was given"))?;
    let mut buf = Vec::new();
    generate(shell, &mut build_app(), "waxwing", &mut buf);
    Ok(cx.io.out.write_all(&buf)?)
}

/// Prints in the form that was asked for.
fn print(cx: &mut Context<'_, '_>, value: &impl Serialize, text: Vec<String>) -> Result<()> {
    match cx.format {
        Format::Json => output::json(cx.io.out, value),
        Format::Text => {
            for line in text {
                writeln!(cx.io.out, "{line}")?;
            }
            Ok(())
        }
    }
}

fn subcommand(matches: &ArgMatches) -> Result<(&str, &ArgMatches)> {
    matches.subcommand().ok_or_else(|| eyre!("no command was given"))
}

fn given<'a>(args: &'a ArgMatches, id: &str) -> Result<&'a str> {
    let value = args.get_one::<String>(id).map(String::as_str);
    value.ok_or_else(|| eyre!("no {id} was given"))
}

fn task_id(args: &ArgMatches) -> Result<TaskId> {
    args.get_one::<TaskId>("task").copied().ok_or_else(|| eyre!("no task was given"))
}

fn phase(name: &str) -> Option<TaskPhase> {
    match name {
        "waiting" => Some(TaskPhase::Waiting),
        "bound" => Some(TaskPhase::Bound),
        "ended" => Some(TaskPhase::Ended),
        _ => None,
    }
}
