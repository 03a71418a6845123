// What entry hosts on one platform tell each other: beats in datagrams, and
// batches of the store's items over HTTP.
namespace py peers

// A host's regular message.
struct Beat {
  1: required string host,
  2: required string data_centre,
  3: required string address,            // Where it takes messages.
  4: required i32 port,
  5: required i64 start_id,              // Random, new at each start.
  6: required i64 sequence,              // Increases with each beat.
  7: required bool is_leaving,
  8: required list<i64> revisions,       // Of each scope, by its number - 1.
  9: required i32 store_failed_ms,       // Age of the last failure; -1: none.
  10: required list<string> followers,   // Hosts that follow the store,
  11: required list<i32> follower_ages_ms, // and how long ago it answered them.
  12: required list<i64> upstream_tags,
  13: required list<i32> busy,           // Requests in progress, in hundredths.
  14: required list<i32> silent_ms,      // How much longer it is avoided.
  // How many hosts of each data centre are live, and how old that knowledge is.
  15: optional list<string> data_centres,
  16: optional list<i32> live_hosts,
  17: optional list<i32> live_host_ages_ms,
  18: optional i64 era,                  // Of the revisions; absent: 0.
  // What became of the sender's requests at upstreams that may do badly.
  20: optional list<i64> outcome_tags,
  21: optional list<i32> ended_well,
  22: optional list<i32> ended_badly,    // Those that hang included.
  23: optional list<i32> answered,       // Those whose response time is known.
  24: optional list<i32> time_percents,  // Mean time, of what is usual.
  25: optional bool is_cut_off,          // It can reach no upstream.
  // When the store last answered each follower, by the follower's own clock.
  26: optional list<i64> follower_answered_ms,
  27: optional i64 answered_ms,          // The same of the sender.
  28: optional binary flow_pins,         // As `flow_pin_list` packs them.
}

struct ItemRecord {
  1: required string key,
  2: required i64 revision,
  3: optional binary value,              // Absent if the key was removed.
}

struct ItemBatch {
  1: required list<ItemRecord> items,
  2: required i64 as_of,
  3: required bool is_full,
  4: optional i64 era,                   // Of the revisions; absent: 0.
  5: optional i32 left_ms,               // How much longer it counts.
}

// How a host is reached; its entry in the store's list of hosts.
struct Contact {
  1: required string host,
  2: required string data_centre,
  3: required string address,
  4: required i32 port,
}
