//! Replica choice: which holder of a shard gets a part, and the slow start of cold replicas.

use super::health::FADE_TARGETS;
use super::{Coordinator, FIRST_LATENCY, SECOND};
use crate::query::Part;
use crate::replica_table::{Replica, Slot, Turn};
use crate::Nanos;

/// Target latencies by which an answer from another zone counts as later, times the stated price of crossing: the
/// price is the same at any load, so it weighs most where time is plenty.
const CROSSING_DELAY: f64 = 4.0;
/// Times of warming up over which the answers that a replica usually gives are counted.
const COLD_MEMORY: f64 = 4.0;
/// Share of the multiple that brings a cold replica down which may be used up on the word of the settings alone.
const COLD_ANNOUNCED: f64 = 0.7;
/// Share of the target latency within which a cold replica's answers show room: it then gets all that is announced.
const COLD_QUICK: f64 = 0.25;

impl Coordinator {
    /// The design's choice: least smoothed latency times own open calls plus one. Suspects come after all
    /// others, and replicas that this part has tried come after those that it has not.
    pub(super) fn choose(&mut self, part: &Part) -> Option<Slot> {
        self.renew_turns(part.shard);
        let mut best: Option<((u32, f64, bool, u32), Slot)> = None;
        let mut random = fastrand::Rng::with_seed(self.random);
        for slot in self.replicas.holders(part.shard).iter() {
            let replica = self.replicas.at(*slot);
            let id = replica.id();
            if !self.may_send(replica) || part.attempts.iter().any(|a| a.out && a.replica == id) {
                continue;
            }
            let tried = part.attempts.iter().any(|a| a.replica == id) as u32;
            let rank = 2 * self.suspect(replica) as u32 + tried;
            let price = self.settings.cross_zone_cost
                * f64::from(u8::from(replica.zone() != self.settings.zone));
            let queue =
                self.latency(replica) * f64::from(self.replicas.open_calls(replica, self.now) + 1);
            let score = queue + CROSSING_DELAY * price * self.timing.shortest_target;
            let key = (rank, score, !replica.sent_to(self.now), random.u32(..));
            if best.is_none_or(|(least, _)| key < least) {
                best = Some((key, *slot));
            }
        }
        self.random = random.get_seed();
        best.map(|(_, slot)| slot)
    }

    /// Smoothed latency: the average while unheard, fading to it in silence, and never under the age of the
    /// oldest attempt still out: a silent replica is slow now, not when it returns.
    pub(super) fn latency(&self, replica: &Replica) -> f64 {
        self.smoothed(replica)
            .max(replica.oldest_age(self.now) as f64)
    }

    pub(super) fn smoothed(&self, replica: &Replica) -> f64 {
        let mean = self
            .all_latencies
            .mean()
            .unwrap_or(FIRST_LATENCY * self.timing.shortest_target);
        let traffic = replica.traffic();
        traffic.latency.map_or(mean, |own| {
            mean + (own - mean) * (-self.news_age(traffic.learned)).exp()
        })
    }

    pub(super) fn news_age(&self, at: Nanos) -> f64 {
        self.now.saturating_sub(at) as f64 / (FADE_TARGETS * self.timing.shortest_target)
    }

    /// Drains and cold replicas: whether the rules leave room for one more part there.
    fn may_send(&self, replica: &Replica) -> bool {
        let room = self.slow_start_room(replica);
        if !replica.is_ready() || room == f64::INFINITY {
            return replica.is_ready();
        }
        let since = self.now.saturating_sub(self.settings.overload_window);
        (replica.traffic().sends.count_from(since) as f64) < room
    }

    /// Turns at cold holders come no closer than the time in which they fall, from when there is work for them: were
    /// they all to end at one moment, those of this one and of the next would meet in one such time.
    fn renew_turns(&mut self, shard: u32) {
        let (span, now, cold_time) = (
            self.settings.overload_window.max(1),
            self.now,
            self.settings.slow_start_duration,
        );
        let cold = |r: &Replica| r.started() > 0 && now.saturating_sub(r.started()) < cold_time;
        let due = |r: &Replica| cold(r) && now >= r.traffic().turn.since + span;
        let holders = self.replicas.holders(shard);
        let due: Vec<Slot> = holders
            .iter()
            .copied()
            .filter(|slot| due(self.replicas.at(*slot)))
            .collect();
        for slot in due {
            let seed = self.seed ^ self.replicas.at(slot).started() ^ now.rotate_left(32);
            self.replicas.traffic_mut(slot).turn = Turn {
                since: now,
                room: fastrand::Rng::with_seed(seed).f64(),
            };
        }
    }

    /// Slow start: the guide is what its likes answered to us for long, or where that is little yet, what the
    /// tenants' allowances say that all can bear: at no room the warm ones are left with all the work. Dozens
    /// with one part each push it over: of less than one, the seed decides when it goes.
    fn slow_start_room(&self, replica: &Replica) -> f64 {
        let Some((from, multiple)) = self.slow_start_limits() else {
            return f64::INFINITY;
        };
        let traffic = replica.traffic();
        let age = self.now.saturating_sub(replica.started());
        if replica.started() == 0 || age >= self.settings.slow_start_duration {
            return f64::INFINITY;
        }
        let span = self.settings.overload_window.max(1);
        // The sends of a whole such time count, and it bore less at the beginning of that.
        let warmth = from
            + (1.0 - from) * age.saturating_sub(span / 2) as f64
                / self.settings.slow_start_duration as f64;
        let ready = self.replicas.ready().max(1);
        let counted = self
            .memory()
            .min((self.now - self.first_batch).max(self.settings.slow_start_duration) as f64);
        let mixers = f64::from(self.settings.fleet_size.max(1));
        let announced = self.settings.fleet_rate_limit * self.mean_parts.mean().unwrap_or(0.0)
            / mixers
            / SECOND as f64;
        let answers = traffic.answered > 0 && self.now >= traffic.full_until;
        let quick = answers && self.latency(replica) < COLD_QUICK * self.timing.shortest_target;
        // More of what is announced only: what was answered is used up to the whole multiple already.
        let announced = if quick {
            announced
        } else {
            COLD_ANNOUNCED * announced
        };
        let usual =
            (self.answered_parts.count() / counted).max(announced) * span as f64 / ready as f64;
        ((multiple * warmth * usual).max(1.0 / mixers) + traffic.turn.room).floor()
    }

    /// With what share of its capacity a replica starts, and sent how much of it a cold one falls over.
    pub(super) fn slow_start_limits(&self) -> Option<(f64, f64)> {
        self.settings
            .slow_start_initial_capacity
            .zip(self.settings.overload_multiple)
    }

    pub(super) fn memory(&self) -> f64 {
        COLD_MEMORY * self.settings.slow_start_duration.max(1) as f64
    }
}
