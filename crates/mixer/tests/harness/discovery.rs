//! Endpoint updates of discovery.

use super::{address, Harness, MS};
use cottonhill_decisions::Nanos;
use cottonhill_mixer::protocol::endpoint_updates::EndpointUpdate;
use cottonhill_mixer::reducer::Input;

/// One entry of an endpoint update.
#[derive(Clone, Copy, Debug)]
pub struct ListedEndpoint<'a> {
    pub replica: u64,
    /// The status as written on the wire.
    pub status: &'a str,
    pub started: Nanos,
}

/// An entry of a replica that started long ago.
pub fn listed(replica: u64, status: &str) -> ListedEndpoint<'_> {
    ListedEndpoint {
        replica,
        status,
        started: 0,
    }
}

/// The last announced status of an address.
pub(super) struct AnnouncedStatus {
    pub(super) status: String,
    pub(super) since: Nanos,
}

impl AnnouncedStatus {
    pub(super) fn is_up(&self) -> bool {
        self.status == "up"
    }
}

pub(super) fn endpoint_update(
    version: u64,
    snapshot: bool,
    endpoints: &[ListedEndpoint],
) -> EndpointUpdate {
    let entry = |endpoint: &ListedEndpoint| {
        serde_json::json!({
            "name": format!("s-{}", endpoint.replica),
            "address": address(endpoint.replica),
            "zone": "north",
            "type": "m",
            "group": 0,
            "status": endpoint.status,
            "weight": 1.0,
            "since_ms": endpoint.started / MS,
        })
    };
    let entries = endpoints.iter().map(entry).collect();
    update_from_json(version, snapshot, entries)
}

pub(super) fn update_from_json(
    version: u64,
    snapshot: bool,
    entries: Vec<serde_json::Value>,
) -> EndpointUpdate {
    let update = serde_json::json!({
        "index": version,
        "snapshot": snapshot,
        "endpoints": entries,
    });
    serde_json::from_value(update).expect("a well-formed update")
}

impl Harness {
    /// Records the announced status of an address, against which connections and frames are checked.
    pub fn announce_status(&mut self, address: &str, status: &str) {
        let not_up = self
            .announced
            .get_mut(address)
            .filter(|announced| !announced.is_up() && status != "up");
        if let Some(announced) = not_up {
            announced.status = status.to_string();
            return;
        }
        let announced = AnnouncedStatus {
            status: status.to_string(),
            since: self.now,
        };
        self.announced.insert(address.to_string(), announced);
    }

    /// Applies a delta with one endpoint that started long ago.
    pub fn update_endpoint(&mut self, replica: u64, status: &str) {
        self.update_listed_endpoint(listed(replica, status));
    }

    /// Applies a delta with one endpoint that has just started.
    pub fn update_started_endpoint(&mut self, replica: u64, status: &str) {
        let started = self.now;
        self.update_listed_endpoint(ListedEndpoint {
            started,
            ..listed(replica, status)
        });
    }

    fn update_listed_endpoint(&mut self, endpoint: ListedEndpoint) {
        self.announce_status(&address(endpoint.replica), endpoint.status);
        self.send_delta(&[endpoint]);
    }

    /// Applies a delta without recording the status of its endpoints.
    pub fn send_delta(&mut self, endpoints: &[ListedEndpoint]) {
        self.send_update(false, endpoints);
    }

    /// Applies a snapshot without recording the status of its endpoints.
    pub fn send_snapshot(&mut self, endpoints: &[ListedEndpoint]) {
        self.send_update(true, endpoints);
    }

    pub fn send_update(&mut self, snapshot: bool, endpoints: &[ListedEndpoint]) {
        let update = self.next_update(snapshot, endpoints);
        self.apply_update(update);
    }

    /// Applies an update that the current watch has received.
    pub fn apply_update(&mut self, update: EndpointUpdate) {
        let input = self.update_input(update);
        self.apply(input);
    }

    /// The input of an update that the current watch has received.
    pub fn update_input(&self, update: EndpointUpdate) -> Input {
        let watch = self.watch;
        Input::EndpointsUpdated { watch, update }
    }

    /// An update of the next version; the caller applies it.
    pub fn next_update(&mut self, snapshot: bool, endpoints: &[ListedEndpoint]) -> EndpointUpdate {
        self.list_version += 1;
        endpoint_update(self.list_version, snapshot, endpoints)
    }

    /// Applies a delta that lists a replica as up at the address of another replica number.
    pub fn move_endpoint(&mut self, replica: u64, new_number: u64) {
        for old_number in [replica, replica + 1000] {
            if self.announced.contains_key(&address(old_number)) {
                self.announce_status(&address(old_number), "left");
            }
        }
        self.announce_status(&address(new_number), "up");
        self.list_version += 1;
        let entry = serde_json::json!({
            "name": format!("s-{replica}"),
            "address": address(new_number),
            "zone": "north",
            "group": 0,
            "status": "up",
            "since_ms": 0,
        });
        self.apply_update(update_from_json(self.list_version, false, vec![entry]));
    }

    /// Reloads the configuration with another discovery address.
    pub fn switch_discovery(&mut self) {
        self.apply(discovery_switched());
    }
}

pub fn discovery_switched() -> Input {
    Input::ConfigReloaded {
        discovery: Some("127.0.0.1:8501".parse().unwrap()),
    }
}
