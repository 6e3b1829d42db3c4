//! What is kept of an open query, its parts and their attempts. Nothing here decides anything.

use crate::interface::{Nanos, ReplicaId, RequestId};

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
    pub aim: Nanos,
    pub deadline: Nanos,
    /// A repeat by a client that gives up its tries before the aim.
    pub hasty: bool,
    /// The aim had passed when it came; `aim` is its deadline then.
    pub late: bool,
    pub step: u8,
    pub step_began: Nanos,
    pub first_whole: bool,
    pub parts: Vec<Part>,
}

impl Query {
    /// Weight of the parts of its step that have landed.
    pub fn landed(&self) -> f64 {
        self.parts.iter().filter(|p| p.step == self.step && p.landed).map(|p| p.weight).sum()
    }

    /// The numbers of its parts, lightest first.
    pub fn by_weight(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.parts.len()).collect();
        order.sort_by(|a, b| self.parts[*a].weight.total_cmp(&self.parts[*b].weight));
        order
    }
}
