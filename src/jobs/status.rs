//! The status endpoint for operators, over HTTP.

use super::control::{Control, GetStatus};
use crate::api::{ApiError, ErrorKind, PREFIX};
use actix::Addr;
use actix_web::{HttpResponse, web};

/// Serves `GET /v1/status` with the status from control.
pub fn mount(control: Addr<Control>) -> impl Fn(&mut web::ServiceConfig) + Clone + Send {
    move |cfg| {
        cfg.app_data(web::Data::new(control.clone()))
            .service(web::scope(PREFIX).route("/status", web::get().to(status)));
    }
}

async fn status(control: web::Data<Addr<Control>>) -> HttpResponse {
    match control.send(GetStatus).await {
        Ok(status) => HttpResponse::Ok().json(status),
        Err(e) => {
            let message = format!("the daemon stops ({e})");
            let error = ApiError::new(ErrorKind::Unreachable, message, "ask another daemon");
            HttpResponse::ServiceUnavailable().json(error)
        }
    }
}
