//! What runs on a VM, as a VM keeps it.
//!
//! A table in memory, driven by the caller's clock: the stand-in over HTTP asks it with the
//! machine's clock, tests with one that they move. What a task does is in its payload, as
//! [`Work`].

use indexmap::IndexMap;
use std::time::Duration;
use waxwingstall::ids::VmId;
use waxwingstall::job::{Checkpoint, RunNumber, StepRef, TaskRef};
use waxwingstall::units::Resources;
use waxwingstall::vm::{
    EndKind, EndedRun, Error, Fence, PaceReq, PollReq, PollResp, Result, RunReq, RunningTask,
    StartReq, VmTime,
};

/// What a task does, written in its payload as `key=value` words.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Work until it ends by itself; zero for a task that lasts.
    pub time: Duration,
    /// Runs that fail: those with numbers up to this.
    pub fails: u32,
    pub size: Resources,
    /// Set if it crashes the VMs that it runs on.
    pub crash: Option<Crash>,
}

/// How a task crashes the VMs that it runs on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Work until then.
    pub after: Duration,
    /// The task of its step that does; every one if not set.
    pub only: Option<u32>,
}

impl Work {
    /// The payload that says so.
    pub fn payload(&self) -> String {
        let mut payload = format!(
            "work_ms={} fails={} milli_cores={} memory_mib={}",
            self.time.as_millis(),
            self.fails,
            self.size.milli_cores.0,
            self.size.memory_mib.0
        );
        if let Some(crash) = self.crash {
            payload += &format!(" crash_ms={}", crash.after.as_millis());
            payload += &crash.only.map_or(String::new(), |only| format!(" crash_only={only}"));
        }
        payload
    }

    /// Reads a payload; words that it doesn't know are left out.
    pub fn read(payload: &str) -> Self {
        let mut work = Self::default();
        let mut size = [0, 0];
        let mut crash_only = None;
        for (key, value) in payload.split(' ').filter_map(|word| word.split_once('=')) {
            let value: u64 = value.parse().unwrap_or(0);
            let small = u32::try_from(value).unwrap_or(u32::MAX);
            match key {
                "work_ms" => work.time = Duration::from_millis(value),
                "fails" => work.fails = small,
                "crash_ms" => {
                    work.crash = Some(Crash { after: Duration::from_millis(value), only: None });
                }
                "crash_only" => crash_only = Some(small),
                "milli_cores" => size[0] = small,
                "memory_mib" => size[1] = small,
                _ => {}
            }
        }
        work.size = Resources::new(size[0], size[1], 0);
        if let Some(crash) = &mut work.crash {
            crash.only = crash_only;
        }
        work
    }
}

/// Properties of a VM.
#[derive(Clone, Debug)]
pub struct RunSettings {
    /// Longest time that work is kept running without another look.
    pub max_keep: Duration,
    /// Time that stopping takes.
    pub stop_time: Duration,
    /// Work between two checkpoints.
    pub checkpoint_every: Duration,
    /// Its clock at the callers' origin.
    pub clock_offset: Duration,
}

impl Default for RunSettings {
    fn default() -> Self {
        Self {
            max_keep: Duration::from_secs(10),
            stop_time: Duration::from_millis(200),
            checkpoint_every: Duration::from_secs(2),
            clock_offset: Duration::from_secs(77),
        }
    }
}

/// Runs that are slow on the VM that they were started on, drawn from a seed.
#[derive(Clone, Copy, Debug)]
pub struct SlowRuns {
    pub seed: u64,
    /// How many of a thousand runs are slow.
    pub permille: u64,
    /// Their speed in percent.
    pub percent: u8,
}

impl SlowRuns {
    fn speed(&self, vm: &VmId, req: &StartReq) -> u8 {
        // FNV-1a: the draw must be the same on every machine.
        let name = format!("{} {vm} {} {}", self.seed, req.task, req.run);
        let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
        if (hash >> 20) % 1000 < self.permille { self.percent } else { 100 }
    }
}

/// Work after which a run fails on a VM that fails all that it starts.
const FAULTY_RUN_TIME: Duration = Duration::from_millis(100);

/// Something that happened on a VM, as a test's witness.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seen {
    Started {
        at: Duration,
        task: TaskRef,
        run: RunNumber,
        payload: String,
    },
    Ended {
        at: Duration,
        task: TaskRef,
        run: RunNumber,
        outcome: EndKind,
    },
    /// The time that the VM was given to keep running passed.
    Lapsed {
        at: Duration,
    },
    /// The end was forgotten, since its consequence is durable.
    Forgotten {
        at: Duration,
        task: TaskRef,
        run: RunNumber,
        outcome: EndKind,
    },
}

/// A lease of everything on a VM that has ended, as the VM knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedLease {
    /// When it passed, or when the VM died before that.
    pub at: Duration,
    /// When the last call that extended it was received.
    pub extended: Duration,
    pub keep_until: Duration,
}

#[derive(Debug)]
struct Running {
    run: RunNumber,
    work: Work,
    /// Work done before this run.
    resumed: Duration,
    done: Duration,
    /// When `done` was last brought up to date.
    at: Duration,
    pace: u8,
    /// Speed in percent that this run was given by the VM.
    speed: u8,
    stop_at: Option<Duration>,
    fails: bool,
    /// Whether its VM makes it fail.
    is_faulty: bool,
}

/// What runs on one life of a VM.
#[derive(Debug)]
pub struct RunTable {
    pub id: VmId,
    settings: RunSettings,
    fence: Fence,
    keep_until: Duration,
    /// When a call last extended that time.
    extended: Duration,
    lapsed: bool,
    running: IndexMap<TaskRef, Running>,
    /// Highest run of each task that ended or was stopped here.
    barred: IndexMap<TaskRef, RunNumber>,
    ended: Vec<EndedRun>,
    ends: u64,
    /// Speed of the VM in percent.
    speed: u8,
    slow_runs: Option<SlowRuns>,
    /// Whether runs that start now fail, whatever they do.
    is_faulty: bool,
    /// Whether it refuses to start anything.
    is_unavailable: bool,
    /// Starts that it refused for that reason.
    pub unavailable_starts: usize,
    pub seen: Vec<Seen>,
    pub ended_leases: Vec<EndedLease>,
}

impl RunTable {
    /// A VM that runs nothing.
    pub fn new(id: VmId, settings: RunSettings) -> Self {
        Self {
            id,
            settings,
            fence: Fence(0),
            keep_until: Duration::ZERO,
            extended: Duration::ZERO,
            lapsed: true,
            running: IndexMap::new(),
            barred: IndexMap::new(),
            ended: Vec::new(),
            ends: 0,
            speed: 100,
            slow_runs: None,
            is_faulty: false,
            is_unavailable: false,
            unavailable_starts: 0,
            seen: Vec::new(),
            ended_leases: Vec::new(),
        }
    }

    /// Starts a run.
    pub fn start(&mut self, now: Duration, req: &StartReq) -> Result<VmTime> {
        self.pass(now);
        self.check(req.fence)?;
        if self.is_unavailable {
            self.unavailable_starts += 1;
            return Err(Error::Unavailable { status: 503 });
        }
        self.keep(now, req.keep_until);
        let known = self.running.get(&req.task);
        if known.is_some_and(|running| running.run == req.run) {
            return Ok(self.clock(now));
        }
        let barred = self.barred.get(&req.task).copied().unwrap_or_default();
        if known.is_some() || req.run <= barred {
            return Err(Error::StaleRun);
        }
        if req.keep_until <= self.clock(now) {
            return Err(Error::LeaseExpired);
        }
        let work = Work::read(&req.payload);
        let resumed = req.resume.as_ref().map_or(Duration::ZERO, checkpointed);
        self.running.insert(
            req.task,
            Running {
                run: req.run,
                work,
                resumed,
                done: Duration::ZERO,
                at: now,
                pace: 100,
                speed: self.slow_runs.as_ref().map_or(100, |slow| slow.speed(&self.id, req)),
                stop_at: None,
                fails: req.run.0 <= work.fails,
                is_faulty: self.is_faulty,
            },
        );
        let (task, run, payload) = (req.task, req.run, req.payload.to_string());
        self.seen.push(Seen::Started { at: now, task, run, payload });
        Ok(self.clock(now))
    }

    /// Stops a run, and bars it if it isn't there.
    pub fn stop(&mut self, now: Duration, req: &RunReq) -> Result<VmTime> {
        self.pass(now);
        self.check(req.fence)?;
        let stop_time = self.settings.stop_time;
        match self.running.get_mut(&req.task) {
            Some(running) if running.run <= req.run => {
                running.stop_at.get_or_insert(now + stop_time);
            }
            _ => {
                let barred = self.barred.entry(req.task).or_default();
                *barred = (*barred).max(req.run);
            }
        }
        Ok(self.clock(now))
    }

    /// Sets the speed of a run.
    pub fn set_pace(&mut self, now: Duration, req: &PaceReq) -> Result<VmTime> {
        self.pass(now);
        self.check(req.fence)?;
        if let Some(running) = self.running.get_mut(&req.task).filter(|r| r.run == req.run) {
            running.pace = req.percent;
        }
        Ok(self.clock(now))
    }

    /// Changes the speed of the VM.
    pub fn set_speed(&mut self, now: Duration, percent: u8) {
        self.pass(now);
        self.speed = percent;
    }

    /// Makes some of the runs that start from now on slow.
    pub fn set_slow_runs(&mut self, slow_runs: SlowRuns) {
        self.slow_runs = Some(slow_runs);
    }

    /// Makes the runs that start from now on fail soon, or no longer.
    pub fn set_faulty(&mut self, is_faulty: bool) {
        self.is_faulty = is_faulty;
    }

    /// Makes the VM refuse to start anything, or no longer.
    pub fn set_unavailable(&mut self, is_unavailable: bool) {
        self.is_unavailable = is_unavailable;
    }

    /// Keeps everything running, forgets what may be forgotten, and tells the news.
    pub fn poll(&mut self, now: Duration, req: &PollReq) -> Result<PollResp> {
        self.pass(now);
        self.check(req.fence)?;
        if let Some(keep_until) = req.keep_until {
            self.keep(now, keep_until);
        }
        let (forgotten, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut self.ended)
            .into_iter()
            .partition(|end| end.number <= req.ack_up_to);
        self.ended = kept;
        for end in forgotten {
            let (task, run, outcome) = (end.task, end.run, end.outcome);
            self.seen.push(Seen::Forgotten { at: now, task, run, outcome });
        }
        let running = self.running.iter().map(|(task, running)| RunningTask {
            task: *task,
            run: running.run,
            checkpoint: running.checkpoint(self.settings.checkpoint_every),
            percent: running.percent(),
            measurement: running.work.size.milli_cores.0,
        });
        Ok(PollResp {
            clock: self.clock(now),
            running: running.collect(),
            ended: self.ended.clone(),
        })
    }

    /// Whether an end is listed that a look with this number would bring.
    pub fn has_news(&mut self, now: Duration, ack_up_to: u64) -> bool {
        self.pass(now);
        self.ended.iter().any(|end| end.number > ack_up_to)
    }

    /// Whether an end with a number after `after` and up to `up_to` is kept.
    pub fn has_end(&mut self, now: Duration, after: u64, up_to: u64) -> bool {
        self.pass(now);
        self.ended.iter().any(|end| after < end.number && end.number <= up_to)
    }

    /// Ends the runs of a step, since another member of their group has ended.
    pub fn end_group(&mut self, now: Duration, step: StepRef) {
        self.pass(now);
        let members = self.running.keys().filter(|task| task.step_ref() == step);
        for task in members.copied().collect::<Vec<TaskRef>>() {
            self.end(task, now, EndKind::Broken);
        }
    }

    /// What runs now.
    pub fn runs(&mut self, now: Duration) -> Vec<(TaskRef, RunNumber, Resources)> {
        self.pass(now);
        self.running.iter().map(|(task, r)| (*task, r.run, r.work.size)).collect()
    }

    /// Speed of a task's run in percent, as set by commands; `None` if it doesn't run.
    pub fn pace(&self, task: TaskRef) -> Option<u8> {
        self.running.get(&task).map(|running| running.pace)
    }

    /// Whether something that runs there crashes it by now.
    pub fn is_crashing(&mut self, now: Duration) -> bool {
        self.pass(now);
        self.running.iter().any(|(task, running)| {
            let crash = running.work.crash.filter(|c| c.only.is_none_or(|only| only == task.index));
            crash.is_some_and(|crash| running.done >= crash.after)
        })
    }

    /// The VM dies: what ran there has ended, and nobody is told.
    pub fn crash(&mut self, now: Duration) {
        self.pass(now);
        let tasks: Vec<TaskRef> = self.running.keys().copied().collect();
        for task in tasks {
            if let Some(running) = self.running.shift_remove(&task) {
                let (run, outcome) = (running.run, EndKind::Lapsed);
                self.seen.push(Seen::Ended { at: now, task, run, outcome });
            }
        }
        if !self.lapsed {
            self.end_lease(now);
        }
    }

    fn clock(&self, now: Duration) -> VmTime {
        VmTime(now + self.settings.clock_offset)
    }

    fn check(&mut self, fence: Fence) -> Result<()> {
        if fence < self.fence {
            return Err(Error::Fenced);
        }
        self.fence = fence;
        Ok(())
    }

    fn keep(&mut self, now: Duration, until: VmTime) {
        let until = until.0.saturating_sub(self.settings.clock_offset);
        let most = now + self.settings.max_keep;
        let until = until.min(most);
        if until > self.keep_until {
            self.keep_until = until;
            self.extended = now;
        }
        self.lapsed = self.keep_until <= now;
    }

    /// Lets time pass until `now`: work is done, runs end.
    fn pass(&mut self, now: Duration) {
        let speed = self.speed;
        let tasks: Vec<TaskRef> = self.running.keys().copied().collect();
        for task in tasks {
            let Some(running) = self.running.get_mut(&task) else { continue };
            let Some((at, outcome)) = running.end(now, self.keep_until, speed) else {
                running.work_until(now, speed);
                continue;
            };
            running.work_until(at, speed);
            self.end(task, at, outcome);
        }
        self.ended.sort_by_key(|end| end.number);
        if !self.lapsed && self.keep_until <= now {
            self.lapsed = true;
            self.seen.push(Seen::Lapsed { at: self.keep_until });
            self.end_lease(self.keep_until);
        }
    }

    fn end_lease(&mut self, at: Duration) {
        let (extended, keep_until) = (self.extended, self.keep_until);
        self.ended_leases.push(EndedLease { at, extended, keep_until });
    }

    fn end(&mut self, task: TaskRef, at: Duration, outcome: EndKind) {
        let Some(running) = self.running.shift_remove(&task) else { return };
        self.ends += 1;
        self.barred.insert(task, running.run);
        let saved = match outcome {
            EndKind::Stopped => Some(Checkpoint::new(&running.total().as_millis().to_string())),
            _ => running.checkpoint(self.settings.checkpoint_every),
        };
        self.seen.push(Seen::Ended { at, task, run: running.run, outcome });
        self.ended.push(EndedRun {
            number: self.ends,
            task,
            run: running.run,
            outcome,
            checkpoint: saved,
        });
    }
}

impl Running {
    /// When and how it ends, if that is at `now` or before.
    fn end(&self, now: Duration, keep_until: Duration, speed: u8) -> Option<(Duration, EndKind)> {
        let mut ends = Vec::new();
        let speed = self.speed(speed);
        if self.work.time > Duration::ZERO && speed > 0.0 {
            let left = self.work.time.saturating_sub(self.total());
            let left = Duration::try_from_secs_f64(left.as_secs_f64() / speed);
            let left = left.unwrap_or(Duration::MAX);
            let outcome = if self.fails { EndKind::Failed } else { EndKind::Succeeded };
            ends.push((self.at.saturating_add(left), outcome));
        }
        if self.is_faulty {
            let left = FAULTY_RUN_TIME.saturating_sub(self.done);
            ends.push((self.at.saturating_add(left), EndKind::Failed));
        }
        ends.extend(self.stop_at.map(|at| (at, EndKind::Stopped)));
        ends.push((keep_until.max(self.at), EndKind::Lapsed));
        ends.into_iter().filter(|(at, _)| *at <= now).min_by_key(|(at, _)| *at)
    }

    fn work_until(&mut self, at: Duration, speed: u8) {
        let passed = at.saturating_sub(self.at);
        self.done += passed.mul_f64(self.speed(speed));
        self.at = self.at.max(at);
    }

    /// Share of full speed on a VM of this speed in percent.
    fn speed(&self, vm: u8) -> f64 {
        f64::from(self.pace) * f64::from(self.speed) * f64::from(vm) / 1e6
    }

    fn total(&self) -> Duration {
        self.resumed + self.done
    }

    fn percent(&self) -> u8 {
        if self.work.time.is_zero() {
            return 100;
        }
        let share = self.total().as_secs_f64() / self.work.time.as_secs_f64();
        (share * 100.0).clamp(0.0, 99.0) as u8
    }

    fn checkpoint(&self, every: Duration) -> Option<Checkpoint> {
        let every = every.as_millis().max(1);
        let saved = self.total().as_millis() / every * every;
        (saved > 0).then(|| Checkpoint::new(&saved.to_string()))
    }
}

fn checkpointed(checkpoint: &Checkpoint) -> Duration {
    Duration::from_millis(checkpoint.as_str().parse().unwrap_or(0))
}
