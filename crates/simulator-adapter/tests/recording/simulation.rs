//! A small simulated deployment on the simulator's wire: three instances, queries, leaf servers that answer, fail, shed
//! load or do not respond, lost connections, changing endpoint lists, probes and datagrams. The same seed generates the
//! same events.

use super::{number, Batch, Reply};
use std::collections::{BTreeMap, BTreeSet};

const MS: u64 = 1_000_000;
const BATCH_INTERVAL: u64 = 5 * MS;
const INSTANCES: u16 = 3;
const REPLICAS: u8 = 8;
const MAX_OPEN_QUERIES: usize = 12;
/// Connections that are idle for longer are often lost.
const IDLE_LOSS_AFTER: u64 = 60 * MS;

/// Wire codes of an outcome.
const OK: u16 = 0;
const FAILURES: [u16; 6] = [255, 254, 253, 252, 251, 249];
const REJECTED: u16 = 254;
const TIMED_OUT: u16 = 253;
const CONNECTION_RESET: u16 = 251;
const CANCELLED: u16 = 250;

const SETTINGS: &str = "classes.count=3\nclasses.0.name=report\nclasses.0.aim_ns=60000000\n\
classes.0.give_up_ns=200000000\nclasses.0.semantics=read_like\nclasses.0.importance=2\n\
classes.1.name=lookup\nclasses.1.aim_ns=40000000\nclasses.1.give_up_ns=150000000\n\
classes.1.semantics=idempotency_key\nclasses.1.dedup_window_ns=300000000\n\
classes.2.name=append\nclasses.2.aim_ns=60000000\nclasses.2.give_up_ns=100000000\n\
classes.2.semantics=non_idempotent\n\
extra.places=2\nextra.reach=4\nextra.ranges=8\nextra.bundle_max=4\nextra.class_need=1.0,1.0,1.0\n\
extra.least_share=0.6,1.0,1.0\nextra.partial_earns=0.9,0.9,0.9\nextra.second_step=0,0,0\n\
replicas_of_me=3\ntick_ns=5000000\nlimits.cancelling=true\nlimits.may_duplicate=true\nlimits.may_probe=true\n\
limits.max_attempts=4\nlimits.streams_per_conn=4\nlimits.connect_timeout_ns=20000000\n\
limits.conn_idle_ns=100000000\nlimits.max_retry_after_ns=500000000\nlimits.peers=true\n\
localities=north,south\ncallers.marks_retry=true\ntariffs.cross_zone=0.05\n\
guarantees.stop_sending_within_ns=20000000\nguarantees.cold_from=0.25\nguarantees.cold_ns=300000000\n\
guarantees.fall_multiple=3\nguarantees.fall_ns=100000000\nguarantees.extra_floor=2\n\
guarantees.budget_share=0.2\nguarantees.budget_span_ns=500000000\n\
guarantees.ask_within_ns=200000000\n";

type ReplicaAddress = [u8; 6];

/// An event of a later batch.
enum Pending {
    Timer(u64),
    StreamStarted(u64, u8, ReplicaAddress),
    AttemptEnded(u64, u8, ReplicaAddress, u16),
    ProbeEnded(ReplicaAddress, u16, u64),
}

pub struct Simulation {
    random: fastrand::Rng,
    now: u64,
    /// Last id given to a query, part, endpoint list or pending event.
    last_id: u64,
    /// Events with their instances, by due time and id.
    pending: BTreeMap<(u64, u64), (u16, Pending)>,
    /// Number of attempts by instance and part.
    attempts: BTreeMap<(u16, u64), u8>,
    /// Ended attempts by instance, part and number of the attempt.
    ended: BTreeSet<(u16, u64, u8)>,
    /// Open queries by instance and id.
    open: Vec<(u16, u64)>,
    /// Replicas whose attempts time out and whose probes fail.
    unresponsive: BTreeSet<u8>,
    /// Replicas whose attempts and probes fail.
    failing: BTreeSet<u8>,
    /// Time of the last attempt by instance and replica.
    last_use: BTreeMap<(u16, u8), u64>,
}

fn address(replica: u8) -> ReplicaAddress {
    [10, 18, 74, replica, 0x2b, 0x23]
}

impl Simulation {
    pub fn new(seed: u64) -> Simulation {
        Simulation {
            random: fastrand::Rng::with_seed(seed),
            now: 1_000_000 * MS,
            last_id: 0,
            pending: BTreeMap::new(),
            attempts: BTreeMap::new(),
            ended: BTreeSet::new(),
            open: Vec::new(),
            unresponsive: BTreeSet::new(),
            failing: BTreeSet::new(),
            last_use: BTreeMap::new(),
        }
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn schedule(&mut self, instance: u16, delay: u64, event: Pending) {
        let id = self.next_id();
        self.pending
            .insert((self.now + delay, id), (instance, event));
    }

    pub fn next_batch(&mut self, number: u32) -> Batch {
        self.now += match self.random.u32(..10) {
            0 => self.random.u64(..20) * BATCH_INTERVAL,
            1 => 1,
            _ => BATCH_INTERVAL,
        };
        let mut batch = Batch {
            number,
            clock: self.now,
            ..Batch::default()
        };
        if number == 1 {
            (0..INSTANCES).for_each(|instance| self.start(instance, &mut batch));
        }
        self.deliver_pending(&mut batch);
        if self.random.u32(..12) == 0 {
            self.change_replica_behaviour();
        }
        if self.random.u32(..12) == 0 {
            self.update_endpoints(&mut batch);
        }
        if self.open.len() < MAX_OPEN_QUERIES && self.random.u32(..2) == 0 {
            self.receive_query(&mut batch);
        }
        if !self.open.is_empty() && self.random.u32(..15) == 0 {
            self.disconnect_client(&mut batch);
        }
        if self.random.u32(..30) == 0 {
            self.receive_datagram(&mut batch);
        }
        if self.random.u32(..120) == 0 {
            self.restart_instance(&mut batch);
        }
        batch
    }

    /// Starts an instance. Instance 0 subscribes to endpoint updates and the others poll, so that both modes of discovery
    /// occur.
    fn start(&mut self, instance: u16, batch: &mut Batch) {
        let mode = if instance == 0 {
            ""
        } else {
            "discovery=on_request\n"
        };
        let settings = format!("{SETTINGS}my_zone={}\n{mode}", instance % 2);
        let offset = batch.append_tail(settings.as_bytes());
        batch.push(&[
            &[1],
            &instance.to_le_bytes(),
            &self.random.u64(..).to_le_bytes(),
            &offset.to_le_bytes(),
            &(settings.len() as u32).to_le_bytes(),
        ]);
        let statuses: Vec<(u8, u8)> = (0..REPLICAS).map(|replica| (replica, 1)).collect();
        self.push_endpoint_list(batch, instance, &statuses, 1);
    }

    fn restart_instance(&mut self, batch: &mut Batch) {
        let instance = self.random.u16(..INSTANCES);
        batch.push(&[&[4], &instance.to_le_bytes()]);
        self.pending.retain(|_, (owner, _)| *owner != instance);
        self.open.retain(|(owner, _)| *owner != instance);
        self.start(instance, batch);
    }

    /// Appends an endpoint list (replica and status of each entry) and the update of one instance to it.
    fn push_endpoint_list(
        &mut self,
        batch: &mut Batch,
        instance: u16,
        statuses: &[(u8, u8)],
        kind: u8,
    ) {
        let number = self.next_id() as u32;
        let mut entries = Vec::new();
        for (replica, status) in statuses {
            entries.extend(u16::from(replica % 2).to_le_bytes());
            entries.extend(address(*replica));
            entries.extend(u16::from(replica / 4).to_le_bytes());
            entries.extend(1f32.to_le_bytes());
            let started = if self.random.u32(..3) == 0 {
                self.now
            } else {
                0
            };
            entries.extend(started.to_le_bytes());
            entries.extend([0, 0, *status]);
        }
        let offset = batch.append_tail(&entries);
        batch.push(&[
            &[3],
            &number.to_le_bytes(),
            &offset.to_le_bytes(),
            &(statuses.len() as u32).to_le_bytes(),
        ]);
        batch.push(&[
            &[8],
            &instance.to_le_bytes(),
            &number.to_le_bytes(),
            &[0; 8],
            &[kind],
        ]);
    }

    fn update_endpoints(&mut self, batch: &mut Batch) {
        let instance = self.random.u16(..INSTANCES);
        match self.random.u32(..6) {
            0 => batch.push(&[&[8], &instance.to_le_bytes(), &[0; 12], &[3]]),
            1 => self.push_endpoint_list(
                batch,
                instance,
                &[(0, 1), (1, 1), (2, 1), (3, 1), (5, 2)],
                1,
            ),
            2 => self.push_endpoint_list(batch, instance, &[(4, 1), (6, 1), (7, 1)], 2),
            _ => {
                let status = (self.random.u8(..REPLICAS), self.random.u8(..3));
                self.push_endpoint_list(batch, instance, &[status], 0);
            }
        }
    }

    fn change_replica_behaviour(&mut self) {
        let replica = self.random.u8(..REPLICAS);
        self.unresponsive.remove(&replica);
        self.failing.remove(&replica);
        match self.random.u32(..3) {
            0 => self.unresponsive.insert(replica),
            1 => self.failing.insert(replica),
            _ => false,
        };
    }

    fn receive_query(&mut self, batch: &mut Batch) {
        let instance = self.random.u16(..INSTANCES);
        let (class, group) = (self.random.u16(..3), self.next_id());
        let timeout = [40, 200, 400][self.random.usize(..3)] * MS;
        let flags = self.random.u8(..4);
        let request = |id: u64, shard: f32, weight: f32| {
            [
                &[7][..],
                &instance.to_le_bytes(),
                &id.to_le_bytes(),
                &shard.to_le_bytes(),
                &timeout.to_le_bytes(),
                &(4 * MS).to_le_bytes(),
                &class.to_le_bytes(),
                &(group as f32).to_le_bytes(),
                &1u32.to_le_bytes(),
                &[0; 8],
                &[flags],
                &weight.to_le_bytes(),
            ]
            .concat()
        };
        batch.push(&[&request(group, -1.0, 1.0)]);
        self.open.push((instance, group));
        let parts = self.random.u32(1..=3);
        for part in 0..parts {
            let shard = (self.random.u32(..2) + 2 * part) as f32;
            batch.push(&[&request(self.next_id(), shard, 1.0 / parts as f32)]);
        }
    }

    fn disconnect_client(&mut self, batch: &mut Batch) {
        let index = self.random.usize(..self.open.len());
        let (instance, query) = self.open.swap_remove(index);
        batch.push(&[&[10], &instance.to_le_bytes(), &query.to_le_bytes()]);
    }

    fn receive_datagram(&mut self, batch: &mut Batch) {
        let instance = self.random.u16(..INSTANCES);
        let bytes = self.random.u64(..).to_le_bytes();
        let offset = batch.append_tail(&bytes);
        batch.push(&[
            &[9],
            &instance.to_le_bytes(),
            &u32::from((instance + 1) % INSTANCES).to_le_bytes(),
            &offset.to_le_bytes(),
            &(bytes.len() as u32).to_le_bytes(),
        ]);
    }

    fn deliver_pending(&mut self, batch: &mut Batch) {
        while let Some(entry) = self.pending.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (instance, event) = entry.remove();
            self.deliver(instance, event, batch);
        }
    }

    fn deliver(&mut self, instance: u16, event: Pending, batch: &mut Batch) {
        let instance_bytes = instance.to_le_bytes();
        match event {
            Pending::Timer(token) => batch.push(&[&[5], &instance_bytes, &token.to_le_bytes()]),
            Pending::StreamStarted(part, attempt, replica) => batch.push(&[
                &[2],
                &instance_bytes,
                &part.to_le_bytes(),
                &replica,
                &[attempt],
            ]),
            Pending::AttemptEnded(part, attempt, replica, outcome) => {
                if !self.ended.insert((instance, part, attempt)) {
                    return;
                }
                batch.push(&[
                    &[6],
                    &instance_bytes,
                    &part.to_le_bytes(),
                    &[attempt],
                    &replica,
                    &outcome.to_le_bytes(),
                    &[0; 9],
                    &[2],
                    &0.25f32.to_le_bytes(),
                    &3f32.to_le_bytes(),
                ]);
            }
            Pending::ProbeEnded(replica, outcome, latency) => batch.push(&[
                &[11],
                &instance_bytes,
                &outcome.to_le_bytes(),
                &latency.to_le_bytes(),
                &replica,
            ]),
        }
    }

    /// Schedules the effects of the actions in the reply for later batches.
    pub fn apply_reply(&mut self, reply: &Reply) {
        for record in &reply.records {
            let instance = number(&record[1..3]) as u16;
            let id = number(&record[3..11]);
            match record[0] {
                1 => {
                    let replica = record[11..17].try_into().unwrap();
                    self.apply_send(instance, id, replica, number(&record[17..25]));
                }
                2 | 3 | 13 => self.open.retain(|open| *open != (instance, id)),
                4 => self.apply_cancel(instance, id, record[11]),
                5 => self.schedule(instance, number(&record[11..19]), Pending::Timer(id)),
                6 => self.apply_probe(instance, record[3..9].try_into().unwrap()),
                _ => {}
            }
        }
    }

    fn apply_send(&mut self, instance: u16, part: u64, replica: ReplicaAddress, expires_at: u64) {
        let count = self.attempts.entry((instance, part)).or_default();
        let attempt = *count;
        *count += 1;
        let (outcome, delay) = self.draw_outcome(instance, replica[3], expires_at);
        if outcome == OK {
            let event = Pending::StreamStarted(part, attempt, replica);
            self.schedule(instance, delay / 2, event);
        }
        let event = Pending::AttemptEnded(part, attempt, replica, outcome);
        self.schedule(instance, delay, event);
    }

    /// Draws the outcome of an attempt that is sent now, and the delay until it ends.
    fn draw_outcome(&mut self, instance: u16, replica: u8, expires_at: u64) -> (u16, u64) {
        let delay = self.random.u64(1..30) * MS;
        let last_use = self.last_use.insert((instance, replica), self.now);
        let idle = self.now - last_use.unwrap_or(self.now);
        if self.unresponsive.contains(&replica) {
            (TIMED_OUT, expires_at.saturating_sub(self.now))
        } else if idle > IDLE_LOSS_AFTER && self.random.u32(..4) > 0 {
            (CONNECTION_RESET, delay)
        } else if self.failing.contains(&replica) {
            (FAILURES[self.random.usize(..FAILURES.len())], delay)
        } else if self.random.u32(..20) == 0 {
            (REJECTED, delay)
        } else {
            (OK, delay)
        }
    }

    fn apply_cancel(&mut self, instance: u16, part: u64, attempt: u8) {
        // The replica of the attempt is not recorded; replica 0 stands for it.
        let event = Pending::AttemptEnded(part, attempt, address(0), CANCELLED);
        self.schedule(instance, MS, event);
    }

    fn apply_probe(&mut self, instance: u16, replica: ReplicaAddress) {
        let failed = self.failing.contains(&replica[3]) || self.unresponsive.contains(&replica[3]);
        let outcome = if failed { FAILURES[0] } else { OK };
        let latency = self.random.u64(1..10) * MS;
        self.schedule(
            instance,
            latency,
            Pending::ProbeEnded(replica, outcome, latency),
        );
    }
}
