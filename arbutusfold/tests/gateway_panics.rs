//! A panic is counted and recorded, and fails only what its task was doing.

#![allow(clippy::unwrap_used)]

use std::sync;
use std::sync::atomic;
use std::time;

use arbutusfold::event;
use arbutusfold::gateway::{core, panics, settings};

fn core() -> sync::Arc<core::GatewayCore> {
    let text = r#"{"name": "front-1", "region": "r", "domain": "a",
        "callers": "10.0.0.1:1", "ready": "10.0.0.1:2", "directory": "10.0.0.1:3",
        "peers": "10.0.0.1:4", "metrics": "10.0.0.1:5", "store": "10.0.0.1:6",
        "peer_keys": ["00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"]}"#;
    let settings = settings::parse_file("node.jsonc", text).unwrap();
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    sync::Arc::new(core::GatewayCore::new(settings, logger))
}

/// The hook belongs to the process, so the tests run one after the other.
static HOOK: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

fn panic_in_thread(message: &'static str) {
    let thread = std::thread::spawn(move || std::panic::panic_any(message));
    assert!(thread.join().is_err());
}

/// Guards against connections and tasks that end without a trace.
#[test]
fn panic_is_counted_and_recorded() {
    let _alone = HOOK.blocking_lock();
    let core = core();
    panics::install(&core.panics);
    panic_in_thread("lost");
    let waiting = core.panics.take();
    assert_eq!(waiting.len(), 1);
    assert_eq!(waiting[0].message, "lost");
    let text = core.metrics.render();
    assert!(text.contains("arbutusfold_panics_total 1\n"), "{text}");
    panic_in_thread("lost");
    panics::record(&core);
    let recorded = core.recorder.about(&waiting[0].location);
    assert_eq!(recorded.len(), 1);
    assert_eq!(recorded[0].number, event::EventCode::TaskPanicked.number());
    assert_eq!(recorded[0].detail, "lost");
}

/// Guards against a record of panics that grows without bound.
#[test]
fn many_panics_are_counted_and_few_are_kept() {
    let _alone = HOOK.blocking_lock();
    let core = core();
    panics::install(&core.panics);
    for _ in 0..100 {
        panic_in_thread("again");
    }
    let text = core.metrics.render();
    assert!(text.contains("arbutusfold_panics_total 100\n"), "{text}");
    assert!(core.panics.take().len() <= 16);
}

/// Guards against a request whose caller gets neither an answer nor a refusal,
/// since the handler panicked; the failure claims nothing about a run.
#[tokio::test]
async fn request_whose_handler_panics_is_answered() {
    let _alone = HOOK.lock().await;
    let answer = panics::answer(async { panic!("in the handler") });
    let answer = answer.await.unwrap();
    assert_eq!(answer.status(), http::StatusCode::INTERNAL_SERVER_ERROR);
    assert!(!answer.headers().contains_key(http::header::RETRY_AFTER));
}

/// Guards against a node that goes on without the task that follows the store,
/// watches the runners or compares the records.
#[tokio::test(start_paused = true)]
async fn background_task_that_panics_is_started_again() {
    let _alone = HOOK.lock().await;
    let starts = sync::Arc::new(atomic::AtomicUsize::new(0));
    let counted = sync::Arc::clone(&starts);
    let task = panics::spawn(&core(), move |_| {
        let start = counted.fetch_add(1, atomic::Ordering::SeqCst);
        async move {
            assert!(start >= 2, "start {start}");
        }
    });
    let ended = tokio::time::timeout(time::Duration::from_secs(10), task).await;
    ended.unwrap().unwrap();
    assert_eq!(starts.load(atomic::Ordering::SeqCst), 3);
}

/// Guards against one message that ends the loop of the membership.
#[test]
fn work_that_panics_is_contained() {
    let _alone = HOOK.blocking_lock();
    panics::contain(|| panic!("in a message"));
}
