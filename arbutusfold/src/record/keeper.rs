//! Driver of the record: executes the actions of its state machines through the
//! table service.

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

/// Transactions per second that the records of all nodes may commit in total.
const RECORD_WRITES_PER_SECOND: u32 = 270;

/// Initial pause between two attempts to settle a row.
const SETTLE_PAUSE: std_time::Duration = std_time::Duration::from_millis(200);

/// Maximum pause between two attempts to settle a row.
const SETTLE_PAUSE_LIMIT: std_time::Duration = std_time::Duration::from_secs(5);

/// Maximum time that an answer is held back until its record is written.
///
/// Once it is written, the caller can repeat the call on any node and gets the
/// same answer.
pub const FINISH_WAIT: std_time::Duration = std_time::Duration::from_millis(500);

/// Pause after a failed call of the table service.
const CALL_PAUSE: std_time::Duration = std_time::Duration::from_millis(50);

/// Number of unsettled rows from which new keyed calls are refused.
const SETTLE_LIMIT: usize = 10_000;

/// A final write that may continue in the background after the caller is answered.
#[derive(Debug)]
enum SettleTask {
    /// Write the answer of an attempt that ran.
    Finish {
        permit: record::DispatchPermit,
        answer: record::RecordedAnswer,
        done: oneshot::Sender<()>,
    },
    /// Release an attempt that was not dispatched.
    Release(start::StartMachine),
}

/// Key of a row to write and the conditions of the write.
#[derive(Clone, Copy, Debug)]
struct WriteTarget<'a> {
    row_key: &'a str,
    version: Option<u64>,
    deadline: Option<time::Instant>,
}

/// Receiving ends of the keeper's queues, which [`RecordKeeper::run`] takes.
struct KeeperQueues {
    writer: group::GroupWriter,
    settles: mpsc::UnboundedReceiver<SettleTask>,
}

/// An answer whose write is not confirmed yet.
struct UnconfirmedAnswer {
    digest: String,
    answer: record::RecordedAnswer,
}

/// Reads and writes the idempotency records of one node.
pub struct RecordKeeper {
    table: sync::Arc<dyn platform::TableClient>,
    recorder: sync::Arc<event::EventRecorder>,
    host: id::HostName,
    nodes: atomic::AtomicU32,
    writes: mpsc::UnboundedSender<group::GroupWrite>,
    settles: mpsc::UnboundedSender<SettleTask>,
    queues: sync::Mutex<Option<KeeperQueues>>,
    unsettled: atomic::AtomicUsize,
    answers: sync::Mutex<collections::BTreeMap<String, UnconfirmedAnswer>>,
}

impl RecordKeeper {
    /// Creates a keeper for the node on `host`. Its writes are committed only while
    /// [`RecordKeeper::run`] runs.
    pub fn new(
        table: sync::Arc<dyn platform::TableClient>,
        recorder: sync::Arc<event::EventRecorder>,
        host: id::HostName,
    ) -> Self {
        Self::with_clock(table, recorder, host, sync::Arc::new(event::unix_millis))
    }

    /// Creates a keeper like [`RecordKeeper::new`] that reads the wall time from
    /// `clock`.
    pub fn with_clock(
        table: sync::Arc<dyn platform::TableClient>,
        recorder: sync::Arc<event::EventRecorder>,
        host: id::HostName,
        clock: record::WallClock,
    ) -> Self {
        let (writes, write_queue) = mpsc::unbounded_channel();
        let (settles, settle_queue) = mpsc::unbounded_channel();
        let expiry = sweep::ExpiryWriter::new(clock);
        let writer = group::GroupWriter::new(sync::Arc::clone(&table), write_queue, expiry);
        Self {
            table,
            recorder,
            host,
            nodes: atomic::AtomicU32::new(1),
            writes,
            settles,
            queues: sync::Mutex::new(Some(KeeperQueues {
                writer,
                settles: settle_queue,
            })),
            unsettled: atomic::AtomicUsize::new(0),
            answers: sync::Mutex::default(),
        }
    }

    /// Sets the number of nodes that share the store's write rate.
    pub fn set_nodes(&self, nodes: usize) {
        let nodes = u32::try_from(nodes.max(1)).unwrap_or(u32::MAX);
        self.nodes.store(nodes, atomic::Ordering::Relaxed);
    }

    /// Returns the number of rows whose final write is not confirmed yet.
    pub fn unsettled(&self) -> usize {
        self.unsettled.load(atomic::Ordering::Relaxed)
    }

    /// Waits until all rows are settled.
    pub async fn settled(&self) {
        while self.unsettled() > 0 {
            time::sleep(CALL_PAUSE).await;
        }
    }

    /// Commits groups of writes and settles rows. The first call runs until it is
    /// dropped; later calls return at once.
    pub async fn run(&self) {
        let queues = lock(&self.queues).take();
        let Some(queues) = queues else { return };
        let period = || {
            let nodes = self.nodes.load(atomic::Ordering::Relaxed);
            std_time::Duration::from_secs(1) * nodes / RECORD_WRITES_PER_SECOND
        };
        tokio::join!(queues.writer.run(period), self.settle_all(queues.settles));
    }

    /// Starts an attempt of a call that was received at `received`, unless the key
    /// was used before.
    ///
    /// # Errors
    ///
    /// [`record::RecordError`] if the attempt must not be dispatched and there is no
    /// decision on the call.
    pub async fn start(
        &self,
        key: &record::RecordKey,
        digest: &str,
        received: time::Instant,
    ) -> Result<record::RecordDecision, record::RecordError> {
        let row_key = key.row_key();
        if let Some(decision) = self.decide_from_unconfirmed(&row_key, digest) {
            return Ok(decision);
        }
        if self.unsettled() >= SETTLE_LIMIT {
            let reason = "too many records wait for the store".to_owned();
            return Err(record::RecordError::Unknown { reason });
        }
        // Callers may choose request ids, so each attempt gets a new id of its own.
        let attempt = id::new_request_id();
        let (mut machine, action) =
            start::StartMachine::start(row_key, attempt, digest.to_owned(), received);
        let last = self.drive(&mut machine, action).await;
        self.conclude(machine, last)
    }

    /// Records that an attempt ran, with its answer.
    ///
    /// Returns when the write took effect, or after [`FINISH_WAIT`]; the write
    /// then continues in the background.
    pub async fn finish(&self, permit: record::DispatchPermit, answer: record::RecordedAnswer) {
        lock(&self.answers).insert(
            permit.row_key.clone(),
            UnconfirmedAnswer {
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
        // The caller gets its answer even if the store is unavailable.
        let _ = time::timeout(FINISH_WAIT, written).await;
    }

    /// Logs that the outcome of an attempt is not known.
    pub fn abandon(&self, permit: &record::DispatchPermit, reason: &str) {
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
    /// [`record::RecordError::NotRun`] once the release is written, or
    /// [`record::RecordError::Unknown`] if it continues in the background.
    pub async fn release(
        &self,
        permit: &record::DispatchPermit,
        reason: &str,
    ) -> Result<record::RecordDecision, record::RecordError> {
        let (mut machine, action) = start::StartMachine::release(permit, reason.to_owned());
        let last = self.drive(&mut machine, action).await;
        self.conclude(machine, last)
    }

    /// Removes records that are expired at the wall time `now_ms`.
    ///
    /// # Errors
    ///
    /// [`platform::PlatformError`] if a call of the table service fails.
    pub async fn sweep(&self, now_ms: u64) -> Result<record::SweepResult, platform::PlatformError> {
        sweep::sweep(self.table.as_ref(), now_ms).await
    }

    fn decide_from_unconfirmed(
        &self,
        row_key: &str,
        digest: &str,
    ) -> Option<record::RecordDecision> {
        let answers = lock(&self.answers);
        let unconfirmed = answers.get(row_key)?;
        Some(match unconfirmed.digest == digest {
            true => record::RecordDecision::Replay(unconfirmed.answer.clone()),
            false => record::RecordDecision::Reused,
        })
    }

    /// Executes the actions of an attempt and returns the final one.
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
            let failed = matches!(
                event,
                start::StartEvent::Failed(_)
                    | start::StartEvent::Unknown(_)
                    | start::StartEvent::ReadFailed(_)
            );
            if failed {
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
        let deadline = (row.state == record::RecordState::Started).then(|| machine.deadline());
        let target = WriteTarget {
            row_key: machine.row_key(),
            version: Some(version),
            deadline,
        };
        match self.submit(target, row).await {
            group::GroupOutcome::Committed => start::StartEvent::Committed,
            group::GroupOutcome::Conflict(versioned) => start::StartEvent::Conflict(versioned),
            group::GroupOutcome::Failed(reason) => start::StartEvent::Failed(reason),
            group::GroupOutcome::Unknown(reason) => start::StartEvent::Unknown(reason),
        }
    }

    async fn read(&self, row_key: &str) -> start::StartEvent {
        match self.table.read(record::RECORD_TABLE, row_key).await {
            Ok(Some(row)) => match group::decode(row) {
                Some(versioned) => start::StartEvent::Read(Some(versioned)),
                None => start::StartEvent::ReadFailed("the row cannot be decoded".to_owned()),
            },
            Ok(None) => start::StartEvent::Read(None),
            Err(error) => start::StartEvent::ReadFailed(error.to_string()),
        }
    }

    async fn submit(&self, target: WriteTarget<'_>, row: record::RecordRow) -> group::GroupOutcome {
        let (reply, outcome) = oneshot::channel();
        let write = group::GroupWrite {
            row_key: target.row_key.to_owned(),
            version: target.version,
            row,
            deadline: target.deadline,
            reply,
        };
        if self.writes.send(write).is_err() {
            return group::GroupOutcome::Failed("the node stops".to_owned());
        }
        // If the group was dropped, the write may have been sent.
        outcome
            .await
            .unwrap_or_else(|_| group::GroupOutcome::Unknown("the node stops".to_owned()))
    }

    fn settle_later(&self, task: SettleTask) {
        self.unsettled.fetch_add(1, atomic::Ordering::Relaxed);
        // Fails if `run` has ended. The row is then not settled and keeps its state.
        let _ = self.settles.send(task);
    }

    async fn settle_all(&self, mut tasks: mpsc::UnboundedReceiver<SettleTask>) {
        let mut running = stream::FuturesUnordered::new();
        loop {
            tokio::select! {
                task = tasks.recv() => {
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
                // Fails if `finish` stopped waiting and the caller has its answer.
                let _ = done.send(());
            }
            SettleTask::Release(machine) => self.settle_release(machine).await,
        }
    }

    async fn settle_finish(&self, permit: &record::DispatchPermit, answer: record::RecordedAnswer) {
        let row = record::RecordRow {
            attempt: permit.attempt.clone(),
            host: self.host.clone(),
            digest: permit.digest.clone(),
            state: record::RecordState::Finished(answer),
        };
        let mut pause = SETTLE_PAUSE;
        // No other attempt changes a started row before it expires, so its
        // version is not checked.
        let deadline = permit.deadline + record::RETENTION / 2;
        let target = WriteTarget {
            row_key: &permit.row_key,
            version: None,
            deadline: Some(deadline),
        };
        let mut code = event::EventCode::RecordFinished;
        while self.submit(target, row.clone()).await != group::GroupOutcome::Committed {
            if time::Instant::now() >= deadline {
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
