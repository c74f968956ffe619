//! Watches of the cluster's entries and of the manifest in the store.

use std::sync;
use std::time;

use store::Store as _;
use store::Watch as _;

use crate::cluster_entries;
use crate::instance;
use crate::platform;

/// Pause before a failed watch is restarted.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(300);
/// Maximum number of cluster entries read at once.
const CLUSTER_PAGE_ENTRIES: u32 = 500;

/// The manifest in force, decoded and encoded.
#[derive(Clone, Debug)]
pub(crate) struct ActiveManifest {
    pub(crate) encoded: sync::Arc<[u8]>,
    pub(crate) manifest: sync::Arc<jobs::Manifest>,
}

/// Keeps the cluster view up to date until the instance stops.
pub(crate) async fn watch_cluster<P: platform::Platform>(shared: sync::Arc<instance::Shared<P>>) {
    loop {
        let Err(cause) = tokio::select! {
            ended = follow_cluster(&shared) => ended,
            () = shared.store_regained.notified() => continue,
            () = shared.stop.cancelled() => return,
        };
        if cause.kind() != store::ErrorKind::Compacted {
            log::warn!(cause:% = cause; "watch of the cluster entries failed; restarting it");
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

async fn follow_cluster<P: platform::Platform>(
    shared: &instance::Shared<P>,
) -> Result<std::convert::Infallible, store::Error> {
    let store = shared.platform.store();
    let prefix = cluster_entries::CLUSTER_PREFIX;
    let page = store::read_all(store, prefix, CLUSTER_PAGE_ENTRIES).await?;
    let revision = page.revision;
    shared
        .cluster
        .send_replace(cluster_entries::build_view(page.entries, revision));
    let mut watch = store
        .watch(cluster_entries::CLUSTER_PREFIX, revision + 1)
        .await?;
    loop {
        let changes = watch.next().await?;
        shared
            .cluster
            .send_modify(|view| cluster_entries::apply_changes(view, changes));
    }
}

/// Keeps the manifest up to date until the instance stops.
pub(crate) async fn watch_manifest<P: platform::Platform>(shared: sync::Arc<instance::Shared<P>>) {
    loop {
        let Err(cause) = tokio::select! {
            ended = follow_manifest(&shared) => ended,
            () = shared.store_regained.notified() => continue,
            () = shared.stop.cancelled() => return,
        };
        if cause.kind() != store::ErrorKind::Compacted {
            log::warn!(cause:% = cause; "watch of the manifest failed; restarting it");
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

async fn follow_manifest<P: platform::Platform>(
    shared: &instance::Shared<P>,
) -> Result<std::convert::Infallible, store::Error> {
    let store = shared.platform.store();
    let key = &shared.platform.keys().manifest;
    let page = store.range(key, 1, None).await?;
    for entry in page.entries {
        if entry.key == *key {
            apply_manifest(shared, &entry.value);
        }
    }
    let mut watch = store.watch(key, page.revision + 1).await?;
    loop {
        for change in watch.next().await? {
            if let store::Change::Put(entry) = change
                && entry.key == *key
            {
                apply_manifest(shared, &entry.value);
            }
        }
    }
}

/// Puts an encoded manifest in force if its version is newer than the current one's.
pub(crate) fn apply_manifest<P: platform::Platform>(shared: &instance::Shared<P>, encoded: &[u8]) {
    let manifest = match shared.platform.decode_manifest(encoded) {
        Ok(manifest) => manifest,
        Err(cause) => {
            log::error!(cause; "manifest cannot be decoded; the previous one stays in force");
            return;
        }
    };
    let version = manifest.version;
    let applied = shared.manifest.send_if_modified(|current| {
        let is_newer = current
            .as_ref()
            .is_none_or(|active| active.manifest.version < version);
        if is_newer {
            *current = Some(ActiveManifest {
                encoded: encoded.into(),
                manifest: sync::Arc::new(manifest),
            });
        }
        is_newer
    });
    if applied {
        if let Some(active) = &*shared.manifest.borrow() {
            shared.pending_counts.retain(&active.manifest);
        }
        log::info!(version; "manifest put in force");
        shared.metrics.count("manifest.changes");
    }
}
