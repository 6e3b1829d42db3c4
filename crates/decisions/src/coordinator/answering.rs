//! Answering: when a query is answered, given up or due to be looked at again.

use super::admission::SHED_ON_LOSS;
use super::retries::COPY_DELAY_LEAST;
use super::{Coordinator, LATE_AT};
use crate::query::{Part, Query};
use crate::{Action, Idempotency, Nanos, ReplicaId, RequestId};
use std::collections::BTreeSet;

/// Timer intervals kept free before a moment that must not be missed.
const SPARE_INTERVALS: Nanos = 2;
/// Replicas at which a query's attempts broke from which on it is taken to bring them down.
const CRASHED_REPLICAS: usize = 3;

impl Coordinator {
    /// Answers the query, gives it up, or retries its parts, as its time and its parts ask for.
    pub(super) fn advance(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(mut query) = self.queries.take(id) else {
            return;
        };
        self.advanced += 1;
        let class = &self.settings.classes[query.class];
        let landed = query.landed();
        let all_in = query.in_step().all(|p| p.landed);
        let open = |p: &&Part| !p.landed && !p.dropped && self.may_be_answered(p, &query);
        let open: Vec<f64> = query.in_step().filter(open).map(|p| p.weight).collect();
        let waiting = !open.is_empty();
        let (need, floor) = (
            class.completeness_threshold,
            class.minimum_coverage.min(class.completeness_threshold),
        );
        let least = if floor < need || query.step == 1 {
            floor
        } else {
            1.0
        };
        let complete = if query.step == 1 {
            all_in || landed + 1e-6 >= need
        } else {
            all_in && query.first_whole
        };
        let enough = complete || landed > 0.0 && landed + 1e-6 >= least;
        let begun = query.in_step().next().is_some();
        let end = self.answer_time(&query);
        if begun && enough && (complete || all_in || !waiting || self.now >= end) {
            return self.answer(query, complete, actions);
        }
        let crashes = Self::crashes_replicas(&query);
        let idle = query.parts.iter().all(|p| !p.is_out());
        let lost = begun && (!waiting || landed + open.iter().sum::<f64>() + 1e-4 < least);
        if self.now >= self.give_up_time(&query) || lost || crashes && idle {
            if query.parts.iter().any(|p| p.landed || p.is_out()) {
                self.shed_more(SHED_ON_LOSS);
            }
            return self.give_up(query, actions);
        }
        if !crashes
            || (self.now - query.step_began) as f64 > self.copy_delay(self.timing.shortest_target)
        {
            self.retry_parts(&mut query, actions);
        }
        self.keep(query);
    }

    /// Keeps a query that was advanced until it is next due.
    fn keep(&mut self, query: Query) {
        let due = self.next_due(&query);
        self.queries.put_back(query, due);
    }

    fn answer(&mut self, mut query: Query, complete: bool, actions: &mut Vec<Action>) {
        actions.push(Action::Answer {
            query: query.id,
            complete,
        });
        if query.step < self.steps_of(&query) as u8 {
            self.withdraw(&mut query, actions);
            query.step = 2;
            query.step_began = self.now;
            query.first_whole = complete;
            self.keep(query);
        } else {
            self.close(query, actions);
        }
    }

    /// Ends a query without an answer, at once. Safe to try again unless an unsafe part may have run.
    pub(super) fn give_up(&mut self, query: Query, actions: &mut Vec<Action>) {
        let class = &self.settings.classes[query.class];
        let may_have_run = query
            .parts
            .iter()
            .flat_map(|p| &p.attempts)
            .any(|a| !a.never_ran);
        if class.idempotency == Idempotency::NonIdempotent && may_have_run {
            actions.push(Action::Fail { query: query.id });
        } else {
            let advice = Some(self.settings.max_retry_after).filter(|longest| *longest > 0);
            actions.push(Action::Reject {
                query: query.id,
                retry_after: advice,
            });
        }
        self.close(query, actions);
    }

    /// Withdraws what is out of a query that is over, and forgets it.
    pub(super) fn close(&mut self, mut query: Query, actions: &mut Vec<Action>) {
        self.withdraw(&mut query, actions);
        self.queries.close(&query);
    }

    fn withdraw(&self, query: &mut Query, actions: &mut Vec<Action>) {
        for part in &mut query.parts {
            part.withdraw(self.settings.cancellation_enabled, actions);
        }
    }

    /// A query may bring down each replica that begins a part: none is in, and attempts broke at several. No
    /// more of it goes out for a while, in which one that met dying replicas by chance has parts land.
    fn crashes_replicas(query: &Query) -> bool {
        let broke = query
            .parts
            .iter()
            .flat_map(|p| &p.attempts)
            .filter(|a| a.broke);
        let replicas: BTreeSet<ReplicaId> = broke.map(|a| a.replica).collect();
        replicas.len() >= CRASHED_REPLICAS && !query.parts.iter().any(|p| p.landed)
    }

    /// Whether a part may still land: one that can't go out again (rules, holders, budget) is given up.
    fn may_be_answered(&self, part: &Part, query: &Query) -> bool {
        let ready = || {
            self.replicas
                .holders(part.shard)
                .iter()
                .any(|slot| self.replicas.at(*slot).is_ready())
        };
        let paid = || part.attempts.is_empty() || self.budget_left(query.class, query.target);
        part.is_out() || self.may_repeat(part, query.class) && paid() && ready()
    }

    /// When the running step has to be over: just before the target, earlier where a second step follows.
    fn step_end(&self, query: &Query) -> Nanos {
        let end = query
            .target
            .saturating_sub(SPARE_INTERVALS * self.timing.timer_interval);
        if query.step < self.steps_of(query) as u8 {
            return query.arrived + end.saturating_sub(query.arrived) / 2;
        }
        end
    }

    /// The last moment for an answer.
    fn last_moment(&self, query: &Query) -> Nanos {
        query
            .deadline
            .saturating_sub(SPARE_INTERVALS * self.timing.timer_interval)
    }

    /// When the query is answered from what is in, if that is enough.
    fn answer_time(&self, query: &Query) -> Nanos {
        let class = &self.settings.classes[query.class];
        let late_earns = class.late_weight_fraction
            > class.partial_answer_value * query.landed() / class.completeness_threshold;
        if late_earns {
            self.last_moment(query)
        } else {
            self.step_end(query)
        }
    }

    /// When the query is given up if it is not answered.
    fn give_up_time(&self, query: &Query) -> Nanos {
        let late_worth = self.settings.classes[query.class].late_weight_fraction;
        let target = query.target.saturating_sub(self.timing.timer_interval);
        self.last_moment(query)
            .min(if late_worth > 0.0 { Nanos::MAX } else { target })
    }

    /// The first time at which advancing the query may change anything, unless something of its own happens
    /// before: an answer or refusal at a fixed moment, or what `retry_parts` does for a part. It may be too early,
    /// never too late.
    fn next_due(&self, query: &Query) -> Nanos {
        let time = self.step_time(query);
        let open = query.in_step().filter(|p| !p.landed && !p.dropped);
        let parts = open.map(|part| self.part_due(part, query, time)).min();
        let end = Some(self.answer_time(query)).filter(|end| *end > self.now);
        self.give_up_time(query)
            .min(parts.unwrap_or(Nanos::MAX))
            .min(end.unwrap_or(Nanos::MAX))
    }

    /// Where nothing is out, budgets, lists and what other queries do may let a part go in any batch.
    fn part_due(&self, part: &Part, query: &Query, time: f64) -> Nanos {
        let Some(last) = part.attempts.last().filter(|_| part.is_out()) else {
            return self.now;
        };
        let copy = last.sent.saturating_add((COPY_DELAY_LEAST * time) as Nanos);
        let late = query.step_began.saturating_add((LATE_AT * time) as Nanos);
        copy.min(if part.counted { Nanos::MAX } else { late })
    }
}
