//! HTTP server whose connections are in a [`Table`].

use super::framing::Requests;
use super::limits::RECEIVE_BUFFER_BYTES;
use super::stream::Stream;
use super::table::{Conn, Port, Table};
use crate::memory::MemoryBudget;
use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::error::DispatchError;
use actix_http::{HttpService, Request, Response};
use actix_server::{Server, ServerBuilder};
use actix_service::{
    IntoServiceFactory, Service, ServiceFactory, ServiceFactoryExt, apply_fn_factory, fn_service,
    map_config,
};
use actix_web::HttpResponse;
use actix_web::dev::AppConfig;
use actix_web::rt::net::TcpStream;
use bytes::Bytes;
use std::fmt::Debug;
use std::future::ready;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpSocket;

/// Result of starting a server.
pub type Result<T> = std::result::Result<T, io::Error>;

/// Maximum number of connections waiting to be accepted.
const BACKLOG: u32 = 256;

/// Time for which the rest of a request is read after it was refused, so that its client sees the
/// answer instead of a reset connection.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Settings of a server.
#[derive(Clone, Copy, Debug)]
pub struct HttpSettings {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Timeout for the first request head of a connection.
    pub head_timeout: Duration,
    /// Timeout of an idle connection.
    pub idle_timeout: Duration,
    /// Time for open requests when the server stops.
    pub shutdown_timeout: Duration,
}

/// Listens on `addr` with a small receive buffer for each connection. Must be called within an
/// actix system.
pub fn listen(addr: SocketAddr) -> Result<TcpListener> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES as u32)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)?.into_std()
}

/// Serves an app on one thread.
pub fn serve<F, I, S, B>(
    listener: TcpListener,
    settings: HttpSettings,
    port: Port,
    app: F,
) -> Result<Server>
where
    F: Fn() -> I + Clone + Send + 'static,
    I: IntoServiceFactory<S, Request>,
    S: ServiceFactory<Request, Config = AppConfig> + 'static,
    S::Error: Into<actix_web::Error>,
    S::InitError: Debug,
    S::Response: Into<Response<B>>,
    B: MessageBody + 'static,
{
    let builder = ServerBuilder::new()
        .workers(1)
        .max_concurrent_connections(port.limits().connections)
        .shutdown_timeout(settings.shutdown_timeout.as_secs())
        .disable_signals();
    // Lets open requests end and idle connections close on a graceful stop, as in actix-web's server.
    let stopping = builder.graceful_shutdown_signal();
    let server = builder.listen("http", listener, move || {
        let table = Table::new(port.clone());
        actix_web::rt::spawn(table.clone().check_regularly());
        let app = app().into_factory().map_err(|e| e.into().error_response());
        let app = map_config(app, |()| AppConfig::default());
        let app = apply_fn_factory(app, |req: Request, app: &_| {
            let conn = req.conn_data::<Rc<Conn>>().cloned();
            let resp = app.call(req);
            async move {
                let resp = match resp.await {
                    Ok(resp) => Into::<Response<B>>::into(resp).map_into_boxed_body(),
                    Err(resp) => Response::from(resp),
                };
                Ok::<_, HttpResponse>(resp.map_body(|_, body| AnswerBody { body, conn }))
            }
        });
        let stopping = stopping.clone();
        let http = HttpService::build()
            .keep_alive(settings.idle_timeout)
            .client_request_timeout(settings.head_timeout)
            .client_disconnect_timeout(LINGER_TIME)
            .graceful_shutdown_signal(move || {
                let stopping = stopping.clone();
                async move { stopping.notified().await }
            })
            .on_connect_ext(|stream: &Stream<TcpStream, Requests>, ext| {
                ext.insert(stream.conn().clone());
            })
            .h1(app);
        // Bodies are counted by whoever reads them.
        let budget = MemoryBudget::new(0);
        fn_service(move |io: TcpStream| {
            let peer = io.peer_addr().ok();
            let framing = Requests::new(settings.head_bytes);
            let conn = table.add().ok_or(DispatchError::Io(ErrorKind::ConnectionRefused.into()));
            ready(conn.map(|conn| (Stream::new(io, framing, conn, &budget), peer)))
        })
        .and_then(http)
    })?;
    Ok(server.run())
}

/// Body of an answer. The next request of the connection is let through when it is dropped, at the
/// end of the answer.
struct AnswerBody {
    body: BoxBody,
    conn: Option<Rc<Conn>>,
}

impl MessageBody for AnswerBody {
    type Error = <BoxBody as MessageBody>::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.get_mut().body).poll_next(cx)
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        if let Some(conn) = &self.conn {
            conn.answer();
        }
    }
}
