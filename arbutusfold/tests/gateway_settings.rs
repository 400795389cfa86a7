//! Settings of a gateway, and the addresses that callers get.

#![allow(clippy::unwrap_used)]

mod gateway_fixture;

use arbutusfold::gateway::{core, descriptors, entry, memory, settings};
use arbutusfold::member;
use gateway_fixture::record;

const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

fn text(extra: &str) -> String {
    format!(
        r#"{{
        // Filled in from the platform's template.
        "name": "front-a-1", "region": "r", "domain": "a",
        "callers": "10.0.0.1:1", "ready": "10.0.0.1:2", "directory": "10.0.0.1:3",
        "peers": "10.0.0.1:4", "metrics": "10.0.0.1:5", "store": "10.9.0.1:6",
        "seeds": ["10.0.0.1:4", "10.0.0.2:4"], "peer_keys": ["{KEY}"],
        {extra}
    }}"#
    )
}

#[test]
fn template_in_use_gives_good_settings() {
    let given = r#""contact_ms": 3000, "stop_limit_s": 8.5, "retry_share": 0.2,
        "retry_extra": 198, "retry_window_s": 10,"#;
    let parsed = settings::parse_file("test", &text(given)).unwrap();
    assert_eq!(parsed.stop_limit_s.as_millis(), 8_500);
    assert_eq!((parsed.retry_share, parsed.retry_extra), (0.2, 198.0));
    let parsed = settings::parse_file("test", &text("")).unwrap();
    assert_eq!(parsed.contact_ms.as_millis(), 3_000);
}

/// Without the setting nothing bounds the memory of callers.
#[test]
fn memory_of_callers_is_bounded_where_the_settings_say_so() {
    let parsed = settings::parse_file("test", &text("")).unwrap();
    assert_eq!(parsed.memory_mb, None);
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    assert!(
        core::GatewayCore::new(parsed, logger.clone())
            .memory
            .is_none()
    );

    let parsed = settings::parse_file("test", &text(r#""memory_mb": 112,"#)).unwrap();
    let account = core::GatewayCore::new(parsed, logger).memory.unwrap();
    // A body of the longest legal size fits.
    assert!(account.largest() > 5 << 20);
    assert!(account.largest() < 112 << 18);
    assert!(memory::caller_connections(112) * (24 << 10) < 112 << 19);
    assert!(settings::parse_file("test", &text(r#""memory_mb": 8,"#)).is_err());
}

#[test]
fn every_fault_is_named_with_its_place() {
    let bad = text(r#""retry_share": "much", "stop_limit_s": -1, "colour": 3,"#)
        .replace("10.9.0.1:6", "the store")
        .replace("10.0.0.1:3", "10.0.0.1:2");
    let error = settings::parse_file("gateway.jsonc", &bad)
        .unwrap_err()
        .to_string();
    for part in [
        "retry_share",
        "stop_limit_s",
        "colour",
        "store",
        "an address of its own",
    ] {
        assert!(error.contains(part), "{part} in {error}");
    }
    assert!(error.lines().all(|line| line.starts_with("gateway.jsonc:")));
    assert!(settings::parse_file("test", "{").is_err());
    assert!(settings::parse_file("test", "").is_err());
}

#[test]
fn callers_get_nodes_of_their_domain_or_all_where_too_few_serve_there() {
    let serving = member::MemberPhase::Serving;
    let members = [
        record("n1", "a", serving),
        record("n2", "a", serving),
        record("n3", "b", serving),
        record("n4", "b", member::MemberPhase::Leaving),
        record("n5", "c", member::MemberPhase::Joining),
    ];
    assert_eq!(entry::choose_addresses(&members, Some("a")).len(), 2);
    assert_eq!(entry::choose_addresses(&members, Some("b")).len(), 3);
    assert_eq!(entry::choose_addresses(&members, Some("unknown")).len(), 3);
    assert_eq!(entry::choose_addresses(&members, None).len(), 3);
    assert!(entry::choose_addresses(&members[3..], None).is_empty());
}

#[test]
fn callers_leave_descriptors_for_everything_else() {
    let given = settings::parse_file("test", &text(r#""descriptor_limit": 4100,"#)).unwrap();
    assert_eq!(given.descriptor_limit, Some(4_100));
    assert_eq!(descriptors::caller_connections(4_100), 3_075);
    assert_eq!(
        descriptors::caller_connections(usize::MAX / 100 * 100),
        usize::MAX / 100 * 75
    );
    let limits = "Max processes  1 2 processes\nMax open files            1024   4096   files\n";
    assert_eq!(descriptors::parse_limits(limits), Some(1_024));
    assert_eq!(
        descriptors::parse_limits("Max open files unlimited unlimited files"),
        None
    );
    assert_eq!(descriptors::parse_limits(""), None);
    assert!(descriptors::system_limit().is_some());
}

#[test]
fn nobody_waits_unless_settings_say_so() {
    let given = settings::parse_file("test", &text("")).unwrap();
    assert_eq!(given.wait_limit, 0);
    let given = settings::parse_file("test", &text(r#""wait_limit": 64,"#)).unwrap();
    assert_eq!(given.wait_limit, 64);
    for bad in ["-1", "1.5", "65537", "\"many\""] {
        let error = settings::parse_file("test", &text(&format!(r#""wait_limit": {bad},"#)));
        assert!(error.unwrap_err().to_string().contains("wait_limit"));
    }
}
