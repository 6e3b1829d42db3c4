//! The driver: passes inputs and timers to the reducer, and performs the effects that it returns.

use super::client_connection::ClientCommand;
use super::client_listener;
use super::discovery_watch::DiscoveryWatch;
use super::leaf_connection::{self, LeafConnectionHandle};
use super::peers::PeerSocket;
use super::shared::{Shared, MAX_QUEUED_INPUTS, MAX_QUEUED_UPDATES};
use super::{Addresses, ClientReply, Clock, Control, Integrations, PendingReplies, QueryClient};
use crate::log_targets;
use crate::protocol::leaf_frames::LeafRequest;
use crate::protocol::query_json::QuerySchema;
use crate::reducer::counters::Counters;
use crate::reducer::usage::{UsageRecord, Watermark};
use crate::reducer::{ClientId, ConnectionId, Effect, Input, Reducer};
use cottonhill_decisions::Nanos;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, yield_now, AbortHandle};
use tokio::time::{sleep, sleep_until, Duration, Instant};

/// Inputs that one batch takes at most, so that timers are punctual under load.
const MAX_BATCH_INPUTS: usize = 256;
/// The time that the last replies have to be written before the mixer ends.
const FINAL_FLUSH_TIME: Duration = Duration::from_millis(50);

/// Serves on `listener` until the reducer ends the mixer. Must run inside a `LocalSet`.
///
/// # Errors
/// The socket for datagrams can't be bound.
pub async fn serve(
    reducer: Reducer,
    clock: Clock,
    query_schema: QuerySchema,
    listener: TcpListener,
    addresses: Addresses,
    controls: mpsc::Receiver<Control>,
    integrations: Integrations,
) -> io::Result<()> {
    let (inputs, input_queue) = mpsc::channel(MAX_QUEUED_INPUTS);
    let (updates, update_queue) = mpsc::channel(MAX_QUEUED_UPDATES);
    let shared = Shared::new(clock, reducer.watch_policy(), query_schema, inputs, updates);
    let peers = open_peer_socket(&shared, &addresses).await?;
    let max_clients = reducer.max_clients();
    spawn_local(client_listener::listen(
        shared.clone(),
        listener,
        max_clients,
    ));
    let from_version = Some(reducer.endpoint_list_version());
    let discovery_watch = start_discovery_watch(&shared, addresses.discovery, from_version);
    for start_front in integrations.fronts {
        start_front(QueryClient::new(shared.clone()));
    }
    let driver = Driver {
        reducer,
        shared,
        leaf_connections: HashMap::new(),
        peers,
        discovery_watch,
        pending_replies: integrations.recorder.map(PendingReplies::new),
        exited: false,
    };
    driver
        .run(EventQueues {
            controls,
            updates: update_queue,
            inputs: input_queue,
        })
        .await;
    Ok(())
}

/// The socket for datagrams, if the mixer exchanges any.
async fn open_peer_socket(
    shared: &Shared,
    addresses: &Addresses,
) -> io::Result<Option<PeerSocket>> {
    let Some(address) = addresses.peer_listen else {
        return Ok(None);
    };
    let socket = UdpSocket::bind(address).await?;
    Ok(Some(PeerSocket::start(shared, socket, addresses)))
}

/// Starts a watch after a version, or with a snapshot first if that is `None`.
fn start_discovery_watch(
    shared: &Shared,
    address: SocketAddr,
    from_version: Option<u64>,
) -> AbortHandle {
    let watch = DiscoveryWatch::new(
        shared.buffers.clone(),
        shared.updates.clone(),
        shared.watch_policy.clone(),
        address,
        from_version,
    );
    spawn_local(watch.run()).abort_handle()
}

/// Where events arrive, in the order of their precedence.
struct EventQueues {
    controls: mpsc::Receiver<Control>,
    updates: mpsc::Receiver<Input>,
    inputs: mpsc::Receiver<Input>,
}

/// Why the driver woke up.
enum Wakeup {
    Control(Control),
    /// An input from discovery.
    Update(Input),
    /// Usage records were written that replies are held for.
    RecordsWritten,
    /// Any other input.
    Input(Input),
    /// A timer of the reducer or of a held reply is due.
    TimerDue,
}

/// The reducer, and what performs its effects.
struct Driver {
    reducer: Reducer,
    shared: Shared,
    leaf_connections: HashMap<ConnectionId, LeafConnectionHandle>,
    peers: Option<PeerSocket>,
    discovery_watch: AbortHandle,
    /// `None` if usage is not recorded.
    pending_replies: Option<PendingReplies>,
    exited: bool,
}

impl Driver {
    /// Processes events until the reducer ends the mixer.
    async fn run(mut self, mut queues: EventQueues) {
        while !self.exited {
            match self.next_wakeup(&mut queues).await {
                Wakeup::RecordsWritten => self.send_ready_replies(),
                Wakeup::Input(input) => self.process_inputs(input, &mut queues.inputs).await,
                Wakeup::Control(control) => {
                    let input = self.control_input(control);
                    self.process_input(input);
                }
                Wakeup::Update(input) => self.process_input(input),
                Wakeup::TimerDue => self.process_batch(),
            }
        }
        self.close_recorder();
        sleep(FINAL_FLUSH_TIME).await;
    }

    async fn next_wakeup(&mut self, queues: &mut EventQueues) -> Wakeup {
        let timer = self.next_timer();
        let wake_at = timer.unwrap_or_else(|| self.shared.clock.instant(0));
        tokio::select! {
            biased;
            Some(control) = queues.controls.recv() => Wakeup::Control(control),
            Some(update) = queues.updates.recv() => Wakeup::Update(update),
            () = records_written(&mut self.pending_replies) => Wakeup::RecordsWritten,
            Some(input) = queues.inputs.recv() => Wakeup::Input(input),
            () = sleep_until(wake_at), if timer.is_some() => Wakeup::TimerDue,
        }
    }

    /// When the next timer is due, of the reducer or of a held reply. One timer for both, since arming one is costly.
    fn next_timer(&self) -> Option<Instant> {
        let clock = self.shared.clock;
        let reducer_timer = self.reducer.next_due().map(|due| clock.instant(due));
        let reply_deadline = self
            .pending_replies
            .as_ref()
            .and_then(PendingReplies::next_deadline);
        reducer_timer.into_iter().chain(reply_deadline).min()
    }

    /// Applies a batch of the inputs that are ready.
    async fn process_inputs(&mut self, first: Input, inputs: &mut mpsc::Receiver<Input>) {
        // What other sockets have ready joins the same batch.
        yield_now().await;
        let now = self.shared.clock.now();
        self.apply(now, first);
        for _ in 1..MAX_BATCH_INPUTS {
            let Ok(input) = inputs.try_recv() else { break };
            self.apply(now, input);
        }
        self.apply(now, Input::ProcessBatch);
    }

    /// Applies a batch of one input.
    fn process_input(&mut self, input: Input) {
        self.apply(self.shared.clock.now(), input);
        self.process_batch();
    }

    /// Ends a batch, and sends the replies that are no longer held.
    fn process_batch(&mut self) {
        self.apply(self.shared.clock.now(), Input::ProcessBatch);
        self.send_ready_replies();
    }

    /// Applies an input to the reducer and performs the effects.
    fn apply(&mut self, now: Nanos, input: Input) {
        for effect in self.reducer.apply(now, input) {
            self.perform(effect);
        }
    }

    fn control_input(&mut self, control: Control) -> Input {
        match control {
            Control::Terminate => Input::ShutdownRequested,
            Control::Reload(addresses) => {
                self.reload_peers(addresses.as_ref());
                // Discovery's address is part of the reducer's state.
                Input::ConfigReloaded {
                    discovery: addresses.map(|addresses| addresses.discovery),
                }
            }
        }
    }

    fn reload_peers(&mut self, addresses: Option<&Addresses>) {
        if let (Some(peers), Some(addresses)) = (&mut self.peers, addresses) {
            peers.set_addresses(&self.shared, addresses);
        }
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Reply {
                client,
                reply,
                close,
            } => self.reply_when_recorded(ClientReply {
                client,
                reply,
                close,
            }),
            Effect::CloseClient { client, immediate } => self.close_client(client, immediate),
            Effect::RecordUsage(usage) => self.record_usage(usage),
            Effect::RecordWatermark(watermark) => self.record_watermark(watermark),
            Effect::Connect {
                connection,
                address,
            } => self.connect(connection, address),
            Effect::WriteFrame { connection, frame } => self.write_frame(connection, frame),
            Effect::CloseConnection { connection } => {
                self.leaf_connections.remove(&connection);
            }
            Effect::SendDatagram { to, bytes } => self.send_datagram(to, &bytes),
            Effect::WatchEndpoints {
                address,
                from_version,
            } => self.restart_discovery_watch(address, from_version),
            Effect::CloseListener => {
                self.shared.listener_closed.send_replace(true);
            }
            Effect::Exit(counters) => self.exit(&counters),
        }
    }

    fn record_usage(&mut self, usage: UsageRecord) {
        if let Some(pending_replies) = &mut self.pending_replies {
            pending_replies.record(usage);
        }
    }

    fn record_watermark(&mut self, watermark: Watermark) {
        if let Some(pending_replies) = &mut self.pending_replies {
            pending_replies.record_watermark(watermark);
        }
    }

    /// Sends a reply, or holds it until its usage record is written.
    fn reply_when_recorded(&mut self, reply: ClientReply) {
        let ready = match &mut self.pending_replies {
            Some(pending_replies) => pending_replies.enqueue(reply),
            None => Some(reply),
        };
        if let Some(reply) = ready {
            self.send_reply(reply);
        }
    }

    fn send_reply(&self, reply: ClientReply) {
        let command = ClientCommand::Reply {
            reply: Box::new(reply.reply),
            close: reply.close,
        };
        self.command_client(reply.client, command);
    }

    /// Sends the held replies whose records are written, or that were held for long enough.
    fn send_ready_replies(&mut self) {
        while let Some(reply) = self
            .pending_replies
            .as_mut()
            .and_then(PendingReplies::pop_ready)
        {
            self.send_reply(reply);
        }
    }

    fn close_client(&mut self, client: ClientId, immediate: bool) {
        if let Some(pending_replies) = &mut self.pending_replies {
            pending_replies.close_client(client);
        }
        self.command_client(client, ClientCommand::Close { immediate });
    }

    /// Hands a command to the task of a client's connection.
    fn command_client(&self, client: ClientId, command: ClientCommand) {
        // The queue is full only if the task waits for a client that does not read; that client loses its reply.
        if self.shared.command_client(client, command).is_err() {
            tracing::debug!(target: log_targets::TRANSPORT, client, "command to client dropped, connection closed or blocked");
        }
    }

    fn connect(&mut self, connection: ConnectionId, address: SocketAddr) {
        self.leaf_connections
            .retain(|_, handle| !handle.is_finished());
        let handle = leaf_connection::connect(self.shared.clone(), connection, address);
        self.leaf_connections.insert(connection, handle);
    }

    fn write_frame(&self, connection: ConnectionId, frame: LeafRequest) {
        if let Some(handle) = self.leaf_connections.get(&connection) {
            handle.write(frame);
        }
    }

    fn send_datagram(&self, peer: Option<u32>, bytes: &[u8]) {
        if let Some(peers) = &self.peers {
            peers.send(peer, bytes);
        }
    }

    fn restart_discovery_watch(&mut self, address: SocketAddr, from_version: Option<u64>) {
        self.discovery_watch.abort();
        self.discovery_watch = start_discovery_watch(&self.shared, address, from_version);
    }

    fn exit(&mut self, counters: &Counters) {
        let counters = serde_json::to_string(counters).unwrap_or_default();
        tracing::info!(target: log_targets::TRANSPORT, counters, "shutdown complete, all accepted requests answered");
        self.exited = true;
    }

    /// Writes the queued usage records, and sends every reply that is still held.
    fn close_recorder(&mut self) {
        let held = self.pending_replies.as_mut().map(PendingReplies::close);
        for reply in held.unwrap_or_default() {
            self.send_reply(reply);
        }
    }
}

/// Returns once usage records were written that replies are held for; never if usage is not recorded.
async fn records_written(pending_replies: &mut Option<PendingReplies>) {
    match pending_replies {
        Some(pending_replies) => pending_replies.wait_for_records().await,
        None => std::future::pending().await,
    }
}
