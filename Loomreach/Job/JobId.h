// The form of a job's id.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach::Jobs
{

inline constexpr size_t cJobIdDigits = 16;

/// Whether a text has the form of a job's id: 16 hex digits. Any other one can't be the id of an accepted job.
constexpr bool IsJobId(std::string_view inText)
{
	const auto is_hex = [](char inDigit)
	{ return (inDigit >= '0' && inDigit <= '9') || (inDigit >= 'a' && inDigit <= 'f') || (inDigit >= 'A' && inDigit <= 'F'); };
	return inText.size() == cJobIdDigits && std::all_of(inText.begin(), inText.end(), is_hex);
}

} // namespace Loomreach::Jobs
