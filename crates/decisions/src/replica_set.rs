//! The replicas of the endpoint list, with the observations of their health and load.

use crate::batch::Batch;
use crate::connection_loss::ConnectionLoss;
use crate::health_check::HealthCheck;
use crate::latency_estimates::{LatencyEstimates, ANSWER_SMOOTHING};
use crate::outlier_detection;
use crate::replica_choice::choose_replica;
use crate::slow_start::{self, SlowStart};
use crate::tables::in_flight::InFlightAttempt;
use crate::tables::query_table::{Attempt, Part};
use crate::tables::replica_table::{ConnectionKind, ReplicaTable, Slot};
use crate::{Endpoint, EndpointUpdateKind, Nanos, Outcome, ReplicaId, Settings};

/// An attempt or probe that has ended.
#[derive(Clone, Copy, Debug)]
pub struct EndedAttempt {
    /// Time when it was sent.
    pub sent_at: Nanos,
    /// The kind of connection that it was sent on.
    pub connection: ConnectionKind,
    /// How it ended.
    pub outcome: Outcome,
}

/// The replicas of the endpoint list, and the modules that own the observations of their health and load.
#[derive(Debug)]
pub struct ReplicaSet {
    table: ReplicaTable,
    latencies: LatencyEstimates,
    slow_start: SlowStart,
    connection_loss: ConnectionLoss,
    health_check: HealthCheck,
}

impl ReplicaSet {
    /// Creates an empty set. `seed` determines the jitter of slow start.
    pub fn new(settings: &Settings, seed: u64) -> Self {
        ReplicaSet {
            table: ReplicaTable::new(
                settings.cells,
                settings.replication_factor,
                settings.max_parts_per_call.unwrap_or(1),
            ),
            latencies: LatencyEstimates::default(),
            slow_start: SlowStart::new(seed),
            connection_loss: ConnectionLoss::default(),
            health_check: HealthCheck::default(),
        }
    }

    /// The replicas and their stats.
    pub fn table(&self) -> &ReplicaTable {
        &self.table
    }

    /// Estimates of the replicas' latencies.
    pub fn latencies(&self) -> &LatencyEstimates {
        &self.latencies
    }

    /// Records the start of a batch.
    pub fn record_batch_start(&mut self, now: Nanos) {
        self.slow_start.record_batch_start(now);
    }

    /// Records the number of parts of a received query.
    pub fn record_query(&mut self, parts: usize) {
        self.slow_start.record_query(parts);
    }

    /// Applies an endpoint update, and evicts replicas that have been removed and were last observed at least
    /// [`crate::timing::Timing::decay_time`] ago.
    pub fn apply_update(
        &mut self,
        batch: &Batch,
        kind: EndpointUpdateKind,
        endpoints: &[Endpoint],
    ) {
        let snapshot = kind != EndpointUpdateKind::Delta;
        self.table.apply_update(endpoints, snapshot);
        let decay_time = batch.timing.decay_time() as Nanos;
        self.table
            .evict_removed(batch.now.saturating_sub(decay_time));
    }

    /// Whether a replica is in the table and has responded within [`crate::timing::Timing::decay_time`].
    pub fn has_responded_recently(&self, batch: &Batch, replica: ReplicaId) -> bool {
        self.table.get(replica).is_some_and(|replica| {
            let last_response_at = replica.stats().last_response_at;
            batch.age_in_decay_times(last_response_at) < 1.0
        })
    }

    /// Selects the replica that receives a part; `None` if no replica can.
    pub fn choose(&mut self, batch: &mut Batch, part: &Part) -> Option<Slot> {
        choose_replica(
            batch,
            &mut self.table,
            &self.latencies,
            &self.slow_start,
            part,
        )
    }

    /// Records that a part is sent to a replica now. Returns the kind of connection that it is sent on.
    pub fn record_send(&mut self, batch: &mut Batch, slot: Slot) -> ConnectionKind {
        let connection = self
            .connection_loss
            .prepare_connection(batch, &mut self.table, slot);
        self.table.add_part_in_flight(slot, batch.now);
        if slow_start::is_enabled(batch.settings) {
            let since = batch.now.saturating_sub(batch.settings.overload_window);
            self.table.record_send_time(slot, batch.now, since);
        }
        connection
    }

    /// Records the end of an attempt.
    pub fn record_end(&mut self, batch: &mut Batch, attempt: &InFlightAttempt, outcome: Outcome) {
        if let Some(slot) = self.table.slot(attempt.replica) {
            let ended = EndedAttempt {
                sent_at: attempt.sent_at,
                connection: attempt.connection,
                outcome,
            };
            self.record_end_for_slot(batch, slot, ended);
        }
    }

    fn record_end_for_slot(&mut self, batch: &mut Batch, slot: Slot, attempt: EndedAttempt) {
        self.update_stats(batch, slot, &attempt);
        self.table.remove_part_in_flight(slot, attempt.sent_at);
        match attempt.outcome {
            Outcome::Ok => {
                self.slow_start.record_answer(batch);
                let latency = (batch.now - attempt.sent_at) as f64;
                self.latencies.record_answer(latency);
                self.record_response(batch, slot);
                self.connection_loss
                    .record_attempt(batch, attempt.connection, false);
            }
            Outcome::Error | Outcome::Rejected => self.record_response(batch, slot),
            Outcome::ConnectFailed | Outcome::ConnectionReset | Outcome::TimedOut => {
                self.eject_slot_if_unresponsive_since(batch, slot, attempt.sent_at);
            }
            Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    fn update_stats(&mut self, batch: &Batch, slot: Slot, attempt: &EndedAttempt) {
        let replica = self.table.replica(slot);
        let failed = outlier_detection::is_failure(batch, &self.latencies, replica, attempt);
        let latency = self
            .latencies
            .updated_latency(batch, replica, attempt, failed);
        let stats = self.table.stats_mut(slot);
        match attempt.outcome {
            Outcome::NotSent => return,
            Outcome::Rejected => {
                stats.at_capacity_until = outlier_detection::at_capacity_until(batch)
            }
            Outcome::Ok => {
                let oldest_sent_at = stats
                    .parts_in_flight()
                    .oldest_sent_at()
                    .unwrap_or(attempt.sent_at);
                let busy_since = stats.last_answer_at.max(oldest_sent_at);
                let interval = (batch.now - busy_since) as f64;
                stats.answer_interval.add(interval, ANSWER_SMOOTHING);
                stats.last_answer_at = batch.now;
            }
            _ => {}
        }
        stats.latency = Some(latency);
        stats.latency_updated_at = batch.now;
        let responded = matches!(attempt.outcome, Outcome::Error | Outcome::Rejected);
        if failed && !responded {
            stats.lost_connections.push(attempt.connection);
        }
    }

    /// Records the end of a probe.
    pub fn record_probe(
        &mut self,
        batch: &mut Batch,
        replica: ReplicaId,
        outcome: Outcome,
        latency: Nanos,
    ) {
        let Some(slot) = self.table.slot(replica) else {
            return;
        };
        match outcome {
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::ConnectionReset => {
                let probe = EndedAttempt {
                    sent_at: batch.now.saturating_sub(latency),
                    connection: ConnectionKind::Active,
                    outcome,
                };
                self.record_end_for_slot(batch, slot, probe);
            }
            Outcome::Ok => self.record_response(batch, slot),
            _ => {}
        }
    }

    /// Records that a replica has started to stream its response to a part.
    pub fn record_stream_start(&mut self, batch: &mut Batch, replica: ReplicaId) {
        if let Some(slot) = self.table.slot(replica) {
            self.record_response(batch, slot);
        }
    }

    fn record_response(&mut self, batch: &mut Batch, slot: Slot) {
        for connection in outlier_detection::record_response(batch, &mut self.table, slot) {
            self.connection_loss.record_attempt(batch, connection, true);
        }
    }

    /// Ejects the replica of an attempt if it has not responded since the attempt was sent.
    pub fn eject_if_unresponsive_since(&mut self, batch: &mut Batch, attempt: &Attempt) {
        if let Some(slot) = self.table.slot(attempt.replica) {
            self.eject_slot_if_unresponsive_since(batch, slot, attempt.sent_at);
        }
    }

    fn eject_slot_if_unresponsive_since(&mut self, batch: &mut Batch, slot: Slot, sent_at: Nanos) {
        if outlier_detection::eject_if_unresponsive_since(batch, &mut self.table, slot, sent_at) {
            let id = self.table.replica(slot).id();
            self.health_check.record_ejection(batch, id);
        }
    }

    /// Probes idle replicas if many replicas are suspected.
    pub fn probe_idle_replicas(&mut self, batch: &mut Batch) {
        self.health_check.probe_idle_replicas(batch, &self.table);
    }
}
