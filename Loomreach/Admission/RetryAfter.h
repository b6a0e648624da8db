// How long a refused caller is told to wait. No I/O.
//
// Load pattern: the store is down for 5 s, and every caller retries after 1 s, four times. Callers that were refused in the same second
// return in the same second, and exhaust their retries before the store is back.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach::Jobs
{

/// What is known when a caller is refused.
struct RetryBasis
{
	std::string_view id;                    ///< Id of the job.
	std::optional<Millis> expected_wait_ms; ///< Time after which a record could be accepted, if there is an estimate.
	Millis unavailable_ms = 0;              ///< How long the store has been unavailable.
};

/// Returns the seconds after which a refused caller should retry. Half of the callers, chosen by the hash of the job's id, get one second
/// more.
int RetryAfterSeconds(const RetryBasis &inBasis);

} // namespace Loomreach::Jobs
