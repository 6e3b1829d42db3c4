//! Settling of billing periods. Pure: whether a period may close, its uses, and the adjustments for late records.

use crate::join::{ClientAttempt, Joiner, RecordId, Use};
use crate::period::Period;
use crate::rate::Counts;
use std::collections::{BTreeMap, BTreeSet};

/// Limits of joining, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The longest time after a first attempt that a retry may arrive.
    pub horizon_ms: i64,
    /// The largest difference between the clocks of two mixers.
    pub skew_ms: i64,
}

impl Bounds {
    /// The arrivals that settling a period needs: start inclusive, end exclusive.
    pub fn arrival_range(&self, period: Period) -> (i64, i64) {
        (
            period.start.saturating_sub(self.skew_ms),
            period.end.saturating_add(self.lookahead_ms()),
        )
    }

    /// Milliseconds after the end of a period up to which settling it needs arrivals.
    pub fn lookahead_ms(&self) -> i64 {
        self.horizon_ms
            .saturating_add(3 * self.skew_ms)
            .saturating_add(1)
    }
}

/// The collection progress of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberProgress {
    pub member: String,
    /// All records of arrivals before this time (Unix milliseconds) are in the store; none if no batch of the member
    /// has been collected.
    pub watermark_ms: Option<i64>,
}

/// Whether a period may close.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CloseDecision {
    /// These members' records are not complete, and the grace period has not expired.
    Wait(Vec<String>),
    /// All records are in the store.
    Complete,
    /// The grace period has expired; these members' records are not complete.
    Incomplete(Vec<String>),
}

/// Whether `period` may close at `now_ms` (Unix milliseconds), given its members.
pub fn close_decision(
    period: Period,
    bounds: Bounds,
    grace_ms: i64,
    now_ms: i64,
    members: &[MemberProgress],
) -> CloseDecision {
    let (_, until) = bounds.arrival_range(period);
    let incomplete = |member: &&MemberProgress| {
        member
            .watermark_ms
            .is_none_or(|watermark| watermark < until)
    };
    let missing: Vec<String> = members
        .iter()
        .filter(incomplete)
        .map(|member| member.member.clone())
        .collect();
    if now_ms < until {
        // A mixer whose clock is ahead must not close a period in which other mixers still accept queries.
        CloseDecision::Wait(missing)
    } else if missing.is_empty() {
        CloseDecision::Complete
    } else if now_ms >= until.saturating_add(grace_ms) {
        CloseDecision::Incomplete(missing)
    } else {
        CloseDecision::Wait(missing)
    }
}

/// Lines by tenant and class.
pub type Lines = BTreeMap<(u32, u32), Counts>;

/// State that settling a period passes to the next period.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CarryForward {
    /// Attempts near or after the period's end that are already counted in its uses.
    pub joined_attempts: BTreeSet<RecordId>,
    /// Retries of later uses that could have been joined to uses of this period.
    pub ambiguous_retries: BTreeSet<RecordId>,
}

/// The result of settling a period.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettledPeriod {
    pub lines: Lines,
    pub carry_forward: CarryForward,
    /// First attempts of uses with an ambiguous join.
    pub ambiguous: Vec<RecordId>,
}

/// Settles one period from the attempts in its [`Bounds::arrival_range`], pushed in the order of [`ClientAttempt::id`].
/// Skips attempts that the previous period has counted.
pub struct PeriodSettler {
    period: Period,
    /// The time from which an attempt may belong to the next period, and the time up to which a retry may belong to
    /// this one (Unix milliseconds).
    boundary: (i64, i64),
    /// Attempts that the previous period has counted.
    joined_earlier: BTreeSet<RecordId>,
    joiner: Joiner,
    settled: SettledPeriod,
}

impl PeriodSettler {
    pub fn new(period: Period, bounds: Bounds, before: CarryForward) -> PeriodSettler {
        let near = period.end.saturating_sub(bounds.skew_ms);
        let far = period
            .end
            .saturating_add(bounds.horizon_ms)
            .saturating_add(bounds.skew_ms);
        let joiner = Joiner::with_ambiguous_retries(
            bounds.skew_ms,
            bounds.horizon_ms,
            before.ambiguous_retries,
        );
        PeriodSettler {
            period,
            boundary: (near, far),
            joined_earlier: before.joined_attempts,
            joiner,
            settled: SettledPeriod::default(),
        }
    }

    pub fn push(&mut self, attempt: ClientAttempt) {
        if !self.joined_earlier.contains(&attempt.id()) {
            let PeriodSettler {
                joiner,
                settled,
                period,
                boundary,
                ..
            } = self;
            joiner.push(attempt, &mut |billed| {
                settled.count(*period, *boundary, &billed)
            });
        }
    }

    pub fn finish(mut self) -> SettledPeriod {
        let PeriodSettler {
            joiner,
            settled,
            period,
            boundary,
            ..
        } = &mut self;
        joiner.finish(&mut |billed| settled.count(*period, *boundary, &billed));
        self.settled
    }
}

impl SettledPeriod {
    fn count(&mut self, period: Period, (near, far): (i64, i64), billed: &Use) {
        let first = billed.first();
        if first.arrived_ms >= period.end {
            self.carry_forward
                .ambiguous_retries
                .extend(billed.ambiguous.iter().filter(|id| id.0 <= far));
            return;
        }
        self.lines
            .entry((first.tenant, first.class))
            .or_default()
            .add(billed);
        self.carry_forward.joined_attempts.extend(
            billed
                .attempts
                .iter()
                .filter(|attempt| attempt.arrived_ms >= near)
                .map(ClientAttempt::id),
        );
        if !billed.ambiguous.is_empty() {
            self.ambiguous.push(first.id());
        }
    }
}

/// Adjustments of a closed period: its current counts less the counts that statements have billed so far.
pub fn adjustments(current: &Lines, billed_lines: &Lines) -> Lines {
    let keys: BTreeSet<_> = current.keys().chain(billed_lines.keys()).copied().collect();
    let line = |lines: &Lines, key| lines.get(&key).copied().unwrap_or_default();
    let differences = keys
        .into_iter()
        .map(|key| (key, line(current, key) - line(billed_lines, key)));
    differences
        .filter(|(_, counts)| !counts.is_zero())
        .collect()
}
