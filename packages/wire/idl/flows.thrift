// Messages between keepers, and the fact that spreads an upstream's state.
namespace py flows

struct HandoverRequest {
  1: required string service_name,
  2: required list<i32> buckets,
  3: required i64 after_flow_hash, // Unsigned in the core; see flow_messages.
  4: required bool is_first_page,
}

struct HandoverPage {
  1: required string service_name,
  2: required list<i32> buckets,
  3: required list<i32> kept_buckets,
  4: required list<i32> complete_buckets,
  5: required list<string> upstreams,
  6: required list<i64> flow_hashes,
  7: required list<i32> upstream_indices,
  8: required bool is_last,
}

struct Overlay {
  1: required string upstream,
  2: required string state,
  3: required string boot_id,
  4: required i64 version,
}

// What a host that has just started asks of its peers.
struct RampRequest {
}

struct Ramp {
  1: required string upstream,
  2: required i64 age_ms,
}

struct RampAnswer {
  1: required list<Ramp> ramps,
}
