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
/// Longest time that the store waits for a change of the manifest in one call.
const POLL_WAIT: time::Duration = time::Duration::from_millis(3_000);
/// Longest time that the store waits for a change of a manifest with API keys in one call. Each reply
/// confirms the keys; with the time until a silent connection is noticed and the manifest is read on
/// another one, a change is in force well within the required 4 s.
const KEYS_POLL_WAIT: time::Duration = time::Duration::from_millis(1_000);
/// Time after which an unanswered read of the manifest is repeated in parallel: the connection may be
/// dead.
const HEDGE_DELAY: time::Duration = time::Duration::from_millis(500);
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
        shared.confirmation.report_store_failure();
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
    let asked_at = time::Instant::now();
    let page = read_manifest(store, key).await?;
    for entry in page.entries {
        if entry.key == *key {
            apply_manifest(shared, &entry.value);
        }
    }
    shared.confirmation.confirm(asked_at);
    let mut watch = store.watch(key, page.revision + 1).await?;
    loop {
        let asked_at = time::Instant::now();
        let wait = if shared.has_tenants() {
            KEYS_POLL_WAIT
        } else {
            POLL_WAIT
        };
        for change in watch.next_within(wait).await? {
            if let store::Change::Put(entry) = change
                && entry.key == *key
            {
                apply_manifest(shared, &entry.value);
            }
        }
        shared.confirmation.confirm(asked_at);
    }
}

/// Reads the manifest, and repeats an unanswered call on another connection.
async fn read_manifest<S: store::Store>(store: &S, key: &str) -> Result<store::Page, store::Error> {
    let mut attempts = store::Hedged::default();
    loop {
        let (store, key) = (store.clone(), key.to_owned());
        attempts.start(async move { store.range(&key, 1, None).await });
        tokio::select! {
            reply = attempts.next_reply() => return reply,
            () = tokio::time::sleep(HEDGE_DELAY) => {}
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
