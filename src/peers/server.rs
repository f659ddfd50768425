//! The peer port: answers the other daemons' calls.

use super::{Call, Incoming, MAX_FRAME_BYTES, PeerRpc, Peers, Reply};
use crate::config::follow::Known;
use crate::control::Control;
use crate::front::forward::call_local_writer;
use crate::ids::Revision;
use crate::peer::{Member, PeerMsg};
use crate::storage::{GetSnapshot, HearRevision, Storage};
use crate::usage::{Counting, Usage};
use actix::Addr;
use futures::StreamExt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;

/// Result of serving.
pub type Result<T> = std::result::Result<T, io::Error>;

#[derive(Clone)]
struct Server {
    peers: Addr<Peers>,
    control: Addr<Control>,
    storage: Addr<Storage>,
    me: Member,
}

/// Listens on `addr` and answers on the present thread until it ends; returns the bound address.
pub async fn serve(
    addr: SocketAddr,
    me: impl FnOnce(SocketAddr) -> Member,
    peers: impl FnOnce(Member) -> Addr<Peers>,
    control: Addr<Control>,
    storage: Addr<Storage>,
    usage: Arc<Usage>,
) -> Result<(Member, Addr<Peers>)> {
    let codec = move || Counting::new(Bincode::default(), usage.clone());
    let mut listener = tarpc::serde_transport::tcp::listen(addr, codec).await?;
    listener.config_mut().max_frame_length(MAX_FRAME_BYTES);
    let me = me(listener.local_addr());
    let peers = peers(me.clone());
    let server = Server { peers: peers.clone(), control, storage, me: me.clone() };
    actix::spawn(async move {
        while let Some(incoming) = listener.next().await {
            let Ok(transport) = incoming else { continue };
            let requests = BaseChannel::with_defaults(transport).execute(server.clone().serve());
            actix::spawn(requests.for_each(|answer| async {
                actix::spawn(answer);
            }));
        }
    });
    Ok((me, peers))
}

impl PeerRpc for Server {
    async fn exchange(self, _: Context, from: Member) -> Member {
        self.deliver_to_core(from, Vec::new()).await
    }

    async fn deliver(self, _: Context, from: Member, msgs: Vec<PeerMsg>) -> Member {
        self.deliver_to_core(from, msgs).await
    }

    async fn known(self, _: Context, revision: Revision) -> Known {
        let hear = HearRevision { revision, from: None };
        self.storage.send(hear).await.map(|told| told.0).unwrap_or_default()
    }

    async fn snapshot(self, _: Context, than: Revision) -> Option<Vec<u8>> {
        self.storage.send(GetSnapshot { than }).await.ok().flatten()
    }

    async fn forward(self, _: Context, call: Call) -> Reply {
        call_local_writer(&self.control, &self.storage, call).await
    }
}

impl Server {
    async fn deliver_to_core(self, from: Member, msgs: Vec<PeerMsg>) -> Member {
        let me = self.me.clone();
        self.peers.send(Incoming { from, msgs }).await.unwrap_or(me)
    }
}
