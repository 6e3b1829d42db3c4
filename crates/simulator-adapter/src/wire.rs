//! The layout of batches and replies, byte by byte.

use cottonhill_decisions::{
    Action, Endpoint, EndpointStatus, EndpointUpdateKind, Event, LoadReport, Outcome, ReplicaId,
};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read};

const BATCH_HEADER: usize = 20;
const EVENT: usize = 56;
const ACTION: usize = 32;
const ENTRY: usize = 25;

pub type Roster = Vec<Endpoint>;

/// One frame from the simulator: its records and its tail.
pub struct Batch {
    pub number: u32,
    pub clock: u64,
    records: Vec<u8>,
    tail: Vec<u8>,
}

/// One record, as the adapter sees it.
#[derive(Debug, PartialEq)]
pub enum Input {
    Start { seed: u64, settings: String },
    Stop,
    Event(Event),
}

impl Batch {
    /// Reads one frame; none at the end of the input.
    pub fn read(input: &mut impl Read) -> Result<Option<Batch>, String> {
        let mut header = [0u8; BATCH_HEADER];
        let mut have = 0;
        while have < BATCH_HEADER {
            match input.read(&mut header[have..]) {
                Ok(0) if have == 0 => return Ok(None),
                Ok(0) => return Err(format!("batch header cut short after {have} bytes")),
                Ok(n) => have += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(format!("cannot read a batch: {e}")),
            }
        }
        let header = Fields(&header);
        let (number, length) = (header.u32(0), header.u32(4) as usize);
        let (clock, count) = (header.u64(8), header.u32(16) as usize);
        let records = count.checked_mul(EVENT).filter(|n| *n <= length);
        let records = records.ok_or(format!(
            "batch {number}: {count} records do not fit in {length} bytes"
        ))?;
        let mut body = Vec::new();
        input
            .take(length as u64)
            .read_to_end(&mut body)
            .map_err(|e| format!("batch {number}: {e}"))?;
        if body.len() < length {
            return Err(format!(
                "batch {number} cut short: {} of {length} bytes",
                body.len()
            ));
        }
        let tail = body.split_off(records);
        Ok(Some(Batch {
            number,
            clock,
            records: body,
            tail,
        }))
    }
}

/// Fields of a record at fixed places; the caller has checked that the record is long enough.
struct Fields<'a>(&'a [u8]);

impl Fields<'_> {
    fn bytes<const N: usize>(&self, at: usize) -> [u8; N] {
        let mut out = [0; N];
        out.copy_from_slice(&self.0[at..at + N]);
        out
    }
    fn u8(&self, at: usize) -> u8 {
        self.0[at]
    }
    fn u16(&self, at: usize) -> u16 {
        u16::from_le_bytes(self.bytes(at))
    }
    fn u32(&self, at: usize) -> u32 {
        u32::from_le_bytes(self.bytes(at))
    }
    fn u64(&self, at: usize) -> u64 {
        u64::from_le_bytes(self.bytes(at))
    }
    fn f32(&self, at: usize) -> f32 {
        f32::from_le_bytes(self.bytes(at))
    }
    /// Four bytes of address and a port, as one number.
    fn replica(&self, at: usize) -> ReplicaId {
        ReplicaId(u64::from(self.u32(at)) | u64::from(self.u16(at + 4)) << 32)
    }
    fn report(&self, at: usize) -> LoadReport {
        let count = usize::from(self.u8(at)).min(4);
        (0..count).map(|i| self.f32(at + 1 + 4 * i)).collect()
    }
    fn outcome(&self, at: usize) -> Result<Outcome, String> {
        Ok(match self.u16(at) {
            0 => Outcome::Ok,
            255 => Outcome::Error,
            254 => Outcome::Rejected,
            253 => Outcome::TimedOut,
            252 => Outcome::ConnectFailed,
            251 => Outcome::ConnectionReset,
            250 => Outcome::Cancelled,
            249 => Outcome::NotSent,
            other => return Err(format!("unknown outcome {other}")),
        })
    }
}

fn slice(tail: &[u8], offset: u32, length: usize) -> Result<&[u8], String> {
    let start = offset as usize;
    let end = start.checked_add(length).filter(|end| *end <= tail.len());
    end.map(|end| &tail[start..end]).ok_or(format!(
        "{length} bytes at {offset} lie past the tail of {}",
        tail.len()
    ))
}

/// The records of a batch in order, each with its instance. Rosters are kept and resolved on the way, since
/// a number can be taken over within one batch.
pub fn inputs(
    batch: &Batch,
    rosters: &mut BTreeMap<u32, Roster>,
) -> Result<Vec<(u16, Input)>, String> {
    let mut found = Vec::new();
    for (n, record) in batch.records.chunks_exact(EVENT).enumerate() {
        let place = |message: String| format!("batch {}, record {n}: {message}", batch.number);
        let record = Fields(record);
        if record.u8(0) == 3 {
            let bytes = (record.u32(9) as usize).saturating_mul(ENTRY);
            let bytes = slice(&batch.tail, record.u32(5), bytes).map_err(place)?;
            let endpoints: Result<Roster, String> = bytes.chunks_exact(ENTRY).map(member).collect();
            rosters.insert(record.u32(1), endpoints.map_err(place)?);
        } else {
            found.push((
                record.u16(1),
                input(&record, &batch.tail, rosters).map_err(place)?,
            ));
        }
    }
    Ok(found)
}

fn member(bytes: &[u8]) -> Result<Endpoint, String> {
    let entry = Fields(bytes);
    let status = match entry.u8(24) {
        0 => EndpointStatus::Gone,
        1 => EndpointStatus::Ready,
        2 => EndpointStatus::Draining,
        other => return Err(format!("unknown standing {other} of a replica")),
    };
    let (cell, zone, started) = (entry.u16(0), entry.u16(8), entry.u64(14));
    Ok(Endpoint {
        replica: entry.replica(2),
        cell,
        zone,
        started,
        status,
    })
}

fn input(record: &Fields, tail: &[u8], rosters: &BTreeMap<u32, Roster>) -> Result<Input, String> {
    let event = match record.u8(0) {
        1 => {
            let text = slice(tail, record.u32(11), record.u32(15) as usize)?;
            let settings = String::from_utf8(text.to_vec())
                .map_err(|_| "settings are not UTF-8".to_string())?;
            return Ok(Input::Start {
                seed: record.u64(3),
                settings,
            });
        }
        4 => return Ok(Input::Stop),
        2 => Event::StreamStarted {
            part: record.u64(3),
            attempt: record.u8(17),
            replica: record.replica(11),
        },
        5 => Event::TimerFired {
            token: record.u64(3),
        },
        6 => Event::AttemptEnded {
            part: record.u64(3),
            attempt: record.u8(11),
            replica: record.replica(12),
            outcome: record.outcome(18)?,
            report: record.report(29),
        },
        7 => arrival(record),
        8 => list(record, rosters)?,
        9 => {
            let bytes = slice(tail, record.u32(7), record.u32(11) as usize)?.to_vec();
            Event::DatagramReceived {
                from: record.u32(3),
                bytes,
            }
        }
        10 => Event::ClientDisconnected { id: record.u64(3) },
        11 => Event::ProbeEnded {
            replica: record.replica(13),
            outcome: record.outcome(3)?,
            latency: record.u64(5),
            report: record.report(19),
        },
        other => return Err(format!("unknown event code {other}")),
    };
    Ok(Input::Event(event))
}

fn arrival(record: &Fields) -> Event {
    let (id, group, shard) = (record.u64(3), record.f32(33) as u32, record.f32(11));
    if shard >= 0.0 {
        return Event::PartReceived {
            id,
            group,
            shard: shard as u32,
            weight: f64::from(record.f32(50)),
        };
    }
    Event::QueryReceived {
        id,
        group,
        class: record.u16(31),
        tenant: record.u32(37),
        client_timeout: record.u64(15),
        network_delay: 0,
        work: (record.u8(49) & 1 != 0).then(|| record.u64(23)),
        client_retry: record.u8(49) & 2 != 0,
    }
}

fn list(record: &Fields, rosters: &BTreeMap<u32, Roster>) -> Result<Event, String> {
    let kind = match record.u8(15) {
        0 => EndpointUpdateKind::Delta,
        1 => EndpointUpdateKind::Snapshot,
        2 => EndpointUpdateKind::CachedSnapshot,
        3 => {
            return Ok(Event::EndpointsUpdated {
                kind: EndpointUpdateKind::RequestFailed,
                endpoints: Vec::new(),
            })
        }
        other => return Err(format!("unknown scope {other} of a list")),
    };
    let number = record.u32(3);
    let endpoints = rosters
        .get(&number)
        .cloned()
        .ok_or(format!("list {number} was never sent"))?;
    Ok(Event::EndpointsUpdated { kind, endpoints })
}

/// A reply in the making.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    count: u32,
}

impl Reply {
    pub fn bytes(&self, number: u32) -> Vec<u8> {
        let length = (self.records.len() + self.tail.len()) as u32;
        let mut out = Vec::with_capacity(12 + length as usize);
        for field in [number, self.count, length] {
            out.extend(field.to_le_bytes());
        }
        out.extend(&self.records);
        out.extend(&self.tail);
        out
    }

    pub fn crash(&mut self, who: u16, text: &str) {
        let text = self.keep(text.as_bytes());
        self.record(10, who, &[&text]);
    }

    fn record(&mut self, code: u8, who: u16, fields: &[&[u8]]) {
        let start = self.records.len();
        self.records.push(code);
        self.records.extend(who.to_le_bytes());
        fields.iter().for_each(|field| self.records.extend(*field));
        self.records.resize(start + ACTION, 0);
        self.count += 1;
    }

    /// Puts bytes into the tail and returns the field that points at them.
    fn keep(&mut self, bytes: &[u8]) -> [u8; 8] {
        let mut field = [0; 8];
        field[..4].copy_from_slice(&(self.tail.len() as u32).to_le_bytes());
        field[4..].copy_from_slice(&(bytes.len() as u32).to_le_bytes());
        self.tail.extend(bytes);
        field
    }
}

fn address(replica: ReplicaId) -> [u8; 6] {
    let mut out = [0; 6];
    out.copy_from_slice(&replica.0.to_le_bytes()[..6]);
    out
}

/// Appends one action of instance `who` to a reply.
pub fn write_action(reply: &mut Reply, who: u16, action: &Action) {
    match action {
        Action::Send {
            part,
            replica,
            expires_at,
        } => {
            reply.record(
                1,
                who,
                &[
                    &part.to_le_bytes(),
                    &address(*replica),
                    &expires_at.to_le_bytes(),
                ],
            );
        }
        Action::Reject { query, retry_after } => {
            reply.record(
                2,
                who,
                &[
                    &query.to_le_bytes(),
                    &retry_after.unwrap_or(0).to_le_bytes(),
                ],
            );
        }
        Action::Fail { query } => reply.record(3, who, &[&query.to_le_bytes()]),
        Action::Cancel { part, attempt } => {
            reply.record(4, who, &[&part.to_le_bytes(), &[*attempt]])
        }
        Action::SetTimer { token, delay } => {
            reply.record(5, who, &[&token.to_le_bytes(), &delay.to_le_bytes()]);
        }
        Action::Probe { replica } => reply.record(6, who, &[&address(*replica)]),
        Action::CloseIdleConnections { replica } => reply.record(7, who, &[&address(*replica)]),
        Action::SendDatagram { to, bytes } => {
            let bytes = reply.keep(bytes);
            reply.record(8, who, &[&to.unwrap_or(u32::MAX).to_le_bytes(), &bytes]);
        }
        Action::Log(text) => {
            let text = reply.keep(text.as_bytes());
            reply.record(9, who, &[&text]);
        }
        Action::SubscribeEndpoints { enabled } => reply.record(11, who, &[&[u8::from(*enabled)]]),
        Action::FetchEndpoints => reply.record(12, who, &[]),
        Action::Answer { query, complete } => {
            reply.record(13, who, &[&query.to_le_bytes(), &[u8::from(*complete)]]);
        }
    }
}
