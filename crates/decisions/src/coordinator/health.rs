//! Health of replicas: smoothed latency, silence, backoff, probes.

use super::{Coordinator, LATE_AT, SMOOTHING_ALL};
use crate::replica_table::{Connection, Replica, Slot, Traffic};
use crate::{Action, Nanos, Outcome};

/// Weight of a new sample in a replica's smoothed latency: about the last five answers count.
const SMOOTHING: f64 = 0.2;
/// Weight of a failed attempt there: what fails at once looks quick and idle and would draw all work.
const SMOOTHING_FAILED: f64 = 0.6;
/// Target latencies after which what was learned of a replica has mostly faded to the average: it is tried again.
pub(super) const FADE_TARGETS: f64 = 5.0;
/// Target latencies for which a replica that went silent is left alone at first, and at the most.
const BACKOFF_FIRST: f64 = 0.5;
const BACKOFF_MOST: f64 = 4.0;
/// Share of the target latency for which a replica that turned a part away is taken to be full, whoever filled it.
const FULL_BACKOFF: f64 = 0.125;
/// Share of the replicas under suspicion from which on the others are probed, where that is allowed.
const PROBE_SHARE: f64 = 0.1;

impl Coordinator {
    /// A sign of life ends the suspicion; what failed stays in the smoothed latency for a while.
    pub(super) fn note_alive(&mut self, slot: Slot) {
        self.replicas.set_suspected(slot, false);
        let traffic = self.replicas.traffic_mut(slot);
        (traffic.heard, traffic.backoff_until, traffic.silences) = (self.now, 0, 0);
        for connection in std::mem::take(&mut traffic.lost) {
            self.note_connection(connection, true);
        }
    }

    /// Learns from the end of an attempt or probe at a replica.
    pub(super) fn note_outcome(
        &mut self,
        slot: Slot,
        sent: Nanos,
        connection: Connection,
        outcome: Outcome,
    ) {
        let age = (self.now - sent) as f64;
        let replica = self.replicas.at(slot);
        let (known, faded) = (self.latency(replica), self.smoothed(replica));
        let sample = match outcome {
            Outcome::Ok => age,
            Outcome::NotSent => known,
            Outcome::Cancelled => age.max(known),
            _ => known.max(LATE_AT * self.timing.shortest_target),
        };
        let overdue =
            age > self.copy_delay(self.timing.shortest_target) && replica.traffic().heard <= sent;
        let full_until = self.now + (FULL_BACKOFF * self.timing.shortest_target) as Nanos;
        let traffic = self.replicas.traffic_mut(slot);
        if outcome == Outcome::Rejected {
            traffic.full_until = full_until;
        }
        if outcome == Outcome::Ok {
            let since = traffic
                .answered
                .max(traffic.open().oldest().unwrap_or(sent));
            traffic.pace.add((self.now - since) as f64, SMOOTHING);
            traffic.answered = self.now;
        }
        if outcome != Outcome::NotSent {
            let failed = outcome != Outcome::Ok && (outcome != Outcome::Cancelled || overdue);
            let weight = if failed { SMOOTHING_FAILED } else { SMOOTHING };
            traffic.latency = Some(faded + weight * (sample - faded));
            traffic.learned = self.now;
            if failed && !matches!(outcome, Outcome::Error | Outcome::Rejected) {
                traffic.lost.push(connection);
            }
        }
        self.replicas.close_part(slot, sent);
        match outcome {
            Outcome::Ok => {
                self.answered_parts.add(self.now, self.memory());
                self.all_latencies.add(age, SMOOTHING_ALL);
                self.note_alive(slot);
                self.note_connection(connection, false);
            }
            Outcome::Error | Outcome::Rejected => self.note_alive(slot),
            Outcome::ConnectFailed | Outcome::ConnectionReset | Outcome::TimedOut => {
                self.note_silence(slot, sent)
            }
            Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// Silence, whatever its cause: the replica is left alone, longer each time, then gets one call until it answers.
    pub(super) fn note_silence(&mut self, slot: Slot, sent: Nanos) {
        let (now, target) = (self.now, self.timing.shortest_target);
        let id = self.replicas.at(slot).id();
        let traffic = self.replicas.traffic_mut(slot);
        if traffic.heard > sent || now < traffic.backoff_until {
            return;
        }
        if !std::mem::replace(&mut self.newly_silent, true) {
            self.log
                .push(format!("replica {:x} suspected: it is silent", id.0));
        }
        let backoff = BACKOFF_FIRST * target * f64::from(1u32 << traffic.silences.min(16));
        traffic.silences += 1;
        traffic.backoff_until = now + backoff.min(BACKOFF_MOST * target) as Nanos;
        self.replicas.set_suspected(slot, true);
    }

    /// Trouble at many replicas: one probe for each long quiet one, or queries find them out one by one.
    pub(super) fn probe_silent(&mut self, actions: &mut Vec<Action>) {
        let target = self.timing.shortest_target;
        let too_early = self.news_age(self.last_probed) < 1.0;
        if !self.settings.probing_enabled || too_early || !std::mem::take(&mut self.newly_silent) {
            return;
        }
        if self.replicas.suspected_and_ready() as f64 >= PROBE_SHARE * self.replicas.ready() as f64
        {
            let heard_lately =
                |t: &Traffic| self.now.saturating_sub(t.heard.max(t.learned)) as f64 <= target;
            let ready = self
                .replicas
                .walk_ready()
                .into_iter()
                .map(|slot| self.replicas.at(slot));
            let unheard =
                ready.filter(|r| r.traffic().open().is_empty() && !heard_lately(r.traffic()));
            actions.extend(unheard.map(|r| Action::Probe { replica: r.id() }));
            self.last_probed = self.now;
        }
    }

    /// Whether others are asked first: it is silent, was silent and is left alone or on trial, or is full.
    pub(super) fn suspect(&self, replica: &Replica) -> bool {
        let silent =
            replica.oldest_age(self.now) as f64 > self.copy_delay(self.timing.shortest_target);
        let traffic = replica.traffic();
        let backing_off = self.now < traffic.backoff_until || !traffic.open().is_empty();
        silent || replica.suspected() && backing_off || self.now < traffic.full_until
    }
}
