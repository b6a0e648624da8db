// Requests to the adviser, the service that decides which workers may run a step of a queue with a policy.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach::Jobs
{

/// Request: which of these workers may run this step.
struct AdviceRequest
{
	std::string job;
	uint32 round = 0;
	uint32 step = 0;
	std::vector<std::string> workers;
	/// Number of each worker's incarnation, in the order of `workers`: the answer says nothing about later ones.
	std::vector<uint64> incarnations;
	Millis expect_ms = 0; ///< Expected time to the answer according to the policy.
};

/// The admitted workers with their tickets. The other workers in the request may never run the step.
struct AdviceAnswer
{
	bool answered = false;                      ///< False: the call failed, and nothing is known.
	Millis valid_ms = 0;                        ///< Validity of the tickets.
	std::map<std::string, std::string> tickets; ///< By worker.
};

/// A ticket with its time of expiry.
struct Ticket
{
	std::string text;
	Millis valid_until = 0;
};

/// The adviser's answers for one step.
struct StepAdvice
{
	bool asked = false;                    ///< A request is in progress.
	Millis ask_after = 0;                  ///< No further request is sent before.
	std::map<std::string, Ticket> tickets; ///< By worker.
	std::set<std::string> refused;         ///< Workers that may never run it.
};

} // namespace Loomreach::Jobs
