//! One replica: its entry in the endpoint list, and the statistics of attempts and probes sent to it.

use super::parts_in_flight::PartsInFlight;
use super::statistics::{SmoothedMean, TimeWindow};
use crate::{Endpoint, EndpointStatus, Nanos, ReplicaId};

/// The kind of connection that an attempt is sent on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConnectionKind {
    /// Used recently, or the time of its last use is unknown.
    #[default]
    Active,
    /// Not used recently.
    Idle,
    /// Newly opened to replace one that was not used recently.
    Reopened,
}

/// A random addition to the parts that a replica may receive while it is warming up, so that not all coordinators send
/// it an additional part at the same time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlowStartJitter {
    /// Time when it was drawn.
    pub drawn_at: Nanos,
    /// Addition to the parts that the replica may receive in an overload window, in the range [0, 1).
    pub parts: f64,
}

/// Statistics of the attempts and probes sent to one replica. The default is that of a replica that was never
/// contacted.
#[derive(Debug, Default, PartialEq)]
pub struct ReplicaStats {
    /// Smoothed latency, ns; `None` before the first answer.
    pub latency: Option<f64>,
    /// Time when `latency` was last updated.
    pub latency_updated_at: Nanos,
    /// Time of the replica's last response (an answer, an error, a rejection, a started stream or a successful probe);
    /// 0 if it has never responded.
    pub last_response_at: Nanos,
    /// Smoothed time between two answers while parts are in flight at the replica, ns.
    pub answer_interval: SmoothedMean,
    /// Time of its last answer to a part; 0 if it has never answered one.
    pub last_answer_at: Nanos,
    /// The kind of connection that the last attempt was sent on.
    pub last_connection: ConnectionKind,
    /// The kinds of connection of the attempts that were lost since the last response.
    pub lost_connections: Vec<ConnectionKind>,
    /// Number of ejections since it last responded or started.
    pub consecutive_ejections: u32,
    /// End of its ejection, during which it receives parts only as a last resort.
    pub ejected_until: Nanos,
    /// End of the time for which it is assumed to be at capacity because it rejected a part.
    pub at_capacity_until: Nanos,
    /// Times of the recent sends; recorded only if the settings limit the load of replicas that are warming up.
    pub recent_sends: TimeWindow,
    /// Random addition to its limit while it is warming up.
    pub slow_start_jitter: SlowStartJitter,
    /// The parts in flight at the replica.
    pub(super) parts_in_flight: PartsInFlight,
}

impl ReplicaStats {
    /// The stats of a replica that was never contacted.
    pub(super) const EMPTY: ReplicaStats = ReplicaStats {
        latency: None,
        latency_updated_at: 0,
        last_response_at: 0,
        answer_interval: SmoothedMean::EMPTY,
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
        parts_in_flight: PartsInFlight::EMPTY,
    };

    /// The parts in flight at the replica.
    pub fn parts_in_flight(&self) -> &PartsInFlight {
        &self.parts_in_flight
    }
}

static EMPTY_STATS: ReplicaStats = ReplicaStats::EMPTY;

/// One replica.
#[derive(Debug)]
pub struct Replica {
    /// The replica's id.
    pub(super) id: ReplicaId,
    /// Time of the replica's last start; 0 if it started long ago.
    pub(super) started_at: Nanos,
    /// `None` until the first contact, to save memory.
    pub(super) stats: Option<Box<ReplicaStats>>,
    /// The cell whose shards the replica holds.
    pub(super) cell: u16,
    /// The zone that the replica is in.
    pub(super) zone: u16,
    /// The replica's status in the endpoint list.
    pub(super) status: EndpointStatus,
    /// See [`Replica::suspected`].
    pub(super) suspected: bool,
    /// Whether it is in the table's queue of replicas to evict.
    pub(super) queued_for_eviction: bool,
}

impl Replica {
    /// Creates the replica of an endpoint list entry. It counts as removed until the status of the entry is applied.
    pub(super) fn new(endpoint: &Endpoint) -> Self {
        Replica {
            id: endpoint.replica,
            started_at: endpoint.started_at,
            stats: None,
            cell: endpoint.cell,
            zone: endpoint.zone,
            status: EndpointStatus::Removed,
            suspected: false,
            queued_for_eviction: false,
        }
    }

    /// The replica's id.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Time of the replica's last start; 0 if it started long ago.
    pub fn started_at(&self) -> Nanos {
        self.started_at
    }

    /// The zone that the replica is in.
    pub fn zone(&self) -> u16 {
        self.zone
    }

    /// The cell whose shards the replica holds.
    pub fn cell(&self) -> u16 {
        self.cell
    }

    /// The replica's status in the endpoint list.
    pub fn status(&self) -> EndpointStatus {
        self.status
    }

    /// Whether the replica is ready according to the endpoint list.
    pub fn is_ready(&self) -> bool {
        self.status == EndpointStatus::Ready
    }

    /// Whether an attempt or probe at the replica was overdue or timed out, or its connection was refused or reset, and
    /// the replica has not responded since.
    pub fn suspected(&self) -> bool {
        self.suspected
    }

    /// Statistics of the attempts and probes sent to the replica.
    pub fn stats(&self) -> &ReplicaStats {
        self.stats.as_deref().unwrap_or(&EMPTY_STATS)
    }

    /// Time for which the replica has not responded while a part is in flight there, ns: the time since its last
    /// response or since the oldest part in flight was sent, whichever was later. 0 if no part is in flight.
    pub fn unresponsive_for(&self, now: Nanos) -> Nanos {
        let stats = self.stats();
        stats
            .parts_in_flight
            .oldest_sent_at()
            .map_or(0, |sent_at| now - sent_at.max(stats.last_response_at))
    }

    /// Whether a part that was sent to the replica at `now` is in flight.
    pub fn was_sent_part_at(&self, now: Nanos) -> bool {
        self.stats().parts_in_flight.newest_sent_at() == Some(now)
    }

    /// Whether the replica is suspected to have failed although it is ready according to the endpoint list.
    pub(super) fn is_suspected_and_ready(&self) -> bool {
        self.suspected && self.is_ready()
    }

    /// Records a restart, which resets the observations that do not apply to the new process.
    pub(super) fn restart(&mut self, started_at: Nanos) {
        self.started_at = started_at;
        self.suspected = false;
        if let Some(stats) = &mut self.stats {
            stats.latency = None;
            stats.last_answer_at = 0;
            stats.consecutive_ejections = 0;
            stats.answer_interval = SmoothedMean::EMPTY;
        }
        self.stats = self.stats.take().filter(|stats| **stats != EMPTY_STATS);
    }
}
