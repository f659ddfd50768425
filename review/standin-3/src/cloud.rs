//! The platform's service of machines, as far as upkeep takes it.

use crate::http::{Answer, Request, serve};
use crate::rig::SERVICE;
use crate::runner::Runner;
use serde_json::{Value, json};
use std::net::TcpListener;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

const UPKEEP: Duration = Duration::from_secs(2);

/// An order for a machine, as it was received.
#[derive(Clone, Debug)]
pub struct Order {
    pub at: Instant,
    pub machine: String,
    pub holder: String,
    pub fence: u64,
    pub outcome: &'static str,
}

struct Machine {
    name: String,
    zone: String,
    labels: Vec<String>,
    runner: Runner,
    fence: u64,
    is_up: bool,
    done: Vec<u64>,
}

#[derive(Default)]
struct Table {
    machines: Vec<Machine>,
    wave: u64,
    in_wave: Vec<String>,
    orders: Vec<Order>,
}

#[derive(Clone, Default)]
pub struct Cloud {
    table: Arc<Mutex<Table>>,
}

impl Cloud {
    pub fn start(listener: TcpListener) -> Self {
        let cloud = Self::default();
        let served = cloud.clone();
        serve(listener, move |request| served.handle(request));
        cloud
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().expect("no handler panics")
    }

    pub fn add(&self, name: &str, zone: &str, labels: &[String], runner: Runner) {
        let machine = Machine {
            name: name.to_owned(),
            zone: zone.to_owned(),
            labels: labels.to_vec(),
            runner,
            fence: 0,
            is_up: true,
            done: Vec::new(),
        };
        self.table().machines.push(machine);
    }

    pub fn machines(&self) -> Vec<String> {
        self.table().machines.iter().map(|machine| machine.name.clone()).collect()
    }

    pub fn set_wave(&self, wave: u64, machines: &[String]) {
        let mut table = self.table();
        (table.wave, table.in_wave) = (wave, machines.to_vec());
    }

    pub fn orders(&self) -> Vec<Order> {
        self.table().orders.clone()
    }

    fn handle(&self, request: &Request) -> Answer {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/api/machines") => {
                let table = self.table();
                let machines: Vec<Value> = table
                    .machines
                    .iter()
                    .map(|machine| {
                        json!({ "machine": machine.name, "pool": SERVICE,
                            "state": if machine.is_up { "up" } else { "upkeep" },
                            "zone": machine.zone, "labels": machine.labels,
                            "id": if machine.is_up { machine.runner.id() } else { String::new() } })
                    })
                    .collect();
                Some((200, json!({ "machines": machines, "next_token": "" }).to_string()))
            }
            ("POST", "/api/machine-upkeep") => self.order(request),
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn order(&self, request: &Request) -> Answer {
        let body = request.json();
        let header = |name: &str| request.headers.get(name).cloned().unwrap_or_default();
        let machine = body["machine"].as_str().unwrap_or_default().to_owned();
        let (holder, fence) =
            (header("waxwingstall-lease-holder"), header("waxwingstall-fencing-token"));
        let (fence, wave) = (fence.parse().unwrap_or(0), body["wave"].as_u64().unwrap_or(0));
        let (status, reason) = self.carry_out(&machine, wave, &holder, fence);
        Some((status, json!({ "reason": reason }).to_string()))
    }

    fn carry_out(&self, machine: &str, wave: u64, holder: &str, fence: u64) -> (u16, &'static str) {
        let mut table = self.table();
        let (in_wave, known_wave) = (table.in_wave.contains(&machine.to_owned()), table.wave);
        let Some(found) = table.machines.iter_mut().find(|m| m.name == machine) else {
            return (400, "");
        };
        let outcome = if fence < found.fence {
            (409, "fence")
        } else if !in_wave || wave != known_wave {
            (409, "wave")
        } else if found.done.contains(&wave) {
            (200, "done before")
        } else if !found.is_up {
            (409, "busy")
        } else {
            (200, "begun")
        };
        found.fence = found.fence.max(fence);
        let now = Instant::now();
        if outcome.1 == "begun" {
            found.is_up = false;
            found.done.push(wave);
            found.runner.leave();
            let name = machine.to_owned();
            let cloud = self.clone();
            std::thread::spawn(move || {
                std::thread::sleep(UPKEEP);
                let mut table = cloud.table();
                if let Some(machine) = table.machines.iter_mut().find(|m| m.name == name) {
                    machine.is_up = true;
                    machine.runner.begin_life(Duration::ZERO);
                }
            });
        }
        let (machine, holder) = (machine.to_owned(), holder.to_owned());
        table.orders.push(Order { at: now, machine, holder, fence, outcome: outcome.1 });
        outcome
    }
}
