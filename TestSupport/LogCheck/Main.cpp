// loomreach-logcheck: checks from the logs of all entry hosts that no task ran twice.
// Usage: loomreach-logcheck [FILE...]; reads standard input without files. A file whose lines do not name a host is one host's log.
// Exit code: 0 clean, 1 violations found, 2 the logs could not be checked in full.

#include <Loomreach/Loomreach.h>

#include <TestSupport/LogCheck/RunChecker.h>

#include <fstream>
#include <iostream>

using namespace Loomreach;
using namespace Loomreach::LogCheck;

/// A line and its sort key.
struct PlacedLine
{
	double at_s = 0.0;
	LogLine line;
};

/// Appends the lines of one stream. A line gets at least the time of its host's previous line, so that the lines of one host keep their
/// order if its clock steps back.
static void AppendLines(std::istream &ioStream, const std::string &inName, std::vector<PlacedLine> &outLines)
{
	std::map<std::string, double> latest;
	std::string text;
	while (std::getline(ioStream, text))
	{
		std::optional<LogLine> line = ParseLogLine(text);
		if (!line.has_value())
			continue;
		if (line->host.empty())
			line->host = inName;
		auto [place, is_new] = latest.try_emplace(line->host, line->at_s);
		place->second = std::max(place->second, line->at_s);
		line->at_s = place->second;
		outLines.push_back({place->second, std::move(*line)});
	}
}

static void Print(std::string_view inHead, const std::vector<Finding> &inFindings)
{
	for (const Finding &finding : inFindings)
	{
		std::cout << inHead << ' ' << NameOf(finding.kind) << ": " << finding.what << '\n';
		for (const std::string &line : finding.lines)
			std::cout << "    " << line << '\n';
	}
}

int main(int argc, char **argv)
{
	std::vector<PlacedLine> lines;
	if (argc < 2)
		AppendLines(std::cin, "standard input", lines);
	for (int i = 1; i < argc; ++i)
	{
		std::ifstream file(argv[i]);
		if (!file)
		{
			std::cout << "could not check: cannot read " << argv[i] << '\n';
			return 2;
		}
		AppendLines(file, argv[i], lines);
	}
	std::stable_sort(lines.begin(), lines.end(), [](const PlacedLine &inA, const PlacedLine &inB) { return inA.at_s < inB.at_s; });
	RunChecker checker;
	for (const PlacedLine &placed : lines)
		checker.Add(placed.line);
	checker.Finish();
	Print("found", checker.Findings());
	Print("unproved (lines may be missing)", checker.Unproved());
	Print("note", checker.Notes());
	for (const std::string &why : checker.Unchecked())
		std::cout << "could not check: " << why << '\n';
	std::cout << checker.Summary() << '\n';
	const bool found = !checker.Findings().empty();
	const bool is_complete = checker.Unproved().empty() && checker.Unchecked().empty();
	std::cout << (found         ? "found"
				  : is_complete ? "clean"
								: "could not check")
			  << ": " << checker.Findings().size() << " findings, " << checker.Unproved().size() << " unproved, " << checker.Notes().size()
			  << " notes\n";
	return found ? 1 : is_complete ? 0 : 2;
}
