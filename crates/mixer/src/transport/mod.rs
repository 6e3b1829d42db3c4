//! Sockets, timers and buffers. Everything here reports what happened as an [`Input`] and does what an
//! [`Effect`] says; nothing is decided here.

mod clients;
mod clock;
mod door;
mod leaf;
mod ledger;
mod peers;
mod pool;
mod watch;

pub use clock::Clock;
pub use door::Door;
pub use ledger::Recorder;

use crate::protocol::query::{Names, Reply};
use crate::routing::{ClientId, Effect, Input, LinkId, State, Watching};
use futures_util::StreamExt;
use ledger::Ledger;
use pool::Pool;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, watch as latest, Notify};
use tokio::task::AbortHandle;
use tokio::time::error::Elapsed;
use tokio::time::{sleep, sleep_until, timeout_at, Duration, Instant};
use tokio_util::codec::{Decoder, Framed};

/// Inputs that may wait; past it the sockets are read no further until the reducer has caught up.
const MOST_INPUTS: usize = 1024;
/// The same for what discovery tells: a list may be large, and the next one can wait at its socket.
pub const MOST_LISTS: usize = 2;
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

/// What the operator says to a running mixer.
pub enum Control {
    Terminate,
    /// Whom to speak to from now on; none if what was read does not do.
    Reload(Option<Addresses>),
}

/// What every connection's task holds.
#[derive(Clone)]
struct Shared {
    clock: Clock,
    /// How the watch on discovery is kept up.
    watching: Watching,
    pool: Pool,
    inputs: mpsc::Sender<Input>,
    /// What discovery tells, which does not wait behind the rest.
    lists: mpsc::Sender<Input>,
    clients: Rc<RefCell<HashMap<ClientId, mpsc::Sender<clients::Command>>>>,
    /// Told whenever a client's connection has ended: there may be room for one more.
    client_ended: Rc<Notify>,
    names: Rc<Names>,
    last_client: Rc<Cell<ClientId>>,
    /// Set once no more connections are to be taken.
    stopped: Rc<latest::Sender<bool>>,
}

impl Shared {
    /// A number for one more client.
    fn client(&self) -> ClientId {
        self.last_client.set(self.last_client.get() + 1);
        self.last_client.get()
    }
}

/// Starts a front of another protocol; called once the reducer can be asked.
pub type StartFront = Box<dyn FnOnce(Door)>;

/// What runs beside the native front, where it is on.
#[derive(Default)]
pub struct Beside {
    pub recorder: Option<Box<dyn Recorder>>,
    pub fronts: Vec<StartFront>,
}

struct Driver {
    shared: Shared,
    links: HashMap<LinkId, leaf::Handle>,
    udp: Option<Udp>,
    watch: AbortHandle,
    ledger: Option<Ledger>,
    exited: bool,
}

/// The socket for datagrams, who is where, and the task that listens.
struct Udp {
    socket: Rc<UdpSocket>,
    book: peers::Book,
    task: AbortHandle,
}

impl Udp {
    fn start(shared: &Shared, socket: Rc<UdpSocket>, addresses: &Addresses) -> Udp {
        let book = peers::Book::new(addresses);
        let task = tokio::task::spawn_local(peers::listen(shared.clone(), socket.clone(), book.clone()));
        Udp { socket, book, task: task.abort_handle() }
    }
}

fn watch(shared: &Shared, address: SocketAddr, from: Option<u64>) -> AbortHandle {
    let Shared { pool, lists, watching, .. } = shared.clone();
    tokio::task::spawn_local(watch::follow(pool, lists, watching, address, from)).abort_handle()
}

/// Follows discovery's list for ever as a serving mixer does, from version `from` on or from the whole list, and sends
/// what it tells as inputs for the reducer. It ends only when it is dropped.
pub async fn follow_list(
    lists: mpsc::Sender<Input>, watching: Watching, address: SocketAddr, from: Option<u64>,
) {
    watch::follow(Pool::default(), lists, watching, address, from).await;
}

/// The next message of a connection: none at its end, or the time it was late. `begun` is when what is
/// being read began; from then on the whole of it has to come within `most`, however many bytes come on the
/// way. It outlives this call, which may be dropped for something more urgent.
async fn message<C: Decoder>(
    connection: &mut Framed<TcpStream, C>, begun: &mut Option<Instant>, most: Duration,
) -> Result<Option<Result<C::Item, C::Error>>, Elapsed> {
    let since = match *begun {
        Some(since) => since,
        None => {
            if connection.read_buffer().is_empty() {
                // An error shows again at the read that follows.
                let _ = connection.get_ref().readable().await;
            }
            *begun.insert(Instant::now())
        }
    };
    let next = timeout_at(since + most, connection.next()).await?;
    *begun = None;
    Ok(next)
}

/// Serves on `listener` until the reducer asks for the end. Must run inside a `LocalSet`.
pub async fn serve(
    mut state: State, clock: Clock, names: Names, listener: TcpListener, addresses: Addresses,
    mut told: mpsc::Receiver<Control>, beside: Beside,
) -> io::Result<()> {
    let (inputs, mut arrived) = mpsc::channel(MOST_INPUTS);
    let (lists, mut listed) = mpsc::channel(MOST_LISTS);
    let shared = Shared {
        clock,
        watching: state.watching(),
        pool: Pool::default(),
        inputs,
        lists,
        clients: Rc::default(),
        client_ended: Rc::default(),
        names: Rc::new(names),
        last_client: Rc::default(),
        stopped: Rc::new(latest::channel(false).0),
    };
    let udp = match addresses.peer_listen {
        Some(at) => Some(Udp::start(&shared, Rc::new(UdpSocket::bind(at).await?), &addresses)),
        None => None,
    };
    tokio::task::spawn_local(clients::listen(shared.clone(), listener, state.most_clients()));
    let watch = watch(&shared, addresses.discovery, Some(state.list_index()));
    beside.fronts.into_iter().for_each(|start| start(Door::new(shared.clone())));
    let ledger = beside.recorder.map(Ledger::new);
    let mut driver = Driver { shared, links: HashMap::new(), udp, watch, ledger, exited: false };
    while !driver.exited {
        // One timer for both: to arm another for each turn costs more than what it is for.
        let held = driver.ledger.as_ref().and_then(Ledger::until);
        let due = state.next_due().map(|at| clock.instant(at)).into_iter().chain(held).min();
        tokio::select! {
            biased;
            Some(told) = told.recv() => {
                let input = match told {
                    Control::Terminate => Input::Terminate,
                    Control::Reload(addresses) => driver.reload(addresses),
                };
                driver.put(&mut state, clock.now(), input);
            }
            Some(input) = listed.recv() => driver.put(&mut state, clock.now(), input),
            () = progress(&mut driver.ledger) => {
                driver.release();
                continue;
            }
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
        driver.release();
    }
    driver.close_ledger();
    sleep(LAST_FLUSH).await;
    Ok(())
}

/// Returns once a reply that waits for its record may go.
async fn progress(ledger: &mut Option<Ledger>) {
    match ledger {
        Some(ledger) => ledger.progress().await,
        None => std::future::pending().await,
    }
}

impl Driver {
    fn put(&mut self, state: &mut State, now: u64, input: Input) {
        for effect in state.apply(now, input) {
            self.perform(effect);
        }
    }

    /// Datagrams go by the new addresses at once; where the list comes from is state, for the reducer.
    fn reload(&mut self, addresses: Option<Addresses>) -> Input {
        if let Some((udp, addresses)) = self.udp.as_mut().zip(addresses.as_ref()) {
            udp.task.abort();
            *udp = Udp::start(&self.shared, udp.socket.clone(), addresses);
        }
        Input::Reloaded { discovery: addresses.map(|addresses| addresses.discovery) }
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Reply { client, reply, close } => {
                let ready = match &mut self.ledger {
                    Some(ledger) => ledger.hold(client, reply, close),
                    None => Some((client, reply, close)),
                };
                self.reply(ready);
            }
            Effect::CloseClient { client, room } => {
                if let Some(ledger) = &mut self.ledger {
                    ledger.close_client(client);
                }
                self.tell_client(client, clients::Command::Close { room });
            }
            Effect::Record(usage) => {
                if let Some(ledger) = &mut self.ledger {
                    ledger.record(usage);
                }
            }
            Effect::Mark(mark) => {
                if let Some(ledger) = &mut self.ledger {
                    ledger.mark(mark);
                }
            }
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
                if let Some(Udp { socket, book, .. }) = &self.udp {
                    book.send(socket, to, &bytes);
                }
            }
            Effect::Watch { address, from } => {
                self.watch.abort();
                self.watch = watch(&self.shared, address, from);
            }
            Effect::StopListening => drop(self.shared.stopped.send_replace(true)),
            Effect::Exit(counters) => {
                let text = serde_json::to_string(&*counters).unwrap_or_default();
                tracing::info!(counters = text, "served all that was taken");
                self.exited = true;
            }
        }
    }

    fn reply(&self, ready: Option<(ClientId, Reply, bool)>) {
        if let Some((client, reply, close)) = ready {
            self.tell_client(client, clients::Command::Reply(Box::new(reply), close));
        }
    }

    /// Sends the replies whose records are written, or that have waited for long enough.
    fn release(&mut self) {
        while let Some(ready) = self.ledger.as_mut().and_then(Ledger::release) {
            self.reply(Some(ready));
        }
    }

    fn close_ledger(&mut self) {
        let held = self.ledger.as_mut().map(Ledger::close).unwrap_or_default();
        held.into_iter().for_each(|ready| self.reply(Some(ready)));
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
