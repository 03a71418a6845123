// Messages between hosts about idle slots of upstreams.
namespace py requests

// A host has requests of a service waiting and no free slot.
struct SlotNeed {
  1: required string service_name,
  2: required i32 lasts_ms,     // How long requests will wait there.
}

// A host lends an idle slot of an upstream.
struct SlotLoan {
  1: required i64 loan_id,      // The number of the loan at the lender.
  2: required string lender,    // The host identity of the lender.
  3: required string service_name,
  4: required string upstream,
  5: required i32 duration_ms,  // How long the lender does without it.
}

// A host gives a slot back before the loan has ended.
struct SlotReturn {
  1: required SlotLoan loan,
  2: required bool is_unneeded, // Whether no request waits there any more.
}

// Exactly one field is set.
union SlotMessage {
  1: SlotNeed need,
  2: SlotLoan loan,
  3: SlotReturn returned,
}
