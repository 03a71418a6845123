// The sealed envelope of each control datagram between hosts.
namespace py envelope

struct Sealed {
  1: required i32 key_id,      // The key that made the tag.
  2: required string sender,   // The host identity of the sender.
  3: required i64 sequence,    // Increases with each datagram of a sender.
  4: required i64 sent_ms,     // The sender's wall time in milliseconds.
  5: required i16 kind,        // The type of the body; see message_kind.py.
  6: required binary body,     // The encoded body.
  7: required binary tag,      // HMAC-SHA-256 over the other fields.
}
