//! Settling periods. Pure: when one may close, what its uses are, and what late records change.

use crate::join::{Id, Joiner, Try, Use};
use crate::period::Period;
use crate::rate::Counts;
use std::collections::{BTreeMap, BTreeSet};

/// Times in milliseconds that joining goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The longest after a first try that a retry may arrive.
    pub horizon: i64,
    /// The most that two mixers' clocks differ.
    pub skew: i64,
}

impl Bounds {
    /// The arrivals that settling a period has to see: from, and up to without.
    pub fn seen(&self, period: Period) -> (i64, i64) {
        (
            period.start.saturating_sub(self.skew),
            period.end.saturating_add(self.after()),
        )
    }

    /// How far past its end settling a period sees, in milliseconds.
    pub fn after(&self) -> i64 {
        self.horizon.saturating_add(3 * self.skew).saturating_add(1)
    }
}

/// Up to when a member's records are known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Known {
    pub member: String,
    /// Complete before this time, in Unix milliseconds; none if it was never heard of.
    pub complete: Option<i64>,
}

/// Whether a period may close.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Closing {
    /// Not before these are complete, or the grace is over.
    Waits(Vec<String>),
    /// All that arrived is there.
    Whole,
    /// The grace is over; these are missing.
    Without(Vec<String>),
}

/// Whether `period` may close at `now`, given the members that took part in it.
pub fn closing(period: Period, bounds: Bounds, grace: i64, now: i64, members: &[Known]) -> Closing {
    let (_, until) = bounds.seen(period);
    let behind = |known: &&Known| known.complete.is_none_or(|complete| complete < until);
    let missing: Vec<String> = members
        .iter()
        .filter(behind)
        .map(|known| known.member.clone())
        .collect();
    if now < until {
        // A mixer whose clock is ahead must not close a period for those that have yet to serve in it.
        Closing::Waits(missing)
    } else if missing.is_empty() {
        Closing::Whole
    } else if now >= until.saturating_add(grace) {
        Closing::Without(missing)
    } else {
        Closing::Waits(missing)
    }
}

/// Lines by tenant and class.
pub type Lines = BTreeMap<(u32, u32), Counts>;

/// What one period's settling tells the next one's.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Over {
    /// Tries near or past the period's end that belong to its uses, and to none of the next one's.
    pub carried: BTreeSet<Id>,
    /// Retries of later uses that might have been joined to uses of this period.
    pub hints: BTreeSet<Id>,
}

/// What a period comes to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Settled {
    pub lines: Lines,
    pub over: Over,
    /// First tries of uses with an ambiguous join.
    pub ambiguous: Vec<Id>,
}

/// Settles one period. Takes the tries that [`Bounds::seen`] asks for, in the order of [`Try::id`], and passes over
/// those that the period before has carried over.
pub struct Settling {
    period: Period,
    /// From where on a try may be the next period's, and up to where a retry may be this one's.
    edge: (i64, i64),
    carried: BTreeSet<Id>,
    joiner: Joiner,
    settled: Settled,
}

impl Settling {
    pub fn new(period: Period, bounds: Bounds, before: Over) -> Settling {
        let near = period.end.saturating_sub(bounds.skew);
        let far = period
            .end
            .saturating_add(bounds.horizon)
            .saturating_add(bounds.skew);
        let joiner = Joiner::with_hints(bounds.skew, bounds.horizon, before.hints);
        Settling {
            period,
            edge: (near, far),
            carried: before.carried,
            joiner,
            settled: Settled::default(),
        }
    }

    pub fn take(&mut self, one: Try) {
        if !self.carried.contains(&one.id()) {
            let Settling {
                joiner,
                settled,
                period,
                edge,
                ..
            } = self;
            joiner.take(one, &mut |it| settled.count(*period, *edge, &it));
        }
    }

    pub fn finish(mut self) -> Settled {
        let Settling {
            joiner,
            settled,
            period,
            edge,
            ..
        } = &mut self;
        joiner.finish(&mut |it| settled.count(*period, *edge, &it));
        self.settled
    }
}

impl Settled {
    fn count(&mut self, period: Period, (near, far): (i64, i64), it: &Use) {
        let first = it.first();
        if first.at >= period.end {
            self.over
                .hints
                .extend(it.ambiguous.iter().filter(|id| id.0 <= far));
            return;
        }
        self.lines
            .entry((first.tenant, first.class))
            .or_default()
            .add(it);
        self.over
            .carried
            .extend(it.tries.iter().filter(|one| one.at >= near).map(Try::id));
        if !it.ambiguous.is_empty() {
            self.ambiguous.push(first.id());
        }
    }
}

/// What has to be put right of a closed period: what it comes to now, less what statements have said so far.
pub fn adjustments(now: &Lines, said: &Lines) -> Lines {
    let keys: BTreeSet<_> = now.keys().chain(said.keys()).copied().collect();
    let line = |lines: &Lines, key| lines.get(&key).copied().unwrap_or_default();
    let differences = keys
        .into_iter()
        .map(|key| (key, line(now, key) - line(said, key)));
    differences
        .filter(|(_, counts)| !counts.is_zero())
        .collect()
}
