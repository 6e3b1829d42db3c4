//! Connection loss: whether attempts are lost on idle connections, which are then closed before they are used again.
//!
//! A firewall or load balancer on the path may drop an idle connection without telling either end. Idle connections are
//! reopened where many attempts are lost on them and few on active ones, and no longer if reopened ones lose as many.

use crate::batch::Batch;
use crate::tables::replica_table::{ConnectionKind, ReplicaStats, ReplicaTable, Slot};
use crate::{Action, Nanos};

/// Fraction of the idle timeout of connections after which one counts as idle.
const IDLE_FRACTION: f64 = 0.04;
/// Weight of one attempt in the loss rate.
const LOSS_SMOOTHING: f64 = 0.05;
/// Loss rate of idle connections from which on they may be reopened.
const MIN_LOSS_RATE: f64 = 0.2;
/// Two loss rates count as similar where the lower is more than this fraction of the higher.
const SIMILAR_LOSS_RATIO: f64 = 0.7;
/// How long connections are reopened at a time, in shortest latency objectives.
const REOPENING_OBJECTIVES: f64 = 15.0;

/// Loss rates of attempts by kind of connection, and whether idle connections are reopened.
#[derive(Debug, Default)]
pub struct ConnectionLoss {
    loss_rates: LossRates,
    /// From when on reopening may start again.
    reopening_allowed_at: Nanos,
    /// Until when idle connections are reopened.
    reopening_until: Nanos,
}

/// Fraction of the attempts that are lost, by kind of connection.
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

    /// Whether attempts are lost on idle connections, and far fewer on active ones.
    fn idle_connections_fail(&self) -> bool {
        self.idle > MIN_LOSS_RATE.max(self.active / SIMILAR_LOSS_RATIO)
    }

    /// Whether attempts are lost on reopened connections as on idle ones.
    fn reopening_fails(&self) -> bool {
        self.reopened > MIN_LOSS_RATE.max(SIMILAR_LOSS_RATIO * self.idle)
    }
}

impl ConnectionLoss {
    /// Records whether an attempt was lost. A lost one is recorded once its replica has responded again: until then
    /// the replica may have failed and not the connection.
    pub fn record_attempt(&mut self, batch: &mut Batch, connection: ConnectionKind, lost: bool) {
        self.loss_rates.record(connection, lost);
        let reopening_time = REOPENING_OBJECTIVES * batch.timing.shortest_objective;
        let reopening_end = batch.now + reopening_time as Nanos;
        if batch.now < self.reopening_until && self.loss_rates.reopening_fails() {
            self.reopening_allowed_at = reopening_end;
            self.reopening_until = 0;
            return;
        }
        let idle_connections_fail =
            connection == ConnectionKind::Idle && self.loss_rates.idle_connections_fail();
        if idle_connections_fail && batch.now >= self.reopening_allowed_at {
            let line = "attempts on idle connections are lost: idle connections are reopened";
            batch.log_lines.push(line.into());
            self.reopening_allowed_at = reopening_end;
            self.reopening_until = reopening_end;
            self.loss_rates.reopened = 0.0;
        }
    }

    /// The kind of connection that an attempt at a replica is sent on now. The idle connections to it are closed first
    /// while they are reopened.
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

/// Whether the connections to a replica have not been used for `idle_after`: nothing is in flight, and its last
/// response was longer ago.
fn has_idle_connection(now: Nanos, stats: &ReplicaStats, idle_after: Nanos) -> bool {
    stats.parts_in_flight().is_empty()
        && stats.last_response_at > 0
        && now - stats.last_response_at > idle_after
}
