//! One replica: its entry of the endpoint list, and what attempts and probes have shown of it.

use super::parts_in_flight::PartsInFlight;
use super::statistics::{SmoothedMean, TimeWindow};
use crate::{Endpoint, EndpointStatus, Nanos, ReplicaId};

/// The kind of connection that an attempt is sent on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConnectionKind {
    /// Used recently, or it is not known how recently.
    #[default]
    Active,
    /// Not used for long.
    Idle,
    /// Newly opened in place of one that was not used for long.
    Reopened,
}

/// A random offset to the capacity of a replica that is warming up, so that not all coordinators send it one
/// more part at the same time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlowStartJitter {
    /// When it was drawn.
    pub drawn_at: Nanos,
    /// What it adds to the parts that the replica may get in an overload window, from 0 up to 1.
    pub parts: f64,
}

/// What attempts and probes have shown of one replica. The default is that of a replica that was never contacted.
#[derive(Debug, Default, PartialEq)]
pub struct ReplicaStats {
    /// Smoothed latency, ns; `None` before the first answer.
    pub latency: Option<f64>,
    /// When `latency` was last updated.
    pub latency_updated_at: Nanos,
    /// When the replica last responded, be it with an answer, an error or a rejection; 0 for never.
    pub last_response_at: Nanos,
    /// Smoothed time between two answers while parts are in flight there, ns.
    pub answer_interval: SmoothedMean,
    /// When it last answered a part; 0 for never.
    pub last_answer_at: Nanos,
    /// The kind of connection that the last attempt was sent on.
    pub last_connection: ConnectionKind,
    /// The connections of attempts that were lost since the last response.
    pub lost_connections: Vec<ConnectionKind>,
    /// How many times it was ejected since it last responded or started.
    pub consecutive_ejections: u32,
    /// Until when it is ejected, which means that it is tried last.
    pub ejected_until: Nanos,
    /// Until when it is held to be at its capacity, since it rejected a part.
    pub at_capacity_until: Nanos,
    /// Times of the recent sends; kept only where the settings limit the load of replicas that are warming up.
    pub recent_sends: TimeWindow,
    /// Offset to its capacity while it is warming up.
    pub slow_start_jitter: SlowStartJitter,
    /// The parts in flight there.
    pub(super) parts_in_flight: PartsInFlight,
}

impl ReplicaStats {
    /// The stats of a replica that was never contacted.
    pub(super) const NONE: ReplicaStats = ReplicaStats {
        latency: None,
        latency_updated_at: 0,
        last_response_at: 0,
        answer_interval: SmoothedMean::NONE,
        last_answer_at: 0,
        last_connection: ConnectionKind::Active,
        lost_connections: Vec::new(),
        consecutive_ejections: 0,
        ejected_until: 0,
        at_capacity_until: 0,
        recent_sends: TimeWindow::EMPTY,
        slow_start_jitter: SlowStartJitter {
            drawn_at: 0,
            parts: 0.0,
        },
        parts_in_flight: PartsInFlight::NONE,
    };

    /// The parts in flight at the replica.
    pub fn parts_in_flight(&self) -> &PartsInFlight {
        &self.parts_in_flight
    }
}

static NO_STATS: ReplicaStats = ReplicaStats::NONE;

/// One replica.
#[derive(Debug)]
pub struct Replica {
    /// Its id.
    pub(super) id: ReplicaId,
    /// When it last started; 0 means long ago.
    pub(super) started: Nanos,
    /// `None` until the first contact, to save memory.
    pub(super) stats: Option<Box<ReplicaStats>>,
    /// The cell whose shards it holds.
    pub(super) cell: u16,
    /// The zone that it is in.
    pub(super) zone: u16,
    /// Whether it may get requests, by the endpoint list.
    pub(super) status: EndpointStatus,
    /// See [`Replica::suspected`].
    pub(super) suspected: bool,
    /// Whether it is in the table's queue of replicas to forget.
    pub(super) queued_for_expiry: bool,
}

impl Replica {
    /// The replica of a list entry; it counts as gone until the entry's status is applied.
    pub(super) fn new(endpoint: &Endpoint) -> Self {
        Replica {
            id: endpoint.replica,
            started: endpoint.started,
            stats: None,
            cell: endpoint.cell,
            zone: endpoint.zone,
            status: EndpointStatus::Gone,
            suspected: false,
            queued_for_expiry: false,
        }
    }

    /// Its id.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// When it last started; 0 means long ago.
    pub fn started(&self) -> Nanos {
        self.started
    }

    /// The zone that it is in.
    pub fn zone(&self) -> u16 {
        self.zone
    }

    /// The cell whose shards it holds.
    pub fn cell(&self) -> u16 {
        self.cell
    }

    /// Whether it may get requests, by the endpoint list.
    pub fn status(&self) -> EndpointStatus {
        self.status
    }

    /// Whether the endpoint list has it as ready.
    pub fn is_ready(&self) -> bool {
        self.status == EndpointStatus::Ready
    }

    /// Whether it failed to respond in time, and has not responded since.
    pub fn suspected(&self) -> bool {
        self.suspected
    }

    /// What attempts and probes have shown of it.
    pub fn stats(&self) -> &ReplicaStats {
        self.stats.as_deref().unwrap_or(&NO_STATS)
    }

    /// How long it has not responded although a part is in flight there, ns: since the oldest part was sent or the last
    /// response came, whichever is later. 0 if nothing is in flight.
    pub fn silent_for(&self, now: Nanos) -> Nanos {
        let stats = self.stats();
        stats
            .parts_in_flight
            .oldest_sent_at()
            .map_or(0, |sent_at| now - sent_at.max(stats.last_response_at))
    }

    /// Whether a part that was sent to it at `now` is in flight.
    pub fn was_sent_part_at(&self, now: Nanos) -> bool {
        self.stats().parts_in_flight.newest_sent_at() == Some(now)
    }

    /// Whether it is suspected although the endpoint list has it as ready.
    pub(super) fn is_suspected_and_ready(&self) -> bool {
        self.suspected && self.is_ready()
    }

    /// Records a restart: what was observed of the old process does not apply to the new one.
    pub(super) fn restart(&mut self, started: Nanos) {
        self.started = started;
        self.suspected = false;
        if let Some(stats) = &mut self.stats {
            stats.latency = None;
            stats.last_answer_at = 0;
            stats.consecutive_ejections = 0;
            stats.answer_interval = SmoothedMean::NONE;
        }
        self.stats = self.stats.take().filter(|stats| **stats != NO_STATS);
    }
}
