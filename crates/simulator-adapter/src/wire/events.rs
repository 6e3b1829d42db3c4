//! Decoding of event records into inputs of the decision module.

use super::batch::Batch;
use super::fields::Fields;
use super::layout::{
    attempt_ended, client_disconnected, datagram_received, endpoint, endpoint_list,
    endpoint_status, endpoint_update_kind, endpoints_updated, outcome, probe_ended,
    request_received, start, stream_started, timer_fired, EventCode, INSTANCE,
};
use super::InstanceId;
use crate::error::{AdapterError, RecordError};
use cottonhill_decisions::{Endpoint, EndpointUpdateKind, Event, Outcome};
use std::collections::BTreeMap;

/// Endpoint lists by their numbers on the wire.
pub type EndpointLists = BTreeMap<u32, Vec<Endpoint>>;

/// The decoded event record of an instance.
#[derive(Debug, PartialEq)]
pub enum Input {
    /// The instance starts without any state.
    Start {
        /// Seed of its random number generator.
        seed: u64,
        /// Its settings, one `path=value` per line.
        settings: String,
    },
    /// The instance stops and its state is dropped.
    Stop,
    /// An event for the decision module.
    Event(Event),
}

/// Decodes the inputs of a batch, in order. Endpoint lists are stored and resolved in the order of the records, since a
/// later record of the same batch can assign the same number to another list.
///
/// # Errors
/// A record can't be decoded.
pub fn decode_batch(
    batch: &Batch,
    lists: &mut EndpointLists,
) -> Result<Vec<(InstanceId, Input)>, AdapterError> {
    let mut inputs = Vec::new();
    for (index, record) in batch.records().enumerate() {
        let input =
            decode_record(&record, &batch.tail, lists).map_err(|source| AdapterError::Record {
                batch: batch.number,
                record: index,
                source,
            })?;
        if let Some(input) = input {
            inputs.push((InstanceId(record.u16(INSTANCE)), input));
        }
    }
    Ok(inputs)
}

/// Decodes the input of one record; returns `None` for an endpoint list, which is stored in `lists`.
fn decode_record(
    record: &Fields,
    tail: &[u8],
    lists: &mut EndpointLists,
) -> Result<Option<Input>, RecordError> {
    let code = record.u8(0);
    let code = EventCode::from_wire(code).ok_or(RecordError::UnknownEvent(code))?;
    let event = match code {
        EventCode::EndpointList => {
            let endpoints = decode_endpoint_list(record, tail)?;
            lists.insert(record.u32(endpoint_list::NUMBER), endpoints);
            return Ok(None);
        }
        EventCode::Start => return decode_start(record, tail).map(Some),
        EventCode::Stop => return Ok(Some(Input::Stop)),
        EventCode::RequestReceived => decode_request(record),
        EventCode::EndpointsUpdated => decode_endpoints_updated(record, lists)?,
        EventCode::DatagramReceived => decode_datagram(record, tail)?,
        EventCode::AttemptEnded => decode_attempt_ended(record)?,
        EventCode::ProbeEnded => decode_probe_ended(record)?,
        EventCode::StreamStarted => Event::StreamStarted {
            part: record.u64(stream_started::PART),
            attempt: record.u8(stream_started::ATTEMPT),
            replica: record.replica(stream_started::REPLICA),
        },
        EventCode::TimerFired => Event::TimerFired {
            token: record.u64(timer_fired::TOKEN),
        },
        EventCode::ClientDisconnected => Event::ClientDisconnected {
            id: record.u64(client_disconnected::ID),
        },
    };
    Ok(Some(Input::Event(event)))
}

fn decode_start(record: &Fields, tail: &[u8]) -> Result<Input, RecordError> {
    let settings = record.tail_range(start::SETTINGS).slice(tail)?;
    let settings =
        String::from_utf8(settings.to_vec()).map_err(|_| RecordError::SettingsNotUtf8)?;
    Ok(Input::Start {
        seed: record.u64(start::SEED),
        settings,
    })
}

fn decode_endpoint_list(record: &Fields, tail: &[u8]) -> Result<Vec<Endpoint>, RecordError> {
    let range = record
        .tail_range(endpoint_list::ENTRIES)
        .in_bytes(endpoint::SIZE);
    range
        .slice(tail)?
        .chunks_exact(endpoint::SIZE)
        .map(|entry| decode_endpoint(&Fields(entry)))
        .collect()
}

fn decode_endpoint(entry: &Fields) -> Result<Endpoint, RecordError> {
    let status = entry.u8(endpoint::STATUS);
    let status = endpoint_status(status).ok_or(RecordError::UnknownEndpointStatus(status))?;
    Ok(Endpoint {
        replica: entry.replica(endpoint::REPLICA),
        cell: entry.u16(endpoint::CELL),
        zone: entry.u16(endpoint::ZONE),
        started_at: entry.u64(endpoint::STARTED),
        status,
    })
}

fn decode_endpoints_updated(record: &Fields, lists: &EndpointLists) -> Result<Event, RecordError> {
    let kind = record.u8(endpoints_updated::KIND);
    let kind = endpoint_update_kind(kind).ok_or(RecordError::UnknownUpdateKind(kind))?;
    let endpoints = match kind {
        // The list number of such an update is undefined.
        EndpointUpdateKind::RequestFailed => Vec::new(),
        _ => {
            let number = record.u32(endpoints_updated::LIST);
            let list = lists.get(&number);
            list.ok_or(RecordError::UnknownEndpointList(number))?
                .clone()
        }
    };
    Ok(Event::EndpointsUpdated { kind, endpoints })
}

/// Decodes a part of a query if the shard is not negative, otherwise a query. Group and shard are integers that the
/// simulator sends as f32, so they are exact up to 2^24.
fn decode_request(record: &Fields) -> Event {
    let id = record.u64(request_received::ID);
    let group = record.f32(request_received::GROUP) as u32;
    let shard = record.f32(request_received::SHARD);
    if shard >= 0.0 {
        return Event::PartReceived {
            id,
            group,
            shard: shard as u32,
            weight: f64::from(record.f32(request_received::WEIGHT)),
        };
    }
    let flags = record.u8(request_received::FLAGS);
    let has_work = flags & request_received::HAS_EXPECTED_SERVICE_TIME != 0;
    Event::QueryReceived {
        id,
        group,
        class: record.u16(request_received::CLASS),
        tenant: record.u32(request_received::TENANT),
        client_timeout: record.u64(request_received::CLIENT_TIMEOUT),
        // The simulator does not report it.
        network_delay: 0,
        work: has_work.then(|| record.u64(request_received::EXPECTED_SERVICE_TIME)),
        client_retry: flags & request_received::CLIENT_RETRY != 0,
    }
}

fn decode_datagram(record: &Fields, tail: &[u8]) -> Result<Event, RecordError> {
    let bytes = record.tail_range(datagram_received::BYTES).slice(tail)?;
    Ok(Event::DatagramReceived {
        from: record.u32(datagram_received::FROM),
        bytes: bytes.to_vec(),
    })
}

fn decode_attempt_ended(record: &Fields) -> Result<Event, RecordError> {
    Ok(Event::AttemptEnded {
        part: record.u64(attempt_ended::PART),
        attempt: record.u8(attempt_ended::ATTEMPT),
        replica: record.replica(attempt_ended::REPLICA),
        outcome: decode_outcome(record, attempt_ended::OUTCOME)?,
        report: record.load_report(attempt_ended::REPORT),
    })
}

fn decode_probe_ended(record: &Fields) -> Result<Event, RecordError> {
    Ok(Event::ProbeEnded {
        replica: record.replica(probe_ended::REPLICA),
        outcome: decode_outcome(record, probe_ended::OUTCOME)?,
        latency: record.u64(probe_ended::LATENCY),
        report: record.load_report(probe_ended::REPORT),
    })
}

fn decode_outcome(record: &Fields, position: usize) -> Result<Outcome, RecordError> {
    let code = record.u16(position);
    outcome(code).ok_or(RecordError::UnknownOutcome(code))
}
