//! A probe of scale: processor time and memory of the reducer and the decisions against the number of replicas, of
//! open queries and of parts, without sockets. Copy to `examples/scale.rs` of the crate `cottonhill-mixer` and run
//! `cargo run --release -p cottonhill-mixer --example scale -- REPLICAS OPEN PARTS QUERIES`.
//! Three replicas to a cell; each part is answered 60 ms after it is sent.
use bytes::Bytes;
use cottonhill_mixer::protocol::discovery::{self, Listing};
use cottonhill_mixer::protocol::leaf::{End, FromLeaf, ToLeaf};
use cottonhill_mixer::protocol::query::{Asked, AskedPart, Query, Reply};
use cottonhill_mixer::routing::{Effect, Input, State};
use cottonhill_mixer::settings;
use std::collections::VecDeque;
use std::time::Instant;

const MS: u64 = 1_000_000;
const COPIES: u64 = 3;

fn settings(cells: u64) -> String {
    format!(
        "classes.count=1\nclasses.0.name=lookup\nclasses.0.aim_ns=2000000000\nclasses.0.give_up_ns=6000000000\n\
classes.0.semantics=read_like\nextra.places={cells}\nextra.reach=1\nextra.ranges={cells}\nextra.class_need=1.0\n\
extra.least_share=1.0\nextra.partial_earns=0.9\nextra.second_step=0\nreplicas_of_me=1\ntick_ns=5000000\n\
limits.cancelling=true\nlimits.may_duplicate=true\nlimits.max_attempts=4\nlimits.streams_per_conn=64\n\
limits.connect_timeout_ns=250000000\nlimits.conn_idle_ns=30000000000\nlimits.open_cap=10000000\n\
limits.max_retry_after_ns=500000000\nlocalities=north,south\nguarantees.stop_sending_within_ns=250000000\n"
    )
}

fn entry(r: u64, status: &str) -> String {
    format!(
        "{{\"name\":\"s-{r:08x}\",\"address\":\"10.{}.{}.{}:7070\",\"zone\":\"north\",\"type\":\"m2\",\"group\":{},\
\"status\":\"{status}\",\"weight\":1.0,\"since_ms\":0}}",
        r >> 16, (r >> 8) & 255, r & 255, r / COPIES
    )
}

fn resident_mb() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap();
    statm.split(' ').nth(1).unwrap().parse::<f64>().unwrap() * 4096.0 / 1e6
}

fn apply(
    state: &mut State, now: u64, queue: &mut VecDeque<Input>, due: &mut VecDeque<(u64, u64, String)>,
    free: &mut Vec<u64>, done: &mut (usize, usize),
) {
    while let Some(input) = queue.pop_front() {
        for effect in state.apply(now, input) {
            match effect {
                Effect::Reply { client, reply, .. } => {
                    if matches!(reply, Reply::Answer { .. }) {
                        done.0 += 1
                    } else {
                        done.1 += 1
                    }
                    free.push(client);
                }
                Effect::Connect { link, .. } => queue.push_back(Input::LinkOpened { link }),
                Effect::Write { link, frame } => {
                    if let ToLeaf::Call(parts) = frame {
                        for part in parts {
                            due.push_back((now + 60 * MS, link, part.id.to_string()))
                        }
                    }
                    queue.push_back(Input::LinkWrote { link });
                }
                _ => {}
            }
        }
    }
}

fn main() {
    let args: Vec<u64> = std::env::args().skip(1).map(|a| a.parse().expect("a number")).collect();
    let [replicas, open, parts, total] = args[..] else { panic!("REPLICAS OPEN PARTS QUERIES") };
    let cells = replicas.div_ceil(COPIES);
    let base = resident_mb();
    let entries: Vec<String> = (0..replicas).map(|r| entry(r, "up")).collect();
    let text = format!("{{\"index\":1,\"snapshot\":true,\"endpoints\":[{}]}}", entries.join(","));
    drop(entries);
    let started = Instant::now();
    let known: Listing = discovery::read(text.as_bytes()).unwrap().unwrap();
    let parse = started.elapsed();
    let bytes = text.len();
    drop(text);
    let mut now = 1_000_000 * MS;
    let site = settings::site(&settings(cells)).unwrap();
    let started = Instant::now();
    let mut state = State::new(now, site, settings::parse(&settings(cells)).unwrap(), 7, &known, 10_000_000);
    let take = started.elapsed();
    drop(known);
    state.apply(
        now,
        Input::Listed(
            discovery::read(b"{\"index\":2,\"snapshot\":false,\"endpoints\":[]}").unwrap().unwrap(),
        ),
    );
    state.apply(now, Input::Turn);
    println!("{replicas} replicas: whole list {:.1} MB of JSON, {} allowed; parse {:.1} ms, take {:.1} ms; resident +{:.1} MB",
        bytes as f64 / 1e6, discovery::MOST_OBJECT, parse.as_secs_f64() * 1e3, take.as_secs_f64() * 1e3, resident_mb() - base);
    let changes = 50;
    let started = Instant::now();
    for i in 0..changes {
        let status = if i % 2 == 0 { "draining" } else { "up" };
        let text =
            format!("{{\"index\":{},\"snapshot\":false,\"endpoints\":[{}]}}", i + 3, entry(i / 2, status));
        state.apply(now, Input::Listed(discovery::read(text.as_bytes()).unwrap().unwrap()));
        state.apply(now, Input::Turn);
    }
    println!("  one change of one entry: {:.1} us", started.elapsed().as_secs_f64() * 1e6 / changes as f64);
    let (mut queue, mut due, mut free) = (VecDeque::new(), VecDeque::new(), (0..open).collect::<Vec<u64>>());
    for client in 0..open {
        queue.push_back(Input::ClientOpened { client })
    }
    let (mut done, mut asked) = ((0usize, 0usize), 0u64);
    let gap = (60 * MS / open).max(1);
    let started = Instant::now();
    while ((done.0 + done.1) as u64) < total && started.elapsed().as_secs() < 60 {
        if asked < total {
            if let Some(client) = free.pop() {
                asked += 1;
                let parts = (0..parts)
                    .map(|i| AskedPart {
                        shard: ((asked * 7919 + i * (cells / parts).max(1)) % cells) as u32,
                        weight: 1.0 / parts as f64,
                        work: None,
                    })
                    .collect();
                queue.push_back(Input::Asked {
                    client,
                    arrived: now,
                    asked: Ok(Asked::Query(Query {
                        name: format!("q{asked}"),
                        class: 0,
                        tenant: 0,
                        timeout: 5000 * MS,
                        repeat: false,
                        idempotency_key: None,
                        parts,
                        text: Bytes::from_static(b"c41e77d0"),
                    })),
                });
            }
        }
        while due.front().is_some_and(|(at, _, _)| *at <= now) {
            let (_, link, id) = due.pop_front().unwrap();
            queue.push_back(Input::LinkHeard {
                link,
                frame: FromLeaf::Answer {
                    id,
                    end: End::Ok,
                    report: "-".into(),
                    value: Bytes::from_static(b"doc"),
                },
            });
        }
        queue.push_back(Input::Turn);
        apply(&mut state, now, &mut queue, &mut due, &mut free, &mut done);
        now += gap;
    }
    let us = started.elapsed().as_secs_f64() * 1e6 / (done.0 + done.1).max(1) as f64;
    println!("  {open} open, {parts} parts: {us:.1} us a query, {:.2} us a part ({} answered, {} not); resident +{:.1} MB",
        us / parts as f64, done.0, done.1, resident_mb() - base);
}
