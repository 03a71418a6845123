// A configuration as the store and the hosts hold it: a head and its parts.
// A part is named by the digest of its compressed bytes, so that revisions
// share the parts that a change leaves alone.
namespace py configuration

struct DataCentreRecord {
  1: required string name,
  2: required bool is_out,
}

struct ServiceRecord {
  1: required string name,
  2: required string address,
  3: required i32 port,
  4: required i32 bucket_count,
  5: required list<i32> generations,  // The numbers, oldest first.
  6: required i32 max_queue,
  7: required i64 max_body_bytes,
  8: required i64 request_timeout_ms,
  9: required double retry_share,
  10: required double flows_kept,
  11: required double requests_answered,
  12: required double move_service,
}

struct UpstreamRecord {
  1: required string service_name,
  2: required string name,
  3: required string data_centre,
  4: required string address,
  5: required i32 packet_port,
  6: required i32 request_port,
  7: required i32 slots,
  8: required double cold_flows_per_second,
  9: required i64 warm_up_ms,
  10: required bool drains,
  11: required list<i32> generations, // The generations that name it.
}

struct Part {
  1: required list<ServiceRecord> services,
  2: required list<UpstreamRecord> upstreams,
}

struct Head {
  1: required i64 revision,
  2: required string writer_id,       // Unique to one change.
  3: required string author,          // The operator or host that wrote it.
  4: required string action,          // Such as apply, promote or rollback.
  5: required i64 written_ms,         // The writer's wall time.
  6: required string document_digest, // SHA-256, hexadecimal.
  7: required string bindings_digest, // SHA-256, hexadecimal.
  8: required i32 shard_count,
  9: required list<DataCentreRecord> data_centres,
  10: required list<binary> parts,   // Digests of 16 bytes.
}

// What a host answers to a peer: its head, and the parts that the asking
// host does not have.
struct Bundle {
  1: required binary head,
  2: required map<binary, binary> parts_by_digest,
}

// Which revision a host has, told to a peer in one control datagram.
struct HeadNotice {
  1: required i64 revision,       // 0 before the first configuration.
  2: required binary digest,      // Of the head; empty for revision 0.
  3: required bool wants_answer,  // Whether the peer is to tell its own.
}
