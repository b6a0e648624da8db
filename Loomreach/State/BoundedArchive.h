// Reads cereal's portable binary format within the bounds of its input: a count is checked against the bytes that are left before anything
// is allocated for it, so that a few bytes from outside can't make a process allocate gigabytes.

#pragma once

#include <Loomreach/Loomreach.h>

#include <cereal/archives/portable_binary.hpp>

#include <cstring>

namespace Loomreach
{

/// Input archive over bytes that must outlive it. Throws cereal::Exception on malformed input.
class BoundedArchive : public cereal::InputArchive<BoundedArchive, cereal::AllowEmptyClassElision>
{
public:
	explicit BoundedArchive(std::string_view inBytes)
		: cereal::InputArchive<BoundedArchive, cereal::AllowEmptyClassElision>(this), rest(inBytes)
	{
		uint8 little_endian = 0;
		this->Read<1>(&little_endian, 1);
		if (little_endian > 1)
			throw cereal::Exception("not a byte order");
		this->swap = (little_endian != 0) != (cereal::portable_binary_detail::is_little_endian() != 0);
	}

	/// Reads values of `WordBytes` each, in the byte order of this machine.
	template <size_t WordBytes>
	void Read(void *outData, size_t inBytes)
	{
		if (inBytes > this->rest.size())
			throw cereal::Exception("cut short");
		if (inBytes == 0)
			return;
		std::memcpy(outData, this->rest.data(), inBytes);
		this->rest.remove_prefix(inBytes);
		if (!this->swap)
			return;
		uint8 *bytes = static_cast<uint8 *>(outData);
		for (size_t at = 0; at < inBytes; at += WordBytes)
			std::reverse(bytes + at, bytes + at + WordBytes);
	}

	/// Bytes that have not been read. No element of a container takes up less than one.
	size_t Left() const { return this->rest.size(); }

private:
	std::string_view rest;
	bool swap = false;
};

template <class T>
requires std::is_arithmetic_v<T>
void load(BoundedArchive &ioArchive, T &outValue) { ioArchive.Read<sizeof(T)>(&outValue, sizeof(T)); }

/// Any other byte is not a value of the type.
inline void load(BoundedArchive &ioArchive, bool &outValue)
{
	uint8 byte = 0;
	ioArchive.Read<1>(&byte, 1);
	if (byte > 1)
		throw cereal::Exception("not a boolean");
	outValue = byte == 1;
}

template <class T>
void load(BoundedArchive &ioArchive, cereal::BinaryData<T> &ioData)
{
	ioArchive.Read<sizeof(std::remove_pointer_t<T>)>(ioData.data, static_cast<size_t>(ioData.size));
}

template <class T>
void serialize(BoundedArchive &ioArchive, cereal::NameValuePair<T> &ioPair)
{
	ioArchive(ioPair.value);
}

template <class T>
void serialize(BoundedArchive &ioArchive, cereal::SizeTag<T> &ioTag)
{
	ioArchive(ioTag.size);
	if (ioTag.size > ioArchive.Left())
		throw cereal::Exception("more elements than bytes");
}

} // namespace Loomreach

namespace cereal::traits::detail
{

template <>
struct get_output_from_input<Loomreach::BoundedArchive>
{
	using type = PortableBinaryOutputArchive;
};

} // namespace cereal::traits::detail
