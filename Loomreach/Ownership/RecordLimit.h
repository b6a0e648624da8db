// Limits of the log service. An append that exceeds one of them is refused as a whole, however often it is repeated.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach::Jobs
{

/// Longest record of a log, with its key.
inline constexpr size_t cMaxRecordBytes = 262'144;
/// Longest append: all its records, with their keys and the bytes that frame them.
inline constexpr size_t cMaxAppendBytes = 2'097'152;
/// Bytes that frame a record in an append: its length, and in keyed logs the length of its key.
inline constexpr size_t cRecordFrameBytes = 5;

} // namespace Loomreach::Jobs
