//! Which tries are one use. Pure: tries go in by the order of their arrival, uses come out.
//!
//! A first try begins a use. A try marked as a retry joins the use of an earlier one, at most one retry to each try:
//! - by the client's own key, whatever became of the earlier tries;
//! - else by tenant, class and what was asked, within the class's give-up time of the first try, to the try that
//!   has waited for longest among those that were not answered. A try whose answer may never have left, for its mixer
//!   died right after, counts as not answered, but comes last.
//!
//! A retry that finds nothing to join is a use of its own: its first try never arrived anywhere, or its record died
//! with a mixer. Clocks of mixers may differ by [`Joiner::new`]'s `skew`: so much earlier a retry may seem to be.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// How a try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Outcome {
    Whole,
    /// With this share of the weight, in millionths.
    Partial(u32),
    Refused,
    Failed,
    Left,
}

impl Outcome {
    /// Whether the client was answered, whole or in part.
    pub fn answered(self) -> bool {
        matches!(self, Outcome::Whole | Outcome::Partial(_))
    }

    /// Its name in reports and files.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Whole => "whole",
            Outcome::Partial(_) => "partial",
            Outcome::Refused => "refused",
            Outcome::Failed => "failed",
            Outcome::Left => "left",
        }
    }

    /// The share of the weight that a partial answer rests on, in millionths; 0 for any other outcome.
    pub fn partial_share(self) -> u32 {
        match self {
            Outcome::Partial(share) => share,
            _ => 0,
        }
    }

    /// Which of two tries' outcomes is that of their use: the better one.
    fn better(self, other: Outcome) -> Outcome {
        match (self, other) {
            (Outcome::Whole, _) | (_, Outcome::Whole) => Outcome::Whole,
            (Outcome::Partial(a), Outcome::Partial(b)) => Outcome::Partial(a.max(b)),
            (Outcome::Partial(_), _) => self,
            // Neither was answered: that of the later try.
            (_, later) => later,
        }
    }
}

/// One record, wherever it came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Try {
    /// Arrival in Unix milliseconds, by its mixer's clock.
    pub at: i64,
    pub member: u32,
    pub incarnation: u64,
    pub sequence: u64,
    pub tenant: u32,
    pub class: u32,
    pub outcome: Outcome,
    pub parts: u32,
    pub attempts: u32,
    pub crossed: u32,
    pub repeat: bool,
    pub key: u64,
    pub keyed: bool,
    /// The class's give-up time in milliseconds.
    pub window: i64,
    /// Its mixer died right after: the answer may never have left.
    pub doubtful: bool,
}

/// Names one record for ever, in the order of arrival.
pub type Id = (i64, u32, u64, u64);

impl Try {
    pub fn id(&self) -> Id {
        (self.at, self.member, self.incarnation, self.sequence)
    }

    fn open(&self) -> bool {
        !self.outcome.answered() || self.doubtful
    }
}

/// One use: its tries, in the order that they were joined.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Use {
    pub tries: Vec<Try>,
    /// The best of its tries' outcomes.
    pub outcome: Outcome,
    /// Of its tries, the retries that had more than one try to join, or none but answered ones: another reading
    /// would count otherwise.
    pub ambiguous: Vec<Id>,
}

impl Use {
    fn new(first: Try, ambiguous: bool) -> Use {
        let ambiguous = if ambiguous {
            vec![first.id()]
        } else {
            Vec::new()
        };
        Use {
            tries: vec![first],
            outcome: first.outcome,
            ambiguous,
        }
    }

    /// The first try, or the earliest known.
    pub fn first(&self) -> &Try {
        &self.tries[0]
    }

    fn last(&self) -> &Try {
        &self.tries[self.tries.len() - 1]
    }

    fn join(&mut self, retry: Try, ambiguous: bool) {
        self.outcome = self.outcome.better(retry.outcome);
        if ambiguous {
            self.ambiguous.push(retry.id());
        }
        self.tries.push(retry);
    }
}

type Group = (u32, u32, u64, bool);

/// Joins tries that come in the order of [`Try::id`], and holds only those that may yet be joined.
#[derive(Debug)]
pub struct Joiner {
    skew: i64,
    /// Milliseconds after its first try that a use with a client's key may still be joined.
    horizon: i64,
    open: HashMap<Group, Vec<Use>>,
    /// Groups that have a use which can't be joined after this time.
    due: BTreeMap<(i64, Id), Group>,
    /// Retries that wait until no earlier try can come any more.
    retries: VecDeque<Try>,
    /// Retries that are ambiguous for what came before all that is taken here.
    hints: BTreeSet<Id>,
}

impl Joiner {
    pub fn new(skew: i64, horizon: i64) -> Joiner {
        let (open, due, retries, hints) = Default::default();
        Joiner {
            skew,
            horizon,
            open,
            due,
            retries,
            hints,
        }
    }

    /// As [`Joiner::new`], with retries already known to be ambiguous.
    pub fn with_hints(skew: i64, horizon: i64, hints: BTreeSet<Id>) -> Joiner {
        Joiner {
            hints,
            ..Joiner::new(skew, horizon)
        }
    }

    fn group(it: &Try) -> Group {
        (it.tenant, it.class, it.key, it.keyed)
    }

    /// Milliseconds after the first try within which one may be joined to it.
    fn window(&self, it: &Try) -> i64 {
        if it.keyed {
            self.horizon
        } else {
            it.window.min(self.horizon)
        }
    }

    /// Takes the next try. Uses that are over are handed to `done`.
    pub fn take(&mut self, it: Try, done: &mut impl FnMut(Use)) {
        self.pass(it.at, done);
        if it.repeat || it.keyed {
            self.retries.push_back(it);
        } else {
            self.begin(it, false);
        }
    }

    /// Nothing more comes.
    pub fn finish(&mut self, done: &mut impl FnMut(Use)) {
        self.pass(i64::MAX, done);
    }

    fn begin(&mut self, first: Try, ambiguous: bool) {
        let group = Joiner::group(&first);
        let due = first
            .at
            .saturating_add(self.window(&first))
            .saturating_add(2 * self.skew);
        self.due.insert((due, first.id()), group);
        self.open
            .entry(group)
            .or_default()
            .push(Use::new(first, ambiguous));
    }

    /// All tries that arrived before `now` are known.
    fn pass(&mut self, now: i64, done: &mut impl FnMut(Use)) {
        while let Some(retry) = self.retries.front().copied() {
            if retry.at.saturating_add(self.skew) >= now {
                break;
            }
            self.retries.pop_front();
            self.close(retry.at, done);
            self.place(retry);
        }
        let waiting = self.retries.front().map_or(now, |retry| retry.at);
        self.close(waiting, done);
    }

    /// Hands on the uses that nothing at or after `now` can join.
    fn close(&mut self, now: i64, done: &mut impl FnMut(Use)) {
        while let Some((&(due, id), group)) = self.due.first_key_value() {
            if due >= now {
                break;
            }
            let group = *group;
            self.due.remove(&(due, id));
            let Some(uses) = self.open.get_mut(&group) else {
                continue;
            };
            if let Some(at) = uses.iter().position(|it| it.first().id() == id) {
                done(uses.remove(at));
            }
            if uses.is_empty() {
                self.open.remove(&group);
            }
        }
    }

    fn place(&mut self, retry: Try) {
        let (skew, window) = (self.skew, self.window(&retry));
        let group = Joiner::group(&retry);
        let uses = self.open.entry(group).or_default();
        let within = |it: &Use| {
            let first = it.first().at;
            first >= retry.at.saturating_sub(window + skew)
                && it.last().at <= retry.at.saturating_add(skew)
        };
        if retry.keyed {
            // The key names the use: its tries all belong to it, in whatever order they ended.
            if let Some(it) = uses.iter_mut().find(|it| within(it)) {
                return it.join(retry, false);
            }
            return self.begin(retry, false);
        }
        let open: Vec<usize> = (0..uses.len())
            .filter(|i| within(&uses[*i]) && uses[*i].last().open())
            .collect();
        // Those not answered before those in doubt, those before it before those that only seem after it.
        let rank = |i: &usize| {
            let last = uses[*i].last();
            (last.outcome.answered(), last.at > retry.at, last.id())
        };
        let hinted = self.hints.contains(&retry.id());
        match open.iter().copied().min_by_key(rank) {
            Some(best) => uses[best].join(retry, hinted || open.len() > 1),
            None => {
                let answered = uses.iter().any(within);
                self.begin(retry, hinted || answered);
            }
        }
    }
}
