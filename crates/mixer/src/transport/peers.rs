//! Datagrams between the mixers of a tier. They may be lost: nothing waits for one.

use super::{Addresses, Shared};
use crate::routing::Input;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;

/// Who is where: mixers by their numbers, and one address for all.
#[derive(Clone, Debug)]
pub struct Book {
    peers: Vec<SocketAddr>,
    all: Option<SocketAddr>,
}

impl Book {
    pub fn new(addresses: &Addresses) -> Book {
        Book { peers: addresses.peers.clone(), all: addresses.peers_all }
    }

    pub fn send(&self, socket: &UdpSocket, to: Option<u32>, bytes: &[u8]) {
        let address = match to {
            Some(peer) => self.peers.get(peer as usize).copied(),
            None => self.all,
        };
        if let Some(Err(e)) = address.map(|address| socket.try_send_to(bytes, address)) {
            tracing::debug!("datagram not sent: {e}");
        }
    }
}

pub async fn listen(shared: Shared, socket: Rc<UdpSocket>, book: Book) {
    let mut buffer = [0; super::pool::BUFFER];
    loop {
        // An error here reports on a datagram sent before, to a mixer that is down.
        let Ok((length, sender)) = socket.recv_from(&mut buffer).await else { continue };
        if let Some(from) = book.peers.iter().position(|peer| *peer == sender) {
            let input = Input::Datagram { from: from as u32, bytes: buffer[..length].to_vec() };
            let _ = shared.inputs.send(input).await;
        }
    }
}
