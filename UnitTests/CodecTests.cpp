// What peers and records of the log may name: lengths and values that the bytes do not bear out are refused at no cost.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Entry/PeerQuery.h>
#include <Loomreach/Job/JobRecord.h>
#include <Loomreach/State/Codec.h>

#include <gtest/gtest.h>
#include <sys/resource.h>

namespace Loomreach
{

/// Memory that this process has had at most, bytes.
static uint64 PeakMemory()
{
	rusage usage{};
	getrusage(RUSAGE_SELF, &usage);
	return static_cast<uint64>(usage.ru_maxrss) * 1024;
}

/// The encoding of a count alone: byte order, then the count.
static std::string CountAlone(uint64 inCount) { return EncodeValue(inCount); }

/// Guards against allocating what a datagram merely names: 17 bytes would take gigabytes.
TEST(Codec, ALengthThatIsNotThereIsNotAllocated)
{
	const uint64 before = PeakMemory();
	for (const uint64 count : {uint64{1} << 28, uint64{1} << 40, ~uint64{0}})
	{
		EXPECT_FALSE(DecodeValue<std::string>(CountAlone(count)).has_value());
		EXPECT_FALSE(DecodeValue<std::vector<std::string>>(CountAlone(count)).has_value());
		EXPECT_FALSE(DecodeValue<std::vector<uint64>>(CountAlone(count)).has_value());
		EXPECT_FALSE((DecodeValue<std::map<std::string, uint64>>(CountAlone(count)).has_value()));
		EXPECT_FALSE(DecodeValue<std::deque<uint64>>(CountAlone(count)).has_value());
		EXPECT_FALSE(DecodeValue<Jobs::StepRecord>(CountAlone(count)).has_value());
	}
	EXPECT_LT(PeakMemory() - before, uint64{64} << 20);
}

/// Guards against a value of a type that the type does not have, of which the compiler may assume that it never occurs.
TEST(Codec, ABooleanIsZeroOrOne)
{
	EXPECT_EQ(DecodeValue<bool>(EncodeValue(true)), std::optional<bool>(true));
	std::string bytes = EncodeValue(true);
	bytes.back() = 2;
	EXPECT_FALSE(DecodeValue<bool>(bytes).has_value());
}

/// Guards against a reader that no longer reads what the writer writes.
TEST(Codec, ReadsWhatIsWritten)
{
	Jobs::PeerQuestion question;
	question.nonce = 7;
	question.kind = Jobs::EQuestion::Demand;
	question.queue = "q";
	question.version = -3;
	question.departed = {"a", "", std::string(300, 'x')};
	const std::string bytes = EncodeValue(question);
	const std::optional<Jobs::PeerQuestion> read = DecodeValue<Jobs::PeerQuestion>(bytes);
	ASSERT_TRUE(read.has_value());
	EXPECT_EQ(EncodeValue(*read), bytes);
	EXPECT_EQ(read->departed.size(), 3u);
	for (size_t length = 0; length < bytes.size(); ++length)
		EXPECT_FALSE(DecodeValue<Jobs::PeerQuestion>(std::string_view(bytes).substr(0, length)).has_value()) << length;
	EXPECT_FALSE(DecodeValue<Jobs::PeerQuestion>(bytes + "x").has_value());
	// From a machine of the other byte order
	std::string swapped = EncodeValue(uint32{0x01020304});
	swapped[0] = static_cast<char>(swapped[0] == 0 ? 1 : 0);
	EXPECT_EQ(DecodeValue<uint32>(swapped), std::optional<uint32>(0x04030201));
}

} // namespace Loomreach
