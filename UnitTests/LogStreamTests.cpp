// The log stream with a reader that does not read.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/LogStream.h>

#include <fcntl.h>
#include <unistd.h>

#include <gtest/gtest.h>

namespace Loomreach
{

namespace
{

/// A pipe with a non-blocking read end.
struct Pipe
{
	Pipe()
	{
		EXPECT_EQ(pipe(this->ends), 0);
		fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
	}
	~Pipe()
	{
		close(this->ends[0]);
		close(this->ends[1]);
	}
	std::string ReadAll() const
	{
		std::string text;
		std::array<char, 65536> bytes;
		for (ssize_t got = read(this->ends[0], bytes.data(), bytes.size()); got > 0; got = read(this->ends[0], bytes.data(), bytes.size()))
			text.append(bytes.data(), static_cast<size_t>(got));
		return text;
	}

	int ends[2] = {-1, -1};
};

} // namespace

TEST(LogStream, NeverBlocksOnItsReader)
{
	// Guards against writing through stdio, where the first line that a full pipe does not accept blocks the process.
	const Pipe pipe;
	LogStream stream(pipe.ends[1], 100000);
	const std::string line(200, 'x');
	for (int i = 0; i < 5000; ++i)
		stream.Write(line);
	EXPECT_GT(stream.Dropped(), 3000u);
	// Once the reader reads again, it gets all buffered lines complete, and the number of dropped ones
	std::string text;
	for (int i = 0; i < 20; ++i)
	{
		text += pipe.ReadAll();
		stream.Flush();
	}
	text += pipe.ReadAll();
	EXPECT_NE(text.find("event=log_lines_dropped lines=" + std::to_string(stream.Dropped())), std::string::npos);
	EXPECT_EQ(text.size() > 100000, true);
	EXPECT_EQ(text.back(), '\n');
	const size_t dropped = stream.Dropped();
	stream.Write("after");
	stream.Flush();
	EXPECT_EQ(pipe.ReadAll(), "after\n");
	EXPECT_EQ(stream.Dropped(), dropped);
}

TEST(LogStream, KeepsLinesWhole)
{
	const Pipe pipe;
	LogStream stream(pipe.ends[1]);
	std::string expected;
	for (int i = 0; i < 100; ++i)
	{
		stream.Write("line " + std::to_string(i));
		expected += "line " + std::to_string(i) + "\n";
	}
	stream.Flush();
	EXPECT_EQ(pipe.ReadAll(), expected);
}

} // namespace Loomreach
