//! Applying a change, with every trouble at every call, alone and in pairs.
//!
//! Whatever happens, the operator is told the truth: "applied" is in force, "refused" is not and
//! never will be, and "unknown" is settled by asking again. No change takes effect twice, and no
//! reader sees half of one.

#[path = "config_support/changes.rs"]
mod changes;
#[path = "config_support/effects.rs"]
mod effects;
#[path = "config_support/troubled.rs"]
mod troubled;

use changes::{now, request, weights};
use effects::effects;
use futures::FutureExt;
use serde::Deserialize;
use std::path::Path;
use troubled::{Strike, TROUBLES, Troubled};
use waxwingstall::clock::ManualClock;
use waxwingstall::config::apply::{
    Action, Applied, ChangeRequest, Confirmation, Effect, Error, Result, apply, confirm,
};
use waxwingstall::ids::{OperatorName, Revision};
use waxwingstall::store::memory::{MemoryStore, Outage};

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    /// What the case shows, for those who read the table.
    #[serde(rename = "about")]
    _about: String,
    /// Changes of `weights.toml` that were applied before.
    earlier: u64,
    change: Change,
    /// What another operator applies while the change is under way.
    rival: Change,
    /// How the change ends without trouble.
    verdict: Verdict,
    /// Most calls that the change makes without trouble.
    max_calls: usize,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Change {
    file: String,
    /// The file is removed where there is no text.
    text: Option<String>,
    base: Option<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Verdict {
    Changed,
    Unchanged,
    Invalid,
    Conflict,
    Unavailable,
    Unknown,
}

impl Change {
    fn request(&self, operator: &str) -> ChangeRequest {
        let action = match &self.text {
            Some(text) => Action::Replace { text: text.clone() },
            None => Action::Remove,
        };
        let base = self.base.map(Revision);
        ChangeRequest { base, ..request(operator, operator, &self.file, action) }
    }
}

fn verdict(result: &Result<Applied>) -> Verdict {
    match result {
        Ok(Applied { effect: Effect::Changed, .. }) => Verdict::Changed,
        Ok(Applied { effect: Effect::Unchanged, .. }) => Verdict::Unchanged,
        Err(Error::Invalid(_)) => Verdict::Invalid,
        Err(Error::Conflict(_)) => Verdict::Conflict,
        Err(Error::Unavailable { .. }) => Verdict::Unavailable,
        Err(Error::Unknown { .. }) => Verdict::Unknown,
    }
}

fn store_after(earlier: u64) -> MemoryStore {
    let store = MemoryStore::new();
    for number in 0..earlier {
        let text = weights(number + 1);
        let name = format!("earlier-{number}");
        let req = request("earlier", &name, "weights.toml", Action::Replace { text });
        now(apply(&store, &ManualClock::new(), &req)).expect("an earlier change");
    }
    store
}

struct Trial<'a> {
    case: &'a Case,
    earlier: MemoryStore,
    req: ChangeRequest,
    rival: ChangeRequest,
}

impl Trial<'_> {
    /// Runs the change with the strikes; `false` if it ends before the last of them.
    fn run(&self, strikes: &[Strike]) -> bool {
        let store = self.earlier.fork();
        let troubled = Troubled::new(&store, &self.rival, strikes);
        let result = apply(&troubled, &ManualClock::new(), &self.req).now_or_never();
        store.set_outage(Outage::Up);
        let told = result.as_ref().map(verdict);
        let early = effects(&store, &self.req.change);
        let settled = match told {
            Some(Verdict::Changed) => Some(1),
            Some(Verdict::Unknown) | None => None,
            Some(_) => Some(0),
        };
        if let Some(settled) = settled {
            assert_eq!(early, settled, "{strikes:?}: {result:?}");
        }
        if strikes.is_empty() {
            assert_eq!(told, Some(self.case.verdict), "{result:?}");
        }
        self.check_rival(&troubled, result.as_ref());
        self.settle(&troubled, settled, strikes);
        troubled.reached()
    }

    /// Asking afterwards agrees with what was told, and nothing changes any more.
    fn settle(&self, troubled: &Troubled<'_>, told: Option<usize>, strikes: &[Strike]) {
        let store = &troubled.inner;
        let operator = OperatorName::new("confirmer");
        let answer = now(confirm(store, &ManualClock::new(), &self.req.change, &operator));
        let confirmed = match answer {
            Ok(Confirmation::Applied(_)) => 1,
            Ok(Confirmation::NotApplied { .. }) => 0,
            Err(e) => panic!("{strikes:?}: {e}"),
        };
        assert_eq!(told.unwrap_or(confirmed), confirmed, "{strikes:?}");
        troubled.deliver();
        assert_eq!(effects(store, &self.req.change), confirmed, "{strikes:?}");
        let again = now(apply(store, &ManualClock::new(), &self.req));
        assert_eq!(effects(store, &self.req.change), confirmed, "{strikes:?}: {again:?}");
    }

    /// An operator who lost to another is told whose change won, and what differs.
    fn check_rival(&self, troubled: &Troubled<'_>, result: Option<&Result<Applied>>) {
        let rival = troubled.rival_won.borrow();
        let Some(Err(Error::Conflict(conflict))) = result else { return };
        if self.case.verdict == Verdict::Conflict {
            return;
        }
        let Some(Ok(won)) = rival.as_ref() else { panic!("{conflict:?} without a rival") };
        assert_eq!(conflict.winner, self.rival.operator);
        assert_eq!((&conflict.change, conflict.revision), (&won.change, won.revision));
        assert!(!conflict.differences.is_empty());
    }
}

fn every_call(path: &Path) -> datatest_stable::Result<()> {
    let case: Case = toml::from_str(&std::fs::read_to_string(path)?)?;
    let trial = Trial {
        case: &case,
        earlier: store_after(case.earlier),
        req: case.change.request("us"),
        rival: case.rival.request("rival"),
    };
    trial.run(&[]);
    let mut cases = 1;
    for trouble in TROUBLES {
        let strikes = (1..).map(|call| Strike { call, trouble });
        for strike in strikes {
            cases += 1;
            if !trial.run(&[strike]) {
                break;
            }
            assert!(strike.call < 100, "{strike:?}");
            cases += second_strikes(&trial, strike);
        }
    }
    println!("{}: {cases} cases", path.display());
    Ok(())
}

fn second_strikes(trial: &Trial<'_>, first: Strike) -> usize {
    let mut cases = 0;
    for trouble in TROUBLES {
        for call in first.call + 1.. {
            cases += 1;
            if !trial.run(&[first, Strike { call, trouble }]) {
                break;
            }
        }
    }
    cases
}

fn calls_without_trouble(path: &Path) -> datatest_stable::Result<()> {
    let case: Case = toml::from_str(&std::fs::read_to_string(path)?)?;
    let store = store_after(case.earlier);
    let rival = case.rival.request("rival");
    let troubled = Troubled::new(&store, &rival, &[]);
    now(apply(&troubled, &ManualClock::new(), &case.change.request("us"))).ok();
    let calls = troubled.calls.get();
    assert!(calls <= case.max_calls, "{calls} calls");
    Ok(())
}

datatest_stable::harness! {
    { test = every_call, root = "tests/tables/config/apply", pattern = r".*\.toml$" },
    { test = calls_without_trouble, root = "tests/tables/config/apply", pattern = r".*\.toml$" },
}
