//! Datagrams between the mixers of a tier. They may be lost: nothing depends on the arrival of one.

use super::{Addresses, Shared};
use crate::log_targets;
use crate::reducer::Input;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;

/// The addresses of the other mixers, by their numbers, and the one that reaches all.
#[derive(Clone, Debug)]
pub struct Book {
    peers: Vec<SocketAddr>,
    all: Option<SocketAddr>,
}

impl Book {
    /// The address book of a configuration.
    pub fn new(addresses: &Addresses) -> Book {
        Book {
            peers: addresses.peers.clone(),
            all: addresses.peers_all,
        }
    }

    /// Sends a datagram to one mixer, or to all. It is dropped if the socket has no room or the number is unknown.
    pub fn send(&self, socket: &UdpSocket, to: Option<u32>, bytes: &[u8]) {
        let address = match to {
            Some(peer) => self.peers.get(peer as usize).copied(),
            None => self.all,
        };
        if let Some(Err(e)) = address.map(|address| socket.try_send_to(bytes, address)) {
            tracing::debug!(target: log_targets::PEERS, "datagram not sent: {e}");
        }
    }
}

/// Reports the datagrams of known mixers to the reducer; those of other senders are dropped.
pub async fn listen(shared: Shared, socket: Rc<UdpSocket>, book: Book) {
    let mut buffer = [0; super::buffer_pool::BUFFER];
    loop {
        // An error here is about a datagram sent before, to a mixer that is down.
        let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        if let Some(from) = book.peers.iter().position(|peer| *peer == sender) {
            let input = Input::DatagramReceived {
                from: from as u32,
                bytes: buffer[..length].to_vec(),
            };
            let _ = shared.inputs.send(input).await;
        }
    }
}
