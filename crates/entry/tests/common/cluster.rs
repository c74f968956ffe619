//! A cluster of instance processes with in-process stand-ins of the platform.

use std::net;
use std::path;
use std::sync::atomic;
use std::time;

use store::Store as _;

use crate::common::http;
use crate::common::instance;

static CLUSTERS: atomic::AtomicU32 = atomic::AtomicU32::new(0);

pub(crate) const SECRET: &str = "test-secret";
const PLANS: &str = "[manuals]\nweight = 1\nclasses = service, batch, gang\n";

/// Most attempts to write a list.
const MAX_LIST_WRITES: usize = 5;

/// Size and settings of a test cluster.
#[derive(Clone, Debug)]
pub(crate) struct ClusterOptions {
    pub(crate) instances: usize,
    pub(crate) workers: usize,
    pub(crate) slots: u32,
    pub(crate) plans: String,
    /// Settings that replace those of the same key for every instance.
    pub(crate) settings: Vec<(&'static str, String)>,
}

impl Default for ClusterOptions {
    fn default() -> Self {
        Self {
            instances: 3,
            workers: 6,
            slots: 4,
            plans: PLANS.to_owned(),
            settings: Vec::new(),
        }
    }
}

/// A running cluster.
pub(crate) struct Cluster {
    pub(crate) store: standin::StoreServer,
    pub(crate) fleet: standin::WorkerFleet,
    pub(crate) directory: standin::DirectoryServer,
    pub(crate) instances: Vec<instance::InstanceProcess>,
    options: ClusterOptions,
    folder: path::PathBuf,
}

impl Cluster {
    /// Starts a cluster and waits until every instance is ready.
    pub(crate) async fn start(options: ClusterOptions) -> Self {
        let number = CLUSTERS.fetch_add(1, atomic::Ordering::Relaxed);
        let name = format!("ferry-test-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("temporary folder");
        std::fs::write(folder.join("secret"), SECRET).expect("secret file");
        let any: net::SocketAddr = ([127, 0, 0, 1], 0).into();
        let store = standin::StoreServer::start(any).await.expect("store");
        let fleet = standin::WorkerFleet::start(&fleet_config(&options, any))
            .await
            .expect("workers");
        let lag = time::Duration::ZERO;
        let directory = standin::DirectoryServer::start(fleet.directory_entries(), lag, any)
            .await
            .expect("directory");
        let mut cluster = Self {
            store,
            fleet,
            directory,
            instances: Vec::new(),
            options,
            folder,
        };
        cluster
            .write_list("/ferry/lists/customers", &customers())
            .await;
        let plans = cluster.options.plans.clone();
        cluster.write_list("/ferry/lists/plans", &plans).await;
        for index in 0..cluster.options.instances {
            cluster.add_instance(&format!("almaty-{}", index + 1));
        }
        cluster.wait_until_ready().await;
        cluster
    }

    /// Starts one more instance and adds it to the list of machines.
    pub(crate) fn add_instance(&mut self, name: &str) {
        self.add_instance_with(name, &[]);
    }

    /// Starts one more instance with additional settings, and adds it to the list of machines.
    pub(crate) fn add_instance_with(&mut self, name: &str, own: &[(&'static str, String)]) {
        let settings = self.folder.join(format!("{name}.ini"));
        std::fs::write(&settings, self.settings(name, own)).expect("settings file");
        let started = instance::InstanceProcess::start(name, &settings);
        self.directory.put(model::DirectoryEntry {
            id: name.into(),
            role: model::Role::Instance,
            address: started.peers.to_string(),
            location: location(),
            state: model::EntryState::Live,
        });
        self.instances.push(started);
    }

    /// Waits until every instance is ready.
    pub(crate) async fn wait_until_ready(&self) {
        for instance in &self.instances {
            let address = instance.callers;
            crate::common::wait_until("readiness", || async move {
                let answer = http::request(address, "GET", "/readyz", "", "").await;
                answer.status == 200
            })
            .await;
        }
    }

    /// Writes one list to the store unconditionally; again if no reply comes in time, as on a machine that is
    /// short of processor time.
    pub(crate) async fn write_list(&self, key: &str, text: &str) {
        let client = store::Etcd::builder()
            .addresses([self.store.address().to_string()])
            .build();
        let put = store::Put {
            key: key.to_owned(),
            value: text.as_bytes().to_vec(),
            lease_id: None,
        };
        let txn = store::Txn {
            puts: vec![put],
            ..store::Txn::default()
        };
        for _ in 1..MAX_LIST_WRITES {
            if client.commit(txn.clone()).await.is_ok() {
                return;
            }
        }
        client.commit(txn).await.expect("list written");
    }

    /// Submits a task at the instance with this index.
    pub(crate) async fn submit(&self, index: usize, body: &str) -> http::Answer {
        let address = self.instances[index].callers;
        http::request(address, "POST", "/v1/tasks", http::TOKEN, body).await
    }

    /// Returns the callers' addresses of the instances.
    pub(crate) fn callers(&self) -> Vec<net::SocketAddr> {
        let instances = self.instances.iter();
        instances.map(|instance| instance.callers).collect()
    }

    /// Returns a numeric field of an instance's status; 0 if the instance does not answer.
    pub(crate) async fn status_number(&self, index: usize, field: &str) -> u64 {
        self.status(index).await[field].as_u64().unwrap_or_default()
    }

    /// Waits until one of the instances in `indexes` holds a worker; returns its index.
    pub(crate) async fn wait_for_holder(&self, indexes: &[usize]) -> usize {
        loop {
            for index in indexes {
                if self.status_number(*index, "workers_held").await > 0 {
                    return *index;
                }
            }
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    }

    /// Returns the operator status of the instance with this index.
    pub(crate) async fn status(&self, index: usize) -> serde_json::Value {
        let address = self.instances[index].callers;
        let answer = http::request(address, "GET", "/v1/operator/status", SECRET, "").await;
        answer.body
    }

    fn settings(&self, name: &str, own: &[(&'static str, String)]) -> String {
        let example = include_str!("../../../../examples/nusqa/entry.ini");
        let secret = self.folder.join("secret").display().to_string();
        let mut changes = vec![
            ("name", name.to_owned()),
            ("callers_address", "127.0.0.1:0".to_owned()),
            ("peer_address", "127.0.0.1:0".to_owned()),
            ("secret_file", secret),
            ("store_addresses", self.store.address().to_string()),
            ("directory_address", self.directory.address().to_string()),
            ("store_timeout_ms", "500".to_owned()),
            ("directory_poll_ms", "100".to_owned()),
            ("ttl_ms", "1000".to_owned()),
            ("grace_ms", "1000".to_owned()),
            ("margin_ms", "250".to_owned()),
            ("renew_every_ms", "250".to_owned()),
            ("heartbeat_ms", "100".to_owned()),
            ("deadline_ms", "500".to_owned()),
            ("dead_after_ms", "800".to_owned()),
        ];
        changes.extend(self.options.settings.iter().cloned());
        changes.extend(own.iter().cloned());
        let mut section = "";
        let lines = example.lines().map(|line| {
            if line.starts_with('[') {
                section = line;
            }
            let key = line.split(" =").next().unwrap_or_default();
            let cluster_name = section == "[cluster]" && key == "name";
            let metrics = section == "[metrics]" && key == "address";
            let change = changes.iter().rev().find(|(changed, _)| *changed == key);
            match change {
                _ if metrics => String::new(),
                Some((_, value)) if !cluster_name => format!("{key} = {value}"),
                _ => line.to_owned(),
            }
        });
        lines.collect::<Vec<_>>().join("\n")
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn location() -> model::Location {
    model::Location {
        region: "almaty".into(),
        data_centre: "almaty-a".into(),
        rack: "".into(),
    }
}

fn fleet_config(options: &ClusterOptions, address: net::SocketAddr) -> standin::FleetConfig {
    let capacity = model::WorkerCapacity {
        resources: model::Demand {
            processors_milli: 8000,
            memory_mb: 8192,
            accelerators: 0,
        },
        slots: options.slots,
        connections: 64,
    };
    standin::FleetConfig {
        count: options.workers,
        workers_per_rack: 2,
        data_centres: vec![location()],
        worker: standin::WorkerConfig::new("", location()).capacity(capacity),
        first_address: address,
    }
}

fn customers() -> String {
    use sha2::Digest as _;

    let digest = sha2::Sha256::digest(http::TOKEN);
    let hex: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    format!("[press]\nplan = manuals\nregion = almaty\ntoken_sha256 = {hex}\n")
}
