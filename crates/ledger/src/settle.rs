//! Settling of billing periods. Pure: whether a period may close, its uses, and the adjustments for late records.

use crate::join::{ClientAttempt, Joiner, RecordId, Use};
use crate::period::Period;
use crate::rate::Counts;
use std::collections::{BTreeMap, BTreeSet};

/// Limits of joining, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JoinLimits {
    /// The longest time after a first attempt that a retry may arrive.
    pub horizon_ms: i64,
    /// The largest difference between the clocks of two mixers.
    pub skew_ms: i64,
}

impl JoinLimits {
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
    /// All records of arrivals before this time (Unix milliseconds) are in the store; `None` if no batch of the
    /// member has been collected.
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
    bounds: JoinLimits,
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
    /// Attempts that are counted in this period's uses but arrived late enough to be in the next period's range, too:
    /// at or after this period's end less the clock skew.
    pub joined_attempts: BTreeSet<RecordId>,
    /// Ambiguous retries in uses that start after this period, although they may repeat attempts of this period.
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

/// Settles one period from the attempts in its [`JoinLimits::arrival_range`], pushed in the order of
/// [`ClientAttempt::id`]. Skips attempts that the previous period has counted.
pub struct PeriodSettler {
    period: Period,
    /// Two times in Unix milliseconds: from the first on, an attempt may belong to the next period; up to the second, a
    /// retry may belong to this period.
    boundary: (i64, i64),
    /// Attempts that the previous period has counted.
    joined_earlier: BTreeSet<RecordId>,
    joiner: Joiner,
    settled: SettledPeriod,
}

impl PeriodSettler {
    /// Creates a settler for `period`; `before` is the state that the previous period passes on.
    pub fn new(period: Period, bounds: JoinLimits, before: CarryForward) -> PeriodSettler {
        let next_period_from = period.end.saturating_sub(bounds.skew_ms);
        let retries_until = period
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
            boundary: (next_period_from, retries_until),
            joined_earlier: before.joined_attempts,
            joiner,
            settled: SettledPeriod::default(),
        }
    }

    /// Adds the next attempt.
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

    /// Returns the result; all attempts of the range have to be pushed before.
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
    fn count(
        &mut self,
        period: Period,
        (next_period_from, retries_until): (i64, i64),
        billed: &Use,
    ) {
        let first = billed.first();
        if first.arrived_ms >= period.end {
            self.carry_forward
                .ambiguous_retries
                .extend(billed.ambiguous.iter().filter(|id| id.0 <= retries_until));
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
                .filter(|attempt| attempt.arrived_ms >= next_period_from)
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
