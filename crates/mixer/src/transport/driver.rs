//! The driver's event loop: passes inputs to the reducer, runs its timers, and passes the returned effects to the
//! [`EffectPerformer`].

use super::client_listener;
use super::discovery_watches::DiscoveryWatches;
use super::effects::EffectPerformer;
use super::frontend::FrontendGuard;
use super::peers::PeerSocket;
use super::shared::{QueuedInput, Shared, MAX_QUEUED_INPUTS, MAX_QUEUED_UPDATES};
use super::{Addresses, Clock, Control, Integrations, PendingReplies, QueryClient};
use crate::protocol::query_json::{ClientRequest, QuerySchema};
use crate::reducer::{Input, Reducer, WatchId};
use cottonhill_decisions::Nanos;
use std::io;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, sleep_until, Duration, Instant};

/// Maximum number of inputs in one batch, so that timers are not delayed under load.
const MAX_BATCH_INPUTS: usize = 256;
/// Delay before the mixer exits, for writing the last replies.
const FINAL_FLUSH_DELAY: Duration = Duration::from_millis(50);

/// Serves clients on `listener` until the reducer returns [`Effect::Exit`]. Must run inside a `LocalSet`.
///
/// [`Effect::Exit`]: crate::reducer::Effect::Exit
///
/// # Errors
/// The UDP socket for datagrams of other mixers can't be bound.
pub async fn serve(
    mut reducer: Reducer,
    clock: Clock,
    query_schema: QuerySchema,
    listener: TcpListener,
    addresses: Addresses,
    controls: mpsc::Receiver<Control>,
    integrations: Integrations,
) -> io::Result<()> {
    let (inputs, input_queue) = mpsc::channel(MAX_QUEUED_INPUTS);
    let (updates, update_queue) = mpsc::channel(MAX_QUEUED_UPDATES);
    let shared = Shared::new(
        clock,
        reducer.watch_policy(),
        query_schema,
        reducer.memory_budget(),
        inputs,
        updates,
    );
    let peers = open_peer_socket(&shared, &addresses).await?;
    let max_clients = reducer.max_clients();
    spawn_local(client_listener::listen(
        shared.clone(),
        listener,
        max_clients,
    ));
    let from_version = Some(reducer.endpoint_list_version());
    let mut watches = DiscoveryWatches::default();
    watches.start(&shared, WatchId::FIRST, addresses.discovery, from_version);
    for start_frontend in integrations.frontends {
        reducer.add_frontend();
        let guard = FrontendGuard::new(shared.clone());
        start_frontend(QueryClient::new(shared.clone()), guard);
    }
    let pending_replies = integrations.recorder.map(PendingReplies::new);
    let driver = Driver {
        reducer,
        clock,
        effects: EffectPerformer::new(shared, peers, watches, pending_replies),
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

/// Binds the UDP socket for datagrams of other mixers; `None` if the mixer exchanges none.
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

/// The receivers of events, in descending order of priority.
struct EventQueues {
    controls: mpsc::Receiver<Control>,
    updates: mpsc::Receiver<Input>,
    inputs: mpsc::Receiver<QueuedInput>,
}

/// The event that resumes the driver.
enum Wakeup {
    Control(Control),
    /// An input from discovery.
    Update(Input),
    /// Usage records that pending replies wait for have been written.
    RecordsWritten,
    /// Any other input.
    Input(QueuedInput),
    /// A timer of the reducer, or the deadline of a pending reply, is due.
    TimerDue,
}

fn is_request_for_statistics(input: &Input) -> bool {
    matches!(
        input,
        Input::RequestReceived {
            request: Ok(ClientRequest::Stats),
            ..
        }
    )
}

/// The state of the event loop: the reducer and the performer of its effects.
struct Driver {
    reducer: Reducer,
    clock: Clock,
    effects: EffectPerformer,
}

impl Driver {
    /// Processes events until the reducer returns `Effect::Exit`.
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
        self.refuse_queued_requests(&mut queues.inputs);
        self.send_pending_replies().await;
        sleep(FINAL_FLUSH_DELAY).await;
        // Last, since it blocks the thread while the log is slow.
        self.effects.close_recorder();
    }

    /// Refuses the requests that have arrived and that the reducer has not processed.
    fn refuse_queued_requests(&self, inputs: &mut mpsc::Receiver<QueuedInput>) {
        while let Ok(queued) = inputs.try_recv() {
            if let Input::RequestReceived { client, .. } = queued.input {
                self.effects.refuse_request(client);
            }
        }
    }

    /// Sends the pending replies, each at the latest at its deadline.
    async fn send_pending_replies(&mut self) {
        while let Some(deadline) = self.effects.next_reply_deadline() {
            tokio::select! {
                biased;
                () = self.effects.records_written() => {}
                () = sleep_until(deadline) => {}
            }
            self.effects.send_ready_replies();
        }
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

    /// Returns when the next timer of the reducer or of a pending reply is due. Both use one timer, since arming a
    /// timer is costly.
    fn next_timer(&self) -> Option<Instant> {
        let reducer_timer = self.reducer.next_due().map(|due| self.clock.instant(due));
        let reply_deadline = self.effects.next_reply_deadline();
        reducer_timer.into_iter().chain(reply_deadline).min()
    }

    /// Applies the inputs that are ready, up to [`MAX_BATCH_INPUTS`], as one batch.
    async fn process_inputs(
        &mut self,
        first: QueuedInput,
        inputs: &mut mpsc::Receiver<QueuedInput>,
    ) {
        // Lets the tasks of other sockets queue their inputs for the same batch.
        yield_now().await;
        let now = self.clock.now();
        self.apply(now, first.input);
        drop(first.memory);
        for _ in 1..MAX_BATCH_INPUTS {
            let Ok(queued) = inputs.try_recv() else { break };
            self.apply(now, queued.input);
        }
        self.apply(now, Input::ProcessBatch);
    }

    /// Applies one input as a batch.
    fn process_input(&mut self, input: Input) {
        self.apply(self.clock.now(), input);
        self.process_batch();
    }

    /// Ends a batch, then sends the pending replies that are ready.
    fn process_batch(&mut self) {
        self.apply(self.clock.now(), Input::ProcessBatch);
        self.effects.send_ready_replies();
    }

    /// Applies an input to the reducer and performs the returned effects.
    fn apply(&mut self, now: Nanos, input: Input) {
        if is_request_for_statistics(&input) {
            let memory = Input::TransportMemory(self.effects.transport_memory());
            self.apply(now, memory);
        }
        for effect in self.reducer.apply(now, input) {
            self.effects.perform(effect);
        }
    }

    fn control_input(&mut self, control: Control) -> Input {
        match control {
            Control::Terminate => Input::ShutdownRequested,
            Control::Reload(addresses) => {
                self.effects.reload_peers(addresses.as_ref());
                // The reducer requests the restart of the watch on discovery as an effect.
                Input::ConfigReloaded {
                    discovery: addresses.map(|addresses| addresses.discovery),
                }
            }
        }
    }
}
