//! The driver: passes inputs and timers to the reducer, and the effects that it returns to their performer.

use super::client_listener;
use super::effects::{start_discovery_watch, EffectPerformer};
use super::peers::PeerSocket;
use super::shared::{Shared, MAX_QUEUED_INPUTS, MAX_QUEUED_UPDATES};
use super::{Addresses, Clock, Control, Integrations, PendingReplies, QueryClient};
use crate::protocol::query_json::QuerySchema;
use crate::reducer::{Input, Reducer};
use cottonhill_decisions::Nanos;
use std::io;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, yield_now};
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
    let pending_replies = integrations.recorder.map(PendingReplies::new);
    let driver = Driver {
        reducer,
        clock,
        effects: EffectPerformer::new(shared, peers, discovery_watch, pending_replies),
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
    clock: Clock,
    effects: EffectPerformer,
}

impl Driver {
    /// Processes events until the reducer ends the mixer.
    async fn run(mut self, mut queues: EventQueues) {
        while !self.effects.exited() {
            match self.next_wakeup(&mut queues).await {
                Wakeup::RecordsWritten => self.effects.send_ready_replies(),
                Wakeup::Input(input) => self.process_inputs(input, &mut queues.inputs).await,
                Wakeup::Control(control) => {
                    let input = self.control_input(control);
                    self.process_input(input);
                }
                Wakeup::Update(input) => self.process_input(input),
                Wakeup::TimerDue => self.process_batch(),
            }
        }
        self.effects.close_recorder();
        sleep(FINAL_FLUSH_TIME).await;
    }

    async fn next_wakeup(&mut self, queues: &mut EventQueues) -> Wakeup {
        let timer = self.next_timer();
        let wake_at = timer.unwrap_or_else(|| self.clock.instant(0));
        tokio::select! {
            biased;
            Some(control) = queues.controls.recv() => Wakeup::Control(control),
            Some(update) = queues.updates.recv() => Wakeup::Update(update),
            () = self.effects.records_written() => Wakeup::RecordsWritten,
            Some(input) = queues.inputs.recv() => Wakeup::Input(input),
            () = sleep_until(wake_at), if timer.is_some() => Wakeup::TimerDue,
        }
    }

    /// When the next timer is due, of the reducer or of a held reply. One timer for both, since arming one is costly.
    fn next_timer(&self) -> Option<Instant> {
        let reducer_timer = self.reducer.next_due().map(|due| self.clock.instant(due));
        let reply_deadline = self.effects.next_reply_deadline();
        reducer_timer.into_iter().chain(reply_deadline).min()
    }

    /// Applies a batch of the inputs that are ready.
    async fn process_inputs(&mut self, first: Input, inputs: &mut mpsc::Receiver<Input>) {
        // What other sockets have ready joins the same batch.
        yield_now().await;
        let now = self.clock.now();
        self.apply(now, first);
        for _ in 1..MAX_BATCH_INPUTS {
            let Ok(input) = inputs.try_recv() else { break };
            self.apply(now, input);
        }
        self.apply(now, Input::ProcessBatch);
    }

    /// Applies a batch of one input.
    fn process_input(&mut self, input: Input) {
        self.apply(self.clock.now(), input);
        self.process_batch();
    }

    /// Ends a batch, and sends the replies that are no longer held.
    fn process_batch(&mut self) {
        self.apply(self.clock.now(), Input::ProcessBatch);
        self.effects.send_ready_replies();
    }

    /// Applies an input to the reducer and performs the effects.
    fn apply(&mut self, now: Nanos, input: Input) {
        for effect in self.reducer.apply(now, input) {
            self.effects.perform(effect);
        }
    }

    fn control_input(&mut self, control: Control) -> Input {
        match control {
            Control::Terminate => Input::ShutdownRequested,
            Control::Reload(addresses) => {
                self.effects.reload_peers(addresses.as_ref());
                // Discovery's address is part of the reducer's state.
                Input::ConfigReloaded {
                    discovery: addresses.map(|addresses| addresses.discovery),
                }
            }
        }
    }
}
