// Messages between entries, framed with a four-byte length on one TCP connection.
namespace py peer

const i32 PROTOCOL_VERSION = 1

struct Hello {
  1: required i32 protocol_version,
  2: required string entry,
  3: required string incarnation,
  4: optional string shared_key,
  5: required string peer_host,
  6: required i32 peer_port,
}

struct Heartbeat {
  1: required i64 sequence,
  2: required i64 settings_version,
  3: required bool store_reachable,
  4: required bool draining,
}

struct SettingsChange {
  1: required i64 version,
  2: required string change_json,
}

struct SettingsSnapshot {
  1: required i64 version,
  2: required string nodes_json,
}

// The state of one rack, as its owner last committed it.
struct RackSummary {
  1: required string rack,
  2: required i64 epoch,
  3: required i64 version,
  4: required string summary_json,
}

struct Inflation {
  1: required string worker,
  2: required string service_name,
  3: required double inflation,
}

// Latencies of services in one rack as multiples of their baselines, as changed.
struct InflationReport {
  1: required string rack,
  2: required list<Inflation> inflations,
}

// Says that rows under a table prefix wait for the receiving entry.
struct Wake {
  1: required string prefix,
}

union PeerMessage {
  1: Hello hello,
  2: Heartbeat heartbeat,
  3: SettingsChange settings_change,
  4: SettingsSnapshot settings_snapshot,
  5: RackSummary rack_summary,
  6: Wake wake,
  7: InflationReport inflation_report,
}
