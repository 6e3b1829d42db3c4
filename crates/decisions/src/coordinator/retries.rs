//! Attempts: sending a part, retries of what failed, second copies, their budget, and stale connections.

use super::{Coordinator, FIRST_LATENCY, LATE_AT};
use crate::query::{Attempt, InFlight, Part, Query};
use crate::replica_table::{Connection, Slot};
use crate::{Action, Idempotency, Nanos};

/// Deviations above the mean latency past which an attempt is waited for in vain.
const SLOW_DEVIATIONS: f64 = 4.0;
/// Least and greatest share of a step's time to wait before a second copy: room for the copy to land in time.
pub(super) const COPY_DELAY_LEAST: f64 = 0.125;
const COPY_DELAY_MOST: f64 = 0.4;
/// Share of a stated attempt budget that classes with partial answers may use.
const BUDGET_PARTIAL: f64 = 0.5;
/// Own cap on second copies: so many, plus this share of the parts open or lately taken.
const COPIES_FLOOR: f64 = 3.0;
const COPIES_SHARE: f64 = 0.15;
/// Share of the time after which an idle connection is closed past which one has long been unused.
const LONG_IDLE: f64 = 0.04;
/// Weight of one attempt in the share lost by kind of connection.
const LOSS_SMOOTHING: f64 = 0.05;
/// Share lost on unused connections from which on that is trouble.
const LOSS_TROUBLE: f64 = 0.2;
/// Two shares are alike where one is more than this part of the other.
const LOSS_ALIKE: f64 = 0.7;
/// Target latencies for which connections are renewed after that was seen.
const RENEW_TARGETS: f64 = 15.0;

impl Coordinator {
    /// Sends part `i` of the query to the best replica that may have it; false where there is none.
    pub(super) fn send(&mut self, query: &mut Query, i: usize, actions: &mut Vec<Action>) -> bool {
        let late_worth = self.settings.classes[query.class].late_weight_fraction;
        let expires_at = if late_worth > 0.0 {
            query.deadline
        } else {
            query.target
        };
        let part = &mut query.parts[i];
        if expires_at <= self.now || !self.may_try(part, query.class) {
            return false;
        }
        let Some(slot) = self.choose(part) else {
            return false;
        };
        let id = self.replicas.at(slot).id();
        let number = part.attempts.len() as u8;
        if number > 0 {
            self.further_attempts.push(self.now);
        }
        part.attempts.push(Attempt {
            replica: id,
            sent: self.now,
            out: true,
            ..Attempt::default()
        });
        let connection = self.connection(slot, actions);
        self.in_flight.insert(
            (part.id, number),
            InFlight {
                replica: id,
                sent: self.now,
                connection,
            },
        );
        self.replicas.open_part(slot, self.now);
        if self.slow_start_limits().is_some() {
            let window = self.now.saturating_sub(self.settings.overload_window);
            self.replicas.note_send(slot, self.now, window);
        }
        actions.push(Action::Send {
            part: part.id,
            replica: id,
            expires_at,
        });
        true
    }

    /// On what connection a send goes out. Something on the way may drop a long unused one unseen: while that
    /// shows, it is closed first, so that a new one is opened.
    fn connection(&mut self, slot: Slot, actions: &mut Vec<Action>) -> Connection {
        let long = (LONG_IDLE * self.settings.connection_idle_timeout as f64) as Nanos;
        if long == 0 {
            return Connection::InUse;
        }
        let replica = self.replicas.at(slot);
        let (id, sent_to_now) = (replica.id(), replica.sent_to(self.now));
        let traffic = self.replicas.traffic_mut(slot);
        if !sent_to_now {
            let unused =
                traffic.open().is_empty() && traffic.heard > 0 && self.now - traffic.heard > long;
            traffic.connection = if unused {
                Connection::Unused
            } else {
                Connection::InUse
            };
            if unused && self.now < self.renewing_until {
                traffic.connection = Connection::Renewed;
                actions.push(Action::CloseIdleConnections { replica: id });
            }
        }
        traffic.connection
    }

    /// Where many attempts are lost on unused connections and few on used ones, renewing is tried; where it
    /// does not help, since all are lost alike (hang, cut or slow link), it ends, and is left for as long. A
    /// loss counts once the replica is heard again: expires_at then it may be dead.
    pub(super) fn note_connection(&mut self, connection: Connection, lost: bool) {
        let share = &mut self.lost_shares[connection as usize];
        *share += LOSS_SMOOTHING * (f64::from(u8::from(lost)) - *share);
        let [used, unused, renewed] = self.lost_shares;
        let (now, span) = (
            self.now,
            (RENEW_TARGETS * self.timing.shortest_target) as Nanos,
        );
        let unused_fails =
            connection == Connection::Unused && unused > LOSS_TROUBLE.max(used / LOSS_ALIKE);
        if now < self.renewing_until && renewed > LOSS_TROUBLE.max(LOSS_ALIKE * unused) {
            (self.renew_after, self.renewing_until) = (now + span, 0);
        } else if unused_fails && now >= self.renew_after {
            self.log
                .push("unused connections are lost: they are renewed".into());
            (self.renew_after, self.renewing_until) = (now + span, now + span);
            self.lost_shares[Connection::Renewed as usize] = 0.0;
        }
    }

    /// No repeat of an unsafe part that may have run, of a keyed one only while repeats are dropped.
    pub(super) fn may_repeat(&self, part: &Part, class: usize) -> bool {
        let class = &self.settings.classes[class];
        let cap = self.settings.max_attempts.unwrap_or(u32::MAX) as usize;
        part.attempts.len() < cap
            && part
                .attempts
                .iter()
                .find(|a| !a.never_ran)
                .is_none_or(|first| match class.idempotency {
                    Idempotency::NonIdempotent => false,
                    Idempotency::IdempotencyKey => {
                        self.now <= first.sent + class.idempotency_window
                    }
                    Idempotency::Idempotent => true,
                })
    }

    fn may_try(&self, part: &Part, class: usize) -> bool {
        let copy_allowed = self.settings.hedging_enabled || !part.is_out();
        self.may_repeat(part, class)
            && (part.attempts.is_empty() || copy_allowed && self.budget_left(class, self.now))
    }

    /// Within a tight budget, classes that need every part come first: others may leave half of it at most.
    pub(super) fn budget_left(&self, class: usize, at: Nanos) -> bool {
        let Some(budget) = &self.settings.retry_budget else {
            return true;
        };
        let since = at.saturating_sub(budget.window);
        let used = self.further_attempts.count_from(since) as f64;
        let arrived = self.arrivals.count_from(since.saturating_add(1)) as f64;
        let class = &self.settings.classes[class];
        let part = if class.minimum_coverage < class.completeness_threshold {
            BUDGET_PARTIAL
        } else {
            1.0
        };
        used + 1.0 <= part * (budget.minimum + budget.ratio * arrived)
    }

    /// Second copies feed an overload: a cap, nearly all gone where they lose races. Open parts count too.
    fn copies_left(&self) -> bool {
        let parts = self.arrivals.len().max(self.queries.parts());
        (self.further_attempts.len() as f64)
            < COPIES_FLOOR
                + COPIES_SHARE * parts as f64 * (1.5 - 2.0 * self.races_lost).clamp(0.0, 1.0)
    }

    /// How long to wait before another replica is asked: what answers usually take, with time for the copy.
    pub(super) fn copy_delay(&self, time: f64) -> f64 {
        let mean = self.all_latencies.mean().unwrap_or(FIRST_LATENCY * time);
        let slow = mean + SLOW_DEVIATIONS * self.all_latencies.deviation();
        slow.clamp(COPY_DELAY_LEAST * time, COPY_DELAY_MOST * time)
    }

    /// The time that one step of the query has, ns.
    pub(super) fn step_time(&self, query: &Query) -> f64 {
        self.settings.classes[query.class].latency_objective as f64 / self.steps_of(query) as f64
    }

    /// Judges lateness, and sends again what failed or has been out too long.
    pub(super) fn retry_parts(&mut self, query: &mut Query, actions: &mut Vec<Action>) {
        let time = self.step_time(query);
        let (copy_delay, late) = (self.copy_delay(time), LATE_AT * time);
        let in_step = query.in_step().filter(|p| !p.dropped);
        let (count, landed) = in_step.fold((0, 0), |(n, l), p| (n + 1, l + p.landed as usize));
        for i in 0..query.parts.len() {
            let part = &mut query.parts[i];
            if part.landed {
                part.withdraw(self.settings.cancellation_enabled, actions);
            }
            if part.landed || part.dropped || part.step != query.step {
                continue;
            }
            if !part.counted && (self.now - query.step_began) as f64 > late {
                part.counted = true;
                self.judged.push(self.now, true);
            }
            let Some(last) = part.attempts.last().cloned() else {
                self.send(query, i, actions);
                continue;
            };
            let age = (self.now - last.sent) as f64;
            let unheard = self
                .replicas
                .get(last.replica)
                .is_none_or(|r| r.traffic().heard <= last.sent);
            if !part.is_out() {
                if part.attempts.len() < 2 || age > COPY_DELAY_LEAST * time {
                    self.send(query, i, actions);
                }
            } else if age > copy_delay && (2 * landed >= count || unheard) {
                let better = self.choose(&query.parts[i]).is_some_and(|slot| {
                    let other = self.replicas.at(slot);
                    self.smoothed(other) * f64::from(self.replicas.open_calls(other, self.now) + 1)
                        < age
                });
                if better && self.copies_left() && self.send(query, i, actions) {
                    if let Some(slot) = self.replicas.slot(last.replica) {
                        self.note_silence(slot, last.sent);
                    }
                }
            }
        }
    }
}
