// JSON texts of any depth, for tests of decoders.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach
{

/// Arrays within each other.
inline std::string DeepArray(size_t inLevels) { return std::string(inLevels, '[') + std::string(inLevels, ']'); }

/// An object whose only member holds arrays within each other.
inline std::string DeepObject(size_t inLevels) { return "{\"a\":" + DeepArray(inLevels) + "}"; }

} // namespace Loomreach
