//! Connections: accepts them, and moves messages between a channel and the core.

use std::net;

use ntex::rt;
use tokio::net as tokio_net;
use tokio::sync::mpsc;

use super::Context;
use super::calls;
use super::core;
use crate::link;
use crate::wire;

/// Maximum number of incoming connections: stewards of the zone, the gateways of other zones (the
/// stewards that keep links between zones), an entry process and some operators.
const MAX_CONNECTIONS: usize = 256;

/// Approximate bytes of a frame besides its message, for the counters: length, tag, sender,
/// incarnation, sequence number and nonce.
const FRAME_OVERHEAD: usize = 69;

/// Delay after a failed accept, for example when no file descriptor is free.
const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(100);

/// Returns this steward's identity on links.
pub(super) fn identity(context: &Context) -> link::Identity {
    link::Identity {
        sender: context.settings.host.to_string(),
        incarnation: context.incarnation,
        zone: context.settings.zone.clone(),
        role: wire::Role::Steward,
        key: context.settings.key.clone(),
    }
}

/// Accepts connections, at most [`MAX_CONNECTIONS`] at a time.
pub(super) async fn listen(context: Context, listener: tokio_net::TcpListener) {
    let permits = std::sync::Arc::new(tokio::sync::Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, address)) => {
                let context = context.clone();
                rt::spawn(async move {
                    accept(context, stream, address).await;
                    drop(permit);
                });
            }
            Err(error) => {
                log::warn!("accepting a connection failed: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn accept(context: Context, stream: tokio_net::TcpStream, address: net::SocketAddr) {
    match link::Channel::accept(stream, address, &identity(&context)).await {
        Ok((channel, peer)) => serve(&context, channel, peer, false).await,
        Err(error) => {
            log::debug!("{error}");
            let counters = context.core.borrow().counters.clone();
            core::Counters::add(&counters.connections_refused, 1);
        }
    }
}

/// Runs a connection until it is closed.
pub(super) async fn serve(
    context: &Context,
    channel: link::Channel,
    peer: link::Peer,
    is_dialed: bool,
) {
    let sender = peer.sender.clone();
    let is_steward = peer.role == wire::Role::Steward;
    let (link_id, receiver) = context.core.borrow_mut().add_link(peer, is_dialed);
    let ended = exchange(context, channel, (link_id, is_steward), receiver).await;
    context.core.borrow_mut().remove_link(link_id);
    if let Err(error) = ended {
        log::debug!("link to {sender} closed: {error}");
    }
}

/// Moves messages in both directions until the connection fails or the core removes the link.
async fn exchange(
    context: &Context,
    mut channel: link::Channel,
    (link_id, is_steward): (core::LinkId, bool),
    mut receiver: mpsc::Receiver<wire::Body>,
) -> Result<(), link::Error> {
    let counters = context.core.borrow().counters.clone();
    loop {
        tokio::select! {
            frame = channel.receive() => {
                let Some(body) = frame?.body else { continue };
                if is_steward {
                    let bytes = (body.encoded_len() + FRAME_OVERHEAD) as u64;
                    core::Counters::add(&counters.peer_frames_received, 1);
                    core::Counters::add(&counters.peer_bytes_received, bytes);
                }
                match body {
                    wire::Body::Call(call) => {
                        rt::spawn(calls::handle(context.clone(), link_id, call));
                    }
                    body => context.core.borrow_mut().handle_message(body, link_id),
                }
            },
            body = receiver.recv() => {
                let Some(body) = body else { return Ok(()) };
                let bytes = (body.encoded_len() + FRAME_OVERHEAD) as u64;
                core::Counters::add(&counters.frames_sent, 1);
                core::Counters::add(&counters.frame_bytes_sent, bytes);
                if is_steward {
                    core::Counters::add(&counters.peer_frames_sent, 1);
                    core::Counters::add(&counters.peer_bytes_sent, bytes);
                    if let Some(kind) = core::kind(&body) {
                        core::Counters::add(&counters.kind_bytes_sent[kind], bytes);
                    }
                }
                channel.send(body).await?;
            }
        }
    }
}
