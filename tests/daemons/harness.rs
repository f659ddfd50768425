//! Four daemons in two failure domains, with Inkuru's configuration in force.

use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use waxwingstall::api::{
    ApiError, ApplyReply, ApplyReq, ErrorKind, SubmitPriority, SubmitReq, TaskQuery, TaskView,
};
use waxwingstall::client::Client;
use waxwingstall::clock::{Clock, SystemClock};
use waxwingstall::daemon::{Daemon, Serving};
use waxwingstall::ids::{ClassName, IdempotencyKey, Revision, TaskId, VmId};
use waxwingstall::task::{Outcome, Phase};
use waxwingstall_standin::ledger::Book;
use waxwingstall_standin::platform::{Platform, PlatformSettings};

/// Far longer than anything takes on a busy machine; only a fault makes a test wait so long.
const PATIENCE: Duration = Duration::from_secs(90);
const LOOK: Duration = Duration::from_millis(50);

pub struct Cluster {
    pub platform: Platform,
    daemons: Vec<Option<Daemon<Serving>>>,
}

/// What callers of previews saw.
#[derive(Debug, Default)]
pub struct Seen {
    pub whole: usize,
    pub wrong: Vec<String>,
}

impl Cluster {
    pub fn start() -> Self {
        let platform = Platform::start(PlatformSettings::default());
        let mut daemons = Vec::new();
        for settings in platform.settings() {
            let daemon = Daemon::start(settings, Arc::new(SystemClock)).expect("a daemon");
            platform.add_daemon(&daemon);
            daemons.push(Some(daemon));
        }
        let cluster = Self { platform, daemons };
        cluster.wait_until("daemons are ready", |c| c.platform.balancer.ready() == 4);
        let mut last = Revision(0);
        for name in ["pools.toml", "teams.toml", "services.toml", "batch.toml"] {
            let req = ApplyReq {
                operator: "amina".to_owned(),
                change_id: format!("first-{name}"),
                file: name.to_owned(),
                text: Some(example(name)),
                base: None,
            };
            last = cluster.apply(&req).expect("an accepted file").revision;
        }
        cluster.wait_in_force(last);
        for daemon in cluster.daemons.iter().flatten() {
            let url = format!("http://{}/v1/requests/preview/page", daemon.front_addr());
            cluster
                .wait_until("previews are answered", |_| block_on(send_one(&url, "first")).is_ok());
        }
        cluster
    }

    /// Starts a further daemon with the settings of the `i`th, and waits until it is ready.
    pub fn start_daemon(&mut self, i: usize) {
        let settings = self.platform.settings().swap_remove(i);
        let daemon = Daemon::start(settings, Arc::new(SystemClock)).expect("a daemon");
        let before = self.platform.balancer.ready();
        self.platform.add_daemon(&daemon);
        self.daemons.push(Some(daemon));
        self.wait_until("the new daemon is ready", |c| c.platform.balancer.ready() > before);
    }

    /// Starts a further daemon, which need not become ready.
    pub fn start_unready(&mut self, i: usize) {
        let settings = self.platform.settings().swap_remove(i);
        let daemon = Daemon::start(settings, Arc::new(SystemClock)).expect("a daemon");
        self.daemons.push(Some(daemon));
    }

    /// What the first daemon answers the balancer.
    pub fn ready_status(&self) -> u16 {
        let daemon = self.daemons.iter().flatten().next().expect("a daemon");
        let url = format!("http://{}/ready", daemon.front_addr());
        block_on(async {
            let resp = awc::Client::default().get(url).send().await;
            resp.expect("an answer").status().as_u16()
        })
    }

    pub fn kill_daemon(&mut self, i: usize) {
        drop(self.daemons[i].take());
    }

    pub fn drain_daemon(&mut self, i: usize) {
        if let Some(daemon) = self.daemons[i].take() {
            daemon.drain().wait();
        }
    }

    pub fn book(&self) -> Book {
        self.platform.ledger.book()
    }

    pub fn over_slots(&self) -> usize {
        self.platform.endpoints.iter().map(|endpoint| endpoint.slot_violations()).sum()
    }

    pub fn resumes(&self) -> u32 {
        self.book().tasks().values().map(|count| count.resumes).sum()
    }

    /// Starts that a worker saw.
    pub fn starts_on(&self, vm: &VmId) -> usize {
        self.book().tasks().values().flat_map(|count| &count.vms).filter(|at| *at == vm).count()
    }

    /// Batch tasks that a worker runs now.
    pub fn tasks_on(&self, vm: &VmId) -> usize {
        self.platform.batch_tasks(vm)
    }

    /// The worker that runs the most batch tasks.
    pub fn busiest(&self) -> Option<VmId> {
        let vms = self.platform.vms();
        vms.into_iter().max_by_key(|vm| self.tasks_on(vm)).filter(|vm| self.tasks_on(vm) > 0)
    }

    pub fn apply(&self, req: &ApplyReq) -> Result<ApplyReply, ApiError> {
        block_on(self.client().apply(req))
    }

    pub fn revision(&self) -> Revision {
        block_on(self.client().status()).expect("a status").revision
    }

    pub fn wait_in_force(&self, revision: Revision) {
        for daemon in self.daemons.iter().flatten() {
            let client = Client::new(vec![daemon.front_addr().to_string()]);
            self.wait_until("the revision is in force", |_| {
                let status = block_on(client.status());
                status.is_ok_and(|status| status.revision >= revision)
            });
        }
    }

    pub fn submit(&self, class: &str, count: usize, work_ms: u64) -> Vec<TaskId> {
        (0..count)
            .map(|i| {
                let key = format!("{class}-{work_ms}-{i}");
                self.submit_patiently(class, &key, work_ms)
            })
            .collect()
    }

    pub fn submit_one(&self, class: &str, key: &str, work_ms: u64) -> Result<TaskId, ApiError> {
        let req = SubmitReq {
            class: ClassName::new(class),
            key: IdempotencyKey::new(key),
            team: None,
            payload: format!("{{\"work_ms\": {work_ms}}}"),
            priority: SubmitPriority::AsClass,
        };
        block_on(self.client().submit(&req)).map(|reply| reply.task)
    }

    fn submit_patiently(&self, class: &str, key: &str, work_ms: u64) -> TaskId {
        let limit = SystemClock.now() + PATIENCE;
        loop {
            match self.submit_one(class, key, work_ms) {
                Ok(task) => return task,
                Err(e) if e.kind != ErrorKind::Usage && SystemClock.now() < limit => {
                    std::thread::sleep(LOOK);
                }
                Err(e) => panic!("{e:?}"),
            }
        }
    }

    /// Waits until so many tasks run, and returns the worker with the most.
    pub fn wait_running(&self, count: usize) -> VmId {
        self.wait_until("tasks run", |c| c.book().running() >= count);
        self.busiest().expect("a busy worker")
    }

    pub fn wait_ended(&self, tasks: &[TaskId]) {
        self.wait_until("every task has its outcome", |c| {
            let list = c.tasks();
            tasks.iter().all(|id| list.iter().any(|view| view.task.id == *id && view.task.ended()))
        });
    }

    /// Checks what the workers saw against what the daemons say.
    pub fn check_once(&self, tasks: usize) {
        let book = self.book();
        assert_eq!(book.violations, Vec::<String>::new());
        assert_eq!(book.finished_once(), tasks);
        let succeeded = self
            .tasks()
            .into_iter()
            .filter(|view| view.task.phase == Phase::Ended { outcome: Outcome::Succeeded });
        assert_eq!(succeeded.count(), tasks);
    }

    pub fn wait_until(&self, what: &str, mut done: impl FnMut(&Self) -> bool) {
        let limit = SystemClock.now() + PATIENCE;
        while !done(self) {
            assert!(SystemClock.now() < limit, "not within {PATIENCE:?}: {what}");
            self.platform.advance();
            std::thread::sleep(LOOK);
        }
    }

    /// Callers that each send previews one after another through the balancer.
    pub fn send_previews(&self, callers: usize, each: usize) -> JoinHandle<Seen> {
        let url = format!("http://{}/v1/requests/preview/page", self.platform.balancer.addr());
        std::thread::spawn(move || {
            block_on(async move {
                let open = (0..callers).map(|caller| send(&url, caller, each));
                let mut all = Seen::default();
                for seen in futures::future::join_all(open).await {
                    all.whole += seen.whole;
                    all.wrong.extend(seen.wrong);
                }
                all
            })
        })
    }

    fn tasks(&self) -> Vec<TaskView> {
        let query = TaskQuery { limit: Some(500), ..TaskQuery::default() };
        block_on(self.client().tasks(&query)).map(|list| list.tasks).unwrap_or_default()
    }

    fn client(&self) -> Client {
        let daemons = self.daemons.iter().flatten();
        Client::new(daemons.map(|daemon| daemon.front_addr().to_string()).collect())
    }
}

pub fn example(name: &str) -> String {
    let dir = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/inkuru");
    std::fs::read_to_string(dir.join(name)).expect("an example")
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    actix_rt::System::new().block_on(future)
}

async fn send(url: &str, caller: usize, each: usize) -> Seen {
    let mut seen = Seen::default();
    for i in 0..each {
        let id = format!("caller-{caller}-{i}");
        match send_one(url, &id).await {
            Ok(()) => seen.whole += 1,
            Err(what) => seen.wrong.push(what),
        }
    }
    seen
}

/// Each request has a connection of its own, so that the balancer chooses for each.
async fn send_one(url: &str, id: &str) -> Result<(), String> {
    let client = awc::Client::builder().timeout(Duration::from_secs(30)).finish();
    let req = client.get(url).insert_header(("waxwing-request-id", id));
    let mut resp = req.send().await.map_err(|e| format!("{id}: {e}"))?;
    let body = resp.body().await.map_err(|e| format!("{id}: {e}"))?;
    let header = |name: &str| resp.headers().get(name).and_then(|v| v.to_str().ok());
    let outcome = header("waxwing-outcome").unwrap_or_default();
    if outcome == "ran" && body.starts_with(id.as_bytes()) {
        return Ok(());
    }
    let reason = header("waxwing-reason").unwrap_or_default();
    Err(format!("{id}: {} {outcome} {reason}", resp.status()))
}
