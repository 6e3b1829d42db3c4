//! Detection of lost idle connections: if attempts on idle connections are lost, such connections are closed before
//! they would be used again.
//!
//! A firewall or load balancer on the path may drop an idle connection without notifying either end. Idle connections
//! are reopened if many attempts are lost on them and few on active ones. Reopening stops if attempts on reopened
//! connections are lost at a similar rate.

use crate::batch::Batch;
use crate::tables::replica_table::{ConnectionKind, ReplicaStats, ReplicaTable, Slot};
use crate::{Action, Nanos};

/// Time without use after which a connection counts as idle, as a fraction of the connections' idle timeout.
const IDLE_FRACTION: f64 = 0.04;
/// Weight of one attempt in the smoothed loss rate.
const LOSS_SMOOTHING: f64 = 0.05;
/// Loss rate on idle connections above which they may be reopened.
const MIN_LOSS_RATE: f64 = 0.2;
/// Two loss rates count as similar if the lower is more than this fraction of the higher.
const SIMILAR_LOSS_RATIO: f64 = 0.7;
/// Duration of one period of reopening connections, in multiples of the shortest latency objective.
const REOPENING_PERIOD_IN_OBJECTIVES: f64 = 15.0;

/// Loss rates of attempts by kind of connection, and whether idle connections are reopened.
#[derive(Debug, Default)]
pub struct ConnectionLoss {
    loss_rates: LossRates,
    /// Earliest time at which a new period of reopening may start.
    reopening_allowed_at: Nanos,
    /// End of the period in which idle connections are reopened.
    reopening_until: Nanos,
}

/// Smoothed fraction of the attempts that are lost, by kind of connection.
#[derive(Debug, Default)]
struct LossRates {
    active: f64,
    idle: f64,
    reopened: f64,
}

impl LossRates {
    fn record(&mut self, connection: ConnectionKind, lost: bool) {
        let rate = match connection {
            ConnectionKind::Active => &mut self.active,
            ConnectionKind::Idle => &mut self.idle,
            ConnectionKind::Reopened => &mut self.reopened,
        };
        *rate += LOSS_SMOOTHING * (f64::from(u8::from(lost)) - *rate);
    }

    /// Whether attempts are lost on idle connections at a rate far above that of active ones.
    fn idle_connections_fail(&self) -> bool {
        self.idle > MIN_LOSS_RATE.max(self.active / SIMILAR_LOSS_RATIO)
    }

    /// Whether attempts are lost on reopened connections at a rate similar to that of idle ones.
    fn reopening_fails(&self) -> bool {
        self.reopened > MIN_LOSS_RATE.max(SIMILAR_LOSS_RATIO * self.idle)
    }
}

impl ConnectionLoss {
    /// Records whether an attempt was lost. The caller records a lost attempt only after its replica has responded
    /// again: before that, the replica may have failed rather than the connection.
    pub fn record_attempt(&mut self, batch: &mut Batch, connection: ConnectionKind, lost: bool) {
        self.loss_rates.record(connection, lost);
        let reopening_time = REOPENING_PERIOD_IN_OBJECTIVES * batch.timing.shortest_objective;
        let reopening_end = batch.now + reopening_time as Nanos;
        if batch.now < self.reopening_until && self.loss_rates.reopening_fails() {
            self.reopening_allowed_at = reopening_end;
            self.reopening_until = 0;
            return;
        }
        let idle_connections_fail =
            connection == ConnectionKind::Idle && self.loss_rates.idle_connections_fail();
        if idle_connections_fail && batch.now >= self.reopening_allowed_at {
            let line =
                "attempts are being lost on idle connections: closing idle connections before use";
            batch.log_lines.push(line.into());
            self.reopening_allowed_at = reopening_end;
            self.reopening_until = reopening_end;
            self.loss_rates.reopened = 0.0;
        }
    }

    /// Returns the kind of connection on which an attempt is sent to a replica now. During a period of reopening,
    /// closes the idle connections to the replica first.
    pub fn prepare_connection(
        &self,
        batch: &mut Batch,
        table: &mut ReplicaTable,
        slot: Slot,
    ) -> ConnectionKind {
        let idle_timeout = batch.settings.connection_idle_timeout as f64;
        let idle_after = (IDLE_FRACTION * idle_timeout) as Nanos;
        if idle_after == 0 {
            return ConnectionKind::Active;
        }
        let replica = table.replica(slot);
        let id = replica.id();
        let already_sent_to = replica.was_sent_part_at(batch.now);
        let stats = table.stats_mut(slot);
        if already_sent_to {
            return stats.last_connection;
        }
        stats.last_connection = if !has_idle_connection(batch.now, stats, idle_after) {
            ConnectionKind::Active
        } else if batch.now < self.reopening_until {
            batch
                .actions
                .push(Action::CloseIdleConnections { replica: id });
            ConnectionKind::Reopened
        } else {
            ConnectionKind::Idle
        };
        stats.last_connection
    }
}

/// Whether the connections to a replica are idle: no part is in flight, and its last response was more than
/// `idle_after` ago.
fn has_idle_connection(now: Nanos, stats: &ReplicaStats, idle_after: Nanos) -> bool {
    stats.parts_in_flight().is_empty()
        && stats.last_response_at > 0
        && now - stats.last_response_at > idle_after
}
