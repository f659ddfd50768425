//! A daemon that answers with what a test put there, and keeps what it was sent.

use actix_web::dev::ServerHandle;
use actix_web::http::StatusCode;
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use serde::Serialize;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use waxwingstall::api::ApiError;

/// An answer to come.
struct Answer {
    path: &'static str,
    status: u16,
    body: String,
}

#[derive(Default)]
struct State {
    answers: VecDeque<Answer>,
    sent: Vec<String>,
}

/// The daemon; it listens on loopback until it is dropped.
pub struct FakeDaemon {
    pub addr: String,
    state: Arc<Mutex<State>>,
    server: ServerHandle,
}

impl FakeDaemon {
    /// Starts to listen.
    pub fn start() -> Self {
        let state = Arc::new(Mutex::new(State::default()));
        let data = web::Data::from(state.clone());
        let server = HttpServer::new(move || {
            App::new().app_data(data.clone()).default_service(web::to(answer))
        });
        let server = server.workers(1).disable_signals().bind("127.0.0.1:0").expect("loopback");
        let addr = server.addrs()[0].to_string();
        let server = server.run();
        let handle = server.handle();
        actix_web::rt::spawn(server);
        Self { addr, state, server: handle }
    }

    /// Answers the next call with a value; the call must have this path and query.
    pub fn will_answer(&self, path: &'static str, value: &impl Serialize) {
        self.push(path, 200, serde_json::to_string(value).expect("a value can be written"));
    }

    /// Answers the next call with an error.
    pub fn will_refuse(&self, path: &'static str, error: &ApiError) {
        let body = serde_json::to_string(error).expect("an error can be written");
        self.push(path, error.kind.http_status(), body);
    }

    /// The bodies that were sent.
    pub fn sent(&self) -> Vec<String> {
        self.state.lock().expect("no test failed").sent.clone()
    }

    fn push(&self, path: &'static str, status: u16, body: String) {
        let mut state = self.state.lock().expect("no test failed");
        state.answers.push_back(Answer { path, status, body });
    }
}

impl Drop for FakeDaemon {
    fn drop(&mut self) {
        drop(self.server.stop(false));
    }
}

async fn answer(state: web::Data<Mutex<State>>, req: HttpRequest, body: String) -> HttpResponse {
    let mut state = state.lock().expect("no test failed");
    state.sent.push(body);
    let path = req.uri().to_string();
    match state.answers.pop_front() {
        Some(answer) if answer.path == path => {
            let status = StatusCode::from_u16(answer.status).expect("a status");
            HttpResponse::build(status).body(answer.body)
        }
        Some(answer) => HttpResponse::NotImplemented().body(format!("not {}", answer.path)),
        None => HttpResponse::NotImplemented().body("nothing was to be asked"),
    }
}
