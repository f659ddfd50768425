//! What it costs to keep nine daemons at the accepted configuration, and how soon they are there.
//!
//! Nine followers in three failure domains run at the rate of 12,000 changes a day against the
//! stand-in over real HTTP, each on a thread of its own. The set-ups run side by side. Between
//! daemons the messages are passed in memory, and their encoded size is counted at both ends.

use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::mpsc;
use waxwingstall::clock::{Clock, SystemClock};
use waxwingstall::config::apply::{Action, ChangeRequest, apply_with};
use waxwingstall::config::follow::fetch::{
    Peer, Started, next_head, pull, start, take_up, watches,
};
use waxwingstall::config::follow::{Follower, Known, Newcomer};
use waxwingstall::config::head::{HEAD_KEY, Versioned};
use waxwingstall::config::snapshot::Snapshot;
use waxwingstall::config::{ConfigFile, check};
use waxwingstall::ids::{ChangeId, DaemonId, OperatorName, Revision};
use waxwingstall::store::Store;
use waxwingstall::store::http::HttpStore;
use waxwingstall::store::memory::Outage;
use waxwingstall_standin::kv::Kv;

const DOMAINS: [&str; 3] = ["kacyiru", "nyamirambo", "remera"];
const PER_DOMAIN: usize = 3;
const CHANGES: usize = 6;
/// 12,000 changes a day.
const CHANGE_PERIOD: Duration = Duration::from_millis(7_200);
const WATCH_WAIT: Duration = Duration::from_secs(5);
const TEAM_FILES: usize = 40;

/// Time between two probes of a daemon, each of one other, drawn at random.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// Who watches the head, and who is told of a revision in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Setup {
    /// Two watchers in each domain tell their own domain.
    Watchers,
    /// As before, and the last domain is cut off from the store: it hears by probes.
    CutOff,
    /// Two watchers in each domain, and each daemon tells all others.
    TellAll,
    /// Every daemon watches, and tells its own domain.
    AllWatch,
}

const SETUPS: [Setup; 4] = [Setup::Watchers, Setup::CutOff, Setup::TellAll, Setup::AllWatch];

/// A daemon as the others reach it.
struct Daemon {
    id: DaemonId,
    domain: usize,
    follower: Mutex<Option<Follower>>,
    news: mpsc::UnboundedSender<usize>,
    /// When each revision came in force.
    in_force: Mutex<IndexMap<Revision, Duration>>,
    peer_calls: AtomicU64,
    peer_bytes: AtomicU64,
}

type Fleet = Arc<Vec<Daemon>>;

struct Remote {
    fleet: Fleet,
    from: usize,
    to: usize,
}

impl Remote {
    /// Says that there is a new revision to fetch here.
    fn tell(&self) {
        self.count(size(&Known::default()), 0);
        self.fleet[self.to].news.send(self.from).ok();
    }

    /// Counts a message at both ends.
    fn count(&self, sent: usize, received: usize) {
        let bytes = u64::try_from(sent + received).unwrap_or(0);
        for end in [self.from, self.to] {
            self.fleet[end].peer_calls.fetch_add(1, Ordering::Relaxed);
            self.fleet[end].peer_bytes.fetch_add(bytes, Ordering::Relaxed);
        }
    }
}

impl Peer for Remote {
    async fn exchange(&self, known: Revision) -> Option<Known> {
        let to = &self.fleet[self.to];
        let answer = {
            let mut follower = lock(&to.follower);
            let follower = follower.as_mut()?;
            follower.heard(known);
            follower.known()
        };
        self.count(size(&known), size(&answer));
        Some(answer)
    }

    async fn snapshot(&self, since: Revision) -> Option<Snapshot> {
        let snapshot = lock(&self.fleet[self.to].follower).as_ref()?.snapshot().since(since);
        self.count(size(&since), size(&snapshot));
        Some(snapshot)
    }
}

fn size(message: &impl serde::Serialize) -> usize {
    postcard::to_allocvec(message).map_or(0, |buf| buf.len())
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn remotes(fleet: &Fleet, from: usize) -> Vec<Remote> {
    let others = (0..fleet.len()).filter(|to| *to != from);
    others.map(|to| Remote { fleet: fleet.clone(), from, to }).collect()
}

/// One daemon's loop, as the storage duty runs it.
async fn follow(
    fleet: Fleet,
    me: usize,
    url: String,
    setup: Setup,
    mut news: mpsc::UnboundedReceiver<usize>,
    stop: Arc<AtomicBool>,
) {
    let store = HttpStore::new(&url);
    let Started::Following { follower, mut version } =
        start(Newcomer::new(), &store, &[] as &[Remote]).await
    else {
        return;
    };
    note(&fleet[me], follower);
    let near = |i: &usize| fleet[*i].domain == fleet[me].domain;
    let ids: Vec<DaemonId> = (0..fleet.len()).filter(near).map(|i| fleet[i].id.clone()).collect();
    let cut_off = setup == Setup::CutOff && fleet[me].domain == DOMAINS.len() - 1;
    let watching = !cut_off && (setup == Setup::AllWatch || watches(&fleet[me].id, &ids, 2));
    let (mine, others): (Vec<Remote>, Vec<Remote>) =
        remotes(&fleet, me).into_iter().partition(|remote| near(&remote.to));
    let mut rng = SmallRng::seed_from_u64(u64::try_from(me).unwrap_or(0));
    let mut probe = actix_rt::time::interval(PROBE_PERIOD);
    // Between two heads the same watch goes on, whatever else happens.
    let mut head = Box::pin(look(&store, watching, version));
    while !stop.load(Ordering::Relaxed) {
        let mut follower = lock(&fleet[me].follower).clone().expect("a follower");
        let held = follower.revision();
        let mut tells = setup == Setup::TellAll;
        tokio::select! {
            at = &mut head => {
                if let Some(at) = at {
                    version = at.version;
                    take_up(&mut follower, &store, &at, &mine).await.ok();
                    tells = true;
                }
                head.set(look(&store, watching, version));
            }
            from = news.recv() => if let Some(from) = from {
                pull(&mut follower, &Remote { fleet: fleet.clone(), from: me, to: from }).await;
            },
            _ = probe.tick() => {
                let remotes = if rng.random_bool(0.25) { &mine } else { &others };
                let remote = &remotes[rng.random_range(0..remotes.len())];
                let known = remote.exchange(held).await;
                if known.and_then(|known| known.in_force) > Some(held) {
                    pull(&mut follower, remote).await;
                }
            }
        }
        let risen = follower.revision() > held;
        note(&fleet[me], follower);
        if risen && tells {
            let far = others.iter().filter(|_| setup == Setup::TellAll);
            mine.iter().chain(far).for_each(|remote| remote.tell());
        }
    }
}

async fn look(store: &HttpStore, watching: bool, version: u64) -> Option<Versioned> {
    if watching {
        next_head(store, version, WATCH_WAIT).await.ok().flatten()
    } else {
        std::future::pending().await
    }
}

fn note(daemon: &Daemon, next: Follower) {
    lock(&daemon.in_force).entry(next.revision()).or_insert_with(|| SystemClock.now());
    let mut held = lock(&daemon.follower);
    let known = held.as_ref().map_or(Revision(0), |held| held.known().known);
    held.insert(next).heard(known);
}

struct Running {
    setup: Setup,
    kv: Kv,
    fleet: Fleet,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    accepted: IndexMap<Revision, Duration>,
}

impl Running {
    async fn new(setup: Setup, files: &[ConfigFile]) -> Self {
        let kv = Kv::start();
        let store = HttpStore::new(&kv.url());
        for (i, file) in files.iter().enumerate() {
            change(&store, &format!("setup-{i}"), file, None).await;
        }
        let mut receivers = Vec::new();
        let fleet: Vec<Daemon> = (0..DOMAINS.len() * PER_DOMAIN)
            .map(|i| {
                let (tx, rx) = mpsc::unbounded_channel();
                receivers.push(rx);
                Daemon {
                    id: DaemonId::new(&format!("{}-{i}", DOMAINS[i / PER_DOMAIN])),
                    domain: i / PER_DOMAIN,
                    follower: Mutex::new(None),
                    news: tx,
                    in_force: Mutex::default(),
                    peer_calls: AtomicU64::new(0),
                    peer_bytes: AtomicU64::new(0),
                }
            })
            .collect();
        let fleet = Arc::new(fleet);
        let stop = Arc::new(AtomicBool::new(false));
        let threads = receivers.into_iter().enumerate().map(|(me, news)| {
            let (fleet, stop, url) = (fleet.clone(), stop.clone(), kv.url());
            std::thread::spawn(move || {
                actix_rt::System::new().block_on(follow(fleet, me, url, setup, news, stop));
            })
        });
        let threads = threads.collect();
        Self { setup, kv, fleet, stop, threads, accepted: IndexMap::new() }
    }

    /// Changes one team's file; the daemon that an operator talks to has the texts already.
    async fn change(&mut self, number: usize) {
        let store = HttpStore::new(&self.kv.url());
        let file = team_file(number, number + 1);
        let known = lock(&self.fleet[0].follower).as_ref().map(|held| held.snapshot().clone());
        let revision = change(&store, &format!("change-{number}"), &file, known.as_ref()).await;
        self.accepted.insert(revision, SystemClock.now());
    }

    fn finish(self, elapsed: Duration, before: waxwingstall::store::memory::Usage) {
        let usage = self.kv.usage();
        let daemons = f64::from(u32::try_from(self.fleet.len()).unwrap_or(1));
        let rate = |total: u64| as_f64(total) / daemons / elapsed.as_secs_f64();
        let peer_calls: u64 = self.fleet.iter().map(|d| d.peer_calls.load(Ordering::Relaxed)).sum();
        let peer_bytes: u64 = self.fleet.iter().map(|d| d.peer_bytes.load(Ordering::Relaxed)).sum();
        let mut spreads: Vec<Duration> = Vec::new();
        let mut missing = 0;
        for (revision, accepted) in &self.accepted {
            for daemon in self.fleet.iter() {
                match lock(&daemon.in_force).iter().find(|(held, _)| *held >= revision) {
                    Some((_, at)) => spreads.push(at.saturating_sub(*accepted)),
                    None => missing += 1,
                }
            }
        }
        spreads.sort();
        let median = spreads.get(spreads.len() / 2).copied().unwrap_or_default();
        let most = spreads.last().copied().unwrap_or_default();
        println!(
            "{:<9} {:>9.2} {:>9.2} {:>9} {:>11.3} {:>11.1} {:>11.3} {:>11.1}",
            format!("{:?}", self.setup),
            median.as_secs_f64() * 1e3,
            most.as_secs_f64() * 1e3,
            missing,
            rate(usage.calls - before.calls),
            rate(usage.bytes - before.bytes),
            rate(peer_calls),
            rate(peer_bytes),
        );
        self.stop.store(true, Ordering::Relaxed);
        self.kv.faults().set_outage(Outage::Down);
        for thread in self.threads {
            thread.join().ok();
        }
    }
}

async fn change(
    store: &HttpStore,
    name: &str,
    file: &ConfigFile,
    known: Option<&Snapshot>,
) -> Revision {
    let req = ChangeRequest {
        operator: OperatorName::new("bench"),
        change: ChangeId::new(name),
        file: file.name.clone(),
        action: Action::Replace { text: file.text.clone() },
        base: None,
    };
    apply_with(store, &SystemClock, &req, known).await.expect("applied").revision
}

fn team_file(number: usize, scale: usize) -> ConfigFile {
    let teams = (0..4).map(|i| {
        format!(
            "[[team]]\nname = \"team-{number}-{i}\"\nquota = {{ milli_cores = {}, memory_mib = {} }}\n\n",
            1_000 * scale,
            4_096 * scale
        )
    });
    ConfigFile::new(&format!("teams-{number:02}.toml"), &teams.collect::<String>())
}

fn files() -> Vec<ConfigFile> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/inkuru");
    let read = |name: &str| {
        ConfigFile::new(name, &std::fs::read_to_string(dir.join(name)).expect("an example"))
    };
    let mut files: Vec<ConfigFile> =
        ["services.toml", "pools.toml", "teams.toml", "batch.toml"].map(read).into();
    files.extend((0..TEAM_FILES).map(|number| team_file(number, 1)));
    files
}

fn as_f64(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

async fn spread(files: &[ConfigFile]) {
    let mut running = Vec::new();
    for setup in SETUPS {
        running.push(Running::new(setup, files).await);
    }
    actix_rt::time::sleep(CHANGE_PERIOD / 4).await;
    let before: Vec<_> = running.iter().map(|run| run.kv.usage()).collect();
    for run in &running {
        for daemon in run.fleet.iter() {
            daemon.peer_calls.store(0, Ordering::Relaxed);
            daemon.peer_bytes.store(0, Ordering::Relaxed);
        }
    }
    let began = SystemClock.now();
    for number in 0..CHANGES {
        for run in &mut running {
            run.change(number).await;
        }
        actix_rt::time::sleep(CHANGE_PERIOD).await;
    }
    let elapsed = SystemClock.now() - began;
    println!("in force after acceptance, and load per daemon, over {:.1} s", elapsed.as_secs_f64());
    println!(
        "{:<9} {:>9} {:>9} {:>9} {:>11} {:>11} {:>11} {:>11}",
        "set-up",
        "median ms",
        "most ms",
        "missing",
        "store c/s",
        "store B/s",
        "peer c/s",
        "peer B/s"
    );
    for (run, before) in running.into_iter().zip(before) {
        run.finish(elapsed, before);
    }
}

/// Calls and bytes of one change, with and without the texts at hand.
async fn one_change(files: &[ConfigFile]) {
    let kv = Kv::start();
    let store = HttpStore::new(&kv.url());
    for (i, file) in files.iter().enumerate() {
        change(&store, &format!("setup-{i}"), file, None).await;
    }
    let head = store.get(HEAD_KEY).await.expect("an answer").expect("a head").value.len();
    let started = start(Newcomer::new(), &store, &[] as &[Remote]).await;
    let Started::Following { follower, .. } = started else { return };
    println!("\none change of one file among {}; the head has {head} bytes", files.len());
    for (name, known) in [("texts at hand", Some(follower.snapshot())), ("no texts", None)] {
        let before = kv.usage();
        let began = SystemClock.now();
        change(
            &store,
            name.replace(' ', "-").as_str(),
            &team_file(1, 77 + usize::from(known.is_none())),
            known,
        )
        .await;
        let took = SystemClock.now() - began;
        let usage = kv.usage();
        println!(
            "{name:<14} {:>4} calls {:>8} bytes {:>8.2} ms",
            usage.calls - before.calls,
            usage.bytes - before.bytes,
            took.as_secs_f64() * 1e3
        );
    }
}

/// Time to check all files, and to take up one changed file.
fn checking(files: &[ConfigFile]) {
    const ROUNDS: u32 = 200;
    let bytes: usize = files.iter().map(|file| file.text.len()).sum();
    let began = SystemClock.now();
    for _ in 0..ROUNDS {
        check(files).expect("faultless files");
    }
    let each = (SystemClock.now() - began) / ROUNDS;
    println!("\nchecking {} files of {bytes} bytes: {each:?}", files.len());
}

fn main() {
    let files = files();
    actix_rt::System::new().block_on(async {
        one_change(&files).await;
        checking(&files);
        spread(&files).await;
    });
}
