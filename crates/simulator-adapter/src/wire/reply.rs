//! Encoding of actions into the frames that are sent to the simulator.

use super::layout::{ActionCode, ALL_PEERS};
use super::InstanceId;
use cottonhill_decisions::{Action, ReplicaId};

/// Bytes of a reply's header: number of the batch, number of records, length of records and tail, each a u32.
const HEADER_SIZE: usize = 12;
/// Bytes of an action record.
const RECORD_SIZE: usize = 32;
/// Bytes of a replica's address and port.
const REPLICA_SIZE: usize = 6;
/// Bytes of a tail range: an offset and a length, each a u32.
const TAIL_RANGE_SIZE: usize = 8;

/// A reply under construction.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    count: u32,
}

impl Reply {
    /// The frame of the reply to the batch with this number.
    pub fn to_bytes(&self, batch: u32) -> Vec<u8> {
        let length = (self.records.len() + self.tail.len()) as u32;
        let mut frame = Vec::with_capacity(HEADER_SIZE + length as usize);
        for field in [batch, self.count, length] {
            frame.extend(field.to_le_bytes());
        }
        frame.extend(&self.records);
        frame.extend(&self.tail);
        frame
    }

    /// Appends a crash record: the decision module of an instance panicked with this message.
    pub fn push_crash(&mut self, instance: InstanceId, message: &str) {
        let message = self.append_tail(message.as_bytes());
        self.push_record(ActionCode::Crash, instance, &[&message]);
    }

    /// Appends one action of an instance.
    pub fn push_action(&mut self, instance: InstanceId, action: &Action) {
        let mut push = |code, fields: &[&[u8]]| self.push_record(code, instance, fields);
        match action {
            Action::Send {
                part,
                replica,
                expires_at,
            } => push(
                ActionCode::Send,
                &[
                    &part.to_le_bytes(),
                    &replica_bytes(*replica),
                    &expires_at.to_le_bytes(),
                ],
            ),
            Action::Reject { query, retry_after } => {
                // 0 on the wire: no retry hint.
                let retry_after = retry_after.unwrap_or(0);
                push(
                    ActionCode::Reject,
                    &[&query.to_le_bytes(), &retry_after.to_le_bytes()],
                );
            }
            Action::Fail { query } => push(ActionCode::Fail, &[&query.to_le_bytes()]),
            Action::Answer { query, complete } => push(
                ActionCode::Answer,
                &[&query.to_le_bytes(), &[u8::from(*complete)]],
            ),
            Action::Cancel { part, attempt } => {
                push(ActionCode::Cancel, &[&part.to_le_bytes(), &[*attempt]]);
            }
            Action::SetTimer { token, delay } => push(
                ActionCode::SetTimer,
                &[&token.to_le_bytes(), &delay.to_le_bytes()],
            ),
            Action::Probe { replica } => push(ActionCode::Probe, &[&replica_bytes(*replica)]),
            Action::CloseIdleConnections { replica } => push(
                ActionCode::CloseIdleConnections,
                &[&replica_bytes(*replica)],
            ),
            Action::SubscribeEndpoints { enabled } => {
                push(ActionCode::SubscribeEndpoints, &[&[u8::from(*enabled)]]);
            }
            Action::FetchEndpoints => push(ActionCode::FetchEndpoints, &[]),
            Action::SendDatagram { to, bytes } => self.push_datagram(instance, *to, bytes),
            Action::Log(text) => self.push_log(instance, text),
        }
    }

    /// Appends a datagram to one peer, or to all peers if `to` is `None`.
    fn push_datagram(&mut self, instance: InstanceId, to: Option<u32>, bytes: &[u8]) {
        let bytes = self.append_tail(bytes);
        let to = to.unwrap_or(ALL_PEERS).to_le_bytes();
        self.push_record(ActionCode::SendDatagram, instance, &[&to, &bytes]);
    }

    fn push_log(&mut self, instance: InstanceId, text: &str) {
        let text = self.append_tail(text.as_bytes());
        self.push_record(ActionCode::Log, instance, &[&text]);
    }

    /// Appends a record with these fields, padded with zero bytes.
    fn push_record(&mut self, code: ActionCode, instance: InstanceId, fields: &[&[u8]]) {
        let start = self.records.len();
        self.records.push(code as u8);
        self.records.extend(instance.0.to_le_bytes());
        for field in fields {
            self.records.extend(*field);
        }
        self.records.resize(start + RECORD_SIZE, 0);
        self.count += 1;
    }

    /// Appends bytes to the tail and returns the record field with their range.
    fn append_tail(&mut self, bytes: &[u8]) -> [u8; TAIL_RANGE_SIZE] {
        let mut range = [0; TAIL_RANGE_SIZE];
        range[..4].copy_from_slice(&(self.tail.len() as u32).to_le_bytes());
        range[4..].copy_from_slice(&(bytes.len() as u32).to_le_bytes());
        self.tail.extend(bytes);
        range
    }
}

/// Address and port in the byte order in which they were received.
fn replica_bytes(replica: ReplicaId) -> [u8; REPLICA_SIZE] {
    let mut bytes = [0; REPLICA_SIZE];
    bytes.copy_from_slice(&replica.0.to_le_bytes()[..REPLICA_SIZE]);
    bytes
}
