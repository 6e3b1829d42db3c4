//! Local cluster on loopback: discovery, leaf servers in three zones, real mixer processes, and the
//! settlement: the process of `cottonhill ledger serve`, which collects their usage logs and bills them.

use crate::discovery::Discovery;
use crate::leaf::{LeafServer, LeafStats};
use crate::process::{sibling_program, Process};
use serde_json::{json, Value};
use std::fmt::Write as _;
use std::fs;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub const ZONES: [&str; 3] = ["colombo-north", "colombo-south", "kandy"];
/// Classes with their latency objective and timeout in milliseconds and the minimum coverage of a partial answer.
pub const CLASSES: [(&str, u64, u64, f64); 3] = [
    ("preview-lookup", 150, 900, 1.0),
    ("chart-ranking", 250, 1200, 0.6),
    ("catalogue-report", 500, 1500, 0.6),
];
pub const TENANTS: [&str; 4] = ["alpha", "beta", "gamma", "delta"];
pub const SHARDS: u32 = 16;
/// Time after which a mixer that has been notified of a draining leaf server sends it no more parts.
pub const STOP_SENDING_WITHIN: Duration = Duration::from_millis(250);
const CELLS_PER_ZONE: usize = 4;
const NS_PER_MS: u64 = 1_000_000;

/// Configuration of a local cluster.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    pub seed: u64,
    /// Number of mixers in the fleet that each mixer's settings state (`replicas_of_me`). Always three processes run.
    pub fleet_size: u32,
    /// Maximum number of open file descriptors of each mixer.
    pub descriptor_limit: usize,
    /// Memory limit in the configuration of each mixer, in megabytes; none if unset.
    pub memory_limit_mb: Option<u64>,
    /// Mean service time of a part at a leaf server.
    pub service_time: Duration,
    /// Maximum number of parts in progress at a leaf server.
    pub leaf_concurrency: usize,
    /// Whether mixers write a usage log.
    pub usage_log: bool,
    /// Whether mixers also serve the OpenSearch-style frontend.
    pub opensearch: bool,
    /// Maximum number of connections to the OpenSearch-style frontend; the program's default if unset.
    pub search_connections: Option<usize>,
    /// Sections of the settlement's settings other than its store and members.
    pub ledger_settings: String,
}

impl Default for ClusterConfig {
    /// A small cluster without a usage log that serves only the native frontend.
    fn default() -> ClusterConfig {
        let (service_time, ledger_settings) = (Duration::from_millis(5), String::new());
        ClusterConfig {
            seed: 0,
            fleet_size: 3,
            descriptor_limit: 1024,
            memory_limit_mb: None,
            service_time,
            leaf_concurrency: 16,
            usage_log: false,
            opensearch: false,
            search_connections: None,
            ledger_settings,
        }
    }
}

/// A leaf server's position in the cluster, with the server that currently runs there.
struct LeafSlot {
    zone: usize,
    cell: usize,
    server: Option<LeafServer>,
    start_count: u64,
    /// Last start in Unix milliseconds, or 0 if the server counts as warm.
    started_ms: u64,
}

impl LeafSlot {
    /// Discovery entry of the server of start number `start`; `index` is the number of the slot.
    fn entry(&self, index: usize, start: u64, status: &str, address: SocketAddr) -> Value {
        json!({"name": format!("s-{index}-{start}"), "address": address, "zone": ZONES[self.zone], "type": "m",
            "group": self.cell, "status": status, "weight": 1.0, "since_ms": self.started_ms})
    }
}

/// A mixer process with its addresses and files.
pub struct Mixer {
    pub name: String,
    pub address: SocketAddr,
    /// Address of the OpenSearch-style frontend, if it is enabled.
    pub search_address: SocketAddr,
    /// Address at which the usage log is collected, if it is enabled.
    pub usage_address: SocketAddr,
    pub usage_directory: PathBuf,
    config_file: PathBuf,
    settings_file: PathBuf,
    pub log: PathBuf,
    pub process: Option<Process>,
}

impl Mixer {
    /// Sets a top-level key of the configuration file.
    fn set_config(&self, key: &str, value: Value) -> io::Result<()> {
        let mut config: Value = serde_json::from_str(&fs::read_to_string(&self.config_file)?)?;
        config[key] = value;
        fs::write(&self.config_file, format!("{config:#}"))
    }
}

/// A running local cluster. Dropping it ends all of its processes.
pub struct LocalCluster {
    pub directory: PathBuf,
    pub ip: IpAddr,
    config: ClusterConfig,
    pub discovery: Discovery,
    leaf_slots: Vec<LeafSlot>,
    pub mixers: Vec<Mixer>,
    pub ledger_settings_file: PathBuf,
    pub settlement: Option<Process>,
    mixer_program: PathBuf,
}

/// The values of the second octet of the loopback addresses that clusters use.
const FIRST_OCTET: u8 = 20;
const OCTETS: u8 = 100;

/// Loopback address derived from the process id, so that a port that is freed for a moment is not taken by another
/// process.
pub fn process_ip() -> IpAddr {
    let pid = std::process::id();
    IpAddr::V4(Ipv4Addr::new(
        127,
        FIRST_OCTET + (pid >> 16) as u8 % OCTETS,
        (pid >> 8) as u8,
        (pid as u8).max(1),
    ))
}

/// Loopback address derived from the process id and the number of the cluster in this process, since clusters that start
/// at the same time would take each other's ports, too.
fn cluster_ip() -> IpAddr {
    static CLUSTERS: AtomicU8 = AtomicU8::new(0);
    let cluster = CLUSTERS.fetch_add(1, Ordering::Relaxed);
    let IpAddr::V4(process) = process_ip() else {
        return process_ip();
    };
    let [_, second, third, fourth] = process.octets();
    let second = FIRST_OCTET + (second - FIRST_OCTET + cluster % 6 * 16) % OCTETS;
    IpAddr::V4(Ipv4Addr::new(127, second, third, fourth))
}

/// An address of `ip` with a currently free port.
///
/// # Errors
/// No port is free.
pub fn free_port(ip: IpAddr) -> io::Result<SocketAddr> {
    TcpListener::bind((ip, 0))?.local_addr()
}

/// Addresses of `ip` with different ports that are currently free: all are bound before any of them is freed.
///
/// # Errors
/// Too few ports are free.
fn free_ports<const COUNT: usize>(ip: IpAddr) -> io::Result<[SocketAddr; COUNT]> {
    let mut listeners = Vec::with_capacity(COUNT);
    let mut addresses = [SocketAddr::new(ip, 0); COUNT];
    for address in &mut addresses {
        let listener = TcpListener::bind((ip, 0))?;
        *address = listener.local_addr()?;
        listeners.push(listener);
    }
    Ok(addresses)
}

/// Current time in Unix milliseconds.
pub fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// Configuration of a mixer as JSON.
fn mixer_config(
    name: &str,
    zone: usize,
    listen: SocketAddr,
    discovery: SocketAddr,
    config: &ClusterConfig,
    endpoint_list: &Value,
) -> Value {
    let (seed, fleet_size) = (config.seed ^ (zone as u64 + 1), config.fleet_size);
    let mut limits = json!({"sockets": config.descriptor_limit});
    if let Some(megabytes) = config.memory_limit_mb {
        limits["memory_mb"] = megabytes.into();
    }
    let class = |(name, objective, timeout, _): &(&str, u64, u64, f64)| {
        json!({"name": name, "aim_ns": objective * NS_PER_MS, "give_up_ns": timeout * NS_PER_MS,
            "semantics": "read_like", "importance": 1.0, "late_value": 0.3})
    };
    json!({
        "name": name, "listen": listen, "discovery": discovery, "seed": format!("{seed:016x}"),
        "limits": limits, "known": endpoint_list,
        "settings": {
            "classes": CLASSES.iter().map(class).collect::<Vec<_>>(),
            "orgs": TENANTS.map(|name| json!({"name": name})),
            "localities": ZONES, "my_zone": zone, "replicas_of_me": fleet_size, "tick_ns": 5 * NS_PER_MS,
            "callers": {"marks_retry": true},
            "tariffs": {"cross_zone": 0.05},
            "extra": {"places": CELLS_PER_ZONE, "reach": 2, "ranges": SHARDS, "bundle_max": 8,
                "class_need": CLASSES.map(|_| 1.0), "least_share": CLASSES.map(|class| class.3),
                "partial_earns": CLASSES.map(|_| 0.9), "second_step": CLASSES.map(|_| 0)},
            "limits": {"cancelling": true, "may_duplicate": true, "max_attempts": 4, "streams_per_conn": 32,
                "connect_timeout_ns": 250 * NS_PER_MS, "conn_idle_ns": 30_000 * NS_PER_MS, "open_cap": 4096,
                "max_retry_after_ns": 300 * NS_PER_MS},
            "discovery": "pushed",
            "guarantees": {"stop_sending_within_ns": STOP_SENDING_WITHIN.as_nanos() as u64,
                "cold_from": 0.5, "cold_ns": 1000 * NS_PER_MS, "fall_multiple": 6.0, "fall_ns": 2000 * NS_PER_MS},
        }
    })
}

impl LocalCluster {
    /// Starts discovery and the leaf servers, then three mixers with their files in `directory`.
    ///
    /// # Errors
    /// A file can't be written or a component can't be started.
    pub async fn start(directory: &Path, config: ClusterConfig) -> io::Result<LocalCluster> {
        let (ip, mixer_program) = (cluster_ip(), sibling_program("cottonhill")?);
        let discovery = Discovery::start(ip).await?;
        let mut leaf_slots = Vec::new();
        for zone in 0..ZONES.len() {
            leaf_slots.extend((0..CELLS_PER_ZONE).map(|cell| LeafSlot {
                zone,
                cell,
                server: None,
                start_count: 0,
                started_ms: 0,
            }));
        }
        let mut cluster = LocalCluster {
            directory: directory.into(),
            ip,
            discovery,
            leaf_slots,
            mixers: Vec::new(),
            ledger_settings_file: directory.join("ledger.ini"),
            settlement: None,
            mixer_program,
            config,
        };
        for zone in 0..ZONES.len() {
            cluster.restore_zone(zone, false).await?;
        }
        let mut members = String::new();
        for (zone, _) in ZONES.iter().enumerate() {
            let name = format!("n{zone}");
            let file = |extension: &str| directory.join(format!("{name}.{extension}"));
            let [address, usage_address, search_address] = free_ports(ip)?;
            let (config_file, settings_file, usage_directory) =
                (file("json"), file("ini"), file("usage"));
            let (discovery_address, endpoint_list) =
                (cluster.discovery.address, cluster.discovery.endpoint_list());
            fs::write(
                &config_file,
                format!(
                    "{:#}",
                    mixer_config(
                        &name,
                        zone,
                        address,
                        discovery_address,
                        &cluster.config,
                        &endpoint_list
                    )
                ),
            )?;
            let displayed = usage_directory.display();
            let mut settings = if cluster.config.usage_log {
                format!("[usage]\ndirectory = {displayed}\nmark = 100ms\nsegment = 64KiB\nlisten = {usage_address}\n")
            } else {
                String::new()
            };
            if cluster.config.opensearch {
                let _ = write!(
                    settings,
                    "\n[opensearch]\nlisten = {search_address}\ntenant-by = header-or-network\n"
                );
                if let Some(connections) = cluster.config.search_connections {
                    let _ = writeln!(settings, "connections = {connections}");
                }
                settings += "\n[network loopback]\nprefixes = 127.0.0.0/8, ::1\ntenant = delta\n";
                for (class, ..) in CLASSES {
                    let _ = write!(
                        settings,
                        "\n[index {class}]\nclass = {class}\nshards = 0-{}\n",
                        SHARDS - 1
                    );
                }
            }
            fs::write(&settings_file, settings)?;
            let _ = write!(members, "[member {name}]\naddress = {usage_address}\n\n");
            let log = file("log");
            cluster.mixers.push(Mixer {
                name,
                address,
                search_address,
                usage_address,
                usage_directory,
                config_file,
                settings_file,
                log,
                process: None,
            });
            cluster.start_mixer(zone).await?;
        }
        let store = directory.join("ledger.sqlite");
        let ledger_settings = format!(
            "[settlement]\nstore = {}\n\n{members}{}",
            store.display(),
            cluster.config.ledger_settings
        );
        fs::write(&cluster.ledger_settings_file, ledger_settings)?;
        Ok(cluster)
    }

    /// Starts a mixer's process without waiting until it is ready.
    ///
    /// # Errors
    /// The process can't be started.
    pub fn spawn_mixer(&mut self, index: usize) -> io::Result<()> {
        let mixer = &mut self.mixers[index];
        // The shell sets the limit and is then replaced by the mixer, so only that process is limited.
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", "ulimit -n \"$0\" && exec \"$@\""])
            .arg(self.config.descriptor_limit.to_string());
        command
            .arg(&self.mixer_program)
            .arg("--config")
            .arg(&mixer.config_file)
            .arg("--settings")
            .arg(&mixer.settings_file);
        command
            .env_remove("BALANCER_CONFIG")
            .env_remove("COTTONHILL_SETTINGS")
            .env_remove("COTTONHILL_LOG");
        mixer.process = Some(Process::start(&mut command, &mixer.log)?);
        Ok(())
    }

    /// Starts a mixer, for the first time or again, and waits until it is ready.
    ///
    /// # Errors
    /// The mixer can't be started or is not ready within 10 s.
    pub async fn start_mixer(&mut self, index: usize) -> io::Result<()> {
        self.spawn_mixer(index)?;
        let mixer = &self.mixers[index];
        for _ in 0..500 {
            if http_get(mixer.address, "/-/ready")
                .await
                .is_some_and(|(status, _)| status == 200)
            {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let log = fs::read_to_string(&mixer.log).unwrap_or_default();
        Err(io::Error::other(format!(
            "mixer {} was not ready within 10 s; its log: {}",
            mixer.name,
            log.trim()
        )))
    }

    /// Kills a mixer as a crash would.
    pub fn kill_mixer(&mut self, index: usize) {
        self.mixers[index].process = None;
    }

    /// Stops a mixer by SIGTERM, as a rolling restart does. Returns whether it exited successfully within `timeout`.
    pub fn stop_mixer(&mut self, index: usize, timeout: Duration) -> bool {
        let succeeded = self.mixers[index]
            .process
            .as_mut()
            .is_some_and(|process| process.terminate(timeout));
        self.mixers[index].process = None;
        succeeded
    }

    /// Moves discovery to another address: starts a new server with the same list, writes its address to every mixer's
    /// configuration, sends SIGHUP to the running mixers and stops the old server. A mixer that still used the old
    /// server would receive no more updates.
    ///
    /// # Errors
    /// No port is available, a configuration can't be rewritten, or a mixer's process has exited.
    pub async fn move_discovery(&mut self) -> io::Result<()> {
        let new_discovery = Discovery::start(self.ip).await?;
        new_discovery.update(
            self.discovery.endpoint_list()["endpoints"]
                .as_array()
                .cloned()
                .unwrap_or_default(),
        );
        for mixer in &self.mixers {
            mixer.set_config("discovery", json!(new_discovery.address))?;
            if let Some(process) = &mixer.process {
                process.signal("-HUP")?;
            }
        }
        // The old server answers for 200 ms longer, so that this tests a move rather than a loss of discovery.
        tokio::time::sleep(Duration::from_millis(200)).await;
        self.discovery = new_discovery;
        Ok(())
    }

    /// Writes the current endpoint list to every mixer's configuration, so that its next start begins with that list.
    ///
    /// # Errors
    /// A configuration can't be rewritten.
    pub fn save_endpoint_list(&self) -> io::Result<()> {
        let endpoint_list = self.discovery.endpoint_list();
        self.mixers
            .iter()
            .try_for_each(|mixer| mixer.set_config("known", endpoint_list.clone()))
    }

    /// Kills the leaf servers of a zone without an update from discovery.
    pub fn kill_zone(&mut self, zone: usize) {
        self.leaf_slots
            .iter_mut()
            .filter(|slot| slot.zone == zone)
            .for_each(|slot| slot.server = None);
    }

    /// Makes the leaf servers of these cells hang, in all zones.
    pub fn hang_cells(&self, cells: &[usize]) {
        let hanging = self
            .leaf_slots
            .iter()
            .filter(|slot| cells.contains(&slot.cell));
        hanging
            .filter_map(|slot| slot.server.as_ref())
            .for_each(LeafServer::hang);
    }

    /// Makes the leaf servers of a zone withhold the last byte of large answers.
    pub fn truncate_large_answers(&self, zone: usize) {
        let slots = self.leaf_slots.iter().filter(|slot| slot.zone == zone);
        slots
            .filter_map(|slot| slot.server.as_ref())
            .for_each(LeafServer::truncate_large_answers);
    }

    /// Marks the leaf servers of a zone as draining in discovery; they keep running. Returns their counters.
    pub fn drain_zone(&self, zone: usize) -> Vec<Arc<LeafStats>> {
        let zone_slots = self
            .leaf_slots
            .iter()
            .enumerate()
            .filter(|(_, slot)| slot.zone == zone);
        let draining: Vec<_> = zone_slots
            .filter_map(|(index, slot)| Some((index, slot, slot.server.as_ref()?)))
            .collect();
        let entry = |(index, slot, server): &(usize, &LeafSlot, &LeafServer)| {
            slot.entry(*index, slot.start_count, "draining", server.address)
        };
        self.discovery.update(draining.iter().map(entry).collect());
        draining
            .iter()
            .map(|(_, _, server)| server.stats.clone())
            .collect()
    }

    /// Starts new leaf servers in a zone, at other addresses than before, and announces them in discovery. With `cold`,
    /// they are announced as just started.
    ///
    /// # Errors
    /// No ports are available.
    pub async fn restore_zone(&mut self, zone: usize, cold: bool) -> io::Result<()> {
        let mut entries = Vec::new();
        let in_zone = |(_, slot): &(usize, &mut LeafSlot)| slot.zone == zone;
        for (index, slot) in self.leaf_slots.iter_mut().enumerate().filter(in_zone) {
            slot.start_count += 1;
            let server = LeafServer::start(
                self.ip,
                self.config.service_time,
                self.config.leaf_concurrency,
                self.config.seed ^ (index as u64) << 32 ^ slot.start_count,
            )
            .await?;
            if slot.start_count > 1 {
                // The entry has the address of the new server, since discovery removes a server by its name.
                entries.push(slot.entry(index, slot.start_count - 1, "removed", server.address));
            }
            slot.started_ms = if cold { now_ms() } else { 0 };
            entries.push(slot.entry(index, slot.start_count, "up", server.address));
            slot.server = Some(server);
        }
        self.discovery.update(entries);
        Ok(())
    }

    /// Number of parts received by the leaf servers that are running.
    pub fn parts_received(&self) -> u64 {
        let servers = self
            .leaf_slots
            .iter()
            .filter_map(|slot| slot.server.as_ref());
        servers
            .map(|server| {
                server
                    .stats
                    .parts
                    .load(std::sync::atomic::Ordering::Relaxed)
            })
            .sum()
    }

    /// Command that runs `cottonhill ledger` with these arguments and the cluster's ledger settings.
    pub fn ledger_command(&self, arguments: &[&str]) -> Command {
        let mut command = Command::new(&self.mixer_program);
        command
            .arg("ledger")
            .args(arguments)
            .arg("--settings")
            .arg(&self.ledger_settings_file);
        command.env_remove("COTTONHILL_LOG");
        command
    }

    /// Starts the settlement process.
    ///
    /// # Errors
    /// The process can't be started.
    pub fn start_settlement(&mut self) -> io::Result<()> {
        let log = self.directory.join("ledger.log");
        self.settlement = Some(Process::start(&mut self.ledger_command(&["serve"]), &log)?);
        Ok(())
    }

    pub fn kill_settlement(&mut self) {
        self.settlement = None;
    }
}

/// Sends a GET request. Returns the status and the body, or `None` if no answer is received within 2 s.
pub async fn http_get(address: SocketAddr, path: &str) -> Option<(u16, Vec<u8>)> {
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
