//! The record's shell: carries out the steps through the table service.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time as std_time;

use futures_util::stream;
use futures_util::stream::StreamExt;
use tokio::sync::{mpsc, oneshot};
use tokio::time;

use crate::event;
use crate::id;
use crate::platform;
use crate::record;
use crate::record::{group, start, sweep};

/// Transactions a second that the records of all nodes may write together.
const RECORD_WRITES_PER_SECOND: u32 = 270;

/// Shortest pause between two tries to settle a row.
const SETTLE_PAUSE: std_time::Duration = std_time::Duration::from_millis(200);

/// Longest pause between two tries to settle a row.
const SETTLE_PAUSE_LIMIT: std_time::Duration = std_time::Duration::from_secs(5);

/// Longest time that an answer waits for its record.
///
/// A caller that has the answer may then resend anywhere and gets it again.
pub const FINISH_WAIT: std_time::Duration = std_time::Duration::from_millis(500);

/// Pause after a call that gave no answer.
const CALL_PAUSE: std_time::Duration = std_time::Duration::from_millis(50);

/// Rows that may wait to be settled before marked requests are refused.
const SETTLE_LIMIT: usize = 10_000;

/// Work that goes on after the caller was answered.
#[derive(Debug)]
enum SettleTask {
    /// Write the answer of an attempt that ran.
    Finish {
        permit: record::RunPermit,
        answer: record::RecordedAnswer,
        done: oneshot::Sender<()>,
    },
    /// Release an attempt that was not dispatched.
    Release(start::StartMachine),
}

/// Where and under which conditions a row is written.
#[derive(Clone, Copy, Debug)]
struct WriteOrder<'a> {
    row_key: &'a str,
    version: Option<u64>,
    until: Option<time::Instant>,
}

/// The ends of the keeper's queues that its loop takes.
struct KeeperLoop {
    writer: group::GroupWriter,
    settles: mpsc::UnboundedReceiver<SettleTask>,
}

/// An answer whose write is not known to have taken effect.
struct HeldAnswer {
    digest: String,
    answer: record::RecordedAnswer,
}

/// Keeps the record through the table service.
pub struct RecordKeeper {
    table: sync::Arc<dyn platform::TableClient>,
    recorder: sync::Arc<event::EventRecorder>,
    host: id::HostName,
    nodes: atomic::AtomicU32,
    writes: mpsc::UnboundedSender<group::GroupWrite>,
    settles: mpsc::UnboundedSender<SettleTask>,
    ends: sync::Mutex<Option<KeeperLoop>>,
    unsettled: atomic::AtomicUsize,
    answers: sync::Mutex<collections::BTreeMap<String, HeldAnswer>>,
}

impl RecordKeeper {
    /// Creates a keeper for the node on `host`; [`RecordKeeper::run`] must run beside it.
    pub fn new(
        table: sync::Arc<dyn platform::TableClient>,
        recorder: sync::Arc<event::EventRecorder>,
        host: id::HostName,
    ) -> Self {
        Self::with_clock(table, recorder, host, sync::Arc::new(event::unix_millis))
    }

    /// Creates a keeper that takes the wall time in milliseconds from `clock`.
    pub fn with_clock(
        table: sync::Arc<dyn platform::TableClient>,
        recorder: sync::Arc<event::EventRecorder>,
        host: id::HostName,
        clock: record::WallClock,
    ) -> Self {
        let (writes, received) = mpsc::unbounded_channel();
        let (settles, settle_queue) = mpsc::unbounded_channel();
        let expiry = sweep::ExpiryWriter::new(clock);
        let writer = group::GroupWriter::new(sync::Arc::clone(&table), received, expiry);
        Self {
            table,
            recorder,
            host,
            nodes: atomic::AtomicU32::new(1),
            writes,
            settles,
            ends: sync::Mutex::new(Some(KeeperLoop {
                writer,
                settles: settle_queue,
            })),
            unsettled: atomic::AtomicUsize::new(0),
            answers: sync::Mutex::default(),
        }
    }

    /// Sets the number of nodes that share the store's rate.
    pub fn set_nodes(&self, nodes: usize) {
        let nodes = u32::try_from(nodes.max(1)).unwrap_or(u32::MAX);
        self.nodes.store(nodes, atomic::Ordering::Relaxed);
    }

    /// Returns the number of rows that are still to be settled.
    pub fn unsettled(&self) -> usize {
        self.unsettled.load(atomic::Ordering::Relaxed)
    }

    /// Waits until every row is settled.
    pub async fn settled(&self) {
        while self.unsettled() > 0 {
            time::sleep(CALL_PAUSE).await;
        }
    }

    /// Writes groups and settles rows; the first call runs until dropped, others end at once.
    pub async fn run(&self) {
        let ends = lock(&self.ends).take();
        let Some(ends) = ends else { return };
        let period = || {
            let nodes = self.nodes.load(atomic::Ordering::Relaxed);
            std_time::Duration::from_secs(1) * nodes / RECORD_WRITES_PER_SECOND
        };
        tokio::join!(ends.writer.run(period), self.settle_all(ends.settles));
    }

    /// Starts an attempt that was received at `received`, unless the key was used before.
    ///
    /// # Errors
    ///
    /// [`record::RecordError`] when the attempt must not be dispatched.
    pub async fn start(
        &self,
        key: &record::RecordKey,
        digest: &str,
        received: time::Instant,
    ) -> Result<record::RecordDecision, record::RecordError> {
        let row_key = key.row_key();
        if let Some(decision) = self.held_decision(&row_key, digest) {
            return Ok(decision);
        }
        if self.unsettled() >= SETTLE_LIMIT {
            let reason = "too many records wait for the store".to_owned();
            return Err(record::RecordError::Unknown { reason });
        }
        // Callers may choose request ids, so an attempt draws its own.
        let attempt = id::fresh_request();
        let (mut machine, action) =
            start::StartMachine::start(row_key, attempt, digest.to_owned(), received);
        let last = self.drive(&mut machine, action).await;
        self.conclude(machine, last)
    }

    /// Records that an attempt ran, with its answer.
    ///
    /// Returns when the write took effect or [`FINISH_WAIT`] is over; then it
    /// goes on in the background.
    pub async fn finish(&self, permit: record::RunPermit, answer: record::RecordedAnswer) {
        lock(&self.answers).insert(
            permit.row_key.clone(),
            HeldAnswer {
                digest: permit.digest.clone(),
                answer: answer.clone(),
            },
        );
        let (done, written) = oneshot::channel();
        self.settle_later(SettleTask::Finish {
            permit,
            answer,
            done,
        });
        // The caller has its answer even if the store is out.
        let _ = time::timeout(FINISH_WAIT, written).await;
    }

    /// Records that the outcome of an attempt is not known.
    pub fn abandon(&self, permit: &record::RunPermit, reason: &str) {
        self.recorder.record(
            event::EventCode::RecordUnknown,
            &permit.row_key,
            format!("{}: {reason}", permit.attempt),
        );
    }

    /// Releases an attempt of which nothing reached an upstream.
    ///
    /// # Errors
    ///
    /// [`record::RecordError::NotRun`] once the release is written, otherwise
    /// [`record::RecordError::Unknown`] while it goes on in the background.
    pub async fn release(
        &self,
        permit: &record::RunPermit,
        reason: &str,
    ) -> Result<record::RecordDecision, record::RecordError> {
        let (mut machine, action) = start::StartMachine::release(permit, reason.to_owned());
        let last = self.drive(&mut machine, action).await;
        self.conclude(machine, last)
    }

    /// Removes rows whose time is over at the wall time `now_ms`.
    ///
    /// # Errors
    ///
    /// [`platform::PlatformError`] when the store gave no answer.
    pub async fn sweep(&self, now_ms: u64) -> Result<record::SweepResult, platform::PlatformError> {
        sweep::sweep(self.table.as_ref(), now_ms).await
    }

    fn held_decision(&self, row_key: &str, digest: &str) -> Option<record::RecordDecision> {
        let answers = lock(&self.answers);
        let held = answers.get(row_key)?;
        Some(match held.digest == digest {
            true => record::RecordDecision::Replay(held.answer.clone()),
            false => record::RecordDecision::Reused,
        })
    }

    /// Carries out the steps of an attempt up to its last one.
    async fn drive(
        &self,
        machine: &mut start::StartMachine,
        mut action: start::StartAction,
    ) -> start::StartAction {
        loop {
            let event = match action {
                start::StartAction::Commit { version, state } => {
                    self.write(machine, version, state).await
                }
                start::StartAction::Read => self.read(machine.row_key()).await,
                last => return last,
            };
            let silent = matches!(
                event,
                start::StartEvent::Failed(_)
                    | start::StartEvent::Unknown(_)
                    | start::StartEvent::Unseen(_)
            );
            if silent {
                time::sleep(CALL_PAUSE).await;
            }
            action = machine.next(event, time::Instant::now());
        }
    }

    fn conclude(
        &self,
        machine: start::StartMachine,
        last: start::StartAction,
    ) -> Result<record::RecordDecision, record::RecordError> {
        let subject = machine.row_key().to_owned();
        let attempt = machine.attempt().to_owned();
        match last {
            start::StartAction::Decide(decision) => {
                let code = match &decision {
                    record::RecordDecision::Run(_) => event::EventCode::RecordStarted,
                    record::RecordDecision::Replay(_) => event::EventCode::RecordReplayed,
                    record::RecordDecision::Reused => event::EventCode::RecordReused,
                    record::RecordDecision::Pending => event::EventCode::RecordUnknown,
                };
                self.recorder.record(code, &subject, attempt);
                Ok(decision)
            }
            start::StartAction::NotRun(reason) => {
                let detail = format!("{attempt}: {reason}");
                self.recorder
                    .record(event::EventCode::RecordReleased, &subject, detail);
                Err(record::RecordError::NotRun { reason })
            }
            start::StartAction::GiveUp(reason) => {
                let detail = format!("{attempt}: {reason}");
                self.recorder
                    .record(event::EventCode::RecordUnknown, &subject, detail);
                if machine.needs_settling() {
                    self.settle_later(SettleTask::Release(machine));
                }
                Err(record::RecordError::Unknown { reason })
            }
            start::StartAction::Commit { .. } | start::StartAction::Read => {
                let reason = "the attempt was not decided".to_owned();
                Err(record::RecordError::Unknown { reason })
            }
        }
    }

    async fn write(
        &self,
        machine: &start::StartMachine,
        version: u64,
        state: record::RecordState,
    ) -> start::StartEvent {
        let row = record::RecordRow {
            attempt: machine.attempt().to_owned(),
            host: self.host.clone(),
            digest: machine.digest().to_owned(),
            state,
        };
        let until = (row.state == record::RecordState::Started).then(|| machine.until());
        let write = WriteOrder {
            row_key: machine.row_key(),
            version: Some(version),
            until,
        };
        match self.submit(write, row).await {
            group::GroupOutcome::Committed => start::StartEvent::Committed,
            group::GroupOutcome::Conflict(seen) => start::StartEvent::Conflict(seen),
            group::GroupOutcome::Failed(reason) => start::StartEvent::Failed(reason),
            group::GroupOutcome::Unknown(reason) => start::StartEvent::Unknown(reason),
        }
    }

    async fn read(&self, row_key: &str) -> start::StartEvent {
        match self.table.read(record::RECORD_TABLE, row_key).await {
            Ok(Some(row)) => match group::decode(row) {
                Some(seen) => start::StartEvent::Seen(Some(seen)),
                None => start::StartEvent::Unseen("the row cannot be decoded".to_owned()),
            },
            Ok(None) => start::StartEvent::Seen(None),
            Err(error) => start::StartEvent::Unseen(error.to_string()),
        }
    }

    async fn submit(&self, order: WriteOrder<'_>, row: record::RecordRow) -> group::GroupOutcome {
        let (reply, outcome) = oneshot::channel();
        let write = group::GroupWrite {
            row_key: order.row_key.to_owned(),
            version: order.version,
            row,
            until: order.until,
            reply,
        };
        if self.writes.send(write).is_err() {
            return group::GroupOutcome::Failed("the node stops".to_owned());
        }
        // A write whose group was dropped may have been sent.
        outcome
            .await
            .unwrap_or_else(|_| group::GroupOutcome::Unknown("the node stops".to_owned()))
    }

    fn settle_later(&self, task: SettleTask) {
        self.unsettled.fetch_add(1, atomic::Ordering::Relaxed);
        // Without the loop nothing is settled; the row stays as it is.
        let _ = self.settles.send(task);
    }

    async fn settle_all(&self, mut received: mpsc::UnboundedReceiver<SettleTask>) {
        let mut running = stream::FuturesUnordered::new();
        loop {
            tokio::select! {
                task = received.recv() => {
                    let Some(task) = task else { return };
                    running.push(self.settle(task));
                }
                Some(()) = running.next() => {
                    self.unsettled.fetch_sub(1, atomic::Ordering::Relaxed);
                }
            }
        }
    }

    async fn settle(&self, task: SettleTask) {
        match task {
            SettleTask::Finish {
                permit,
                answer,
                done,
            } => {
                self.settle_finish(&permit, answer).await;
                // The caller may have been answered already.
                let _ = done.send(());
            }
            SettleTask::Release(machine) => self.settle_release(machine).await,
        }
    }

    async fn settle_finish(&self, permit: &record::RunPermit, answer: record::RecordedAnswer) {
        let row = record::RecordRow {
            attempt: permit.attempt.clone(),
            host: self.host.clone(),
            digest: permit.digest.clone(),
            state: record::RecordState::Finished(answer),
        };
        let mut pause = SETTLE_PAUSE;
        // No other attempt changes a started row while it is kept, so its
        // version is not checked.
        let until = permit.until + record::RETENTION / 2;
        let order = WriteOrder {
            row_key: &permit.row_key,
            version: None,
            until: Some(until),
        };
        let mut code = event::EventCode::RecordFinished;
        while self.submit(order, row.clone()).await != group::GroupOutcome::Committed {
            if time::Instant::now() >= until {
                code = event::EventCode::RecordUnknown;
                break;
            }
            time::sleep(pause).await;
            pause = SETTLE_PAUSE_LIMIT.min(pause * 2);
        }
        lock(&self.answers).remove(&permit.row_key);
        self.recorder
            .record(code, &permit.row_key, permit.attempt.as_str());
    }

    async fn settle_release(&self, mut machine: start::StartMachine) {
        let mut pause = SETTLE_PAUSE;
        loop {
            time::sleep(pause).await;
            let action = machine.settle();
            let last = self.drive(&mut machine, action).await;
            if !matches!(last, start::StartAction::GiveUp(_)) {
                let detail = machine.attempt().to_owned();
                self.recorder
                    .record(event::EventCode::RecordReleased, machine.row_key(), detail);
                return;
            }
            pause = SETTLE_PAUSE_LIMIT.min(pause * 2);
        }
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
