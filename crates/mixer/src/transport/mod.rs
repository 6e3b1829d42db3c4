//! Sockets, timers and buffers: reports events to the reducer as [`Input`]s and performs the [`Effect`]s that it
//! returns. Nothing is decided here.

mod buffer_pool;
mod client_connections;
mod clock;
mod discovery_watch;
mod leaf_connections;
mod ledger;
mod peers;
mod query_client;

pub use clock::Clock;
pub use ledger::{ClientReply, PendingReplies, Recorder};
pub use query_client::QueryClient;

use crate::log_targets;
use crate::protocol::query_json::QuerySchema;
use crate::reducer::{ClientId, ConnectionId, Effect, Input, Reducer, WatchPolicy};
use buffer_pool::Pool;
use futures_util::StreamExt;
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

/// Inputs that may be queued; past it sockets are not read until the reducer has caught up.
const MOST_INPUTS: usize = 1024;
/// The same for lists from discovery: one may be large, and the next can wait at its socket.
pub const MOST_LISTS: usize = 2;
/// The most inputs that one turn takes, so that timers are punctual under a flood.
const MOST_BATCH: usize = 256;
/// Commands that may be queued at one connection. The reducer gives each one frame or reply at a time.
const MOST_COMMANDS: usize = 4;
/// The time that the last replies have to be written when the mixer ends.
const LAST_FLUSH: Duration = Duration::from_millis(50);

/// The addresses of the services that the mixer uses.
#[derive(Clone, Debug)]
pub struct Addresses {
    pub discovery: SocketAddr,
    /// Where datagrams of other mixers are received; `None` for neither receiving nor sending any.
    pub peer_listen: Option<SocketAddr>,
    /// The other mixers, by their numbers.
    pub peers: Vec<SocketAddr>,
    /// The one address that reaches all other mixers.
    pub peers_all: Option<SocketAddr>,
}

/// A command from the operator to a running mixer.
pub enum Control {
    /// End once what is open is answered.
    Terminate,
    /// Use these addresses from now on; `None` if the new configuration is invalid.
    Reload(Option<Addresses>),
}

/// What the tasks of all connections share.
#[derive(Clone)]
struct Shared {
    clock: Clock,
    /// How the watch on discovery is kept up.
    watching: WatchPolicy,
    pool: Pool,
    inputs: mpsc::Sender<Input>,
    /// Inputs from discovery, which do not wait behind the others.
    lists: mpsc::Sender<Input>,
    /// Where each open connection of a client takes commands.
    clients: Rc<RefCell<HashMap<ClientId, mpsc::Sender<client_connections::Command>>>>,
    /// Notified whenever a client's connection has ended, as there may be room for one more.
    client_ended: Rc<Notify>,
    query_schema: Rc<QuerySchema>,
    last_client: Rc<Cell<ClientId>>,
    /// True once no more connections are accepted.
    stopped: Rc<latest::Sender<bool>>,
}

impl Shared {
    /// A new client's number.
    fn client(&self) -> ClientId {
        self.last_client.set(self.last_client.get() + 1);
        self.last_client.get()
    }
}

/// Starts a front of another protocol; called once the reducer can be asked.
pub type StartFront = Box<dyn FnOnce(QueryClient)>;

/// What runs beside the native front, as far as the settings ask for it.
#[derive(Default)]
pub struct Beside {
    /// Where usage records go.
    pub recorder: Option<Box<dyn Recorder>>,
    /// Fronts of other protocols.
    pub fronts: Vec<StartFront>,
}

/// Performs the reducer's effects on sockets.
struct Driver {
    shared: Shared,
    connections: HashMap<ConnectionId, leaf_connections::Handle>,
    udp: Option<Udp>,
    watch: AbortHandle,
    /// Replies that wait for their usage records, where a usage log is kept.
    pending_replies: Option<PendingReplies>,
    exited: bool,
}

/// The socket for datagrams, the other mixers' addresses, and the task that receives.
struct Udp {
    socket: Rc<UdpSocket>,
    book: peers::Book,
    task: AbortHandle,
}

impl Udp {
    fn start(shared: &Shared, socket: Rc<UdpSocket>, addresses: &Addresses) -> Udp {
        let book = peers::Book::new(addresses);
        let task =
            tokio::task::spawn_local(peers::listen(shared.clone(), socket.clone(), book.clone()));
        Udp {
            socket,
            book,
            task: task.abort_handle(),
        }
    }
}

/// Starts a watch on discovery, for changes from a version on or with the whole list first.
fn watch(shared: &Shared, address: SocketAddr, from: Option<u64>) -> AbortHandle {
    let Shared {
        pool,
        lists,
        watching,
        ..
    } = shared.clone();
    tokio::task::spawn_local(discovery_watch::follow(
        pool, lists, watching, address, from,
    ))
    .abort_handle()
}

/// Follows discovery's list for ever as a serving mixer does, from version `from` on or from the whole list, and sends
/// what it tells as inputs for the reducer. It ends only when it is dropped.
pub async fn follow_list(
    lists: mpsc::Sender<Input>,
    watching: WatchPolicy,
    address: SocketAddr,
    from: Option<u64>,
) {
    discovery_watch::follow(Pool::default(), lists, watching, address, from).await;
}

/// The next message of a connection; `None` at its end.
///
/// A message has to be whole within `most` from its first byte, however many bytes arrive on the way. `begun` is when
/// the one that is being read began. It outlives this call, which is cancel safe.
///
/// # Errors
/// [`Elapsed`] if the message was not whole in time.
async fn message<C: Decoder>(
    connection: &mut Framed<TcpStream, C>,
    begun: &mut Option<Instant>,
    most: Duration,
) -> Result<Option<Result<C::Item, C::Error>>, Elapsed> {
    let since = match *begun {
        Some(since) => since,
        None => {
            if connection.read_buffer().is_empty() {
                // An error recurs at the read that follows.
                let _ = connection.get_ref().readable().await;
            }
            *begun.insert(Instant::now())
        }
    };
    let next = timeout_at(since + most, connection.next()).await?;
    *begun = None;
    Ok(next)
}

/// Serves on `listener` until the reducer ends the mixer. Must run inside a `LocalSet`.
///
/// # Errors
/// The socket for datagrams can't be bound.
pub async fn serve(
    mut state: Reducer,
    clock: Clock,
    query_schema: QuerySchema,
    listener: TcpListener,
    addresses: Addresses,
    mut controls: mpsc::Receiver<Control>,
    beside: Beside,
) -> io::Result<()> {
    let (inputs, mut arrived) = mpsc::channel(MOST_INPUTS);
    let (lists, mut listed) = mpsc::channel(MOST_LISTS);
    let shared = Shared {
        clock,
        watching: state.watch_policy(),
        pool: Pool::default(),
        inputs,
        lists,
        clients: Rc::default(),
        client_ended: Rc::default(),
        query_schema: Rc::new(query_schema),
        last_client: Rc::default(),
        stopped: Rc::new(latest::channel(false).0),
    };
    let udp = match addresses.peer_listen {
        Some(at) => Some(Udp::start(
            &shared,
            Rc::new(UdpSocket::bind(at).await?),
            &addresses,
        )),
        None => None,
    };
    tokio::task::spawn_local(client_connections::listen(
        shared.clone(),
        listener,
        state.max_clients(),
    ));
    let watch = watch(
        &shared,
        addresses.discovery,
        Some(state.endpoint_list_version()),
    );
    beside
        .fronts
        .into_iter()
        .for_each(|start| start(QueryClient::new(shared.clone())));
    let pending_replies = beside.recorder.map(PendingReplies::new);
    let mut driver = Driver {
        shared,
        connections: HashMap::new(),
        udp,
        watch,
        pending_replies,
        exited: false,
    };
    while !driver.exited {
        // One timer for alarms and replies: arming a second one each turn is costly.
        let reply_due = driver
            .pending_replies
            .as_ref()
            .and_then(PendingReplies::next_deadline);
        let due = state
            .next_due()
            .map(|at| clock.instant(at))
            .into_iter()
            .chain(reply_due)
            .min();
        tokio::select! {
            biased;
            Some(control) = controls.recv() => {
                let input = match control {
                    Control::Terminate => Input::ShutdownRequested,
                    Control::Reload(addresses) => driver.reload(addresses),
                };
                driver.put(&mut state, clock.now(), input);
            }
            Some(input) = listed.recv() => driver.put(&mut state, clock.now(), input),
            () = progress(&mut driver.pending_replies) => {
                driver.send_ready_replies();
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
                driver.put(&mut state, now, Input::ProcessBatch);
                continue;
            }
            () = sleep_until(due.unwrap_or_else(|| clock.instant(0))), if due.is_some() => {}
        }
        driver.put(&mut state, clock.now(), Input::ProcessBatch);
        driver.send_ready_replies();
    }
    driver.close_recorder();
    sleep(LAST_FLUSH).await;
    Ok(())
}

/// Returns once a reply that waits for its record may leave.
async fn progress(pending_replies: &mut Option<PendingReplies>) {
    match pending_replies {
        Some(pending_replies) => pending_replies.progress().await,
        None => std::future::pending().await,
    }
}

impl Driver {
    /// Applies an input to the reducer and performs the effects.
    fn put(&mut self, state: &mut Reducer, now: u64, input: Input) {
        for effect in state.apply(now, input) {
            self.perform(effect);
        }
    }

    /// Uses new addresses for datagrams at once. The address of discovery is part of the reducer's state.
    fn reload(&mut self, addresses: Option<Addresses>) -> Input {
        if let Some((udp, addresses)) = self.udp.as_mut().zip(addresses.as_ref()) {
            udp.task.abort();
            *udp = Udp::start(&self.shared, udp.socket.clone(), addresses);
        }
        Input::ConfigReloaded {
            discovery: addresses.map(|addresses| addresses.discovery),
        }
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Reply {
                client,
                reply,
                close,
            } => {
                let reply = ClientReply {
                    client,
                    reply,
                    close,
                };
                let ready = match &mut self.pending_replies {
                    Some(pending_replies) => pending_replies.enqueue(reply),
                    None => Some(reply),
                };
                if let Some(reply) = ready {
                    self.reply(reply);
                }
            }
            Effect::CloseClient { client, immediate } => {
                if let Some(pending_replies) = &mut self.pending_replies {
                    pending_replies.close_client(client);
                }
                self.command_client(client, client_connections::Command::Close { immediate });
            }
            Effect::RecordUsage(usage) => {
                if let Some(pending_replies) = &mut self.pending_replies {
                    pending_replies.record(usage);
                }
            }
            Effect::RecordWatermark(mark) => {
                if let Some(pending_replies) = &mut self.pending_replies {
                    pending_replies.mark(mark);
                }
            }
            Effect::Connect {
                connection,
                address,
            } => {
                self.connections.retain(|_, handle| !handle.is_over());
                self.connections.insert(
                    connection,
                    leaf_connections::open(self.shared.clone(), connection, address),
                );
            }
            Effect::WriteFrame { connection, frame } => {
                if let Some(handle) = self.connections.get(&connection) {
                    handle.write(frame);
                }
            }
            Effect::CloseConnection { connection } => drop(self.connections.remove(&connection)),
            Effect::SendDatagram { to, bytes } => {
                if let Some(Udp { socket, book, .. }) = &self.udp {
                    book.send(socket, to, &bytes);
                }
            }
            Effect::WatchEndpoints {
                address,
                from_version,
            } => {
                self.watch.abort();
                self.watch = watch(&self.shared, address, from_version);
            }
            Effect::CloseListener => drop(self.shared.stopped.send_replace(true)),
            Effect::Exit(counters) => {
                let text = serde_json::to_string(&*counters).unwrap_or_default();
                tracing::info!(target: log_targets::TRANSPORT, counters = text, "served all that was taken");
                self.exited = true;
            }
        }
    }

    fn reply(
        &self,
        ClientReply {
            client,
            reply,
            close,
        }: ClientReply,
    ) {
        self.command_client(
            client,
            client_connections::Command::Reply(Box::new(reply), close),
        );
    }

    /// Sends the replies whose records are written, or that have waited for long enough.
    fn send_ready_replies(&mut self) {
        while let Some(reply) = self
            .pending_replies
            .as_mut()
            .and_then(PendingReplies::pop_ready)
        {
            self.reply(reply);
        }
    }

    /// Writes the records that wait, and sends every reply that is still queued.
    fn close_recorder(&mut self) {
        let queued = self
            .pending_replies
            .as_mut()
            .map(PendingReplies::close)
            .unwrap_or_default();
        queued.into_iter().for_each(|reply| self.reply(reply));
    }

    /// Hands a command to the task of a client's connection.
    fn command_client(&self, client: ClientId, command: client_connections::Command) {
        if let Some(commands) = self.shared.clients.borrow().get(&client) {
            // Full only if the task waits for a client that does not read; that client loses its reply.
            if commands.try_send(command).is_err() {
                tracing::debug!(target: log_targets::TRANSPORT, client, "a client's connection is over or stuck");
            }
        }
    }
}
