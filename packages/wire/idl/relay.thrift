// A packet of a caller that one host hands to a keeper of its bucket.
namespace py relay

struct RelayedPacket {
  1: required i64 revision,         // The sender's prepared revision.
  2: required list<string> visited, // Host identities, the entry host first.
  3: required binary packet,        // The caller's IP packet, unchanged.
  4: optional string upstream,      // The placement, once a keeper chose it.
  5: required string fabric_address, // Where a reset for the caller goes.
  6: required i32 fabric_port,
}
