// Gossip between hosts: probes, entries about hosts, versioned facts.
namespace py membership

struct MemberEntry {
  1: required string host_id,
  2: required string data_centre,
  3: required binary address,    // The packed IP number, 4 or 16 bytes.
  4: required i32 control_port,
  5: required i32 api_port,
  6: required i64 incarnation,
  7: required i16 state,         // See MemberState in the gossip package.
}

struct FactEntry {
  1: required string key,
  2: required i64 version,
  3: required binary value,
  4: optional i64 ttl_ms,        // Absent for facts that do not expire.
}

struct PreparedEntry {
  1: required i64 revision,
  2: required i64 roster_digest,
  3: required binary bits,       // One bit a host in order of identity.
}

struct GossipMessage {
  1: required i16 kind,
  2: required i64 number,
  3: required MemberEntry origin,
  4: optional string subject,
  5: optional i64 digest,
  6: optional list<MemberEntry> members,
  7: optional list<FactEntry> facts,
  8: optional list<PreparedEntry> prepared,
  9: optional list<i64> bucket_digests,
  10: optional i64 cursor,
}
