//! Copy of the records of requests that crash runners in the platform's store,
//! for a fleet that loses all its processes at once.
//!
//! Leaders keep it. The first one writes it at once, the others wait to hear of
//! it, so a change usually costs one call.

use std::sync;
use std::time as std_time;

use arbutusfold_platform::store;
use tokio::time;

use crate::event;
use crate::gateway::core;
use crate::gateway::core::lock;
use crate::gateway::leader;
use crate::gateway::suspects;
use crate::suspect::ledger;

/// Table and key of the row.
const TABLE: &str = "suspects";
const KEY: &str = "ledger";

/// Largest row in bytes; the requests with the fewest crashes are left out.
const ROW_LIMIT_BYTES: usize = 32 << 10;

/// Time between two checks, as a fraction of the time limit for detecting a
/// lost dependency.
const CHECK_FRACTION: f64 = 0.25;

/// Time that a leader waits for each leader before it.
const STANDBY_DELAY: std_time::Duration = std_time::Duration::from_millis(300);

/// The row as a node last read or wrote it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredLedger {
    /// Version of the row; its number is 0 if the row is absent.
    pub version: store::RowVersion,
    /// Digest of the records that it stands for.
    pub digest: u64,
}

/// Keeps the row up to date while this node leads its domain. Never returns.
pub async fn run(core: sync::Arc<core::GatewayCore>) {
    let period = core.settings.contact_ms.mul_f64(CHECK_FRACTION);
    loop {
        // A change is written soon, anything missed at the next check.
        let changed = core.suspects_unstored.notified();
        let is_change = time::timeout(period, changed).await.is_ok();
        let Some(rank) = leader_rank(&core) else {
            continue;
        };
        if is_change {
            time::sleep(suspects::COLLECT_TIME + STANDBY_DELAY * rank).await;
        }
        if !core.is_store_lost() {
            update(&core).await;
        }
    }
}

/// Reads the row and merges its records, unless the store does not answer.
pub async fn load(core: &core::GatewayCore) -> Option<StoredLedger> {
    match read(core).await {
        Ok(known) => {
            *lock(&core.suspects_stored) = Some(known);
            Some(known)
        }
        Err(error) => {
            note_failure(core, &error);
            None
        }
    }
}

/// Returns the index of this node among the leaders, or `None` if it is none.
fn leader_rank(core: &core::GatewayCore) -> Option<u32> {
    let members = core.members.alive();
    let mut leaders = leader::leaders(&members).into_iter();
    let index = leaders.position(|record| record.name == core.settings.name)?;
    u32::try_from(index).ok()
}

/// Reads the row if this node does not know it, and writes it if it differs.
async fn update(core: &core::GatewayCore) {
    let known = *lock(&core.suspects_stored);
    let known = match known {
        Some(known) => Some(known),
        None => load(core).await,
    };
    let Some(known) = known else {
        return;
    };
    let digest = lock(&core.suspects).digest();
    if known.digest == digest {
        return;
    }
    let records = lock(&core.suspects).shared(time::Instant::now());
    let swap = store::RowSwap {
        table: TABLE.to_owned(),
        key: KEY.to_owned(),
        expected: known.version,
        value: encode(records),
    };
    match core.call_store(core.store.swap(swap)).await {
        // The number that was expected is that of another row in another era, which may
        // hold records that were not read.
        Ok(store::SwapOutcome::Written(version)) if version.era != known.version.era => {
            *lock(&core.suspects_stored) = None;
        }
        Ok(store::SwapOutcome::Written(version)) => {
            *lock(&core.suspects_stored) = Some(StoredLedger { version, digest });
            let detail = format!("written version={version}");
            core.note(event::EventCode::SuspectsStored, TABLE, detail);
            suspects::tell_stored(core, StoredLedger { version, digest });
        }
        // The next check reads the row before it writes again.
        Ok(store::SwapOutcome::Conflict) => *lock(&core.suspects_stored) = None,
        Err(error) => {
            *lock(&core.suspects_stored) = None;
            note_failure(core, &error);
        }
    }
}

/// Reads the row and merges its records into those of this node.
async fn read(core: &core::GatewayCore) -> Result<StoredLedger, store::StoreError> {
    let page = core.call_store(core.store.read(TABLE)).await?;
    let row = page.rows.iter().find(|row| row.key == KEY);
    let absent = store::RowVersion::new(page.version.era, 0);
    let version = row.map_or(absent, |row| row.version);
    let records = row.and_then(|row| postcard::from_bytes(row.value.as_deref()?).ok());
    let is_readable = row.is_none() || records.is_some();
    let records: Vec<ledger::SuspectRecord> = records.unwrap_or_default();
    let detail = format!(
        "read version={version} records={} readable={is_readable}",
        records.len()
    );
    core.note(event::EventCode::SuspectsStored, TABLE, detail);
    let now = time::Instant::now();
    let mut stored = ledger::CrashLedger::default();
    for record in &records {
        stored.merge(record, now);
    }
    suspects::merge(core, &records, suspects::RecordSource::Store);
    Ok(StoredLedger {
        version,
        digest: stored.digest(),
    })
}

fn note_failure(core: &core::GatewayCore, error: &store::StoreError) {
    core.note(
        event::EventCode::SuspectsStored,
        TABLE,
        format!("failed cause={error}"),
    );
}

/// Encodes as many records as fit into the row, those with most crashes first.
fn encode(mut records: Vec<ledger::SuspectRecord>) -> Vec<u8> {
    records.sort_by_key(|record| std::cmp::Reverse(record.crashes.len()));
    loop {
        // Records hold no type that the codec cannot encode.
        let bytes = postcard::to_stdvec(&records).unwrap_or_default();
        if bytes.len() <= ROW_LIMIT_BYTES {
            return bytes;
        }
        records.truncate(records.len() / 2);
    }
}
