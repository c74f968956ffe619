//! Clients of the external services that an instance uses.

/// Clients of the key-value service, the workers and the list of machines.
pub trait Platform: Clone + Send + Sync + 'static {
    /// Client of the key-value service.
    type Store: store::Store;
    /// Client of workers.
    type Workers: worker::WorkerApi;
    /// Client of the list of machines.
    type Directory: worker::Directory;

    /// Returns the client of the key-value service.
    fn store(&self) -> &Self::Store;

    /// Returns the client of workers.
    fn workers(&self) -> &Self::Workers;

    /// Returns the client of the list of machines.
    fn directory(&self) -> &Self::Directory;

    /// Returns the calls to workers and the bytes exchanged with them so far.
    fn worker_traffic(&self) -> worker::Traffic;

    /// Returns the number of calls to the key-value service so far.
    fn store_call_counts(&self) -> store::CallCounts;
}

/// Clients that reach the platform over the network.
#[derive(Clone)]
pub struct NetworkPlatform {
    store: store::Etcd,
    workers: worker::HttpWorkers,
    directory: worker::HttpDirectory,
}

impl NetworkPlatform {
    /// Creates the clients for the addresses in `settings`; connects to none of them yet.
    #[must_use]
    pub fn new(settings: &settings::Entry) -> Self {
        let platform = &settings.platform;
        let addresses = platform.store_addresses.iter().map(ToString::to_string);
        let store = store::Etcd::builder()
            .addresses(addresses)
            .timeout(platform.store_timeout)
            .build();
        let workers = worker::HttpWorkers::builder()
            .connections(settings.workers.connections_per_worker)
            .build();
        let directory = worker::HttpDirectory::new(
            platform.directory_address.to_string(),
            platform.store_timeout,
        );
        Self {
            store,
            workers,
            directory,
        }
    }
}

impl Platform for NetworkPlatform {
    type Store = store::Etcd;
    type Workers = worker::HttpWorkers;
    type Directory = worker::HttpDirectory;

    fn store(&self) -> &Self::Store {
        &self.store
    }

    fn workers(&self) -> &Self::Workers {
        &self.workers
    }

    fn directory(&self) -> &Self::Directory {
        &self.directory
    }

    fn worker_traffic(&self) -> worker::Traffic {
        self.workers.traffic()
    }

    fn store_call_counts(&self) -> store::CallCounts {
        self.store.call_counts()
    }
}
