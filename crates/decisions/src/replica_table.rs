//! The replicas that the list names, found by id and by the cell that they hold.
//!
//! The table keeps its counts as entries change and forgets what has gone by a queue, so that a lookup costs
//! as much as a shard has holders and a change as much as it has entries, however large the fleet is. It
//! decides nothing.

use crate::open_parts::OpenParts;
use crate::statistics::{SmoothedMean, TimeWindow};
use crate::{Endpoint, EndpointStatus, Nanos, ReplicaId};
use std::borrow::Cow;
use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// Kind of connection that an attempt goes out on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Connection {
    /// One in use, or whose use is not known.
    #[default]
    InUse,
    /// One that was idle for long.
    Unused,
    /// A new one, opened in place of one that was idle for long.
    Renewed,
}

/// While a replica is cold: since when it has its turn, and how much that adds to its room.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Turn {
    pub since: Nanos,
    pub room: f64,
}

/// What was learned of one replica in traffic; the default of one that was never contacted.
#[derive(Debug, Default, PartialEq)]
pub struct Traffic {
    /// Smoothed latency in nanoseconds, and when it last changed.
    pub latency: Option<f64>,
    pub learned: Nanos,
    /// Last sign of life.
    pub heard: Nanos,
    /// Smoothed time in nanoseconds between two answers to us while it had work of ours, and the last answer.
    pub pace: SmoothedMean,
    pub answered: Nanos,
    /// What connection the last send had, and those of the attempts lost since it was last heard.
    pub connection: Connection,
    pub lost: Vec<Connection>,
    /// Times in a row that it was silent, until when it is then left alone, and until when it is taken to be full.
    pub silences: u32,
    pub backoff_until: Nanos,
    pub full_until: Nanos,
    /// The latest sends, kept where the settings tell of a slow start.
    pub sends: TimeWindow,
    pub turn: Turn,
    open: OpenParts,
}

impl Traffic {
    /// Parts of ours that are still out.
    pub fn open(&self) -> &OpenParts {
        &self.open
    }
}

static NO_TRAFFIC: Traffic = Traffic {
    latency: None,
    learned: 0,
    heard: 0,
    pace: SmoothedMean::NONE,
    answered: 0,
    connection: Connection::InUse,
    lost: Vec::new(),
    silences: 0,
    backoff_until: 0,
    full_until: 0,
    sends: TimeWindow::EMPTY,
    turn: Turn {
        since: 0,
        room: 0.0,
    },
    open: OpenParts::NONE,
};

/// One replica: what the list says of it, and what was learned in traffic.
#[derive(Debug)]
pub struct Replica {
    id: ReplicaId,
    started: Nanos,
    /// None until the first contact.
    traffic: Option<Box<Traffic>>,
    cell: u16,
    zone: u16,
    status: EndpointStatus,
    suspected: bool,
    /// It is in the queue of those that may be forgotten.
    expiring: bool,
}

impl Replica {
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// When it last started; 0 means long ago.
    pub fn started(&self) -> Nanos {
        self.started
    }

    pub fn zone(&self) -> u16 {
        self.zone
    }

    pub fn cell(&self) -> u16 {
        self.cell
    }

    pub fn status(&self) -> EndpointStatus {
        self.status
    }

    pub fn is_ready(&self) -> bool {
        self.status == EndpointStatus::Ready
    }

    /// It was silent when it should have answered, and was not heard since.
    pub fn suspected(&self) -> bool {
        self.suspected
    }

    pub fn traffic(&self) -> &Traffic {
        self.traffic.as_deref().unwrap_or(&NO_TRAFFIC)
    }

    /// How long the oldest part of ours has been out there without a sign of life.
    pub fn oldest_age(&self, now: Nanos) -> Nanos {
        let traffic = self.traffic();
        traffic
            .open
            .oldest()
            .map_or(0, |sent| now - sent.max(traffic.heard))
    }

    /// Whether a part that was sent to it at `now` is out.
    pub fn sent_to(&self, now: Nanos) -> bool {
        self.traffic().open.newest() == Some(now)
    }

    fn suspected_and_ready(&self) -> bool {
        self.suspected && self.is_ready()
    }
}

/// Place of a replica in its table; void once the next list is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Slot(u32);

/// All replicas that are listed, and those gone that are not forgotten yet.
#[derive(Debug)]
pub struct ReplicaTable {
    cells: u32,
    reach: u32,
    call_parts: u32,
    /// Free slots are those of replicas gone.
    replicas: Vec<Replica>,
    free: Vec<Slot>,
    slots: HashMap<ReplicaId, Slot>,
    /// The replicas of each cell in the order of their ids.
    by_cell: Vec<Vec<Slot>>,
    ready: usize,
    suspected_and_ready: usize,
    /// Those gone, by the time of what was last learned of them when they were put here.
    expiring: BinaryHeap<Reverse<(Nanos, Slot)>>,
    visited: Cell<u64>,
}

/// A table without holders of any shard.
impl Default for ReplicaTable {
    fn default() -> Self {
        ReplicaTable::new(1, 0, 1)
    }
}

impl ReplicaTable {
    /// A table for so many cells, where shard s is held by cells s, s + 1, ... s + `reach` - 1, modulo `cells`,
    /// and so many parts at most share a call.
    pub fn new(cells: u32, reach: u32, call_parts: u32) -> Self {
        ReplicaTable {
            cells: cells.max(1),
            reach,
            call_parts: call_parts.max(1),
            replicas: Vec::new(),
            free: Vec::new(),
            slots: HashMap::new(),
            by_cell: Vec::new(),
            ready: 0,
            suspected_and_ready: 0,
            expiring: BinaryHeap::new(),
            visited: Cell::new(0),
        }
    }

    /// Calls of ours that are out at a replica; one opened at `now` that has room for one more part is not counted.
    pub fn open_calls(&self, replica: &Replica, now: Nanos) -> u32 {
        replica.traffic().open.calls(now, self.call_parts)
    }

    /// How many replicas are known, those gone and not forgotten included.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// How many are listed as ready.
    pub fn ready(&self) -> usize {
        self.ready
    }

    /// How many of the ready ones are suspected.
    pub fn suspected_and_ready(&self) -> usize {
        self.suspected_and_ready
    }

    /// How many replicas were looked at so far, as holders or by a walk: the measure of the tests of scale.
    pub fn visited(&self) -> u64 {
        self.visited.get()
    }

    pub fn slot(&self, id: ReplicaId) -> Option<Slot> {
        self.slots.get(&id).copied()
    }

    pub fn at(&self, slot: Slot) -> &Replica {
        &self.replicas[slot.0 as usize]
    }

    pub fn get(&self, id: ReplicaId) -> Option<&Replica> {
        self.slot(id).map(|slot| self.at(slot))
    }

    /// What was learned of a replica, to be changed.
    pub fn traffic_mut(&mut self, slot: Slot) -> &mut Traffic {
        self.replicas[slot.0 as usize]
            .traffic
            .get_or_insert_default()
    }

    /// The holders of a shard, whatever their standing, in the order of their ids.
    pub fn holders(&self, shard: u32) -> Cow<'_, [Slot]> {
        let mut cells = self.cells_of(shard).filter(|cell| !cell.is_empty());
        let (Some(first), second) = (cells.next(), cells.next()) else {
            return Cow::Borrowed(&[]);
        };
        let Some(second) = second else {
            self.visit(first.len());
            return Cow::Borrowed(first);
        };
        let mut holders = [first.as_slice(), second].concat();
        holders.extend(cells.flatten());
        holders.sort_unstable_by_key(|slot| self.at(*slot).id);
        self.visit(holders.len());
        Cow::Owned(holders)
    }

    /// The cells that hold a shard, none twice, as far as any replica was listed in them.
    fn cells_of(&self, shard: u32) -> impl Iterator<Item = &Vec<Slot>> {
        let (cells, first) = (u64::from(self.cells), u64::from(shard % self.cells));
        let (reach, listed) = (
            u64::from(self.reach.min(self.cells)),
            self.by_cell.len() as u64,
        );
        let by_reach =
            (0..if reach <= listed { reach } else { 0 }).map(move |k| (first + k) % cells);
        let by_cell = (0..if reach <= listed { 0 } else { listed })
            .filter(move |cell| (cell + cells - first) % cells < reach);
        by_reach
            .chain(by_cell)
            .filter_map(|cell| self.by_cell.get(cell as usize))
    }

    /// The ready ones in the order of their ids: a walk over all, for rounds that concern all.
    pub fn walk_ready(&self) -> Vec<Slot> {
        self.visit(self.replicas.len());
        let slots = (0..self.replicas.len() as u32).map(Slot);
        let mut ready: Vec<Slot> = slots.filter(|slot| self.at(*slot).is_ready()).collect();
        ready.sort_unstable_by_key(|slot| self.at(*slot).id);
        ready
    }

    fn visit(&self, replicas: usize) {
        self.visited.set(self.visited.get() + replicas as u64);
    }

    /// Takes lines of the list, in order; of a whole list, those that it does not name have gone.
    pub fn list(&mut self, endpoints: &[Endpoint], whole: bool) {
        if whole {
            self.replicas
                .reserve_exact(endpoints.len().saturating_sub(self.replicas.len()));
            self.slots
                .reserve(endpoints.len().saturating_sub(self.slots.len()));
        }
        let mut listed = Vec::new();
        for member in endpoints {
            let slot = self.take(member);
            if whole {
                listed.resize(self.replicas.len(), false);
                listed[slot.0 as usize] = true;
            }
        }
        self.visit(endpoints.len());
        if whole {
            self.visit(self.replicas.len());
            listed.resize(self.replicas.len(), false);
            for (slot, _) in listed.iter().enumerate().filter(|(_, listed)| !**listed) {
                self.change(Slot(slot as u32), |replica| {
                    replica.status = EndpointStatus::Gone
                });
            }
        }
    }

    fn take(&mut self, member: &Endpoint) -> Slot {
        let slot = self
            .slot(member.replica)
            .unwrap_or_else(|| self.add(member));
        if self.at(slot).cell != member.cell {
            self.leave_cell(slot);
            self.replicas[slot.0 as usize].cell = member.cell;
            self.join_cell(slot);
        }
        self.change(slot, |replica| {
            (replica.zone, replica.status) = (member.zone, member.status);
            if member.status == EndpointStatus::Ready && replica.started != member.started {
                replica.restart(member.started);
            }
        });
        self.expire_later(slot);
        slot
    }

    /// Adds a replica that counts as gone until its line is taken.
    fn add(&mut self, member: &Endpoint) -> Slot {
        let replica = Replica {
            id: member.replica,
            started: member.started,
            traffic: None,
            cell: member.cell,
            zone: member.zone,
            status: EndpointStatus::Gone,
            suspected: false,
            expiring: false,
        };
        let slot = self.free.pop().unwrap_or(Slot(self.replicas.len() as u32));
        match self.replicas.get_mut(slot.0 as usize) {
            Some(free) => *free = replica,
            None => self.replicas.push(replica),
        }
        self.slots.insert(member.replica, slot);
        self.join_cell(slot);
        slot
    }

    /// Changes a replica's standing or suspicion and keeps the counts and the queue of expiry true.
    fn change(&mut self, slot: Slot, change: impl FnOnce(&mut Replica)) {
        let replica = &mut self.replicas[slot.0 as usize];
        let before = (replica.status, replica.suspected_and_ready());
        change(replica);
        let after = (replica.status, replica.suspected_and_ready());
        self.ready += usize::from(after.0 == EndpointStatus::Ready);
        self.ready -= usize::from(before.0 == EndpointStatus::Ready);
        self.suspected_and_ready += usize::from(after.1);
        self.suspected_and_ready -= usize::from(before.1);
        if before.0 != EndpointStatus::Gone && after.0 == EndpointStatus::Gone {
            self.expire_later(slot);
        }
    }

    pub fn set_suspected(&mut self, slot: Slot, suspected: bool) {
        self.change(slot, |replica| replica.suspected = suspected);
    }

    /// Counts a part that is sent to a replica now.
    pub fn open_part(&mut self, slot: Slot, now: Nanos) {
        let call_parts = self.call_parts;
        self.traffic_mut(slot).open.send(now, call_parts);
    }

    /// Keeps the time of a send that is made now, and those of the sends since `since`.
    pub fn note_send(&mut self, slot: Slot, now: Nanos, since: Nanos) {
        let sends = &mut self.traffic_mut(slot).sends;
        sends.push(now);
        sends.forget_before(since);
    }

    /// Counts a part that was sent to a replica at `sent` as back.
    pub fn close_part(&mut self, slot: Slot, sent: Nanos) {
        let call_parts = self.call_parts;
        let open = &mut self.traffic_mut(slot).open;
        if open.end(sent, call_parts) && open.is_empty() {
            self.expire_later(slot);
        }
    }

    /// Forgets those that are gone, have no part of ours, and of which nothing was learned after `faded`, or new
    /// names would add up for good.
    pub fn forget_gone(&mut self, faded: Nanos) {
        while self
            .expiring
            .peek()
            .is_some_and(|Reverse((learned, _))| *learned <= faded)
        {
            let Some(Reverse((_, slot))) = self.expiring.pop() else {
                return;
            };
            self.visit(1);
            let replica = &mut self.replicas[slot.0 as usize];
            replica.expiring = false;
            if replica.status != EndpointStatus::Gone || !replica.traffic().open.is_empty() {
                continue;
            }
            if replica.traffic().learned > faded {
                self.expire_later(slot);
            } else {
                self.remove(slot);
            }
        }
    }

    /// Puts one that is gone into the queue of expiry, unless it is there.
    fn expire_later(&mut self, slot: Slot) {
        let replica = &mut self.replicas[slot.0 as usize];
        if replica.status == EndpointStatus::Gone && !std::mem::replace(&mut replica.expiring, true)
        {
            self.expiring
                .push(Reverse((replica.traffic().learned, slot)));
        }
    }

    fn remove(&mut self, slot: Slot) {
        self.leave_cell(slot);
        let replica = &mut self.replicas[slot.0 as usize];
        replica.traffic = None;
        self.slots.remove(&replica.id);
        self.free.push(slot);
    }

    fn leave_cell(&mut self, slot: Slot) {
        let cell = self.cell_index(slot);
        self.by_cell[cell].retain(|other| *other != slot);
    }

    fn join_cell(&mut self, slot: Slot) {
        let cell = self.cell_index(slot);
        if self.by_cell.len() <= cell {
            self.by_cell.resize_with(cell + 1, Vec::new);
        }
        let id = self.at(slot).id;
        let place = self.by_cell[cell].partition_point(|other| self.at(*other).id < id);
        self.by_cell[cell].insert(place, slot);
    }

    fn cell_index(&self, slot: Slot) -> usize {
        (u32::from(self.at(slot).cell) % self.cells) as usize
    }
}

impl Replica {
    /// A new process at the same name: its speed and silence are not those of the one before.
    fn restart(&mut self, started: Nanos) {
        (self.started, self.suspected) = (started, false);
        if let Some(traffic) = &mut self.traffic {
            (traffic.latency, traffic.answered, traffic.silences) = (None, 0, 0);
            traffic.pace = SmoothedMean::NONE;
        }
        self.traffic = self
            .traffic
            .take()
            .filter(|traffic| **traffic != NO_TRAFFIC);
    }
}
