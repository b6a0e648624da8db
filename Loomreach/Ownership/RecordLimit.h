// The longest record that the log service takes.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach::Jobs
{

/// Longest record of a log, with its key.
inline constexpr size_t cMaxRecordBytes = 262'144;

} // namespace Loomreach::Jobs
