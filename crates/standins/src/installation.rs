//! A whole installation on loopback: discovery, leaf servers in three zones, real mixers, and their settlement.

use crate::discovery::Discovery;
use crate::leaf::{Leaf, Seen};
use crate::process::{beside, Process};
use serde_json::{json, Value};
use std::fmt::Write as _;
use std::fs;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub const ZONES: [&str; 3] = ["colombo-north", "colombo-south", "kandy"];
/// Classes, with the wanted and the longest time in milliseconds and the least share of a partial answer.
pub const CLASSES: [(&str, u64, u64, f64); 3] = [
    ("preview-lookup", 150, 900, 1.0),
    ("chart-ranking", 250, 1200, 0.6),
    ("catalogue-report", 500, 1500, 0.6),
];
pub const TENANTS: [&str; 4] = ["alpha", "beta", "gamma", "delta"];
pub const SHARDS: u32 = 16;
/// Nothing goes to a leaf server later than this after a mixer was told that it leaves.
pub const GRACE: Duration = Duration::from_millis(250);
const CELLS: usize = 4;
const MS: u64 = 1_000_000;

/// How an installation is to be.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    /// How many mixers the settings tell of; three run.
    pub fleet: u32,
    /// Descriptors that each mixer may hold.
    pub sockets: usize,
    /// The middle of a part's time at a leaf server.
    pub work: Duration,
    /// Parts that a leaf server works on at once.
    pub slots: usize,
    /// Whether mixers keep a usage log.
    pub usage: bool,
    /// Whether they serve the OpenSearch-style front as well.
    pub search: bool,
    /// Sections of the settlement's settings beside its store and members.
    pub ledger: String,
}

impl Default for Plan {
    /// A small one that keeps no log and serves nothing but the native front.
    fn default() -> Plan {
        let (work, ledger) = (Duration::from_millis(5), String::new());
        Plan {
            seed: 0,
            fleet: 3,
            sockets: 1024,
            work,
            slots: 16,
            usage: false,
            search: false,
            ledger,
        }
    }
}

struct Slot {
    zone: usize,
    cell: usize,
    leaf: Option<Leaf>,
    starts: u64,
    /// Its last start, in Unix milliseconds.
    since: u64,
}

impl Slot {
    /// What discovery says of its server of that start; `i` is the slot's own number.
    fn line(&self, i: usize, start: u64, status: &str, address: SocketAddr) -> Value {
        json!({"name": format!("s-{i}-{start}"), "address": address, "zone": ZONES[self.zone], "type": "m",
            "group": self.cell, "status": status, "weight": 1.0, "since_ms": self.since})
    }
}

pub struct Mixer {
    pub name: String,
    pub address: SocketAddr,
    /// Where the OpenSearch-style front is, if it is on.
    pub search: SocketAddr,
    pub usage: PathBuf,
    config: PathBuf,
    settings: PathBuf,
    pub log: PathBuf,
    pub process: Option<Process>,
}

impl Mixer {
    fn reconfigure(&self, key: &str, value: Value) -> io::Result<()> {
        let mut config: Value = serde_json::from_str(&fs::read_to_string(&self.config)?)?;
        config[key] = value;
        fs::write(&self.config, format!("{config:#}"))
    }
}

pub struct Installation {
    pub folder: PathBuf,
    pub ip: IpAddr,
    plan: Plan,
    pub discovery: Discovery,
    slots: Vec<Slot>,
    pub mixers: Vec<Mixer>,
    pub settings: PathBuf,
    pub settlement: Option<Process>,
    program: PathBuf,
}

/// A loopback address of this process's own, so that ports freed for a moment are not taken by another one.
pub fn own_ip() -> IpAddr {
    let id = std::process::id();
    IpAddr::V4(Ipv4Addr::new(
        127,
        20 + (id >> 16) as u8 % 100,
        (id >> 8) as u8,
        (id as u8).max(1),
    ))
}

/// A port that is free now.
///
/// # Errors
/// There is none.
pub fn free_port(ip: IpAddr) -> io::Result<SocketAddr> {
    TcpListener::bind((ip, 0))?.local_addr()
}

/// Unix milliseconds.
pub fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

fn platform(
    name: &str,
    zone: usize,
    listen: SocketAddr,
    discovery: SocketAddr,
    plan: &Plan,
    known: &Value,
) -> Value {
    let (seed, fleet, sockets) = (plan.seed ^ (zone as u64 + 1), plan.fleet, plan.sockets);
    let class = |(name, aim, give_up, _): &(&str, u64, u64, f64)| {
        json!({"name": name, "aim_ns": aim * MS, "give_up_ns": give_up * MS, "semantics": "read_like",
            "importance": 1.0, "late_value": 0.3})
    };
    json!({
        "name": name, "listen": listen, "discovery": discovery, "seed": format!("{seed:016x}"),
        "limits": {"sockets": sockets}, "known": known,
        "settings": {
            "classes": CLASSES.iter().map(class).collect::<Vec<_>>(),
            "orgs": TENANTS.map(|name| json!({"name": name})),
            "localities": ZONES, "my_zone": zone, "replicas_of_me": fleet, "tick_ns": 5 * MS,
            "callers": {"marks_retry": true},
            "tariffs": {"cross_zone": 0.05},
            "extra": {"places": CELLS, "reach": 2, "ranges": SHARDS, "bundle_max": 8,
                "class_need": CLASSES.map(|_| 1.0), "least_share": CLASSES.map(|class| class.3),
                "partial_earns": CLASSES.map(|_| 0.9), "second_step": CLASSES.map(|_| 0)},
            "limits": {"cancelling": true, "may_duplicate": true, "max_attempts": 4, "streams_per_conn": 32,
                "connect_timeout_ns": 250 * MS, "conn_idle_ns": 30_000 * MS, "open_cap": 4096,
                "max_retry_after_ns": 300 * MS},
            "discovery": "pushed",
            "guarantees": {"stop_sending_within_ns": GRACE.as_nanos() as u64,
                "cold_from": 0.5, "cold_ns": 1000 * MS, "fall_multiple": 6.0, "fall_ns": 2000 * MS},
        }
    })
}

impl Installation {
    /// Starts leaf servers and discovery, writes the files of three mixers, and starts them.
    ///
    /// # Errors
    /// Something of it can't be started.
    pub async fn start(folder: &Path, plan: Plan) -> io::Result<Installation> {
        let (ip, program) = (own_ip(), beside("cottonhill")?);
        let discovery = Discovery::start(ip).await?;
        let mut slots = Vec::new();
        for zone in 0..ZONES.len() {
            slots.extend((0..CELLS).map(|cell| Slot {
                zone,
                cell,
                leaf: None,
                starts: 0,
                since: 0,
            }));
        }
        let mut installation = Installation {
            folder: folder.into(),
            ip,
            discovery,
            slots,
            mixers: Vec::new(),
            settings: folder.join("ledger.ini"),
            settlement: None,
            program,
            plan,
        };
        for zone in 0..ZONES.len() {
            installation.restore_zone(zone, false).await?;
        }
        let mut members = String::new();
        for (zone, _) in ZONES.iter().enumerate() {
            let name = format!("n{zone}");
            let file = |what: &str| folder.join(format!("{name}.{what}"));
            let (address, collect, search) = (free_port(ip)?, free_port(ip)?, free_port(ip)?);
            let (config, settings, usage) = (file("json"), file("ini"), file("usage"));
            let (at, known) = (
                installation.discovery.address,
                installation.discovery.known(),
            );
            fs::write(
                &config,
                format!(
                    "{:#}",
                    platform(&name, zone, address, at, &installation.plan, &known)
                ),
            )?;
            let shown = usage.display();
            let mut own = if installation.plan.usage {
                format!("[usage]\ndirectory = {shown}\nmark = 100ms\nsegment = 64KiB\nlisten = {collect}\n")
            } else {
                String::new()
            };
            if installation.plan.search {
                let _ = write!(
                    own,
                    "\n[opensearch]\nlisten = {search}\ntenant-by = header-or-network\n"
                );
                own += "\n[network loopback]\nprefixes = 127.0.0.0/8, ::1\ntenant = delta\n";
                for (class, ..) in CLASSES {
                    let _ = write!(
                        own,
                        "\n[index {class}]\nclass = {class}\nshards = 0-{}\n",
                        SHARDS - 1
                    );
                }
            }
            fs::write(&settings, own)?;
            let _ = write!(members, "[member {name}]\naddress = {collect}\n\n");
            let log = file("log");
            installation.mixers.push(Mixer {
                name,
                address,
                search,
                usage,
                config,
                settings,
                log,
                process: None,
            });
            installation.start_mixer(zone).await?;
        }
        let store = folder.join("ledger.sqlite");
        let ledger = format!(
            "[settlement]\nstore = {}\n\n{members}{}",
            store.display(),
            installation.plan.ledger
        );
        fs::write(&installation.settings, ledger)?;
        Ok(installation)
    }

    /// Starts a mixer's process and leaves it to itself.
    ///
    /// # Errors
    /// It can't be started.
    pub fn launch_mixer(&mut self, at: usize) -> io::Result<()> {
        let mixer = &mut self.mixers[at];
        // The limit holds for the process alone, which the shell becomes.
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", "ulimit -n \"$0\" && exec \"$@\""])
            .arg(self.plan.sockets.to_string());
        command
            .arg(&self.program)
            .arg("--config")
            .arg(&mixer.config)
            .arg("--settings")
            .arg(&mixer.settings);
        command
            .env_remove("BALANCER_CONFIG")
            .env_remove("COTTONHILL_SETTINGS")
            .env_remove("COTTONHILL_LOG");
        mixer.process = Some(Process::start(&mut command, &mixer.log)?);
        Ok(())
    }

    /// Starts a mixer, also one that was killed, and waits until it is ready.
    ///
    /// # Errors
    /// It does not come up within 10 s.
    pub async fn start_mixer(&mut self, at: usize) -> io::Result<()> {
        self.launch_mixer(at)?;
        let mixer = &self.mixers[at];
        for _ in 0..500 {
            if get(mixer.address, "/-/ready")
                .await
                .is_some_and(|(status, _)| status == 200)
            {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let log = fs::read_to_string(&mixer.log).unwrap_or_default();
        Err(io::Error::other(format!(
            "mixer {} does not come up: {}",
            mixer.name,
            log.trim()
        )))
    }

    /// Ends a mixer as a crash does.
    pub fn kill_mixer(&mut self, at: usize) {
        self.mixers[at].process = None;
    }

    /// Ends a mixer as a rolling change does, by SIGTERM: true if it ended with success within `most`.
    pub fn stop_mixer(&mut self, at: usize, most: Duration) -> bool {
        let ended = self.mixers[at]
            .process
            .as_mut()
            .is_some_and(|process| process.end(most));
        self.mixers[at].process = None;
        ended
    }

    /// Discovery moves: a new one at another address knows the same list, every mixer's configuration names it and
    /// each running mixer is told by SIGHUP; then the old one stops, so a mixer that kept to it would hear no more.
    ///
    /// # Errors
    /// There is no port, or a configuration can't be rewritten.
    pub async fn move_discovery(&mut self) -> io::Result<()> {
        let moved = Discovery::start(self.ip).await?;
        moved.tell(
            self.discovery.known()["endpoints"]
                .as_array()
                .cloned()
                .unwrap_or_default(),
        );
        for mixer in &self.mixers {
            mixer.reconfigure("discovery", json!(moved.address))?;
            if let Some(process) = &mixer.process {
                process.signal("-HUP")?;
            }
        }
        // The old one answers for a moment longer, so that what is tried is a move, not a loss of discovery.
        tokio::time::sleep(Duration::from_millis(200)).await;
        self.discovery = moved;
        Ok(())
    }

    /// Each mixer's next start is from the list as it is now, like that of one killed at this moment.
    ///
    /// # Errors
    /// A configuration can't be rewritten.
    pub fn remember(&self) -> io::Result<()> {
        let known = self.discovery.known();
        self.mixers
            .iter()
            .try_for_each(|mixer| mixer.reconfigure("known", known.clone()))
    }

    /// A zone is dark: its leaf servers are gone without a word from discovery.
    pub fn lose_zone(&mut self, zone: usize) {
        self.slots
            .iter_mut()
            .filter(|slot| slot.zone == zone)
            .for_each(|slot| slot.leaf = None);
    }

    /// A zone's leaf servers begin to drain, as discovery tells; they stay up. Returns what each of them sees.
    pub fn drain_zone(&self, zone: usize) -> Vec<Arc<Seen>> {
        let of_zone = self
            .slots
            .iter()
            .enumerate()
            .filter(|(_, slot)| slot.zone == zone);
        let leaving: Vec<_> = of_zone
            .filter_map(|(i, slot)| Some((i, slot, slot.leaf.as_ref()?)))
            .collect();
        let line = |(i, slot, leaf): &(usize, &Slot, &Leaf)| {
            slot.line(*i, slot.starts, "draining", leaf.address)
        };
        self.discovery.tell(leaving.iter().map(line).collect());
        leaving
            .iter()
            .map(|(_, _, leaf)| leaf.seen.clone())
            .collect()
    }

    /// A zone's leaf servers start, at other addresses than before, and discovery tells.
    ///
    /// # Errors
    /// There are no ports.
    pub async fn restore_zone(&mut self, zone: usize, cold: bool) -> io::Result<()> {
        let mut lines = Vec::new();
        let of_zone = |(_, slot): &(usize, &mut Slot)| slot.zone == zone;
        for (i, slot) in self.slots.iter_mut().enumerate().filter(of_zone) {
            slot.starts += 1;
            let leaf = Leaf::start(
                self.ip,
                self.plan.work,
                self.plan.slots,
                self.plan.seed ^ (i as u64) << 32 ^ slot.starts,
            )
            .await?;
            if slot.starts > 1 {
                lines.push(slot.line(i, slot.starts - 1, "removed", leaf.address));
            }
            slot.since = if cold { now_ms() } else { 0 };
            lines.push(slot.line(i, slot.starts, "up", leaf.address));
            slot.leaf = Some(leaf);
        }
        self.discovery.tell(lines);
        Ok(())
    }

    /// Parts that the leaf servers now up were sent.
    pub fn parts_seen(&self) -> u64 {
        let leaves = self.slots.iter().filter_map(|slot| slot.leaf.as_ref());
        leaves
            .map(|leaf| leaf.seen.parts.load(std::sync::atomic::Ordering::Relaxed))
            .sum()
    }

    /// The command line of the ledger, with its settings.
    pub fn ledger(&self, words: &[&str]) -> Command {
        let mut command = Command::new(&self.program);
        command
            .arg("ledger")
            .args(words)
            .arg("--settings")
            .arg(&self.settings);
        command.env_remove("COTTONHILL_LOG");
        command
    }

    /// Starts the settlement.
    ///
    /// # Errors
    /// It can't be started.
    pub fn start_settlement(&mut self) -> io::Result<()> {
        let log = self.folder.join("ledger.log");
        self.settlement = Some(Process::start(&mut self.ledger(&["serve"]), &log)?);
        Ok(())
    }

    pub fn kill_settlement(&mut self) {
        self.settlement = None;
    }
}

/// A plain GET; the status and the body.
pub async fn get(address: SocketAddr, path: &str) -> Option<(u16, Vec<u8>)> {
    use http_body_util::{BodyExt, Empty};
    let exchange = async {
        let stream = tokio::net::TcpStream::connect(address).await.ok()?;
        let io = hyper_util::rt::TokioIo::new(stream);
        let (mut send, connection) = hyper::client::conn::http1::handshake(io).await.ok()?;
        let task = tokio::spawn(connection);
        let request = hyper::Request::get(path)
            .header("Host", "mixer")
            .header("Connection", "close");
        let answer = send
            .send_request(request.body(Empty::<bytes::Bytes>::new()).ok()?)
            .await
            .ok()?;
        let status = answer.status().as_u16();
        let body = answer.into_body().collect().await.ok()?.to_bytes();
        task.abort();
        Some((status, body.to_vec()))
    };
    tokio::time::timeout(Duration::from_secs(2), exchange)
        .await
        .ok()?
}
