// Encodes a value to a string in cereal's portable binary format and decodes it. Included only by .cpp files that encode or decode.

#pragma once

#include <Loomreach/Core/Error.h>
#include <Loomreach/State/BoundedArchive.h>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/deque.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <exception>
#include <sstream>

namespace Loomreach
{

template <class T>
std::string EncodeValue(const T &inValue)
{
	std::ostringstream stream;
	cereal::PortableBinaryOutputArchive archive(stream);
	archive(inValue);
	return std::move(stream).str();
}

/// Decodes a value; fails with corrupt unless it takes up exactly all bytes. cereal throws on malformed input, and only this function
/// catches its exceptions.
template <class T>
std::optional<T> DecodeValue(std::string_view inBytes)
{
	try
	{
		BoundedArchive archive(inBytes);
		T value;
		archive(value);
		if (archive.Left() > 0)
			return Fail(EError::Corrupt, "unread bytes after the value");
		return value;
	}
	catch (const std::exception &error)
	{
		return Fail(EError::Corrupt, error.what());
	}
}

} // namespace Loomreach
