//! Admission: whether a query is served, and load shedding.

use super::{Coordinator, SMOOTHING_ALL};
use crate::query::{Part, Query};
use crate::replica_table::Replica;
use crate::{Action, RequestId};

/// Share of the time left to the target past which a query's slowest part has it refused.
const REFUSE_AT: f64 = 0.5;
/// Bounds of the factor by which a query's worth for its parts moves that share.
const DENSITY_LEAST: f64 = 0.7;
const DENSITY_MOST: f64 = 1.3;
/// What a second refusal of one part takes off the share of queries admitted, and what an answer adds to it.
pub(super) const SHED_ON_REFUSAL: f64 = 0.25;
pub(super) const SHED_DECAY: f64 = 0.03;
/// What a query that is given up with parts in or out takes off it: their work was for nothing.
pub(super) const SHED_ON_LOSS: f64 = 0.6;
/// Least share admitted: one that learns nothing any more would never open again.
const ADMITTED_LEAST: f64 = 0.1;

impl Coordinator {
    /// Refuses a query, or sends the parts that came for it.
    pub(super) fn admit(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(mut query) = self.queries.take(id) else {
            return;
        };
        if query.step == 1 {
            self.mean_parts.add(query.parts.len() as f64, SMOOTHING_ALL);
            if self.cannot_meet_target(&mut query) || self.sheds_load() {
                return self.give_up(query, actions);
            }
            self.leave_out_light_parts(&mut query);
        }
        for i in query.by_weight().into_iter().rev() {
            if query.parts[i].attempts.is_empty() && !query.parts[i].dropped {
                self.send(&mut query, i, actions);
            }
        }
        self.queries.put_back(query, self.now);
    }

    /// What was admitted holds slots until it has run, answered or not. Where holder after holder turns parts
    /// away, a further query costs others their parts and is lost itself, and a hundred co-ordinators see
    /// nothing of each other but that: each admits less, at once, and more again with each answer.
    fn sheds_load(&mut self) -> bool {
        self.shed_share > 0.0 && self.random_draw() < self.shed_share
    }

    pub(super) fn shed_more(&mut self, share: f64) {
        self.shed_share += share * (1.0 - ADMITTED_LEAST - self.shed_share).max(0.0);
    }

    /// Overload: a query that cannot be answered by its target only delays others.
    fn cannot_meet_target(&mut self, query: &mut Query) -> bool {
        let share = REFUSE_AT * self.worth_density(query);
        let left = (query.target - query.arrived) as f64;
        let limit = share * left / self.steps_of(query) as f64;
        let class = &self.settings.classes[query.class];
        // Work for a client who leaves too soon is lost. By the target, or a slow spell would never end.
        let usual = self
            .all_latencies
            .mean()
            .unwrap_or(0.0)
            .min(REFUSE_AT * class.latency_objective as f64);
        if query.past_target && class.late_weight_fraction <= 0.0
            || query.gives_up_early
            || left < usual
        {
            return true;
        }
        let least = class.minimum_coverage.min(class.completeness_threshold);
        let slow: Vec<usize> = (0..query.parts.len())
            .filter(|i| self.best_latency(&query.parts[*i]) > limit)
            .collect();
        let left = 1.0 - slow.iter().map(|i| query.parts[*i].weight).sum::<f64>();
        if left + 1e-4 >= least && least < class.completeness_threshold {
            slow.into_iter().for_each(|i| query.parts[i].dropped = true);
        }
        left + 1e-4 < least
    }

    /// Worth of a part against the usual: queries that earn much for little work may wait in longer queues.
    fn worth_density(&mut self, query: &Query) -> f64 {
        let worth = self.settings.classes[query.class]
            .priority_weight
            .unwrap_or(1.0);
        let own = worth / query.parts.len().max(1) as f64;
        let usual = self.usual_worth_density.add(own, SMOOTHING_ALL);
        (own / usual.max(f64::MIN_POSITIVE)).clamp(DENSITY_LEAST, DENSITY_MOST)
    }

    /// When one more part should be back: ours out there at the pace of its answers, just sent ones included.
    fn expected(&self, replica: &Replica) -> f64 {
        let traffic = replica.traffic();
        let out = traffic.open().parts();
        if self.now < traffic.full_until {
            return f64::INFINITY;
        }
        let quiet = self.now.saturating_sub(traffic.answered) as f64 / self.timing.shortest_target;
        let queued = traffic.pace.mean().unwrap_or(0.0) * f64::from(out + 1) * (-quiet).exp();
        queued.max(replica.oldest_age(self.now) as f64)
    }

    /// The least of that over the holders of the part.
    fn best_latency(&self, part: &Part) -> f64 {
        let holders = self.replicas.holders(part.shard);
        let ready = holders
            .iter()
            .map(|slot| self.replicas.at(*slot))
            .filter(|r| r.is_ready());
        ready
            .map(|r| self.expected(r))
            .fold(f64::INFINITY, f64::min)
    }
}
