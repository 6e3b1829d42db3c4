//! UDP datagrams between the mixers of a fleet. Correctness does not depend on their delivery.

use super::shared::Shared;
use super::Addresses;
use crate::log_targets;
use crate::reducer::Input;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::task::AbortHandle;

/// Maximum size of a datagram in bytes; longer ones are dropped.
const MAX_DATAGRAM_BYTES: usize = 256;

/// The addresses of the other mixers.
#[derive(Clone, Debug)]
struct PeerAddresses {
    /// Indexed by mixer number.
    peers: Vec<SocketAddr>,
    /// Address that reaches all other mixers.
    all: Option<SocketAddr>,
}

impl PeerAddresses {
    fn new(addresses: &Addresses) -> PeerAddresses {
        PeerAddresses {
            peers: addresses.peers.clone(),
            all: addresses.peers_all,
        }
    }

    /// Returns the address of one mixer, or the address that reaches all; `None` if it is not configured.
    fn address(&self, peer: Option<u32>) -> Option<SocketAddr> {
        match peer {
            Some(number) => self.peers.get(number as usize).copied(),
            None => self.all,
        }
    }

    fn peer_number(&self, address: SocketAddr) -> Option<u32> {
        let index = self.peers.iter().position(|peer| *peer == address)?;
        Some(index as u32)
    }
}

/// The UDP socket and the task that receives its datagrams.
pub struct PeerSocket {
    socket: Rc<UdpSocket>,
    addresses: PeerAddresses,
    receiver: AbortHandle,
}

impl PeerSocket {
    /// Starts receiving datagrams on a socket.
    pub fn start(shared: &Shared, socket: UdpSocket, addresses: &Addresses) -> PeerSocket {
        PeerSocket::start_receiver(shared, Rc::new(socket), addresses)
    }

    /// Replaces the addresses of the other mixers; the socket is kept.
    pub fn set_addresses(&mut self, shared: &Shared, addresses: &Addresses) {
        self.receiver.abort();
        *self = PeerSocket::start_receiver(shared, self.socket.clone(), addresses);
    }

    fn start_receiver(shared: &Shared, socket: Rc<UdpSocket>, addresses: &Addresses) -> PeerSocket {
        let addresses = PeerAddresses::new(addresses);
        let receiving = receive(shared.clone(), socket.clone(), addresses.clone());
        PeerSocket {
            socket,
            addresses,
            receiver: tokio::task::spawn_local(receiving).abort_handle(),
        }
    }

    /// Sends a datagram to one mixer, or to all if `peer` is `None`. The datagram is dropped if the socket's buffer is
    /// full or no address is configured for `peer`.
    pub fn send(&self, peer: Option<u32>, bytes: &[u8]) {
        let Some(address) = self.addresses.address(peer) else {
            return;
        };
        if let Err(e) = self.socket.try_send_to(bytes, address) {
            tracing::debug!(target: log_targets::PEERS, "datagram to {address} not sent: {e}");
        }
    }
}

/// Passes the datagrams of configured mixers to the reducer; datagrams of other senders are dropped.
async fn receive(shared: Shared, socket: Rc<UdpSocket>, addresses: PeerAddresses) {
    // One byte more, to detect longer datagrams.
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        // An error reported here concerns an earlier datagram to a mixer that is down.
        let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        if length > MAX_DATAGRAM_BYTES {
            tracing::debug!(target: log_targets::PEERS, "datagram of {sender} dropped: over {MAX_DATAGRAM_BYTES} bytes");
        } else if let Some(from) = addresses.peer_number(sender) {
            let bytes = buffer[..length].to_vec();
            shared
                .send_input(Input::DatagramReceived { from, bytes })
                .await;
        }
    }
}
