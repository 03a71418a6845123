// The fact by which a host allows to drop old pool generations.
namespace py housekeeping

struct Permit {
  1: required string service_name,
  2: required i64 keep_from,
}

struct PermitReport {
  1: required i64 members_digest, // Unsigned in the core.
  2: required list<Permit> permits,
}
