// Questions to the adviser, who alone knows which workers may run a step of a queue with a policy.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach::Jobs
{

/// Which of these workers may run this step?
struct AdviceQuestion
{
	std::string job;
	uint32 round = 0;
	uint32 step = 0;
	std::vector<std::string> workers;
	Millis expect_ms = 0; ///< What the policy says that the answer takes.
};

/// Workers that may, each with its ticket. The others that were asked about never may.
struct AdviceAnswer
{
	bool answered = false;
	Millis valid_ms = 0; ///< Life of the tickets.
	std::map<std::string, std::string> tickets;
};

/// A ticket as it is kept.
struct Ticket
{
	std::string text;
	Millis good_until = 0;
};

/// What is known of one step's workers.
struct StepAdvice
{
	bool asked = false; ///< A question is under way.
	Millis ask_after = 0;
	std::map<std::string, Ticket> tickets;
	std::set<std::string> refused; ///< Workers that may never run it.
};

} // namespace Loomreach::Jobs
