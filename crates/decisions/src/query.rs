//! What is kept of an open query, its parts and their attempts. Nothing here decides anything.

use crate::replica_table::Connection;
use crate::{Action, Nanos, Outcome, ReplicaId, RequestId};

/// One attempt of a part at a replica.
#[derive(Clone, Debug, Default)]
pub struct Attempt {
    pub replica: ReplicaId,
    pub sent: Nanos,
    /// Its end has not come, nor was it withdrawn.
    pub out: bool,
    pub never_ran: bool,
    pub broke: bool,
}

impl Attempt {
    /// Takes its end down.
    pub fn end(&mut self, outcome: Outcome) {
        self.out = false;
        self.broke = outcome == Outcome::ConnectionReset;
        self.never_ran = outcome.did_not_execute();
    }
}

/// Where an attempt that is out went, and when.
#[derive(Debug)]
pub struct InFlight {
    pub replica: ReplicaId,
    pub sent: Nanos,
    pub connection: Connection,
}

/// A part of a query.
#[derive(Debug, Default)]
pub struct Part {
    pub id: RequestId,
    pub shard: u32,
    pub weight: f64,
    pub step: u8,
    pub landed: bool,
    /// It was left out, to save work.
    pub dropped: bool,
    /// It was judged late, refused or in time.
    pub counted: bool,
    pub attempts: Vec<Attempt>,
}

/// A query that is neither answered nor refused.
#[derive(Debug, Default)]
pub struct Query {
    pub id: RequestId,
    pub group: u32,
    pub class: usize,
    pub arrived: Nanos,
    /// An answer until then earns its full worth.
    pub target: Nanos,
    pub deadline: Nanos,
    /// A repeat by a client that gives up its tries before the target.
    pub gives_up_early: bool,
    /// The target had passed when it came; `target` is its deadline then.
    pub past_target: bool,
    pub step: u8,
    pub step_began: Nanos,
    pub first_whole: bool,
    pub parts: Vec<Part>,
}

impl Part {
    /// Whether an attempt is out.
    pub fn is_out(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.out)
    }

    /// Counts what is out as over; with `cancel`, replicas are asked to stop.
    pub fn withdraw(&mut self, cancel: bool, actions: &mut Vec<Action>) {
        for (number, attempt) in self
            .attempts
            .iter_mut()
            .enumerate()
            .filter(|(_, attempt)| attempt.out)
        {
            attempt.out = false;
            if cancel {
                actions.push(Action::Cancel {
                    part: self.id,
                    attempt: number as u8,
                });
            }
        }
    }
}

impl Query {
    /// The parts of the step that it is in.
    pub fn in_step(&self) -> impl Iterator<Item = &Part> {
        self.parts.iter().filter(|part| part.step == self.step)
    }

    /// Weight of the parts of its step that have landed.
    pub fn landed(&self) -> f64 {
        self.in_step()
            .filter(|part| part.landed)
            .map(|part| part.weight)
            .sum()
    }

    /// The numbers of its parts, lightest first.
    pub fn by_weight(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.parts.len()).collect();
        order.sort_by(|a, b| self.parts[*a].weight.total_cmp(&self.parts[*b].weight));
        order
    }
}
