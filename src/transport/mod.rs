//! Sockets, timers and buffers. Everything here reports what happened as an [`Input`] and does what an
//! [`Effect`] says; nothing is decided here.

mod clients;
mod clock;
mod leaf;
mod peers;
mod pool;
mod watch;

pub use clock::Clock;

use crate::protocol::query::Names;
use crate::routing::{ClientId, Effect, Input, LinkId, State};
use pool::Pool;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::{sleep, sleep_until, Duration};

/// Inputs that may wait; past it the sockets are read no further until the reducer has caught up.
const MOST_INPUTS: usize = 1024;
/// Inputs that one turn takes at most, so that timers stay in time under a flood.
const MOST_BATCH: usize = 256;
/// Commands that may wait at one connection. The reducer gives each a frame or reply at a time.
const MOST_COMMANDS: usize = 4;
/// How long the last replies have to leave, should the end come before they did.
const LAST_FLUSH: Duration = Duration::from_millis(50);

/// Whom the mixer speaks to.
#[derive(Clone, Debug)]
pub struct Addresses {
    pub discovery: SocketAddr,
    pub peer_listen: Option<SocketAddr>,
    pub peers: Vec<SocketAddr>,
    pub peers_all: Option<SocketAddr>,
}

/// What every connection's task holds.
#[derive(Clone)]
struct Shared {
    clock: Clock,
    pool: Pool,
    inputs: mpsc::Sender<Input>,
    clients: Rc<RefCell<HashMap<ClientId, mpsc::Sender<clients::Command>>>>,
    names: Rc<Names>,
}

struct Driver {
    shared: Shared,
    links: HashMap<LinkId, leaf::Handle>,
    udp: Option<(Rc<UdpSocket>, peers::Book)>,
    listener: AbortHandle,
    exited: bool,
}

/// Serves on `listener` until the reducer asks for the end. Must run inside a `LocalSet`.
pub async fn serve(
    mut state: State, clock: Clock, names: Names, listener: TcpListener, addresses: Addresses,
    mut terminate: mpsc::Receiver<()>,
) -> io::Result<()> {
    let (inputs, mut arrived) = mpsc::channel(MOST_INPUTS);
    let shared =
        Shared { clock, pool: Pool::default(), inputs, clients: Rc::default(), names: Rc::new(names) };
    let udp = match addresses.peer_listen {
        Some(at) => Some((Rc::new(UdpSocket::bind(at).await?), peers::Book::new(&addresses))),
        None => None,
    };
    if let Some((socket, book)) = &udp {
        tokio::task::spawn_local(peers::listen(shared.clone(), socket.clone(), book.clone()));
    }
    let listener = tokio::task::spawn_local(clients::listen(shared.clone(), listener)).abort_handle();
    tokio::task::spawn_local(watch::follow(shared.clone(), addresses.discovery, state.list_index()));
    let mut driver = Driver { shared, links: HashMap::new(), udp, listener, exited: false };
    while !driver.exited {
        let due = state.next_due().map(|at| clock.instant(at));
        tokio::select! {
            biased;
            Some(()) = terminate.recv() => driver.put(&mut state, clock.now(), Input::Terminate),
            Some(input) = arrived.recv() => {
                // What the other sockets have ready joins the same turn.
                tokio::task::yield_now().await;
                let now = clock.now();
                driver.put(&mut state, now, input);
                for _ in 1..MOST_BATCH {
                    let Ok(input) = arrived.try_recv() else { break };
                    driver.put(&mut state, now, input);
                }
                driver.put(&mut state, now, Input::Turn);
                continue;
            }
            () = sleep_until(due.unwrap_or_else(|| clock.instant(0))), if due.is_some() => {}
        }
        driver.put(&mut state, clock.now(), Input::Turn);
    }
    sleep(LAST_FLUSH).await;
    Ok(())
}

impl Driver {
    fn put(&mut self, state: &mut State, now: u64, input: Input) {
        for effect in state.apply(now, input) {
            self.perform(effect);
        }
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Reply { client, reply, close } => {
                self.tell_client(client, clients::Command::Reply(Box::new(reply), close));
            }
            Effect::CloseClient { client } => self.tell_client(client, clients::Command::Close),
            Effect::Connect { link, address } => {
                self.links.retain(|_, handle| !handle.is_over());
                self.links.insert(link, leaf::open(self.shared.clone(), link, address));
            }
            Effect::Write { link, frame } => {
                if let Some(handle) = self.links.get(&link) {
                    handle.write(frame);
                }
            }
            Effect::CloseLink { link } => drop(self.links.remove(&link)),
            Effect::Datagram { to, bytes } => {
                if let Some((socket, book)) = &self.udp {
                    book.send(socket, to, &bytes);
                }
            }
            Effect::StopListening => self.listener.abort(),
            Effect::Exit(counters) => {
                let text = serde_json::to_string(&*counters).unwrap_or_default();
                tracing::info!(counters = text, "served all that was taken");
                self.exited = true;
            }
        }
    }

    fn tell_client(&self, client: ClientId, command: clients::Command) {
        if let Some(commands) = self.shared.clients.borrow().get(&client) {
            // Full only if a task is stuck on a client that reads nothing; that client loses its answer.
            if commands.try_send(command).is_err() {
                tracing::debug!(client, "a client's connection is over or stuck");
            }
        }
    }
}
