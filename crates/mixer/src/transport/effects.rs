//! Performs the effects that the reducer returns.

use super::client_connection::ClientCommand;
use super::discovery_watches::DiscoveryWatches;
use super::leaf_connection::{self, LeafConnectionHandle};
use super::peers::PeerSocket;
use super::shared::Shared;
use super::{Addresses, ClientReply, PendingReplies};
use crate::log_targets;
use crate::protocol::http::RequestError;
use crate::protocol::leaf_frames::LeafRequest;
use crate::protocol::query_json::Reply;
use crate::reducer::resource_usage::TransportMemory;
use crate::reducer::usage::{UsageRecord, Watermark};
use crate::reducer::{ClientId, ConnectionId, Effect, ExitReport};
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::time::Instant;

/// Performs effects on its connections, the watches on discovery, and the pending replies.
pub(super) struct EffectPerformer {
    shared: Shared,
    leaf_connections: HashMap<ConnectionId, LeafConnectionHandle>,
    peers: Option<PeerSocket>,
    watches: DiscoveryWatches,
    /// `None` if usage is not recorded.
    pending_replies: Option<PendingReplies>,
    exited: bool,
}

impl EffectPerformer {
    /// Creates a performer without connections to leaf servers.
    pub(super) fn new(
        shared: Shared,
        peers: Option<PeerSocket>,
        watches: DiscoveryWatches,
        pending_replies: Option<PendingReplies>,
    ) -> EffectPerformer {
        EffectPerformer {
            shared,
            leaf_connections: HashMap::new(),
            peers,
            watches,
            pending_replies,
            exited: false,
        }
    }

    /// The memory that the transport holds.
    pub(super) fn transport_memory(&self) -> TransportMemory {
        self.shared.transport_memory()
    }

    /// Whether the reducer has returned [`Effect::Exit`].
    pub(super) fn exited(&self) -> bool {
        self.exited
    }

    /// Returns the deadline of the next pending reply: it is sent then even if its usage record is not written. `None`
    /// if no reply is pending.
    pub(super) fn next_reply_deadline(&self) -> Option<Instant> {
        self.pending_replies
            .as_ref()
            .and_then(PendingReplies::next_deadline)
    }

    /// Waits until usage records that pending replies wait for have been written; never returns if usage is not
    /// recorded.
    pub(super) async fn records_written(&mut self) {
        match &mut self.pending_replies {
            Some(pending_replies) => pending_replies.wait_for_records().await,
            None => std::future::pending().await,
        }
    }

    /// Replaces the addresses of the peers by those of a new configuration; without one, they stay as they are.
    pub(super) fn reload_peers(&mut self, addresses: Option<&Addresses>) {
        if let (Some(peers), Some(addresses)) = (&mut self.peers, addresses) {
            peers.set_addresses(&self.shared, addresses);
        }
    }

    /// Performs one effect.
    pub(super) fn perform(&mut self, effect: Effect) {
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
            Effect::AbortResponse { client } => {
                self.command_client(client, ClientCommand::AbortResponse);
            }
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
                watch,
                address,
                from_version,
            } => self
                .watches
                .start(&self.shared, watch, address, from_version),
            Effect::StopWatch { watch } => self.watches.stop(watch),
            Effect::CloseListener => {
                self.shared.listener_closed.send_replace(true);
            }
            Effect::RefuseIncompleteRequests => {
                self.shared.refusing_requests.send_replace(true);
            }
            Effect::Exit(report) => self.exit(&report),
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

    /// Sends a reply, or delays it until its usage record is written.
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

    /// Refuses a request that the reducer has not processed. The request has had no effect.
    pub(super) fn refuse_request(&self, client: ClientId) {
        self.send_reply(ClientReply {
            client,
            reply: Reply::InvalidRequest(RequestError::closed_before_complete()),
            close: true,
        });
    }

    /// Sends the pending replies whose usage records are written or whose deadlines have passed.
    pub(super) fn send_ready_replies(&mut self) {
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

    /// Passes a command to the task of a client's connection.
    fn command_client(&self, client: ClientId, command: ClientCommand) {
        // The queue is full only if the client does not read, which blocks the task; this client loses its reply.
        if self.shared.command_client(client, command).is_err() {
            tracing::debug!(target: log_targets::TRANSPORT, client, "command to client dropped: connection closed or command queue full");
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

    fn exit(&mut self, report: &ExitReport) {
        let counters = serde_json::to_string(&report.counters).unwrap_or_default();
        let open_frontends = report.open_frontends;
        if open_frontends == 0 {
            tracing::info!(target: log_targets::TRANSPORT, counters, "shutdown complete, every accepted request answered or failed");
        } else {
            tracing::error!(target: log_targets::TRANSPORT, counters, open_frontends, "shutdown deadline passed before the frontends have closed all connections");
        }
        self.exited = true;
    }

    /// Writes the queued usage records, which may block for a limited time.
    pub(super) fn close_recorder(&mut self) {
        if let Some(pending_replies) = &mut self.pending_replies {
            pending_replies.close_recorder();
        }
    }
}
